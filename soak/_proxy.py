"""A loopback proxy whose connections are delayed, reset, cut or silenced."""

from enum import StrEnum
from typing import Any, cast, final

from twisted.internet.interfaces import ITCPTransport
from twisted.internet.protocol import ClientFactory, Factory, Protocol


class Trouble(StrEnum):
    """What a proxy does to its connections while it lasts."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    REFUSE = "refuse"
    SILENCE = "silence"
    SILENT_ANSWERS = "silent-answers"


DELAY_S = 0.15


@final
class _Side(Protocol):
    """One end of a proxied connection; what it reads goes to the other."""

    def __init__(self, proxy: "Proxy", *, is_answers: bool) -> None:
        self.other: _Side | None = None
        self._proxy = proxy
        self._is_answers = is_answers
        self._early: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        """Let the proxy know of this end, so that it can break it."""
        self._proxy.sides.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass data on, late or not at all."""
        trouble = self._proxy.trouble
        if trouble is Trouble.SILENCE:
            return
        if trouble is Trouble.SILENT_ANSWERS and self._is_answers:
            return
        delay_s = DELAY_S if trouble is Trouble.DELAY else 0.0
        # Always by a timer: data sent after a delay must not pass what was delayed.
        self._proxy.reactor.callLater(delay_s, self._pass_on, data)

    def _pass_on(self, data: bytes) -> None:
        if self.other is None:
            self._early.append(data)
        elif self.other.transport is not None:
            self.other.transport.write(data)

    def join(self, other: "_Side") -> None:
        """Learn the other end."""
        self.other = other
        for data in self._early:
            self._pass_on(data)
        self._early.clear()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Break the other end as well."""
        self._proxy.sides.discard(self)
        if self.other is not None and self.other.transport is not None:
            self.other.transport.loseConnection()

    def reset(self) -> None:
        """Break this end at once."""
        if self.transport is not None:
            cast(ITCPTransport, self.transport).abortConnection()


@final
class _Outgoing(ClientFactory):
    noisy = False

    def __init__(self, proxy: "Proxy", incoming: _Side) -> None:
        self._proxy = proxy
        self._incoming = incoming

    def buildProtocol(self, addr: Any) -> _Side:  # noqa: N802
        side = _Side(self._proxy, is_answers=True)
        side.join(self._incoming)
        self._incoming.join(side)
        return side

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        self._incoming.reset()


@final
class Proxy(Factory):
    """Passes connections to ``target``, an ``ip:port``, under its present trouble."""

    noisy = False

    def __init__(self, *, reactor: Any, listens_on: str, target: str) -> None:
        self.reactor = reactor
        self.trouble = Trouble.NONE
        self.target = target
        self.sides: set[_Side] = set()
        ip, _, port = listens_on.rpartition(":")
        self._port = reactor.listenTCP(int(port), self, interface=ip)

    def buildProtocol(self, addr: Any) -> Protocol | None:  # noqa: N802
        """Take a connection, and open the one behind it."""
        if self.trouble is Trouble.REFUSE:
            return None
        incoming = _Side(self, is_answers=False)
        ip, _, port = self.target.rpartition(":")
        self.reactor.connectTCP(ip, int(port), _Outgoing(self, incoming), timeout=2)
        return incoming

    def begin(self, trouble: Trouble) -> None:
        """Begin a trouble; connections that are open are in it too."""
        self.trouble = trouble
        if trouble in (Trouble.RESET, Trouble.REFUSE):
            self._reset_all()
            self.trouble = Trouble.REFUSE if trouble is Trouble.REFUSE else Trouble.NONE

    def end(self) -> None:
        """End the trouble; what was silenced is broken, or it would stay so."""
        was, self.trouble = self.trouble, Trouble.NONE
        if was in (Trouble.SILENCE, Trouble.SILENT_ANSWERS):
            self._reset_all()

    def stop(self) -> None:
        """Listen no more, and break what is open."""
        self._port.stopListening()
        self._reset_all()

    def _reset_all(self) -> None:
        for side in list(self.sides):
            side.reset()
