"""The port for callers, and when connections on it are accepted.

Load pattern: one or all hosts are restarted while callers keep connecting. A host that
accepts connections before it has its rules refuses the requests, and most callers retry
only once. Connections therefore wait in the kernel's queue until the rules arrive,
which takes some tenths of a second, but no longer than callers would accept.
"""

from collections.abc import Callable
from socket import AF_INET, socket
from typing import Any, final

from gentianwharf.early_port import BACKLOG

RULES_WAIT_S = 0.5
"""Maximum wait for the rules after the start. The store may be unavailable for long;
after this time requests are refused with a time to retry."""

POLL_INTERVAL_S = 0.01


@final
class CallersPort:
    """Accepts callers once the host can serve them.

    ``listener`` is a socket that already listens on the address. Without one, the
    address is opened and accepted from the start on.
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
        self._accept_by_s = 0.0
        self._timer: Any = None

    def start(self) -> None:
        """Accept callers once the host can serve, at the latest after the wait."""
        self._accept_by_s = self._reactor.seconds() + RULES_WAIT_S
        if self._listener is None:
            ip, _, port = self._address.rpartition(":")
            self._port = self._reactor.listenTCP(
                int(port), self._site, backlog=BACKLOG, interface=ip
            )
        else:
            self._poll()

    def stop(self) -> None:
        """Accept no more callers."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        if self._port is not None:
            self._port.stopListening()

    def _poll(self) -> None:
        if self._can_serve() or self._reactor.seconds() >= self._accept_by_s:
            self._accept_callers()
        else:
            self._timer = self._reactor.callLater(POLL_INTERVAL_S, self._poll)

    def _accept_callers(self) -> None:
        assert self._listener is not None, "callers wait on a listener only"
        listener, self._listener = self._listener, None
        self._port = self._reactor.adoptStreamPort(
            listener.fileno(), AF_INET, self._site
        )
        # The reactor has duplicated the descriptor.
        listener.close()
