"""Operators who add rules by the hundred, with small changes in between."""

from random import Random
from typing import Any, final

from twisted.internet.defer import Deferred, DeferredLock
from twisted.internet.task import deferLater

from gentianwharf.errors import GentianwharfError
from gentianwharf.logs import log
from gentianwharf.platform import CONFIG_KEY
from gentianwharf.platform.standin import configuration
from gentianwharf.store import Change, Store

from ._added_rules import AddedRule, RulesVersion
from ._schedule import Schedule

MOST_RULES = 4000
"""Their configuration takes 0.7 MB; the store limits a value to 1 MiB."""

GROWTH = (100, 500)
MAX_REMOVED = 20
GROWTH_PROBABILITY = 0.5
MEAN_PAUSE_S = 2.0
RETRY_INTERVAL_S = 0.2


@final
class Operators:
    """Writes versions of the rules in order, each retried until the store has it."""

    def __init__(
        self,
        *,
        reactor: Any,
        store: Store,
        schedule: Schedule,
        rng: Random,
        moves_rules: bool = False,
    ) -> None:
        self.rules: list[AddedRule] = []
        self.newest: list[AddedRule] = []
        self.removed: list[AddedRule] = []
        self.moved: list[AddedRule] = []
        self.is_active = True
        self._reactor = reactor
        self._schedule = schedule
        self._rng = rng
        self._version_number = 1
        self._lock = DeferredLock()
        self._store = store
        self._moves_rules = moves_rules

    def start(self) -> None:
        """Change the rules once, and schedule the next change."""
        if not self.is_active:
            return
        if self._rng.random() < GROWTH_PROBABILITY:
            self.add(self._rng.randint(*GROWTH), self._rng.randint(0, MAX_REMOVED))
        else:
            self.replace_one()
        pause_s = self._rng.choice((0.05, 1.0, 1.0)) * self._rng.expovariate(
            1 / MEAN_PAUSE_S
        )
        self._reactor.callLater(pause_s, self.start)

    def replace_one(self) -> None:
        """Add one rule and remove another."""
        self.add(1, 1)

    def add(self, count: int, removed: int, moved: int = 0) -> None:
        """Add, remove and move rules once all earlier changes are acknowledged."""
        moves = f", {moved} moved" if moved else ""
        self._schedule.record(f"{count} rules added, {removed} removed{moves}")
        changed = Deferred.fromCoroutine(self._change(count, removed, moved))
        changed.addErrback(lambda failure: log.error(failure.getTraceback()))

    async def _change(self, count: int, removed: int, moved: int) -> None:
        await self._lock.acquire()
        try:
            self._version_number += self._rng.randint(1, 3)
            version = RulesVersion(
                number=self._version_number, sent_s=self._reactor.seconds()
            )
            self._remove(version, max(removed, len(self.rules) + count - MOST_RULES))
            self._move(version, moved)
            self.newest = [
                AddedRule(path=f"/added-{version.number}-{number}/", added=version)
                for number in range(count)
            ]
            self.rules += self.newest
            await self._write(version)
        finally:
            self._lock.release()

    def _remove(self, version: RulesVersion, count: int) -> None:
        self._rng.shuffle(self.rules)
        for rule in self.rules[:count]:
            rule.removed = version
            self.removed.append(rule)
        del self.rules[:count]

    def _move(self, version: RulesVersion, count: int) -> None:
        moved = [rule for rule in self.rules if rule.moved is None][:count]
        for rule in moved:
            rule.moved = version
        self.moved += moved

    async def _write(self, version: RulesVersion) -> None:
        moved = {rule.path for rule in self.rules if rule.moved is not None}
        item = configuration(
            version.number,
            added_paths=[rule.path for rule in self.rules],
            moved_paths=moved if self._moves_rules else None,
        )
        while self.is_active:
            try:
                current = await self._store.item(CONFIG_KEY)
                if current is None or current.value != item.value:
                    # A call without a response may take effect later. The expected
                    # revision keeps it from replacing a newer version by an older one.
                    revision = current.revision if current is not None else 0
                    await self._store.change(
                        Change(expected={CONFIG_KEY: revision}, puts=(item,))
                    )
            except GentianwharfError as error:
                log.info("rules not written yet, retrying: {}", error)
                await deferLater(self._reactor, RETRY_INTERVAL_S)
            else:
                version.acknowledged_s = self._reactor.seconds()
                return

    def choose_rule(self, rng: Random) -> AddedRule | None:
        """Return a recently added, an older, a removed or a moved rule, if any."""
        kinds = [self.newest, self.rules, self.removed[-MAX_REMOVED:]]
        if self.moved:
            kinds.append(self.moved[-MAX_REMOVED:])
        chosen = rng.choices(kinds, (2, 2, 1, 2)[: len(kinds)])[0]
        return rng.choice(chosen) if chosen else None
