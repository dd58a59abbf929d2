"""Servers whose answers differ in each byte.

The number of a request is the last part of its path. Each time a server gets a request
it answers with the number of that arrival, and a body that only this arrival has.
"""

import re
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass
from enum import StrEnum
from itertools import count
from random import Random
from types import SimpleNamespace
from typing import Any, final

from tests.builders_relay import (
    RunningRelay,
    in_reactor,
    request_id_header,
    response,
)
from tests.builders_tunnels import Tunneling
from tests.builders_uploads import body_of

MOST_ANSWER_BYTES = 1_500_000
SERVER_TIMEOUT_S = 15.0
LATE_HEAD_S = 0.3

REQUEST_LINE = re.compile(rb"(GET|POST) /plain/(\d+) HTTP/1.1\r\n")
ARRIVAL = "X-Arrival"
NUMBER = "X-Number"
NOT_RUN = "Gentianwharf-Run: not-run\r\n"
FULL = "503 Service Unavailable"


class Framing(StrEnum):
    """How a server states where its answer ends."""

    LENGTH = "length"
    CHUNKED = "chunked"


class Behaviour(StrEnum):
    """What a server does with a request."""

    ANSWER = "answer"
    ANSWER_LATE = "answer-late"
    ANSWER_AND_CLOSE = "answer-and-close"
    CLOSE_WITHIN = "close-within"
    RESET_WITHIN = "reset-within"
    CLOSE_IN_HEAD = "close-in-head"
    RESET_IN_HEAD = "reset-in-head"
    RESET_AT_ONCE = "reset-at-once"
    REFUSE = "refuse"


WEIGHTS = {
    Behaviour.ANSWER: 10,
    Behaviour.ANSWER_LATE: 3,
    Behaviour.ANSWER_AND_CLOSE: 1,
    Behaviour.CLOSE_WITHIN: 1,
    Behaviour.RESET_WITHIN: 1,
    Behaviour.CLOSE_IN_HEAD: 1,
    Behaviour.RESET_IN_HEAD: 1,
    Behaviour.RESET_AT_ONCE: 1,
    Behaviour.REFUSE: 2,
}

CUTS = frozenset({Behaviour.CLOSE_WITHIN, Behaviour.RESET_WITHIN})
HEAD_CUTS = frozenset({Behaviour.CLOSE_IN_HEAD, Behaviour.RESET_IN_HEAD})
RESETS = frozenset({Behaviour.RESET_WITHIN, Behaviour.RESET_IN_HEAD})


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """A request at a server, and the answer that it gets."""

    number: int
    request: int
    length: int
    framing: Framing
    behaviour: Behaviour
    pieces: int
    pause_s: float
    share: float
    """The part of the answer's head or body after which a server cuts it."""

    @property
    def body(self) -> bytes:
        """The body of the answer."""
        return body_of(self.number, self.length)


@final
class Arrivals:
    """All requests that have reached servers."""

    def __init__(self, *, rng: Random) -> None:
        self._rng = rng
        self._numbers = count(1)
        self._by_number: dict[int, Arrival] = {}
        self._cut_requests: set[int] = set()
        self._lock = threading.Lock()

    def add(self, head: bytes) -> Arrival:
        """Draw the answer to a request; raises ``OSError`` if its head was cut."""
        match = REQUEST_LINE.match(head)
        if match is None or b"\r\n\r\n" not in head:
            raise OSError("the connection ended within a head")
        with self._lock:
            rng = self._rng
            arrival = Arrival(
                number=next(self._numbers),
                request=int(match[2]),
                length=draw_length(rng),
                framing=rng.choice(list(Framing)),
                behaviour=rng.choices(list(WEIGHTS), list(WEIGHTS.values()))[0],
                pieces=rng.choice([1, 1, 2, 7]),
                pause_s=rng.choice([0.0, 0.0, 0.02, 0.1]),
                share=rng.random(),
            )
            self._by_number[arrival.number] = arrival
            if arrival.behaviour in CUTS:
                self._cut_requests.add(arrival.request)
        return arrival

    def get(self, number: int) -> Arrival:
        """Return the arrival with a number."""
        with self._lock:
            return self._by_number[number]

    def is_cut(self, request: int) -> bool:
        """Whether a server has cut an answer to a request."""
        with self._lock:
            return request in self._cut_requests


