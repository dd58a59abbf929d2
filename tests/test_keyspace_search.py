"""No shard has two holders, in worlds where all kinds of faults are drawn from a seed.

Each seed simulates two or three hosts, up to five servers and the store on a virtual
clock, with faults for 50 s and none afterwards. The hosts' parts are the product's:
``Leadership``, ``Planner``, ``GrantManager`` and ``RemainingGrantsExchange``. Drawn are:

- the store: down (leases pause or expire), slow, answers lost, writes executed late;
- one host's calls: cut off in both directions or one, turned away, no tables read, late
  news, a claim to lead that is stored without the host noticing;
- hosts: paused with what they have queued, also at the renewal of the lease, killed and
  started anew, stopped by SIGTERM at any moment, also right after a claim;
- links between hosts, and from hosts to servers: late, or cut in one direction or both;
- servers: orders executed late, answers lost, busy after a release, a slow clock, ended,
  replaced at their address, unlisted; shards that become hot.

The rules, and what is not counted, are in ``builders_keyspace_search_servers``.

That the search finds faults is shown by faults that are put back. It does not find, since
other checks in the product cover them in all that it draws:

- a host that begins to lead by the tables that it has (a claim requires the newest
  record, which a host receives after the tables before it);
- a leader that acts on tables, and on servers that fail, when another may lead (a host
  receives the newer leader's item before its tables, and servers never restart under
  their id);
- the answer to a request of an earlier term, taken for one of this term.
"""

import pytest

from tests.builders_keyspace_search import run_seed
from tests.builders_keyspace_search_faults import FAULTS
from tests.builders_keyspace_search_servers import OwnerRuleError

SEEDS = 150
"""Seeds without a fault put back."""

FIRST_SEEDS: dict[str, tuple[int, int]] = {}


@pytest.mark.parametrize("first", range(0, SEEDS, 10))
def test_no_rule_of_owners_is_broken_and_all_shards_are_served_in_the_end(
    first: int,
) -> None:
    """Guards against two servers that execute requests of one shard."""
    for seed in range(first, first + 10):
        run_seed(seed)
