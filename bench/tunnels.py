"""What another host spends on the requests of a host that has lost its links.

Two ways, before the same server and in the same rounds: a tunnel, through which the
other host copies bytes, and the whole request sent to the other host, which relays it
like one of its own callers'. The processor time is the other host's own.
"""

import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import msgspec
from tests.builders_processes import deployment, free_ports, wait_until

from gentianwharf.tunnels._messages import OpenTunnel

from ._figure import Figure
from .capacity_relay import processor_s
from .path_load import run
from .tunnel_carrier import SECRET, SERVER_ID

CONNECTIONS = 8
SECONDS = 5.0
ROUNDS = 3
PATH = "/inscription/seats"
HOST = "lac-1"
SEED = 1
FRAME_LENGTH_BYTES = 2
FRAME_TIMEOUT_S = 5.0


def _open_tunnel(port: int) -> socket.socket:
    connection = socket.create_connection(("127.0.0.1", port), FRAME_TIMEOUT_S)
    request = msgspec.msgpack.encode(
        OpenTunnel(secret=SECRET, host="bench", server_id=SERVER_ID)
    )
    length = len(request).to_bytes(FRAME_LENGTH_BYTES, "big")
    connection.sendall(length + request)
    reply_bytes = int.from_bytes(_receive(connection, FRAME_LENGTH_BYTES), "big")
    _receive(connection, reply_bytes)
    return connection


def _receive(connection: socket.socket, size: int) -> bytes:
    data = b""
    while len(data) < size:
        piece = connection.recv(size - len(data))
        assert piece, "the host refused a tunnel"
        data += piece
    return data


def _connect(port: int) -> socket.socket:
    return socket.create_connection(("127.0.0.1", port), FRAME_TIMEOUT_S)


def _measure(
    name: str, pid: int, connect: Callable[[], socket.socket]
) -> Iterator[Figure]:
    latencies_s: list[float] = []
    start_s = processor_s(pid)
    threads = [
        threading.Thread(target=run, args=(connect, SECONDS, PATH, latencies_s))
        for _ in range(CONNECTIONS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    used_s = processor_s(pid) - start_s
    latencies_s.sort()
    values: dict[str, tuple[float, str]] = {
        "rate": (len(latencies_s) / SECONDS, "1/s"),
        "processor_time": (used_s / len(latencies_s) * 1000, "ms/request"),
        "p50": (latencies_s[len(latencies_s) // 2] * 1000, "ms"),
        "p99": (latencies_s[int(len(latencies_s) * 0.99)] * 1000, "ms"),
    }
    for quantity, (value, unit) in values.items():
        yield Figure(
            name=f"tunnels.{name}.{quantity}",
            value=value,
            unit=unit,
            size={"connections": CONNECTIONS},
            seed=SEED,
        )


def _opening_time(port: int) -> Figure:
    times_s = []
    for _ in range(200):
        begun_s = time.monotonic()
        _open_tunnel(port).close()
        times_s.append(time.monotonic() - begun_s)
    times_s.sort()
    return Figure(
        name="tunnels.tunnel.opening_p50",
        value=times_s[len(times_s) // 2] * 1000,
        unit="ms",
        size={"tunnels": len(times_s)},
        seed=SEED,
    )


def figures() -> Iterator[Figure]:
    """Yield rate, processor time and latency of both ways for each round."""
    with deployment() as running:
        (port,) = free_ports(1)
        server_port: Any = running.ports["inscription-1"]
        running.start("carrier", "bench.tunnel_carrier", str(port), str(server_port))
        wait_until(
            lambda: running.get_if_served(HOST, PATH), description="a relayed answer"
        )
        carrier, daemon = running.processes["carrier"], running.processes[HOST]
        callers_port = running.ports[f"{HOST}-callers"]
        for _ in range(ROUNDS):
            yield from _measure("tunnel", carrier.pid, lambda: _open_tunnel(port))
            yield from _measure("request", daemon.pid, lambda: _connect(callers_port))
            yield from _measure("direct", carrier.pid, lambda: _connect(server_port))
            yield _opening_time(port)
