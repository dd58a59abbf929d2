"""The soak's operators write each version to the store before they send the next."""

from random import Random
from typing import Any, cast

import msgspec
from soak._operators import MOST_RULES, RETRY_INTERVAL_S, Operators
from soak._schedule import Schedule
from twisted.internet.task import Clock

from gentianwharf.errors import ConflictError, OutcomeUnknownError
from gentianwharf.platform import CONFIG_KEY
from gentianwharf.platform.standin import Items, configuration
from gentianwharf.platform.standin._items import ConditionError
from gentianwharf.store import Change, Item, Store


class ResponseLosingStore:
    """A store that applies changes and drops the first ``lost`` responses to them."""

    def __init__(self, *, items: Items, lost: int = 0) -> None:
        self.items = items
        self.lost = lost
        self.changes = 0

    async def item(self, key: str) -> Item | None:
        return self.items.get(key)

    async def change(self, change: Change) -> int:
        self.changes += 1
        try:
            revision = self.items.change(change)
        except ConditionError as error:
            raise ConflictError("revision differs", step="kv-txn", peer="s") from error
        if self.lost:
            self.lost -= 1
            raise OutcomeUnknownError("no answer", step="kv-txn", peer="s")
        return revision


class Site:
    """Operators with a store in memory."""

    def __init__(self, *, lost: int = 0) -> None:
        self.clock: Any = Clock()
        items = Items(now_s=self.clock.seconds)
        items.change(Change(puts=(configuration(1),)))
        self.store = ResponseLosingStore(items=items, lost=lost)
        self.operators = Operators(
            reactor=self.clock,
            store=cast(Store, self.store),
            schedule=Schedule(reactor=self.clock),
            rng=Random(1),
        )

    def paths(self) -> set[str]:
        """Return the added paths in the store."""
        item = self.store.items.get(CONFIG_KEY)
        assert item is not None
        routes = msgspec.json.decode(item.value)["routes"]
        prefixes = {route["prefix"] for route in routes.values()}
        return prefixes - {"/"}


def test_rules_that_were_added_are_in_the_store() -> None:
    site = Site()
    site.operators.add(300, 0)
    site.operators.add(400, 20)
    assert len(site.operators.rules) == 680
    assert site.paths() == {rule.path for rule in site.operators.rules}
    assert all(rule.added.acknowledged_s == 0.0 for rule in site.operators.rules)


def test_removed_rules_know_by_which_version() -> None:
    site = Site()
    site.operators.add(300, 0)
    first = site.operators.newest[0].added
    site.operators.add(1, 20)
    second = site.operators.newest[0].added
    assert len(site.operators.removed) == 20
    assert all(rule.removed is second for rule in site.operators.removed)
    assert first.number < second.number


def test_a_change_whose_answer_was_lost_is_acknowledged_once_it_is_read() -> None:
    """A change is retried for ever although the store has applied it.

    Sent again, it would conflict with the revision that it wrote itself.
    """
    site = Site(lost=1)
    site.operators.add(300, 0)
    version = site.operators.newest[0].added
    assert not version.must_be_in_force(100.0)
    site.clock.advance(RETRY_INTERVAL_S)
    assert version.acknowledged_s == RETRY_INTERVAL_S
    assert site.store.changes == 1
    assert len(site.paths()) == 300


def test_a_change_that_others_wait_for_goes_first() -> None:
    site = Site(lost=1)
    site.operators.add(300, 0)
    site.operators.add(1, 0)
    assert len(site.operators.rules) == 300
    site.clock.advance(RETRY_INTERVAL_S)
    assert len(site.operators.rules) == 301


def test_the_list_grows_no_longer_than_the_store_takes() -> None:
    site = Site()
    for _ in range(MOST_RULES // 400 + 2):
        site.operators.add(400, 0)
    assert len(site.operators.rules) == MOST_RULES
    assert len(site.paths()) == MOST_RULES
