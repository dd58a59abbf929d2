"""The known servers and the subjects for which requests came."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from random import Random
from typing import final

from gentianwharf.topology import BackendServer

from ._server_slots import ServerSlots
from ._speeds import ServiceTimeSpread
from ._subject import Subject
from ._types import SlotRequest


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Dropped:
    """Servers that are gone, and subjects that have no servers any more."""

    servers: list[ServerSlots]
    subjects: list[Subject]


@final
class Subjects:
    """Subjects by name; a subject is added with the first request for it."""

    def __init__(self, *, rng: Random) -> None:
        self._rng = rng
        self._servers: dict[str, ServerSlots] = {}
        self._domains: dict[str, list[ServerSlots]] = {}
        self._subjects: dict[str, Subject] = {}
        self._subjects_of: dict[str, list[Subject]] = {}
        self._spreads: dict[str, ServiceTimeSpread] = {}

    def __iter__(self) -> Iterator[Subject]:
        return iter(self._subjects.values())

    def find(self, request: SlotRequest, now_s: float) -> Subject | None:
        """Return the request's subject, None if none of its servers is known."""
        if request.server is not None:
            name, own = request.server, self._servers.get(request.server)
            servers = [own] if own is not None else []
        else:
            name, servers = request.subject, self._domains.get(request.subject, [])
        if not servers:
            return None
        subject = self._subjects.get(name)
        if subject is None:
            subject = self._subjects[name] = Subject(name=name, rng=self._rng)
            self._set_servers_of(subject, servers, now_s)
        return subject

    def of_server(self, slots: ServerSlots) -> list[Subject]:
        """Return the subjects to which a server belongs."""
        return self._subjects_of.get(slots.server.id, [])

    def set_servers(
        self, service: str, servers: Iterable[BackendServer], now_s: float
    ) -> Dropped:
        """Replace the servers of a service; return what is gone."""
        listed = {server.id: server for server in servers}
        gone = [
            slots
            for server_id, slots in self._servers.items()
            if slots.server.service == service and server_id not in listed
        ]
        subjects: list[Subject] = []
        for slots in gone:
            del self._servers[slots.server.id]
            subjects += self._drop(slots.server.id)
        for server_id, server in listed.items():
            if server_id in self._servers:
                self._servers[server_id].server = server
            else:
                self._servers[server_id] = self._slots(server)
        subjects += self._update_domains(service, now_s)
        for slots in gone:
            self._subjects_of.pop(slots.server.id, None)
        return Dropped(servers=gone, subjects=subjects)

    def reset(self) -> None:
        """Drop all state but the list of servers and their speeds."""
        former = list(self._servers.values())
        self._subjects.clear()
        self._subjects_of.clear()
        for slots in former:
            new = self._slots(slots.server)
            # A pause of this host doesn't change how fast a server is.
            new.speed = slots.speed
            self._servers[slots.server.id] = new
        for service in {slots.server.service for slots in former}:
            self._update_domains(service, 0.0)

    def _slots(self, server: BackendServer) -> ServerSlots:
        spread = self._spreads.setdefault(server.service, ServiceTimeSpread())
        return ServerSlots(server=server, spread=spread)

    def _update_domains(self, service: str, now_s: float) -> list[Subject]:
        domains: dict[str, list[ServerSlots]] = {}
        for slots in self._servers.values():
            if slots.server.service == service:
                name = f"{service}/{slots.server.domain}"
                domains.setdefault(name, []).append(slots)
        dropped: list[Subject] = []
        for name in [key for key in self._domains if key.startswith(f"{service}/")]:
            if name not in domains:
                del self._domains[name]
                dropped += self._drop(name)
        self._domains.update(domains)
        for name, servers in domains.items():
            if name in self._subjects:
                self._set_servers_of(self._subjects[name], servers, now_s)
        return dropped

    def _set_servers_of(
        self, subject: Subject, servers: list[ServerSlots], now_s: float
    ) -> None:
        for slots in subject.servers:
            self._subjects_of[slots.server.id].remove(subject)
        for slots in servers:
            self._subjects_of.setdefault(slots.server.id, []).append(subject)
            slots.note_first_request(now_s)
        subject.set_servers(servers)

    def _drop(self, name: str) -> list[Subject]:
        subject = self._subjects.pop(name, None)
        if subject is None:
            return []
        for slots in subject.servers:
            self._subjects_of[slots.server.id].remove(subject)
        return [subject]
