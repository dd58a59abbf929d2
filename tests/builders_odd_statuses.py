"""Answers whose status line has no valid status."""

import socket
import time
from typing import final

from tests.builders_relay import read_to_end, request_id_header

BODY = b"not an answer"
PIECE_DELAY_S = 0.002

ODD_STATUSES = (
    "000",
    "000 OK",
    "001 OK",
    "99 OK",
    "099 OK",
    "2 OK",
    "20 OK",
    "2 00 OK",
    "-200 OK",
    "+200 OK",
    "0200 OK",
    "2_00 OK",
    "600 Odd",
    "999",
    "1000 Odd",
    "2000 OK",
    "2xx OK",
    "\t200 OK",
    "200\t",
    "200\x0b",
    "\u0662\u0660\u0660 OK",
    "+103 Early Hints",
    "0100 Continue",
    "1_00 Continue",
    "-100 Continue",
)
"""What follows the version; Twisted takes most of these for a status."""


def status_line(status: str) -> bytes:
    """Return the first line of an answer."""
    return f"HTTP/1.1 {status}\r\n".encode()


def odd_answer(status: str, fields: bytes = b"") -> bytes:
    """Return an answer that is whole but for its status."""
    length = b"Content-Length: %d\r\n\r\n" % len(BODY)
    return status_line(status) + fields + length + BODY


@final
class OddServer:
    """A script that answers each request with an odd status, and reads on.

    With ``by_bytes``, the head comes in pieces of one byte. ``first`` comes before it.
    """

    def __init__(
        self, status: str, *, by_bytes: bool = False, first: bytes = b""
    ) -> None:
        self.ended = 0
        """How many connections the relay has closed after an answer."""
        self._status = status
        self._by_bytes = by_bytes
        self._first = first

    def __call__(self, connection: socket.socket, head: bytes) -> None:
        """Answer, and wait for the end of the connection."""
        data = self._first + odd_answer(self._status, request_id_header(head).encode())
        if not self._by_bytes:
            connection.sendall(data)
        else:
            for number in range(len(data)):
                connection.sendall(data[number : number + 1])
                if number < len(self._first) + len(status_line(self._status)):
                    time.sleep(PIECE_DELAY_S)
        read_to_end(connection)
        self.ended += 1
