"""One simulated world of hosts, servers and a store, with faults drawn from a seed.

Each seed draws which kinds of faults occur and how often. Several may last at a time.
Odd seeds draw leases that end early beside the other kinds; in half of these worlds,
each start of a server has an id of its own.
"""

from random import Random
from unittest import mock

from gentianwharf.entryhost import _previous_leader
from tests.builders_keyspace_search_draws import Kind
from tests.builders_keyspace_search_draws_hosts import HostDraws
from tests.builders_keyspace_search_draws_leaders import LeaderDraws
from tests.builders_keyspace_search_draws_leases import LeaseDraws
from tests.builders_keyspace_search_draws_links import LinkDraws
from tests.builders_keyspace_search_draws_servers import ServerDraws
from tests.builders_keyspace_search_draws_store import StoreDraws
from tests.builders_keyspace_search_world import SearchWorld

START_S = 3.0
FAULTY_S = 50.0
CALM_S = 32.0


class Search:
    """The faults of a seed in their world."""

    def __init__(self, seed: int) -> None:
        ends_leases = seed % 2 == 1
        self.rng = Random(f"leases {seed}" if ends_leases else seed // 2)
        keeps_ids = not ends_leases or self.rng.random() < 0.5
        self.world = SearchWorld(self.rng, keeps_ids=keeps_ids)
        self._kinds = self._draw_kinds(ends_leases=ends_leases)
        longest_s = [] if ends_leases else [16.0]
        self._pace_s = self.rng.choice([0.8, 1.5, 3.0, 5.0, *longest_s])

    def run(self) -> None:
        """Run without faults, with faults, and without; check what has to hold."""
        world = self.world
        with mock.patch.object(_previous_leader, "dial", world.network.dial):
            world.advance(START_S)
            world.is_calm = False
            self._draw_next()
            world.advance(FAULTY_S)
            world.heal()
            world.advance(CALM_S)
            unserved = [
                (service, shard)
                for service in world.services
                for shard in range(world.shards)
                if not world.fleet.holders(service, shard)
            ]
            assert not unserved, f"no server holds the shards {unserved}"

    def _draw_kinds(self, *, ends_leases: bool) -> list[Kind]:
        """Draw which kinds occur: in some worlds few, in some all."""
        store = StoreDraws(self.world)
        links = LinkDraws(self.world)
        servers = ServerDraws(self.world, links=links)
        leaders = LeaderDraws(
            self.world, store_draws=store, links=links, servers=servers
        )
        parts = [store, HostDraws(self.world), links, servers, leaders]
        kinds = [kind for part in parts for kind in part.kinds()]
        few = self.rng.choice([1, 2, 3, 4, 6, 10, len(kinds)])
        drawn = self.rng.sample(kinds, few)
        if ends_leases:
            leases = LeaseDraws(
                self.world, store_draws=store, links=links, servers=servers
            ).kinds()
            drawn += leases * max(1, few // len(leases))
        return drawn

    def _draw_next(self) -> None:
        world = self.world
        if not world.is_calm:
            kind = self.rng.choice(self._kinds)
            world.log(kind.__name__)
            kind()
            world.clock.callLater(
                self.rng.expovariate(1.0 / self._pace_s), self._draw_next
            )


def run_seed(seed: int, *, trace: list[str] | None = None) -> None:
    """Run the world of a seed; raises ``AssertionError`` if something does not hold."""
    search = Search(seed)
    search.world.trace = trace
    search.run()
