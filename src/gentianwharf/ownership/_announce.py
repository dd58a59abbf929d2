"""Announcement of a version to witnesses until all rights to older ones expired."""

from dataclasses import dataclass
from typing import final

from ._messages import Acknowledge
from ._tables import WitnessList
from ._timing import RIGHT_WAIT_S


@final
@dataclass(kw_only=True, slots=True)
class _HostAcknowledgements:
    incarnation: int
    first_received_s: float
    last_sent_s: float


@final
@final
class Announcement:
    """The acknowledgements of one domain's witnesses for one version.

    A majority counts only if all its members had the version in memory at one
    instant. A witness can acknowledge, restart, and recover from others that have not
    received the version yet. It has then lost the version, and could form a majority
    for the old version with a witness that never received the new one. So each member
    must have acknowledged a round that was sent after the last member's first
    acknowledgement, in the same incarnation.
    """

    def __init__(
        self, *, domain: str, witnesses: WitnessList, witness_revision: int
    ) -> None:
        self.domain = domain
        self.witnesses = witnesses
        self._witness_revision = witness_revision
        self._heard: dict[str, _HostAcknowledgements] = {}
        self._round_sent_s: dict[int, float] = {}
        self._last_round = 0
        self._last_round_hosts: set[str] = set()
        self.complete_since_s: float | None = None
        self.outdated = False

    def record_round(self, number: int, now_s: float) -> None:
        """Record that round ``number`` is sent now."""
        self._last_round = number
        self._last_round_hosts.clear()
        self._round_sent_s[number] = now_s

    def record_acknowledgement(
        self, host: str, answer: Acknowledge, now_s: float
    ) -> None:
        """Record an acknowledgement."""
        sent_s = self._round_sent_s.get(answer.round)
        if sent_s is None or host not in self.witnesses.all():
            return
        if answer.witness_revision > self._witness_revision:
            # The list changed after it was read, so a majority of the listed witnesses
            # may share no host with a majority that gives rights now.
            self.outdated = True
            return
        if answer.round == self._last_round:
            self._last_round_hosts.add(host)
        record = self._heard.get(host)
        if record is None or record.incarnation != answer.incarnation:
            record = _HostAcknowledgements(
                incarnation=answer.incarnation,
                first_received_s=now_s,
                last_sent_s=sent_s,
            )
            self._heard[host] = record
        record.last_sent_s = max(record.last_sent_s, sent_s)
        self._settle()

    def _settle(self) -> None:
        if self.complete_since_s is not None:
            return
        for candidate in self._heard.values():
            since_s = candidate.first_received_s
            members = [
                host
                for host, record in self._heard.items()
                if record.first_received_s <= since_s <= record.last_sent_s
            ]
            if self.witnesses.is_majority(members):
                self.complete_since_s = since_s
                return

    def wants_second_round(self) -> bool:
        """Whether a majority acknowledged the last round, but not at one instant."""
        return self.complete_since_s is None and self.witnesses.is_majority(
            self._last_round_hosts
        )

    def older_rights_expired(self, now_s: float) -> bool:
        """Whether every right to an older version has expired."""
        since_s = self.complete_since_s
        return since_s is not None and now_s >= since_s + RIGHT_WAIT_S
