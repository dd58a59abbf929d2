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
from ._ports import Owner, ServerLoad, Ticket

# The status by which a server that is not the owner refuses a request without running
# it, if it also says so in a header; any other such refusal is shedding or leaving.
STATUS_NOT_OWNER = 421


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ServerRefusal:
    """A server's word that it did not run a request.

    ``retry_after_s`` is for how long it wants no work, None where it named no time.
    """

    not_owner: bool
    retry_after_s: float | None = None


class HeaderCodec(Protocol):
    """The spelling of what the router and its neighbours tell each other."""

    request_id_header: bytes
    """The header that names a request towards callers, in Twisted's case."""

    def request_id(self, headers: Headers) -> str | None:
        """Return the id that the caller gave its request, None to make one up."""

    def caller_timeout_s(self, headers: Headers) -> float | None:
        """Return for how long the caller waits, None when it does not say."""

    def is_forwarded(self, name: bytes) -> bool:
        """Say whether an end-to-end header of this lower-case name is passed on."""

    def request_fields(
        self,
        ticket: Ticket,
        server: BackendServer,
        owner: Owner | None,
        remaining: RemainingTime,
    ) -> dict[bytes, list[bytes]]:
        """Return the headers that the router sets for a server, in Twisted's case."""

    def echoed_request_id(self, headers: Headers) -> bytes | None:
        """Return which request a server's answer says it belongs to."""

    def refusal(self, response: Response) -> ServerRefusal | None:
        """Return a server's refusal, None for an answer of a request that ran."""

    def load(self, headers: Headers) -> ServerLoad | None:
        """Return what an answer tells of its server's load."""

    def retry_after(self, delay_s: float) -> bytes:
        """Return when to come back, as callers read it."""


@final
class DefaultHeaderCodec:
    """The headers of the router's own interface; see docs/design/relay.md."""

    request_id_header = names.REQUEST_ID

    def request_id(self, headers: Headers) -> str | None:
        """Let the router make an id up: a caller could repeat another's."""
        return None

    def caller_timeout_s(self, headers: Headers) -> float | None:
        """Leave deadlines to the rules."""
        return None

    def is_forwarded(self, name: bytes) -> bool:
        """Keep callers from posing as the router towards a server."""
        return not name.startswith(names.OWN_PREFIX)

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
            # A caller's own words: through the setter, which takes line breaks out.
            key = Headers({names.KEY: [ticket.key.encode()]})
            fields[names.KEY] = list(key.getRawHeaders(names.KEY) or ())
        return fields

    def echoed_request_id(self, headers: Headers) -> bytes | None:
        """Return the echoed id; two different ones are no request's."""
        echoed = headers.getRawHeaders(names.REQUEST_ID)
        return b", ".join(echoed) if echoed else None

    def refusal(self, response: Response) -> ServerRefusal | None:
        """Return the refusal of a server that says that it did not run."""
        if response.headers.getRawHeaders(names.RUN) != [b"not-run"]:
            return None
        not_owner = response.code == STATUS_NOT_OWNER
        named_s = None if not_owner else _whole_seconds(response.headers)
        return ServerRefusal(not_owner=not_owner, retry_after_s=named_s)

    def load(self, headers: Headers) -> ServerLoad | None:
        """Return nothing: servers report their load elsewhere."""
        return None

    def retry_after(self, delay_s: float) -> bytes:
        """Round up to whole seconds, as RFC 9110 has them."""
        return b"%d" % max(1, -int(-delay_s // 1))


def _whole_seconds(headers: Headers) -> float | None:
    values = headers.getRawHeaders(b"retry-after")
    if values and values[0].isdigit():
        return float(values[0])
    return None
