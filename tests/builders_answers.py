"""Scripts of correct and faulty backend servers, for tests."""

import socket
import struct

from tests.builders_relay import read_head, request_id_header, response


def ok(connection: socket.socket, head: bytes) -> None:
    """Send a complete response."""
    connection.sendall(response(extra=request_id_header(head)))


def one_byte_pieces(connection: socket.socket, head: bytes) -> None:
    """Send a complete response one byte at a time."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for byte in response(b"in pieces", extra=request_id_header(head)):
        connection.sendall(bytes([byte]))


def chunked(connection: socket.socket, head: bytes) -> None:
    """Send a complete chunked response."""
    connection.sendall(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
    )


def truncated(connection: socket.socket, head: bytes) -> None:
    """Close before the end given by the length."""
    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
    connection.shutdown(socket.SHUT_RDWR)


def truncated_chunked(connection: socket.socket, head: bytes) -> None:
    """Close before the last chunk."""
    connection.sendall(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
    )
    connection.shutdown(socket.SHUT_RDWR)


def unterminated(connection: socket.socket, head: bytes) -> None:
    """Send a response with neither length nor chunks."""
    connection.sendall(b"HTTP/1.1 200 OK\r\n\r\nabc")
    connection.shutdown(socket.SHUT_RDWR)


def wrong_request_id(connection: socket.socket, head: bytes) -> None:
    """Send a response with another request's id."""
    connection.sendall(response(b"else's", extra="Gentianwharf-Request-Id: other\r\n"))


def closing(connection: socket.socket, head: bytes) -> None:
    """Close without a response."""
    connection.shutdown(socket.SHUT_RDWR)


def resetting(connection: socket.socket, head: bytes) -> None:
    """Reset the connection without a response."""
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


def hanging(connection: socket.socket, head: bytes) -> None:
    """Never respond."""
    read_head(connection)


def shedding(connection: socket.socket, head: bytes) -> None:
    """Refuse the request to shed load."""
    extra = "Gentianwharf-Run: not-run\r\nRetry-After: 3\r\n"
    connection.sendall(response(b"", status="503 Shed", extra=extra))


def not_owner(connection: socket.socket, head: bytes) -> None:
    """Refuse the request as not being the owner."""
    extra = "Gentianwharf-Run: not-run\r\n"
    connection.sendall(response(b"no", status="421 Misdirected", extra=extra))
