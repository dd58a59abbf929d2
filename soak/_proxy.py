"""A loopback proxy that delays, holds, resets, refuses or silences its connections."""

from collections import deque
from enum import StrEnum
from functools import partial
from typing import Any, cast, final

from twisted.internet.defer import Deferred, maybeDeferred, succeed
from twisted.internet.interfaces import ITCPTransport
from twisted.internet.protocol import ClientFactory, Factory, Protocol

from ._answer_faults import AnswerFaults
from ._link_buffer import LinkBuffer


class LinkFault(StrEnum):
    """The effect of a fault on the connections of a proxy while it lasts."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    REFUSE = "refuse"
    SILENCE = "silence"
    SILENT_ANSWERS = "silent-answers"


SILENT_FAULTS = (LinkFault.SILENCE, LinkFault.SILENT_ANSWERS)
DELAY_S = 0.15


@final
class _Side(Protocol):
    """One end of a proxied connection; data that it receives goes to the other end."""

    def __init__(self, proxy: "Proxy", *, answers_to: "_Side | None" = None) -> None:
        self.other = answers_to
        self._proxy = proxy
        self._carries_responses = answers_to is not None
        self._early_data: list[bytes] = []
        self._delayed: deque[bytes] = deque()
        self._last_answer = b""

    def connectionMade(self) -> None:  # noqa: N802
        """Register this end with the proxy, which resets it on some faults."""
        self._proxy.sides.add(self)
        if self.other is not None:
            self.other.join(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward data, delay it or drop it, depending on the fault."""
        fault = self._proxy.fault
        if fault is LinkFault.SILENCE:
            return
        if fault is LinkFault.SILENT_ANSWERS and self._carries_responses:
            return
        delay_s = DELAY_S if fault is LinkFault.DELAY else 0.0
        closes = False
        answer_faults = self._proxy.answer_faults
        if answer_faults is not None and self._carries_responses:
            last, self._last_answer = self._last_answer, data
            data, closes = answer_faults.disturb(last, data)
        # Timers may fire out of order; the queue keeps the data in order.
        self._delayed.append(data)
        self._proxy.reactor.callLater(delay_s, self._forward_next)
        if closes:
            self._proxy.reactor.callLater(delay_s, self._close)

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()

    def _forward_next(self) -> None:
        self._forward(self._delayed.popleft())

    def _forward(self, data: bytes) -> None:
        self._proxy.buffer.carry(partial(self._write, data))

    def _write(self, data: bytes) -> None:
        if self.other is None:
            self._early_data.append(data)
        elif self.other.transport is not None:
            self.other.transport.write(data)

    def join(self, other: "_Side") -> None:
        """Set the other end, and forward the data received so far."""
        self.other = other
        for data in self._early_data:
            self._forward(data)
        self._early_data.clear()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Close the other end as well."""
        self._proxy.sides.discard(self)
        if self._carries_responses and self._proxy.hides_ends:
            return
        if self.other is not None:
            self._proxy.buffer.carry(self.other._close)

    def reset(self) -> None:
        """Abort the connection of this end, which counts as ended from now on."""
        self._proxy.sides.discard(self)
        if self.transport is not None:
            cast(ITCPTransport, self.transport).abortConnection()


@final
class _Outgoing(ClientFactory):
    noisy = False

    def __init__(self, proxy: "Proxy", incoming: _Side) -> None:
        self._proxy = proxy
        self._incoming = incoming

    def buildProtocol(self, addr: Any) -> _Side | None:  # noqa: N802
        if self._incoming not in self._proxy.sides:
            # Whoever connected has gone, and may have meant another process.
            return None
        return _Side(self._proxy, answers_to=self._incoming)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        self._incoming.reset()


@final
class Proxy(Factory):
    """Forwards connections to ``target``, an ``ip:port``, subject to its fault."""

    noisy = False

    def __init__(
        self,
        *,
        reactor: Any,
        listens_on: str,
        target: str,
        answer_faults: AnswerFaults | None = None,
    ) -> None:
        self.reactor = reactor
        self.answer_faults = answer_faults
        self.fault = LinkFault.NONE
        self.hides_ends = False
        """Whether connections stay open without answers once the target ends them."""
        self.target = target
        self.buffer = LinkBuffer()
        self.sides: set[_Side] = set()
        self._listens_on = listens_on
        self._port: Any = None
        self._is_closing = False
        self._listens = False
        self.listen()

    def listen(self) -> None:
        """Accept connections, unless it does already; at once or once it has closed."""
        self._listens = True
        if self._port is None and not self._is_closing:
            ip, _, port = self._listens_on.rpartition(":")
            self._port = self.reactor.listenTCP(int(port), self, interface=ip)

    def stop_listening(self) -> "Deferred[None]":
        """Accept no more connections; the result fires once new ones are refused."""
        self._listens = False
        port, self._port = self._port, None
        if port is None:
            return succeed(None)
        self._is_closing = True
        return maybeDeferred(port.stopListening).addCallback(self._note_closed)

    def _note_closed(self, _: object) -> None:
        self._is_closing = False
        if self._listens:
            self.listen()

    def buildProtocol(self, addr: Any) -> Protocol | None:  # noqa: N802
        """Accept a connection, and connect to the target."""
        if self.fault is LinkFault.REFUSE:
            return None
        incoming = _Side(self)
        ip, _, port = self.target.rpartition(":")
        self.reactor.connectTCP(ip, int(port), _Outgoing(self, incoming), timeout=2)
        return incoming

    def begin(self, fault: LinkFault) -> None:
        """Replace the current fault; this also affects open connections."""
        if fault is not self.fault:
            self.end()
        self.fault = fault
        if fault in (LinkFault.RESET, LinkFault.REFUSE):
            self.reset()
            self.fault = (
                LinkFault.REFUSE if fault is LinkFault.REFUSE else LinkFault.NONE
            )

    def end(self) -> None:
        """End the fault.

        Silenced connections are reset, since the data that was dropped stays missing.
        """
        ended, self.fault = self.fault, LinkFault.NONE
        if ended in SILENT_FAULTS:
            self.reset()

    def stop(self) -> None:
        """Stop listening, and reset all open connections."""
        self.stop_listening()
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for side in list(self.sides):
            side.reset()
