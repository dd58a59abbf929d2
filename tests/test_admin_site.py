"""The admin port's site on raw bytes: size limit of bodies, hosts as IP addresses."""

import pytest
from twisted.internet.testing import StringTransport

from gentianwharf.admin import encode_json
from tests.builders_admin import TOKEN, FakeDaemon, admin_app, rule_version

PUT_RULES = "PUT /rules?edited_from_revision=10"
HEADERS = (
    f"Authorization: Bearer {TOKEN}\r\nGentianwharf-Operator: amira\r\n"
    "Content-Type: application/json\r\n"
)


def raw_response(
    daemon: FakeDaemon,
    head: str,
    chunks: list[bytes],
    *,
    line: str = PUT_RULES,
    host: str = "127.0.0.1:8081",
) -> bytes:
    protocol = admin_app(daemon).site().buildProtocol(None)
    transport = StringTransport()
    protocol.makeConnection(transport)
    start = f"{line} HTTP/1.1\r\nHost: {host}\r\n"
    protocol.dataReceived(f"{start}{HEADERS}{head}\r\n".encode())
    for chunk in chunks:
        protocol.dataReceived(chunk)
    return transport.value()


def chunked(parts: list[bytes]) -> list[bytes]:
    return [b"%x\r\n%s\r\n" % (len(part), part) for part in parts] + [b"0\r\n\r\n"]


BODY = encode_json(rule_version().document)
CHUNK = b" " * 65_536


@pytest.mark.parametrize(
    ("head", "chunks"),
    [
        pytest.param(f"Content-Length: {len(BODY)}\r\n", [BODY], id="length"),
        pytest.param(
            "Transfer-Encoding: chunked\r\n", chunked([BODY[:9], BODY[9:]]), id="chunks"
        ),
    ],
)
def test_document_is_accepted(head: str, chunks: list[bytes]) -> None:
    daemon = FakeDaemon()
    assert raw_response(daemon, head, chunks).startswith(b"HTTP/1.1 200")
    assert len(daemon.calls) == 1


@pytest.mark.parametrize(
    ("head", "chunks"),
    [
        pytest.param(f"Content-Length: {64 * 65_536}\r\n", [CHUNK] * 64, id="length"),
        pytest.param(
            "Transfer-Encoding: chunked\r\n", chunked([CHUNK] * 64), id="chunks"
        ),
    ],
)
def test_body_that_is_too_large_is_refused(head: str, chunks: list[bytes]) -> None:
    """Guards against an endless upload that uses up the daemon's memory.

    Twisted would store all of it in memory, or in a file on a host without disks.
    """
    daemon = FakeDaemon()
    response = raw_response(daemon, head, chunks)
    assert response.startswith(b"HTTP/1.1 413")
    assert daemon.calls == []


@pytest.mark.parametrize(
    ("host", "status"),
    [
        pytest.param("127.0.0.1:8081", 200, id="address"),
        pytest.param("[::1]:8081", 200, id="address-6"),
        pytest.param("page.example:8081", 401, id="name"),
    ],
)
def test_dns_rebinding_page_is_refused(host: str, status: int) -> None:
    """A web page makes its own host name resolve to 127.0.0.1 after it has loaded.

    The browser then treats the admin port as the page's own origin, so the page could
    read the state and send commands, JSON included, with the operator's rights.
    """
    response = raw_response(FakeDaemon(), "", [], line="GET /state", host=host)
    assert response.startswith(f"HTTP/1.1 {status}".encode())
