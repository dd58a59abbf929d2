"""Selects the headers that are forwarded between caller and backend server."""

from collections.abc import Callable, Iterable, Iterator, Mapping
from functools import lru_cache
from typing import final

from twisted.web.http_headers import Headers, InvalidHeaderName

from gentianwharf.matching import RequestFacts

# RFC 9110, section 7.6.1: these apply to a single connection.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# Callers' headers with this prefix are dropped: a caller must not be able to pose as
# the router to a backend server.
ROUTER_PREFIX = b"gentianwharf-"
KEY_HEADER = b"gentianwharf-key"

# Names are in the case to which Twisted normalizes them.
CONTENT_LENGTH = b"Content-Length"
REQUEST_ID = b"Gentianwharf-Request-Id"
SERVICE = b"Gentianwharf-Service"
SHARD = b"Gentianwharf-Shard"
TOKEN = b"Gentianwharf-Token"
KEY = b"Gentianwharf-Key"
DEADLINE = b"Gentianwharf-Deadline-Unix-Ms"
RUN = b"Gentianwharf-Run"


NameFilter = Callable[[bytes], bool]
"""Returns whether a header with this lower-case name may be forwarded."""

# Most requests use the same few names. The limit bounds memory if a caller sends
# invented ones.
MAX_CACHED_NAMES = 1024


@lru_cache(maxsize=MAX_CACHED_NAMES)
def _is_end_to_end(name: bytes, is_forwarded: NameFilter) -> bool:
    lower = name.lower()
    return lower not in HOP_BY_HOP and is_forwarded(lower)


def _end_to_end(
    headers: Headers, is_forwarded: NameFilter
) -> Iterable[tuple[bytes, list[bytes]]]:
    dropped = connection_options(headers)
    for name, values in headers._rawHeaders.items():
        if _is_end_to_end(name, is_forwarded) and not (
            dropped and name.lower() in dropped
        ):
            yield name, values


def set_fields(headers: Headers, fields: dict[bytes, list[bytes]]) -> None:
    """Set headers whose names and values have been validated.

    Skips the validation in ``Headers``, which took 4 % of a request's CPU time. Use
    only for headers that a Twisted parser has accepted or that the router writes, with
    names in Twisted's case.
    """
    headers._rawHeaders.update(fields)


def forwarded_headers(headers: Headers, is_forwarded: NameFilter) -> Headers:
    """Return the end-to-end headers of a caller's request.

    >>> received = Headers({b"Connection": [b"x-mine"], b"X-Mine": [b"1"],
    ...     b"Traceparent": [b"00-1"], b"Te": [b"trailers"]})
    >>> forwarded = forwarded_headers(received, lambda name: True)
    >>> sorted(name for name, _ in forwarded.getAllRawHeaders())
    [b'Traceparent']
    """
    fields = dict(_end_to_end(headers, is_forwarded))
    # Twisted's client sets it from the length of the body.
    fields.pop(CONTENT_LENGTH, None)
    forwarded = Headers()
    set_fields(forwarded, fields)
    return forwarded


def response_headers(
    headers: Headers, is_forwarded: NameFilter
) -> dict[bytes, list[bytes]]:
    """Return the end-to-end headers of a server's response."""
    return dict(_end_to_end(headers, is_forwarded))


def connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the options of all Connection headers, in lower case."""
    values = headers.getRawHeaders(b"connection")
    if not values:
        return frozenset()
    return frozenset(
        token.strip().lower() for value in values for token in value.split(b",")
    )


def request_facts(method: bytes, uri: bytes, headers: Headers) -> RequestFacts:
    """Return the parts of a request that rules can match on, as UTF-8 text."""
    path, _, query = uri.partition(b"?")
    return RequestFacts(
        method=_text(method),
        host=_host_name(_first_value(headers, b"host")),
        path=_text(path),
        query=_text(query),
        headers=_HeaderText(headers),
    )


@final
class _HeaderText(Mapping[str, str]):
    """Headers as text by their lower-case names, decoded on access.

    >>> text = _HeaderText(Headers({b"X-Club": [b"lions", b"owls"]}))
    >>> text["x-club"], text.get("x-other"), text.get("no name"), dict(text)
    ('lions', None, None, {'x-club': 'lions'})
    """

    __slots__ = ("_raw",)

    def __init__(self, raw: Headers) -> None:
        self._raw = raw

    def __getitem__(self, name: str) -> str:
        try:
            values = self._raw.getRawHeaders(name.encode())
        except InvalidHeaderName:
            # A rule may contain an invalid header name, which no request has.
            values = None
        if values is None:
            raise KeyError(name)
        return _text(values[0])

    def __iter__(self) -> Iterator[str]:
        for name, _ in self._raw.getAllRawHeaders():
            yield _text(name).lower()

    def __len__(self) -> int:
        return len(self._raw._rawHeaders)


def _text(data: bytes) -> str:
    """Decode as UTF-8, like percent-encoded keys, so that a key has only one shard.

    >>> _text("é".encode()), _text(bytes([233]))
    ('é', '\ufffd')
    """
    return data.decode("utf-8", "replace")


def _host_name(host: str) -> str:
    """Return a Host header's name without its port.

    >>> _host_name("Gateway:8080"), _host_name("[::1]:8080"), _host_name("10.0.0.1")
    ('gateway', '[::1]', '10.0.0.1')
    """
    name, separator, _ = host.rpartition(":")
    if separator and not host.endswith("]"):
        return name.lower()
    return host.lower()


def _first_value(headers: Headers, name: bytes) -> str:
    values = headers.getRawHeaders(name)
    return _text(values[0]) if values else ""