def draw_length(rng: Random) -> int:
    """Return the length of an answer."""
    return rng.choice(
        [
            0,
            1,
            rng.randrange(1, 16_384),
            rng.randrange(16_384, 70_000),
            rng.randrange(70_000, 400_000),
            rng.randrange(400_000, MOST_ANSWER_BYTES),
        ]
    )


@final
class AnsweringServer:
    """A script that answers each request as drawn."""

    def __init__(self, arrivals: Arrivals) -> None:
        self._arrivals = arrivals

    def __call__(self, connection: socket.socket, head: bytes) -> None:
        """Answer one request."""
        connection.settimeout(SERVER_TIMEOUT_S)
        arrival = self._arrivals.add(head)
        behaviour, echo = arrival.behaviour, request_id_header(head)
        if behaviour is Behaviour.RESET_AT_ONCE:
            _reset(connection)
            raise OSError("reset")
        if behaviour is Behaviour.REFUSE:
            connection.sendall(response(b"", status=FULL, extra=NOT_RUN + echo))
            return
        if behaviour is Behaviour.ANSWER_LATE:
            time.sleep(LATE_HEAD_S)
        answer_head = _answer_head(arrival, echo)
        if behaviour in HEAD_CUTS:
            connection.sendall(answer_head[: int(arrival.share * len(answer_head))])
            time.sleep(arrival.pause_s)
        else:
            connection.sendall(answer_head)
            for piece in _pieces(arrival):
                connection.sendall(piece)
                time.sleep(arrival.pause_s)
        if behaviour in RESETS:
            _reset(connection)
        if behaviour in CUTS | HEAD_CUTS or behaviour is Behaviour.ANSWER_AND_CLOSE:
            raise OSError("ended")


def _answer_head(arrival: Arrival, echo: str) -> bytes:
    fields = f"{ARRIVAL}: {arrival.number}\r\n{NUMBER}: {arrival.request}\r\n{echo}"
    if arrival.framing is Framing.CHUNKED:
        fields += "Transfer-Encoding: chunked\r\n"
    else:
        fields += f"Content-Length: {arrival.length}\r\n"
    if arrival.behaviour is Behaviour.ANSWER_AND_CLOSE:
        fields += "Connection: close\r\n"
    return f"HTTP/1.1 200 OK\r\n{fields}\r\n".encode()


def _pieces(arrival: Arrival) -> Iterator[bytes]:
    body = arrival.body
    is_cut = arrival.behaviour in CUTS
    end = int(arrival.share * arrival.length) if is_cut else arrival.length
    size = max(1, -(-end // arrival.pieces))
    for start in range(0, end, size):
        piece = body[start : min(start + size, end)]
        if arrival.framing is Framing.CHUNKED:
            piece = b"%x\r\n%b\r\n" % (len(piece), piece)
        yield piece
    if arrival.framing is Framing.CHUNKED and not is_cut:
        yield b"0\r\n\r\n"


def _reset(connection: socket.socket) -> None:
    with suppress(OSError):
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


def lead_through_tunnels(relay: RunningRelay, hosts: Tunneling) -> None:
    """Let a relay reach all its servers through other hosts."""
    links: Any = SimpleNamespace(
        monitor=SimpleNamespace(is_cut_off=True), tunnels=hosts.client
    )

    def lead() -> None:
        for pool in relay.app.connections.values():
            hosts.servers[pool.server.id] = pool.server
            pool.links = links

    in_reactor(lead)
