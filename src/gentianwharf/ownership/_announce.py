"""Announcing a version to witnesses until no right to an older one can be alive."""

from dataclasses import dataclass
from typing import final

from ._messages import Acknowledge
from ._tables import WitnessList
from ._timing import RIGHT_WAIT_S


@final
@dataclass(kw_only=True, slots=True)
class _Heard:
    incarnation: int
    first_heard_s: float
    last_asked_s: float


@final
@final
class Announcement:
    """The acknowledgements of one domain's witnesses for one version.

    A majority counts only if all of it had its memory at one instant. A witness
    that acknowledges, restarts and recovers from others before they have heard of
    the version has forgotten it, and would make up a majority for the old version
    with the one that never heard. So each member must have acknowledged a question
    that was sent after the last member's first answer, in the same incarnation.
    """

    def __init__(
        self, *, domain: str, witnesses: WitnessList, witness_revision: int
    ) -> None:
        self.domain = domain
        self.witnesses = witnesses
        self._witness_revision = witness_revision
        self._heard: dict[str, _Heard] = {}
        self._asked_s: dict[int, float] = {}
        self._last_round = 0
        self._answered_last: set[str] = set()
        self.stands_since_s: float | None = None
        self.outdated = False

    def ask(self, number: int, now_s: float) -> None:
        """Note that round ``number`` is asked now."""
        self._last_round = number
        self._answered_last.clear()
        self._asked_s[number] = now_s

    def hear(self, host: str, answer: Acknowledge, now_s: float) -> None:
        """Count an acknowledgement."""
        asked_s = self._asked_s.get(answer.round)
        if asked_s is None or host not in self.witnesses.all():
            return
        if answer.witness_revision > self._witness_revision:
            # The list changed after it was read: the majority asked here may share
            # no witness with the one that gives rights now.
            self.outdated = True
            return
        if answer.round == self._last_round:
            self._answered_last.add(host)
        heard = self._heard.get(host)
        if heard is None or heard.incarnation != answer.incarnation:
            heard = _Heard(
                incarnation=answer.incarnation,
                first_heard_s=now_s,
                last_asked_s=asked_s,
            )
            self._heard[host] = heard
        heard.last_asked_s = max(heard.last_asked_s, asked_s)
        self._settle()

    def _settle(self) -> None:
        if self.stands_since_s is not None:
            return
        for candidate in self._heard.values():
            since_s = candidate.first_heard_s
            members = [
                host
                for host, heard in self._heard.items()
                if heard.first_heard_s <= since_s <= heard.last_asked_s
            ]
            if self.witnesses.is_majority(members):
                self.stands_since_s = since_s
                return

    def wants_second_round(self) -> bool:
        """Whether a majority answered the last round, but not yet at one instant."""
        return self.stands_since_s is None and self.witnesses.is_majority(
            self._answered_last
        )

    def has_lapsed(self, now_s: float) -> bool:
        """Whether every right to an older version has ended."""
        since_s = self.stands_since_s
        return since_s is not None and now_s >= since_s + RIGHT_WAIT_S
