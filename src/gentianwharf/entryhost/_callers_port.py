"""The port to which callers connect, and from when on they are let in.

Load pattern: hosts are started again, one or all of them, while callers go on coming.
Whoever is let in before the host knows any rules is refused, and most come back only
once. They wait in the kernel's queue for as long as it takes to learn the rules, which
is some tenths of a second, and no longer than a caller would bear.
"""

from collections.abc import Callable
from socket import AF_INET, socket
from typing import Any, final

from gentianwharf.early_port import BACKLOG

RULES_WAIT_S = 0.5
"""From the start on. A store that is away may stay away for long; callers are then told
when to come back."""

POLL_INTERVAL_S = 0.01


@final
class CallersPort:
    """Lets callers in once the host can serve them.

    ``listener`` is what listens on the address already. Without it the address is
    listened to from the start on, since nobody could wait there.
    """

    def __init__(
        self,
        *,
        address: str,
        listener: socket | None,
        site: Any,
        can_serve: Callable[[], bool],
        reactor: Any,
    ) -> None:
        self._address = address
        self._listener = listener
        self._site = site
        self._can_serve = can_serve
        self._reactor = reactor
        self._port: Any = None
        self._until_s = 0.0
        self._timer: Any = None

    def start(self) -> None:
        """Let callers in as soon as the host can serve, or has waited long enough."""
        self._until_s = self._reactor.seconds() + RULES_WAIT_S
        if self._listener is None:
            ip, _, port = self._address.rpartition(":")
            self._port = self._reactor.listenTCP(
                int(port), self._site, backlog=BACKLOG, interface=ip
            )
        else:
            self._poll()

    def stop(self) -> None:
        """Let nobody in any more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        if self._port is not None:
            self._port.stopListening()

    def _poll(self) -> None:
        if self._can_serve() or self._reactor.seconds() >= self._until_s:
            self._accept_callers()
        else:
            self._timer = self._reactor.callLater(POLL_INTERVAL_S, self._poll)

    def _accept_callers(self) -> None:
        assert self._listener is not None, "nobody waits without a listener"
        listener, self._listener = self._listener, None
        self._port = self._reactor.adoptStreamPort(
            listener.fileno(), AF_INET, self._site
        )
        # The reactor has a descriptor of its own.
        listener.close()
