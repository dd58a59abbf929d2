"""Backend servers that are listed in the store."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any, final

from gentianwharf.errors import InputError
from gentianwharf.logs import log
from gentianwharf.platform import (
    SERVERS_PREFIX,
    ServerEntry,
    ServerState,
    decode_server_entry,
)
from gentianwharf.store import Item, Mirror

from ._coalescer import Coalescer

REREGISTRATION_S = 2.1
"""Time within which live servers write their entries again after an outage of the
store, about two seconds. The lapse of an entry is unconfirmed until then. A host that
was cut off on its own cannot distinguish this from an outage of the store."""

COLD_AFTER_EVACUATION_S = 2.0
"""Time for which servers count as cold after an evacuation, until their next entries
state whether they are."""

LEAVING_KEPT_S = 600.0
"""Time for which it is remembered that a server leaves, also if it is listed again."""

MAX_REASSIGNED = 1_000
"""Servers of which it is remembered that others have their addresses."""


@final
class Directory:
    """All servers that are listed in the store, by id."""

    def __init__(self, *, mirror: Mirror, reactor: Any) -> None:
        self.on_change: Callable[[str], None] = lambda service: None
        self.on_cold: Callable[[str, float], None] = lambda server_id, until_s: None
        """Called with a server's id and until when it is cold."""
        self.on_ended: Callable[[ServerEntry, bool], None] = (
            lambda entry, has_restarted: None
        )
        """Called with the last entry of a server that is no longer listed, or that has
        started again."""
        self._entries: dict[str, ServerEntry] = {}
        self._unreadable: set[str] = set()
        self._evacuated: set[str] = set()
        self._cold_until_s: dict[str, float] = {}
        self._starting: set[str] = set()
        self._leaving_since_s: dict[str, float] = {}
        """Servers that stated in answers that they leave."""
        self._reassigned: dict[str, str] = {}
        """Addresses of servers by id, where other servers have answered."""
        self._mirror = mirror
        self._reactor = reactor
        self._pending_removals: dict[str, Any] = {}
        self._coalescer = Coalescer(
            notify=lambda service: self.on_change(service), clock=reactor
        )

    def entries(self, service: str) -> list[ServerEntry]:
        """Return the listed servers of a service, including those that are leaving."""
        return [entry for entry in self._entries.values() if entry.service == service]

    def usable(self, service: str) -> list[ServerEntry]:
        """Return the servers of a service to which work may be sent.

        Servers whose entries have lapsed are excluded, unless fewer than half of the
        servers would remain: a lapse of most entries at once indicates a fault of the
        store. Servers that stated only in answers that they leave are included: they
        get requests for their keys until these have moved.
        """
        ready = self._ready(service)
        confirmed = [entry for entry in ready if entry.id not in self._pending_removals]
        return confirmed if len(confirmed) * 2 >= len(ready) else ready

    def candidates(self, service: str) -> list[ServerEntry]:
        """Return the servers of a service that may hold keys.

        They include servers whose entries have lapsed: these keep their keys until the
        lapse is confirmed. A server that stated in an answer that it leaves is not
        included: its entry may follow much later, when the store is down.
        """
        return [
            entry
            for entry in self._ready(service)
            if entry.id not in self._leaving_since_s
        ]

    def _ready(self, service: str) -> list[ServerEntry]:
        return [entry for entry in self.entries(service) if self._accepts_work(entry)]

    def without_starting(self, entries: list[ServerEntry]) -> list[ServerEntry]:
        """Return the entries without servers that started and are still cold.

        If most of the servers are starting, all entries are returned.
        """
        warm = [entry for entry in entries if entry.id not in self._starting]
        return warm if len(warm) * 2 >= len(entries) else entries

    def cold_remaining_s(self, server_id: str) -> float:
        """Return for how much longer a server is cold, 0 if it is not."""
        until_s = self._cold_until_s.get(server_id, 0.0)
        return max(0.0, until_s - float(self._reactor.seconds()))

    def entry(self, server_id: str) -> ServerEntry | None:
        """Return a server's entry, None if it is not listed."""
        return self._entries.get(server_id)

    def set_leaving(self, server_id: str) -> None:
        """Record that a server stated in an answer that it leaves."""
        if server_id in self._leaving_since_s:
            return
        now_s = self._reactor.seconds()
        for former_id, since_s in list(self._leaving_since_s.items()):
            if now_s > since_s + LEAVING_KEPT_S:
                del self._leaving_since_s[former_id]
        self._leaving_since_s[server_id] = now_s
        entry = self._entries.get(server_id)
        if entry is not None:
            self._coalescer.note(entry.service)

    def set_reassigned(self, server_id: str, address: str) -> None:
        """Record that another server has answered at a server's address.

        The server gets no work until its entry has another address.
        """
        if self._reassigned.get(server_id) == address:
            return
        if len(self._reassigned) >= MAX_REASSIGNED:
            del self._reassigned[next(iter(self._reassigned))]
        self._reassigned[server_id] = address
        log.info(
            "another server has the address of a server",
            extra={"server": server_id, "peer": address},
        )
        entry = self._entries.get(server_id)
        if entry is not None:
            self._coalescer.note(entry.service)

    def set_evacuated(self, domain: str, evacuated: bool) -> None:
        """Set whether the servers of a failure domain are excluded from all work."""
        if evacuated is (domain in self._evacuated):
            return
        if evacuated:
            self._evacuated.add(domain)
        else:
            self._evacuated.remove(domain)
        log.info(
            "evacuation of a failure domain {}",
            "started" if evacuated else "ended",
            extra={"domain": domain},
        )
        affected = [entry for entry in self.all() if entry.domain == domain]
        if not evacuated:
            for entry in affected:
                self._note_cold(entry, COLD_AFTER_EVACUATION_S, starting=True)
        for service in {entry.service for entry in affected}:
            self._coalescer.note(service)

    def _accepts_work(self, entry: ServerEntry) -> bool:
        return (
            entry.state is ServerState.READY
            and entry.domain not in self._evacuated
            and self._reassigned.get(entry.id) != entry.address
        )

    def all(self) -> list[ServerEntry]:
        """Return every listed server."""
        return list(self._entries.values())

    def note_item(self, key: str, item: Item | None) -> None:
        """Apply a change of a server's entry."""
        server_id = key.removeprefix(SERVERS_PREFIX)
        removal = self._pending_removals.pop(server_id, None)
        if removal is not None and removal.active():
            removal.cancel()
        if item is None:
            self._unreadable.discard(server_id)
            self._note_removed(server_id)
            return
        try:
            entry = decode_server_entry(item.key, item.value)
        except InputError as error:
            self._note_unreadable(server_id, item.revision, error)
            return
        self._unreadable.discard(server_id)
        self._put(entry, was_pending_removal=removal is not None)

    def _note_unreadable(
        self, server_id: str, revision: int, error: InputError
    ) -> None:
        if server_id not in self._unreadable:
            self._unreadable.add(server_id)
            log.warning(
                "server entry not taken: {}",
                error.message,
                extra={"step": error.step, "peer": error.peer, "revision": revision},
            )
        self._remove(server_id)

    def _note_removed(self, server_id: str) -> None:
        regained_s = self._mirror.regained_s
        delay_s = regained_s + REREGISTRATION_S - self._reactor.seconds()
        if delay_s <= 0 or server_id not in self._entries:
            self._remove(server_id)
            return
        self._pending_removals[server_id] = self._reactor.callLater(
            delay_s, self._remove, server_id
        )
        self._coalescer.note(self._entries[server_id].service)

    def _put(self, entry: ServerEntry, *, was_pending_removal: bool) -> None:
        former = self._entries.get(entry.id)
        if entry.cold_remaining_s:
            self._note_cold(
                entry, entry.cold_remaining_s, starting=_is_new_instance(former, entry)
            )
            # The remaining time differs from entry to entry, which is no change that
            # the users of the directory have to apply.
            entry = replace(entry, cold_remaining_s=0.0)
        if former == entry:
            if was_pending_removal:
                self._coalescer.note(entry.service)
            return
        self._entries[entry.id] = entry
        if former is not None and _is_new_instance(former, entry):
            self.on_ended(former, True)
        if former is None or former.state is not entry.state:
            log.info(
                "server listed",
                extra={
                    "server": entry.id,
                    "service": entry.service,
                    "state": entry.state.value,
                },
            )
        if former is not None and former.service != entry.service:
            self._coalescer.note(former.service)
        self._coalescer.note(entry.service)

    def _note_cold(
        self, entry: ServerEntry, remaining_s: float, *, starting: bool
    ) -> None:
        if starting:
            self._starting.add(entry.id)
        until_s = self._reactor.seconds() + remaining_s
        if until_s <= self._cold_until_s.get(entry.id, 0.0):
            return
        self._cold_until_s[entry.id] = until_s
        self._reactor.callLater(remaining_s, self._end_cold, entry.id)
        self.on_cold(entry.id, until_s)

    def _end_cold(self, server_id: str) -> None:
        if self.cold_remaining_s(server_id) > 0:
            return
        self._cold_until_s.pop(server_id, None)
        if server_id in self._starting:
            self._starting.remove(server_id)
            entry = self._entries.get(server_id)
            if entry is not None:
                self._coalescer.note(entry.service)

    def _remove(self, server_id: str) -> None:
        self._pending_removals.pop(server_id, None)
        entry = self._entries.pop(server_id, None)
        if entry is not None:
            self.on_ended(entry, False)
            log.info(
                "server no longer listed",
                extra={"server": entry.id, "service": entry.service},
            )
            self._coalescer.note(entry.service)


def _is_new_instance(former: ServerEntry | None, entry: ServerEntry) -> bool:
    """Whether the server has started since its former entry, and holds no keys."""
    return former is None or former.born_ms != entry.born_ms
