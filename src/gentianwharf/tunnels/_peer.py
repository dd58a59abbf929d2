"""Another host through which this host may reach the servers."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, final

import msgspec
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure

from gentianwharf.pauses import PauseDetector, UnpausedTimeout

from ._messages import (
    FramedProtocol,
    HostState,
    SharedNotice,
    Subscribe,
    decode_reply,
)

STATE_TIMEOUT_S = 0.8
"""A host from which no state arrives for this long is frozen, or can't be reached."""

SILENCE_CHECK_INTERVAL_S = 0.1

CONNECT_TIMEOUT_S = 0.3


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class TunnelHost:
    """A listed host; ``address`` is where it accepts tunnels."""

    name: str
    address: str
    domain: str


@final
class Peer:
    """The subscription to one host's state.

    ``on_state`` is called when the host starts or stops accepting tunnels, ``on_end``
    when it accepts none, or can't be reached any more, ``on_notice`` with what a server
    stated to it.
    """

    def __init__(
        self,
        *,
        host: TunnelHost,
        on_state: Callable[["Peer"], None],
        on_end: Callable[["Peer"], None],
        on_notice: Callable[[SharedNotice], None],
        reactor: Any,
    ) -> None:
        self.host = host
        self.accepts = False
        self.is_silent = False
        """Whether it ended because the host was not heard in time."""
        self._on_state = on_state
        self._on_end = on_end
        self.on_notice = on_notice
        self._reactor = reactor
        self._pauses = PauseDetector()
        self._heard_s = 0.0
        self._timer: Any = None
        self._protocol: _Subscription | None = None
        self._connecting: Any = None
        self._connect_timeout: UnpausedTimeout | None = None
        self._ended = False

    def start(self, request: Subscribe) -> None:
        """Connect, and subscribe to the host's state."""
        ip, _, port = self.host.address.rpartition(":")
        endpoint = TCP4ClientEndpoint(self._reactor, ip, int(port))
        factory = Factory.forProtocol(lambda: _Subscription(peer=self))
        factory.noisy = False
        self._connecting = endpoint.connect(factory)
        self._connect_timeout = UnpausedTimeout(
            clock=self._reactor, delay_s=CONNECT_TIMEOUT_S, expire=self.end
        )
        self._connecting.addCallbacks(
            self._subscribe, lambda _: self.end(), callbackArgs=(request,)
        )
        self._heard_s = self._reactor.seconds()
        self._check_silence()

    def _subscribe(self, protocol: "_Subscription", request: Subscribe) -> None:
        self._connecting = None
        self._stop_connect_timeout()
        self._protocol = protocol
        protocol.send(request)

    def _stop_connect_timeout(self) -> None:
        if self._connect_timeout is not None:
            self._connect_timeout.stop()

    def _check_silence(self) -> None:
        """End a subscription without a state; pauses of this host are no silence."""
        now_s = self._reactor.seconds()
        self._heard_s += self._pauses.record_tick(now_s)
        if now_s - self._heard_s >= STATE_TIMEOUT_S:
            self.is_silent = True
            self.end()
            return
        self._timer = self._reactor.callLater(
            SILENCE_CHECK_INTERVAL_S, self._check_silence
        )

    def note_state(self, *, accepts: bool) -> None:
        """Record the host's state."""
        if self._ended:
            return
        self._heard_s = self._reactor.seconds()
        if accepts != self.accepts:
            self.accepts = accepts
            self._on_state(self)
        elif not accepts:
            self.end()

    def share(self, notice: SharedNotice) -> None:
        """Send the host what a server stated through a tunnel that it carries."""
        if self._protocol is not None and not self._ended:
            self._protocol.send(notice)

    def end(self) -> None:
        """End the subscription."""
        if self._ended:
            return
        self._ended = True
        self.accepts = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._stop_connect_timeout()
        if self._connecting is not None:
            self._connecting.cancel()
        if self._protocol is not None:
            self._protocol.abort()
        self._on_end(self)


@final
class _Subscription(FramedProtocol):
    def __init__(self, *, peer: Peer) -> None:
        self._peer = peer

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Handle the host's state."""
        try:
            reply = decode_reply(string)
        except msgspec.DecodeError:
            self.abort()
            return
        if isinstance(reply, HostState):
            self._peer.note_state(accepts=reply.accepts)
        elif isinstance(reply, SharedNotice):
            self._peer.on_notice(reply)

    def connectionLost(  # noqa: N802
        self, reason: Failure = connectionDone
    ) -> None:
        """End the subscription."""
        self._peer.end()
