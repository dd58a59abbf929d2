"""The request and response headers of the platform's clients, servers and hosts."""

from math import inf
from typing import final

from twisted.web._newclient import Response
from twisted.web.http_headers import Headers

from gentianwharf.relay import (
    NO_NOTICE,
    Owner,
    RemainingTime,
    ServerLoad,
    ServerNotice,
    ServerRefusal,
    Ticket,
)
from gentianwharf.topology import BackendServer

# Capitalized as Twisted sends them.
ATTEMPT_ID = b"Attempt-Id"
DEADLINE_MS = b"Deadline-Ms"
EXPECTED_INSTANCE = b"Expected-Instance"
NOT_EXECUTED = b"Not-Executed"
RETRY_AFTER = b"Retry-After"
SERVER_LOAD = b"Server-Load"
SERVER_LIMIT = b"Server-Limit"
SERVER_LEAVING = b"Server-Leaving"
INSTANCE_ID = b"Instance-Id"
COLD_REMAINING_MS = b"Cold-Remaining-Ms"

STATUS_NOT_OWNER = 421
STATUS_UNAVAILABLE = 503


@final
class PlatformHeaderCodec:
    """Encodes and decodes the relay's metadata in the platform's headers."""

    request_id_header = ATTEMPT_ID
    always_echoes_id = True
    has_idempotency_keys = False

    def request_id(self, headers: Headers) -> str | None:
        """Return the client's id of this attempt; it differs for each attempt."""
        values = headers.getRawHeaders(ATTEMPT_ID)
        return values[0].decode("latin-1") if values else None

    def caller_timeout_s(self, headers: Headers) -> float | None:
        """Return for how many seconds from now the client will wait."""
        values = headers.getRawHeaders(DEADLINE_MS)
        if not values or not values[0].isdigit():
            return None
        return int(values[0]) / 1000

    def is_forwarded(self, name: bytes) -> bool:
        """Return True: every end-to-end header is forwarded."""
        return True

    def request_fields(
        self,
        ticket: Ticket,
        server: BackendServer,
        owner: Owner | None,
        remaining: RemainingTime,
    ) -> dict[bytes, list[bytes]]:
        """Return the headers with the attempt's id, remaining time and expected server.

        The address may have been reassigned to another server, which then refuses the
        request because the expected instance is not its own id.
        """
        return {
            ATTEMPT_ID: [ticket.request_id.encode("latin-1")],
            DEADLINE_MS: [b"%d" % max(1, int(remaining.duration_s * 1000))],
            EXPECTED_INSTANCE: [server.id.encode()],
        }

    def echoed_request_id(self, headers: Headers) -> bytes | None:
        """Return the id of the attempt that a server's response belongs to."""
        values = headers.getRawHeaders(ATTEMPT_ID)
        return b", ".join(values) if values else None

    def refusal(self, response: Response) -> ServerRefusal | None:
        """Return the refusal if the server did not run the request, else None."""
        headers = response.headers
        if response.code != STATUS_NOT_OWNER and not headers.hasHeader(NOT_EXECUTED):
            return None
        return ServerRefusal(
            not_owner=response.code == STATUS_NOT_OWNER,
            retry_after_s=_positive(headers, RETRY_AFTER),
            answered_by=self.instance_id(headers),
        )

    def load(self, headers: Headers) -> ServerLoad | None:
        """Return the numbers of running requests, queued requests and slots.

        Servers that share their machines add a fourth figure: how long work takes at
        the moment, in percent of the usual time.
        """
        values = headers.getRawHeaders(SERVER_LOAD)
        parts = values[0].split(b",") if values else ()
        if len(parts) not in (3, 4) or not all(
            part.strip().isdigit() for part in parts
        ):
            return None
        running, waiting, slots = (int(part) for part in parts[:3])
        slowdown = int(parts[3]) / 100 if len(parts) == 4 else None
        return ServerLoad(
            running=running, waiting=waiting, slots=slots, slowdown=slowdown or None
        )

    def notice(self, response: Response) -> ServerNotice:
        """Return the server's limit, whether it leaves and the rest it asks for."""
        headers = response.headers
        max_requests_per_s = _positive(headers, SERVER_LIMIT)
        is_leaving = headers.getRawHeaders(SERVER_LEAVING) == [b"1"]
        rest_s = None
        if response.code == STATUS_UNAVAILABLE:
            rest_s = _positive(headers, RETRY_AFTER)
        if max_requests_per_s is None and not is_leaving and rest_s is None:
            return NO_NOTICE
        return ServerNotice(
            max_requests_per_s=max_requests_per_s,
            is_leaving=is_leaving,
            rest_s=rest_s,
        )

    def instance_id(self, headers: Headers) -> str | None:
        """Return the id of the server that responded, None if it is not stated."""
        values = headers.getRawHeaders(INSTANCE_ID)
        return values[0].decode("latin-1") if values else None

    def cold_remaining_s(self, headers: Headers) -> float:
        """Return for how much longer the server is cold, 0 if it is warm."""
        values = headers.getRawHeaders(COLD_REMAINING_MS)
        if not values or not values[0].isdigit():
            return 0.0
        return int(values[0]) / 1000

    def retry_after(self, delay_s: float) -> bytes:
        """Return fractional seconds, which the platform's clients can parse."""
        return b"%.3f" % max(0.0, delay_s)


def _positive(headers: Headers, name: bytes) -> float | None:
    """Return a header's number, None if it has none or one that is not above zero."""
    values = headers.getRawHeaders(name)
    try:
        number = float(values[0]) if values else 0.0
    except ValueError:
        return None
    return number if 0.0 < number < inf else None
