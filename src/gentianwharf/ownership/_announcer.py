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

MOST_KEPT = 256
"""Announcements kept after they stand, for moves that still ask for them."""

MOST_ROUNDS = 4096
"""Rounds whose answers still count; later ones are asked anew at each tick."""

ROUND_BITS = 48
"""Bits of the first round's number, drawn at each start so that rounds of an
earlier life are not taken for this one's."""


@final
class Announcer:
    """Opens announcements for the mover, one a version and domain, and asks."""

    def __init__(self, *, context: Context) -> None:
        self._context = context
        self._known: dict[tuple[str, int, str], Announcement] = {}
        self._rounds: dict[int, tuple[str, int, str]] = {}
        self._opening: set[tuple[str, int, str]] = set()
        self._last_round = context.rng.getrandbits(ROUND_BITS)

    def announcement(
        self, service: str, number: int, revision: int, domain: str
    ) -> Announcement | None:
        """Return the announcement of a chunk's version, or begin one."""
        which = (chunk_key(service, number), revision, domain)
        known = self._known.get(which)
        if (known is None or known.outdated) and which not in self._opening:
            self._opening.add(which)
            Deferred.fromCoroutine(self._open(which))
        return known

    def announce_list(
        self, *, domain: str, witnesses: WitnessList, revision: int
    ) -> Announcement:
        """Return the announcement of a changed witness list to the earlier one."""
        which = (witness_key(domain), revision, domain)
        known = self._known.get(which)
        if known is None or known.outdated:
            known = Announcement(
                domain=domain, witnesses=witnesses, witness_revision=revision
            )
            self._known[which] = known
            self._ask(which)
        return known

    async def _open(self, which: tuple[str, int, str]) -> None:
        context = self._context
        key = witness_key(which[2])
        try:
            # Read after the version was written: a host that was named a witness
            # before this read has the version from the store, and one that is named
            # later reads the store later.
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
            self._opening.discard(which)
        if found is not None:
            self._begin(which, found)

    def _begin(self, which: tuple[str, int, str], found: VersionedValue) -> None:
        domain = which[2]
        key = witness_key(domain)
        self._context.tables.install(Item(key, found.revision, found.value))
        witnesses = self._context.tables.witnesses(domain)
        if witnesses is None:
            return
        self._known[which] = Announcement(
            domain=domain,
            witnesses=witnesses,
            witness_revision=self._context.tables.versions[key],
        )
        self._drop_ended()
        self._ask(which)

    def _drop_ended(self) -> None:
        # Only those that stand: a move waits for its announcement, and one that was
        # dropped before would never be asked for again.
        ended = [
            which
            for which, known in self._known.items()
            if known.stands_since_s is not None
        ]
        for which in ended[:-MOST_KEPT]:
            del self._known[which]
        for number in list(self._rounds)[:-MOST_ROUNDS]:
            del self._rounds[number]

    def tick(self) -> None:
        """Ask again where a majority has not answered yet."""
        for which, known in self._known.items():
            if known.stands_since_s is None and not known.outdated:
                self._ask(which)

    def _ask(self, which: tuple[str, int, str]) -> None:
        key, revision, domain = which
        known = self._known[which]
        item = self._context.tables.item(key)
        if item is None:
            return
        self._last_round += 1
        known.ask(self._last_round, self._context.now_s)
        self._rounds[self._last_round] = which
        question = Announce(
            domain=domain,
            round=self._last_round,
            versions={key: revision},
            items=[item],
        )
        for host in known.witnesses.all():
            self._context.send(host, question)

    def hear(self, host: str, answer: Acknowledge) -> None:
        """Count an acknowledgement; asks the second time when it is the last."""
        which = self._rounds.get(answer.round)
        known = self._known.get(which) if which is not None else None
        if which is None or known is None:
            return
        known.hear(host, answer, self._context.now_s)
        if known.wants_second_round():
            self._ask(which)
