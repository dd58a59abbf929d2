"""Which servers a host renews, and how often."""

from collections import Counter

import pytest

from gentianwharf.ownership._context import Context
from tests.builders_ownership import SERVICE, World


def test_servers_are_ranked_only_when_the_live_hosts_change(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """At 12,000 hosts each one looked at every server of its domain at each tick.

    Nobody saw it but the processor: half of the ticks' time went into finding that
    nothing had changed.
    """
    world = World()
    world.settle()
    asked: Counter[str] = Counter()
    is_among = Context.is_among

    def count(context: Context, name: str, *args: object) -> bool:
        asked[name] += name.startswith(SERVICE)
        return is_among(context, name, *args)  # type: ignore[arg-type]

    monkeypatch.setattr(Context, "is_among", count)
    world.advance(2.0)
    assert asked.total() == 0
    world.stop_host("lac-1")
    world.advance(0.2)
    assert asked.total() == 2 * world.servers_a_domain
    world.settle()
