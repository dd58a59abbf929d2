"""Tests for the choice of the servers whose grants a host renews."""

from collections import Counter

import pytest

from gentianwharf.ownership._context import Context
from tests.builders_ownership import SERVICE, World


def test_servers_are_ranked_only_when_the_live_hosts_change(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a check of every server of the domain at each tick.

    With 12,000 hosts this check took half of the time of the ticks, although the live
    hosts had not changed.
    """
    world = World()
    world.settle()
    calls: Counter[str] = Counter()
    is_selected = Context.is_selected

    def count(context: Context, name: str, *args: object) -> bool:
        calls[name] += name.startswith(SERVICE)
        return is_selected(context, name, *args)  # type: ignore[arg-type]

    monkeypatch.setattr(Context, "is_selected", count)
    world.advance(2.0)
    assert calls.total() == 0
    world.stop_host("lac-1")
    world.advance(0.2)
    assert calls.total() == 2 * world.servers_a_domain
    world.settle()
