"""The admin port's site on raw bytes: bodies are bounded."""

import pytest
from twisted.internet.testing import StringTransport

from gentianwharf.admin import encode_json
from tests.builders_admin import TOKEN, FakeDaemon, admin_app, rule_version

HEAD = (
    "PUT /rules?edited_from_revision=10 HTTP/1.1\r\nHost: a\r\n"
    f"Authorization: Bearer {TOKEN}\r\nGentianwharf-Operator: amira\r\n"
    "Content-Type: application/json\r\n"
)


def answer(daemon: FakeDaemon, head: str, chunks: list[bytes]) -> bytes:
    protocol = admin_app(daemon).site().buildProtocol(None)
    transport = StringTransport()
    protocol.makeConnection(transport)
    protocol.dataReceived(f"{HEAD}{head}\r\n".encode())
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
