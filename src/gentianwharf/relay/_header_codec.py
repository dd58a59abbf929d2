"""The header fields that carry the relay's data, and the router's own set of them.

The relay decides by the content of a message; a ``HeaderCodec`` reads and writes the
headers that carry it. A platform with conventions of its own supplies another codec.
"""

from dataclasses import dataclass
from typing import Protocol, final

from twisted.web._newclient import Response
from twisted.web.http_headers import Headers

from gentianwharf.topology import BackendServer

from . import _headers as names
from ._deadline import RemainingTime
from ._ports import NO_NOTICE, Owner, ServerLoad, ServerNotice, Ticket

# Together with the header for "not run", this status means that the server is not the
# owner. With any other status, the server is shedding load or shutting down.
STATUS_NOT_OWNER = 421


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ServerRefusal:
    """A response by which a server states that it did not run the request.

    ``retry_after_s`` is the delay that it asks for, None if it names no delay.
    ``answered_by`` is the id of the server that refused, None if it is not stated.
    """

    not_owner: bool
    retry_after_s: float | None = None
    answered_by: str | None = None


class HeaderCodec(Protocol):
    """Reads and writes the headers for the relay's own data."""

    request_id_header: bytes
    """The header with a request's id in responses to callers, in Twisted's case."""

    always_echoes_id: bool
    """Whether a response without an id answers no request."""

    has_idempotency_keys: bool
    """Whether ``Idempotency-Key`` has a meaning; otherwise it is only forwarded."""

    def request_id(self, headers: Headers) -> str | None:
        """Return the id that the caller gave its request, None to generate one."""

    def caller_timeout_s(self, headers: Headers) -> float | None:
        """Return how long the caller waits, None if the request does not state it."""

    def is_forwarded(self, name: bytes) -> bool:
        """Return whether an end-to-end header of this lower-case name is forwarded."""

    def request_fields(
        self,
        ticket: Ticket,
        server: BackendServer,
        owner: Owner | None,
        remaining: RemainingTime,
    ) -> dict[bytes, list[bytes]]:
        """Return the headers that the router adds to a request, in Twisted's case."""

    def echoed_request_id(self, headers: Headers) -> bytes | None:
        """Return the request id in a server's response, None if it has none."""

    def refusal(self, response: Response) -> ServerRefusal | None:
        """Return a server's refusal, None if the request ran."""

    def load(self, headers: Headers) -> ServerLoad | None:
        """Return the server's load as reported in a response, None if it is not."""

    def notice(self, response: Response) -> ServerNotice:
        """Return what the server states about the requests that it accepts."""

    def retry_after(self, delay_s: float) -> bytes:
        """Return the value of ``Retry-After`` for callers."""


@final
class DefaultHeaderCodec:
    """The headers of the router's own interface; see docs/design/relay.md."""

    request_id_header = names.REQUEST_ID
    # An HTTP library may refuse a request before the server's own code sees it.
    always_echoes_id = False
    has_idempotency_keys = True

    def request_id(self, headers: Headers) -> str | None:
        """Have the router generate the id, since a caller could reuse another's."""
        return None

    def caller_timeout_s(self, headers: Headers) -> float | None:
        """Return None: deadlines are set by the rules."""
        return None

    def is_forwarded(self, name: bytes) -> bool:
        """Drop headers with which a caller could pose as the router to a server."""
        return not name.startswith(names.ROUTER_PREFIX)

    def request_fields(
        self,
        ticket: Ticket,
        server: BackendServer,
        owner: Owner | None,
        remaining: RemainingTime,
    ) -> dict[bytes, list[bytes]]:
        """Return id, service, deadline and, for a keyed service, shard and token."""
        fields = {
            names.REQUEST_ID: [ticket.request_id.encode("latin-1")],
            names.SERVICE: [server.service.encode()],
            names.DEADLINE: [b"%d" % remaining.deadline_unix_ms],
        }
        if owner is not None:
            fields[names.SHARD] = [b"%d" % owner.shard]
            fields[names.TOKEN] = [b"%d" % owner.token]
        if ticket.key is not None:
            # The key comes from the caller; the constructor removes line breaks.
            key = Headers({names.KEY: [ticket.key.encode()]})
            fields[names.KEY] = list(key.getRawHeaders(names.KEY) or ())
        return fields

    def echoed_request_id(self, headers: Headers) -> bytes | None:
        """Return the echoed id; several are joined, so that they match no request."""
        echoed = headers.getRawHeaders(names.REQUEST_ID)
        return b", ".join(echoed) if echoed else None

    def refusal(self, response: Response) -> ServerRefusal | None:
        """Return the refusal of a server that states that the request did not run."""
        if response.headers.getRawHeaders(names.RUN) != [b"not-run"]:
            return None
        not_owner = response.code == STATUS_NOT_OWNER
        retry_after_s = None if not_owner else _whole_seconds(response.headers)
        return ServerRefusal(not_owner=not_owner, retry_after_s=retry_after_s)

    def load(self, headers: Headers) -> ServerLoad | None:
        """Return None: servers report their load elsewhere."""
        return None

    def notice(self, response: Response) -> ServerNotice:
        """Return the rest that a server asks for which refuses a request."""
        refusal = self.refusal(response)
        if refusal is None or refusal.retry_after_s is None:
            return NO_NOTICE
        return ServerNotice(rest_s=refusal.retry_after_s)

    def retry_after(self, delay_s: float) -> bytes:
        """Round up to whole seconds, the unit of RFC 9110."""
        return b"%d" % max(1, -int(-delay_s // 1))


def _whole_seconds(headers: Headers) -> float | None:
    values = headers.getRawHeaders(b"retry-after")
    if values and values[0].isdigit():
        return float(values[0])
    return None
