"""A new leader asks the one before which of its grants may still hold.

Load pattern: the leader is replaced while servers are lost, and their keys wait for
grants that the former one may have given. Knowing nothing, the next leader has to wait
for the longest that servers take and for as long as a leader without the store goes on.
The former one knows for each server, and once it has answered it gives no more.
"""

from dataclasses import dataclass
from typing import Any, final

import msgspec

from gentianwharf.keyspace import (
    GrantManager,
    GrantTiming,
    Holder,
    Leadership,
    PreviousLeader,
    RemainingGrants,
)
from gentianwharf.links import NngLink, dial
from gentianwharf.logs import log

from ._messages import AskedHolds, HeldFor, LeaderItem, ToldHolds

ASK_EVERY_S = 0.25

LINK_S = 4.0
"""After so long without a message a link is closed; one to a lost host would go on
dialling."""


@final
@dataclass(kw_only=True, slots=True)
class _Link:
    link: NngLink
    used_s: float


@final
class FormerLeader:
    """Asks the former leader, and answers as one; ``tick`` is due every 50 ms or so."""

    def __init__(
        self,
        *,
        name: LeaderItem,
        keeper: GrantManager,
        leadership: Leadership,
        timing: GrantTiming,
        reactor: Any,
    ) -> None:
        self._name = name
        self._keeper = keeper
        self._leadership = leadership
        self._timing = timing
        self._reactor = reactor
        self._started_s = float(reactor.seconds())
        self._asked: LeaderItem | None = None
        self._is_settled = False
        self._due_s = 0.0
        self._links: dict[str, _Link] = {}

    def stop(self) -> None:
        """Close every link."""
        for one in self._links.values():
            one.link.close()
        self._links.clear()

    def ask(self, former: PreviousLeader) -> None:
        """Begin to ask the leader before this one."""
        try:
            self._asked = msgspec.json.decode(former.value, type=LeaderItem)
        except msgspec.DecodeError as error:
            log.warning("the former leader's name can't be read: {}", error)
            return
        self._is_settled = former.earlier_grants_expired
        self._due_s = self._reactor.seconds()
        self.tick()

    def tick(self) -> None:
        """Ask once more when that is due, until the answer would tell nothing new."""
        self._close_idle()
        if self._asked is None:
            return
        term = self._leadership.term
        if term is None or self._keeper.holders.earlier_grants_expired():
            self._asked = None
            return
        now_s = self._reactor.seconds()
        if now_s >= self._due_s:
            self._due_s = now_s + ASK_EVERY_S
            question = AskedHolds(
                self._name.address, self._asked.process, term.revision
            )
            self._send(self._asked.address, question)

    def note_asked(self, question: AskedHolds) -> None:
        """Answer a new leader, and lead no more."""
        if question.process != self._name.process:
            ended_s = float(self._reactor.seconds()) - self._started_s
            ended = ToldHolds(question.process, question.revision, ended_s)
            self._send(question.address, ended)
            return
        term = self._leadership.term
        if term is not None and term.revision > question.revision:
            # Late: this host has taken the lead from the one that asked.
            return
        self._leadership.step_down()
        self._keeper.stop()
        holds = self._keeper.holders.remaining_grants()
        held = [
            HeldFor(one.server_id, one.born_ms, one.address, held_s)
            for one, held_s in holds.by_holder_s.items()
        ]
        self._send(
            question.address,
            ToldHolds(question.process, question.revision, None, holds.others_s, held),
        )

    def note_told(self, answer: ToldHolds) -> None:
        """Learn what the former leader's grants hold."""
        if self._asked is None or answer.process != self._asked.process:
            return
        term = self._leadership.term
        if term is None or answer.revision != term.revision:
            # To an earlier question, late: since then the one that answered may have
            # led again, and granted what its answer does not tell of.
            return
        holds = self._holds(answer)
        self._asked = None
        if holds is None:
            return
        log.info(
            "former leader has answered",
            extra={
                "held_s": round(holds.others_s, 3),
                "servers": len(holds.by_holder_s),
            },
        )
        self._keeper.holders.note_remaining_grants(holds)

    def _holds(self, answer: ToldHolds) -> RemainingGrants | None:
        if answer.ended_s is None:
            held = {
                Holder(
                    server_id=one.server_id, born_ms=one.born_ms, address=one.address
                ): one.held_s
                for one in answer.held
            }
            return RemainingGrants(others_s=answer.others_s, by_holder_s=held)
        if not self._is_settled:
            # What it knew of the leaders before it is lost with it.
            return None
        left_s = self._timing.latest_grant_expiry_s(stopped_s=0.0) - answer.ended_s
        return RemainingGrants(others_s=max(0.0, left_s))

    def _send(self, address: str, message: AskedHolds | ToldHolds) -> None:
        now_s = float(self._reactor.seconds())
        known = self._links.get(address)
        if known is None:
            known = self._links[address] = _Link(link=dial(address), used_s=now_s)
        known.used_s = now_s
        known.link.send(msgspec.msgpack.encode(message))

    def _close_idle(self) -> None:
        now_s = self._reactor.seconds()
        for address, one in list(self._links.items()):
            if now_s > one.used_s + LINK_S:
                one.link.close()
                del self._links[address]
