"""Operators who let the list of rules grow by hundreds, among small changes."""

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
"""Their configuration takes 0.7 MB of the 1 MiB that the store has for a value."""

GROWTH = (100, 500)
MOST_REMOVED = 20
GROWTH_SHARE = 0.5
MEAN_PAUSE_S = 2.0
RETRY_S = 0.2


@final
class Operators:
    """Change the rules one version after the other, each until the store has it."""

    def __init__(
        self, *, reactor: Any, store: Store, schedule: Schedule, rng: Random
    ) -> None:
        self.rules: list[AddedRule] = []
        self.newest: list[AddedRule] = []
        self.removed: list[AddedRule] = []
        self.is_changing = True
        self._reactor = reactor
        self._schedule = schedule
        self._rng = rng
        self._version = 1
        self._lock = DeferredLock()
        self._store = store

    def start(self) -> None:
        """Change the rules after a pause, and go on."""
        if not self.is_changing:
            return
        if self._rng.random() < GROWTH_SHARE:
            self.add(self._rng.randint(*GROWTH), self._rng.randint(0, MOST_REMOVED))
        else:
            self.add_one()
        pause_s = self._rng.choice((0.05, 1.0, 1.0)) * self._rng.expovariate(
            1 / MEAN_PAUSE_S
        )
        self._reactor.callLater(pause_s, self.start)

    def add_one(self) -> None:
        """Add a rule and remove another one."""
        self.add(1, 1)

    def add(self, count: int, removed: int) -> None:
        """Add and remove rules, once all earlier changes are acknowledged."""
        self._schedule.note(f"{count} rules more, {removed} removed")
        changed = Deferred.fromCoroutine(self._change(count, removed))
        changed.addErrback(lambda failure: log.error(failure.getTraceback()))

    async def _change(self, count: int, removed: int) -> None:
        await self._lock.acquire()
        try:
            self._version += self._rng.randint(1, 3)
            version = RulesVersion(number=self._version, sent_s=self._reactor.seconds())
            self._remove(version, max(removed, len(self.rules) + count - MOST_RULES))
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

    async def _write(self, version: RulesVersion) -> None:
        put = configuration(
            version.number, added_paths=[rule.path for rule in self.rules]
        )
        while self.is_changing:
            try:
                known = await self._store.item(CONFIG_KEY)
                if known is None or known.value != put.value:
                    # A call without an answer may be carried out later: on the
                    # condition it can't put an older version over a newer one.
                    revision = known.revision if known is not None else 0
                    await self._store.change(
                        Change(expected={CONFIG_KEY: revision}, puts=(put,))
                    )
            except GentianwharfError as error:
                log.info("not changed yet: {}", error)
                await deferLater(self._reactor, RETRY_S)
            else:
                version.acknowledged_s = self._reactor.seconds()
                return

    def rule_to_ask(self, rng: Random) -> AddedRule | None:
        """Return a rule that was just added, stands for longer, or was removed."""
        kinds = (self.newest, self.rules, self.removed[-MOST_REMOVED:])
        chosen = rng.choices(kinds, (2, 2, 1))[0]
        return rng.choice(chosen) if chosen else None
