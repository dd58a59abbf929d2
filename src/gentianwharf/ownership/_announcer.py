"""Announcements of chunk versions to the witnesses of each domain concerned."""

from typing import final

from twisted.internet.defer import Deferred

from gentianwharf.errors import GentianwharfError
from gentianwharf.infra import VersionedValue

from ._announce import Announcement
from ._context import Context
from ._messages import Acknowledge, Announce, Item
from ._protocols import answer_within
from ._tables import WitnessList, chunk_key, witness_key
from ._timing import STORE_TIMEOUT_S

MAX_COMPLETED = 256
"""Completed announcements kept for moves that still look them up."""

MAX_ROUNDS = 4096
"""Rounds whose answers are accepted, the newest ones; an announcement without a
majority starts a new round at each tick."""

ROUND_BITS = 48
"""Random bits in the number of the first round, drawn at each start, so that answers to
rounds from before a restart are not counted."""


@final
class Announcer:
    """Creates and sends announcements, one for each version and domain."""

    def __init__(self, *, context: Context) -> None:
        self._context = context
        self._announcements: dict[tuple[str, int, str], Announcement] = {}
        self._rounds: dict[int, tuple[str, int, str]] = {}
        self._opening: set[tuple[str, int, str]] = set()
        self._last_round = context.rng.getrandbits(ROUND_BITS)

    def announcement(
        self, service: str, number: int, revision: int, domain: str
    ) -> Announcement | None:
        """Return the announcement of a chunk's version; start one if there is none."""
        announcement_key = (chunk_key(service, number), revision, domain)
        announcement = self._announcements.get(announcement_key)
        if (
            announcement is None or announcement.outdated
        ) and announcement_key not in self._opening:
            self._opening.add(announcement_key)
            Deferred.fromCoroutine(self._open(announcement_key))
        return announcement

    def announce_list(
        self, *, domain: str, witnesses: WitnessList, revision: int
    ) -> Announcement:
        """Return the announcement of a new witness list to the previous witnesses."""
        announcement_key = (witness_key(domain), revision, domain)
        announcement = self._announcements.get(announcement_key)
        if announcement is None or announcement.outdated:
            announcement = Announcement(
                domain=domain, witnesses=witnesses, witness_revision=revision
            )
            self._announcements[announcement_key] = announcement
            self._send_round(announcement_key)
        return announcement

    async def _open(self, announcement_key: tuple[str, int, str]) -> None:
        context = self._context
        key = witness_key(announcement_key[2])
        try:
            # The list is read after the version was written: a host that became a
            # witness before this read has the version from the store, and a host that
            # becomes one later reads the store later.
            found = await answer_within(
                context.clock,
                STORE_TIMEOUT_S,
                context.store.get(context.prefix + key),
                step="read witnesses",
                peer=key,
            )
        except GentianwharfError as error:
            context.log("witnesses-unread", error=str(error))
            return
        finally:
            self._opening.discard(announcement_key)
        if found is not None:
            self._start(announcement_key, found)

    def _start(
        self, announcement_key: tuple[str, int, str], found: VersionedValue
    ) -> None:
        domain = announcement_key[2]
        key = witness_key(domain)
        self._context.tables.install(Item(key, found.revision, found.value))
        witnesses = self._context.tables.witnesses(domain)
        if witnesses is None:
            return
        self._announcements[announcement_key] = Announcement(
            domain=domain,
            witnesses=witnesses,
            witness_revision=self._context.tables.versions[key],
        )
        self._discard_completed()
        self._send_round(announcement_key)

    def _discard_completed(self) -> None:
        # Only completed announcements are discarded: a move waits for its announcement
        # and would not request it again.
        completed = [
            announcement_key
            for announcement_key, announcement in self._announcements.items()
            if announcement.complete_since_s is not None
        ]
        for announcement_key in completed[:-MAX_COMPLETED]:
            del self._announcements[announcement_key]
        for number in list(self._rounds)[:-MAX_ROUNDS]:
            del self._rounds[number]

    def tick(self) -> None:
        """Repeat announcements that a majority has not acknowledged yet."""
        for announcement_key, announcement in self._announcements.items():
            if announcement.complete_since_s is None and not announcement.outdated:
                self._send_round(announcement_key)

    def _send_round(self, announcement_key: tuple[str, int, str]) -> None:
        key, revision, domain = announcement_key
        announcement = self._announcements[announcement_key]
        item = self._context.tables.item(key)
        if item is None:
            return
        self._last_round += 1
        announcement.record_round(self._last_round, self._context.now_s)
        self._rounds[self._last_round] = announcement_key
        message = Announce(
            domain=domain,
            round=self._last_round,
            versions={key: revision},
            items=[item],
        )
        for host in announcement.witnesses.all():
            self._context.send(host, message)

    def handle_acknowledge(self, host: str, answer: Acknowledge) -> None:
        """Record an acknowledgement, and start the second round once it is needed."""
        announcement_key = self._rounds.get(answer.round)
        announcement = (
            self._announcements.get(announcement_key)
            if announcement_key is not None
            else None
        )
        if announcement_key is None or announcement is None:
            return
        announcement.record_acknowledgement(host, answer, self._context.now_s)
        if announcement.wants_second_round():
            self._send_round(announcement_key)
