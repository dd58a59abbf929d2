"""A host as a client of dispatchers, and as a dispatcher of other hosts."""

from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any, final

import msgspec

from gentianwharf.logs import log
from gentianwharf.pauses import PauseDetector
from gentianwharf.topology import BackendServer

from ._client import SlotClient
from ._counters import MessageCounters
from ._incarnations import Incarnations, Sender
from ._local import LocalDispatcher
from ._messages import Answers, Requests, decode
from ._outbox import Link, Outbox, SlotIdentity
from ._pending import MOVED
from ._selection import DispatchHost
from ._types import (
    Reply,
    SlotAnswer,
    SlotOutcome,
    SlotRefusal,
    SlotRequest,
    SlotReturn,
    SlotWaiting,
)
from ._waiting_hosts import WaitingHosts


@final
class SlotNode:
    """Connects this host's client and dispatcher with those of other hosts.

    ``receive`` is called for each message, ``tick`` every 20 to 50 ms, and the setters
    whenever the list of hosts, the servers or the configuration change. ``clock`` is
    the event loop's.
    """

    def __init__(
        self,
        *,
        identity: SlotIdentity,
        dispatcher: LocalDispatcher,
        dial: Callable[[str], Link],
        clock: Any,
        rng: Random,
    ) -> None:
        self.counters = MessageCounters()
        self.client = SlotClient(
            domain=identity.domain, channel=self, clock=clock, rng=rng
        )
        self._identity = identity
        self._dispatcher = dispatcher
        self._clock = clock
        self._outbox = Outbox(
            identity=identity,
            dial=dial,
            clock=clock,
            counters=self.counters,
            on_first=self._schedule_flush,
        )
        self._pauses = PauseDetector()
        self._incarnations = Incarnations()
        self._waiting = WaitingHosts(now_s=clock.seconds)
        self._addresses: dict[str, str] = {}
        """Addresses of listed hosts."""
        self._senders: dict[str, str] = {}
        """Addresses of hosts that sent requests, as stated by them."""
        self._local_requests: list[SlotRequest] = []
        self._local_returns: list[SlotReturn] = []
        self._local_answers: list[SlotAnswer] = []
        self._flush: Any = None
        self._is_flushing = False
        self._is_stopping = False
        self._has_dispatched = False
        """Whether requests have come since the dispatcher started or was reset."""

    # State that the owner of the node sets.

    def set_hosts(self, hosts: Sequence[DispatchHost]) -> None:
        """Set all listed hosts, also those that grant no slots.

        An empty list is ignored: the stored one could not be read.
        """
        if not hosts:
            return
        former = self._addresses
        self._addresses = {host.name: host.address for host in hosts}
        self.client.set_hosts(hosts)
        for name in former.keys() - self._addresses.keys():
            # It may run nevertheless, cut off from the leader only.
            for request_id in self._waiting.ids(name):
                self._answer(name, _moved(request_id))
            self._drop_host(name)
            self._outbox.disconnect(former[name])
        self._incarnations.retain(self._addresses.keys() | self._senders.keys())

    def set_servers(self, service: str, servers: Sequence[BackendServer]) -> None:
        """Set the usable servers of a service."""
        self.client.set_servers(service, servers)
        self._dispatcher.set_servers(service, servers)

    def set_dispatched(self, services: Iterable[str]) -> None:
        """Set the services whose slots are granted by dispatchers."""
        self.client.set_dispatched(services)

    def receive(self, data: bytes) -> None:
        """Apply a message for which ``is_slot_message`` is true."""
        self._note_time()
        try:
            message = decode(data)
        except msgspec.DecodeError as error:
            self._note_undecodable(error)
            return
        self.counters.received += 1
        if isinstance(message, Requests):
            self._on_requests(message)
        elif message.host_incarnation == self._identity.incarnation:
            self.client.note_answers(message)
        else:
            self.counters.outdated += 1

    def tick(self) -> None:
        """Run all periodic work."""
        self._note_time()
        self._reply(self._dispatcher.tick())
        for host, request_ids in self._waiting.due():
            for request_id in request_ids:
                self._answer(host, SlotWaiting(request_id=request_id))
        self.client.tick()
        self._outbox.close_idle()

    def stop(self) -> None:
        """Send waiting requests of other hosts to the next candidate, before the end.

        Messages are sent before this returns. The client continues to work.
        """
        self._is_stopping = True
        self._reply(self._dispatcher.stop())
        self._refuse_waiting()
        self._run_flush()

    def close(self) -> None:
        """Close every link."""
        if self._flush is not None:
            self._flush.cancel()
            self._flush = None
        self._outbox.close()

    # ``SlotChannel`` of the client.

    def send_request(self, host: str, request: SlotRequest) -> None:
        """Send a request to a dispatcher; the own one gets it without a link."""
        if host == self._identity.host:
            self._local_requests.append(request)
            self._schedule_flush()
        elif (address := self._addresses.get(host)) is not None:
            self._outbox.add_request(address, request)

    def send_return(self, host: str, slot: SlotReturn) -> None:
        """Send a return to a dispatcher; the own one gets it without a link."""
        if host == self._identity.host:
            self._local_returns.append(slot)
            self._schedule_flush()
        elif (address := self._addresses.get(host)) is not None:
            self._outbox.add_return(address, slot)

    def reconnect(self, host: str) -> None:
        """Open new links to and from a host with the next message."""
        if (address := self._addresses.get(host)) is not None:
            self._outbox.reconnect(address)

    # The dispatcher.

    def _on_requests(self, message: Requests) -> None:
        sender = self._incarnations.note(message.host, message.incarnation)
        if sender is Sender.OUTDATED:
            self.counters.outdated += 1
            return
        if sender is Sender.RESTARTED:
            self._drop_host(message.host)
        if sender is Sender.RESTARTED or message.reconnects:
            # A new link works at once, whereas a broken one first waits, after a long
            # partition for about as long as that lasted.
            self._outbox.disconnect(message.address)
        self._senders[message.host] = message.address
        self._dispatch(message.host, message.requests, message.returns)

    def _dispatch(
        self,
        host: str,
        requests: Iterable[SlotRequest],
        returns: Iterable[SlotReturn],
    ) -> None:
        """Pass requests and returns to the dispatcher.

        Returns come first, so that their slots are free for the requests.
        """
        for slot in returns:
            if slot.outcome is SlotOutcome.WITHDRAWN:
                self._waiting.remove(host, slot.request_id)
            self._reply(self._dispatcher.returned(host, slot))
        for request in requests:
            self._has_dispatched = True
            if self._is_stopping:
                self._answer(host, _moved(request.id))
            else:
                self._reply(self._dispatcher.request(host, request))

    def _drop_host(self, host: str) -> None:
        self._waiting.drop_host(host)
        self._senders.pop(host, None)
        self._reply(self._dispatcher.drop_host(host))

    def _reply(self, replies: Iterable[Reply]) -> None:
        for reply in replies:
            self._waiting.note(reply.host, reply.answer)
            self._answer(reply.host, reply.answer)

    def _answer(self, host: str, answer: SlotAnswer) -> None:
        self._waiting.note_sent(host)
        if host == self._identity.host:
            self._local_answers.append(answer)
            self._schedule_flush()
        elif (address := self._senders.get(host)) is not None:
            self._outbox.add_answer(address, self._incarnations.of(host), answer)

    def _refuse_waiting(self) -> None:
        for host, request_id in self._waiting.clear():
            self._answer(host, _moved(request_id))

    def _note_time(self) -> None:
        """Reset the dispatcher after a pause of this host.

        Other hosts have meanwhile asked the next candidate, which has granted slots.
        """
        paused_s = self._pauses.record_tick(self._clock.seconds())
        if not paused_s:
            return
        self.client.note_pause()
        if not self._has_dispatched:
            return
        self._has_dispatched = False
        self.counters.resets += 1
        log.info(
            "dispatcher of slots reset after a pause of this host",
            extra={"paused_s": round(paused_s, 3)},
        )
        self._dispatcher.reset()
        self._refuse_waiting()

    # Loop iterations.

    def _schedule_flush(self) -> None:
        if self._flush is None and not self._is_flushing:
            self._flush = self._clock.callLater(0, self._run_flush)

    def _run_flush(self) -> None:
        """Send what was collected in this iteration of the event loop."""
        if self._flush is not None and self._flush.active():
            self._flush.cancel()
        self._flush = None
        requests, self._local_requests = self._local_requests, []
        returns, self._local_returns = self._local_returns, []
        self._is_flushing = True
        try:
            self._dispatch(self._identity.host, requests, returns)
        finally:
            self._outbox.flush()
            self._is_flushing = False
        answers, self._local_answers = self._local_answers, []
        if answers:
            self.client.note_answers(
                Answers(
                    dispatcher=self._identity.host,
                    incarnation=self._identity.incarnation,
                    host_incarnation=self._identity.incarnation,
                    answers=answers,
                )
            )

    def _note_undecodable(self, error: msgspec.DecodeError) -> None:
        self.counters.undecodable += 1
        if self.counters.undecodable == 1:
            log.warning("cannot decode a message about slots: {}", error)


def _moved(request_id: int) -> SlotRefusal:
    return SlotRefusal(request_id=request_id, retry_after_s=0.0, reason=MOVED)
