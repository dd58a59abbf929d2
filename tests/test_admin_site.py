"""The admin port's site on raw bytes: bounded bodies, and hosts by number."""

import pytest
from twisted.internet.testing import StringTransport

from gentianwharf.admin import encode_json
from tests.builders_admin import TOKEN, FakeDaemon, admin_app, rule_version

PUT_RULES = "PUT /rules?edited_from_revision=10"
HEADERS = (
    f"Authorization: Bearer {TOKEN}\r\nGentianwharf-Operator: amira\r\n"
    "Content-Type: application/json\r\n"
)


def answer(
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
    first = f"{line} HTTP/1.1\r\nHost: {host}\r\n"
    protocol.dataReceived(f"{first}{HEADERS}{head}\r\n".encode())
    for chunk in chunks:
        protocol.dataReceived(chunk)
    return transport.value()


def chunked(parts: list[bytes]) -> list[bytes]:
    return [b"%x\r\n%s\r\n" % (len(one), one) for one in parts] + [b"0\r\n\r\n"]


BODY = encode_json(rule_version().document)
PIECE = b" " * 65_536


@pytest.mark.parametrize(
    ("head", "chunks"),
    [
        pytest.param(f"Content-Length: {len(BODY)}\r\n", [BODY], id="length"),
        pytest.param(
            "Transfer-Encoding: chunked\r\n", chunked([BODY[:9], BODY[9:]]), id="chunks"
        ),
    ],
)
def test_document_is_taken(head: str, chunks: list[bytes]) -> None:
    daemon = FakeDaemon()
    assert answer(daemon, head, chunks).startswith(b"HTTP/1.1 200")
    assert len(daemon.calls) == 1


@pytest.mark.parametrize(
    ("head", "chunks"),
    [
        pytest.param(f"Content-Length: {64 * 65_536}\r\n", [PIECE] * 64, id="length"),
        pytest.param(
            "Transfer-Encoding: chunked\r\n", chunked([PIECE] * 64), id="chunks"
        ),
    ],
)
def test_body_that_is_too_large_is_refused(head: str, chunks: list[bytes]) -> None:
    """Somebody uploads a file without end to the admin port.

    The library would keep all of it, in memory or in a file on a host without disks,
    until the daemon that serves the callers is ended.
    """
    daemon = FakeDaemon()
    got = answer(daemon, head, chunks)
    assert got.startswith(b"HTTP/1.1 413")
    assert daemon.calls == []


@pytest.mark.parametrize(
    ("host", "status"),
    [
        pytest.param("127.0.0.1:8081", 200, id="address"),
        pytest.param("[::1]:8081", 200, id="address-6"),
        pytest.param("page.example:8081", 401, id="name"),
    ],
)
def test_page_whose_name_leads_to_the_daemon_reads_nothing(
    host: str, status: int
) -> None:
    """A page makes its own host name lead to 127.0.0.1 after it has been loaded.

    The browser then takes the admin port for the page's own site, and the page reads
    the state and sends commands, JSON among them, with the operator's rights.
    """
    got = answer(FakeDaemon(), "", [], line="GET /state", host=host)
    assert got.startswith(f"HTTP/1.1 {status}".encode())
