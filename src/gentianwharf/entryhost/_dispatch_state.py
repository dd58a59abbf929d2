"""The services of this host that are dispatched at the moment."""

from collections.abc import Callable
from typing import Any, final

from gentianwharf.admission import GateAdmission, SlotAdmission, SlotObserver
from gentianwharf.dispatch import SlotSource
from gentianwharf.load import Gate
from gentianwharf.logs import log
from gentianwharf.platform import Configuration

from ._dispatched_services import dispatched_services

SetServices = Callable[[frozenset[str]], None]


@final
class DispatchState:
    """Connects admission with a source of slots, and keeps both up to date.

    Without ``set_source`` no service is dispatched.
    """

    def __init__(
        self,
        *,
        gate: Gate,
        admission: GateAdmission,
        observer: SlotObserver,
        domain: str,
        reactor: Any,
    ) -> None:
        self._gate = gate
        self._admission = admission
        self._observer = observer
        self._domain = domain
        self._reactor = reactor
        self._slots: SlotAdmission | None = None
        self._set_services: SetServices = lambda services: None
        self._wanted: frozenset[str] = frozenset()
        self._dispatched: frozenset[str] = frozenset()

    @property
    def held_slots(self) -> int:
        """The number of slots that requests of this host hold."""
        return self._slots.held if self._slots is not None else 0

    def set_source(
        self,
        source: SlotSource,
        *,
        set_services: SetServices,
        dispatcher_of: Callable[[str], str],
    ) -> None:
        """Acquire slots of dispatched services from ``source``.

        ``set_services`` is called with the services that the configuration makes
        dispatched ones whenever they change. ``dispatcher_of`` returns the name of a
        subject's dispatcher for the log, an empty string if it is not known.
        """
        self._slots = SlotAdmission(
            gate=self._gate,
            source=source,
            observer=self._observer,
            domain=self._domain,
            reactor=self._reactor,
            dispatcher_of=dispatcher_of,
        )
        self._admission.set_slots(self._slots)
        self._set_services = set_services

    def update(self, configuration: Configuration | None, *, host_count: int) -> None:
        """Apply a change of the configuration, the hosts or the source."""
        if self._slots is None or configuration is None:
            return
        wanted = dispatched_services(configuration, host_count=host_count)
        if wanted != self._wanted:
            # The source first: the gate asks for slots of these services from now on.
            self._wanted = wanted
            self._set_services(wanted)
        services = frozenset(filter(self._slots.source.is_dispatched, wanted))
        if services == self._dispatched:
            return
        self._dispatched = services
        self._gate.set_dispatched(services)
        log.info("dispatched services: {}", ", ".join(sorted(services)) or "none")
