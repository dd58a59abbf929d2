"""Client and dispatcher of slots on one host, and their gauges."""

from random import Random
from typing import Any, final

from gentianwharf.dispatch import Dispatcher, SlotIdentity, SlotNode
from gentianwharf.links import dial
from gentianwharf.platform import HostSettings

from ._metrics import HostMetrics
from ._peer_messages import HostIdentity


@final
class HostSlots:
    """Grants slots to other hosts, and asks for those that this host needs."""

    def __init__(
        self, *, settings: HostSettings, own: HostIdentity, reactor: Any, rng: Random
    ) -> None:
        self.dispatcher = Dispatcher(now_s=reactor.seconds, rng=rng)
        self.node = SlotNode(
            identity=SlotIdentity(
                host=own.host,
                address=own.address,
                domain=settings.domain,
                incarnation=own.incarnation,
            ),
            dispatcher=self.dispatcher,
            dial=dial,
            clock=reactor,
            rng=rng,
        )

    def add_gauges(self, metrics: HostMetrics) -> None:
        """Add gauges of the dispatcher and of the requests to other dispatchers."""
        client, messages = self.node.client.counters, self.node.counters
        dispatcher = self.dispatcher
        for name, help_text, value in (
            (
                "dispatcher_subjects",
                "Subjects for which hosts asked this host for slots",
                lambda: len(dispatcher.snapshot().subjects),
            ),
            (
                "dispatcher_slots",
                "Slots that this host has granted and not got back",
                lambda: dispatcher.snapshot().leases,
            ),
            (
                "dispatcher_waiting",
                "Requests that wait at this host for a slot",
                lambda: dispatcher.snapshot().waiting,
            ),
            (
                "dispatcher_resets",
                "Pauses of this host after which its dispatcher started anew",
                lambda: messages.resets,
            ),
            (
                "slot_requests",
                "Requests for slots sent to dispatchers since the start",
                lambda: client.requests,
            ),
            (
                "silent_dispatchers",
                "Dispatchers that left requests of this host unanswered",
                lambda: client.silent,
            ),
            (
                "dispatcher_changes",
                "Changes of the dispatcher that answers for a subject, since the start",
                lambda: client.dispatcher_changes.total(),
            ),
            (
                "late_slots",
                "Slots granted too late, which were returned unused, since the start",
                lambda: client.late_grants,
            ),
        ):
            metrics.add_gauge(name, help_text, value)
