"""Closed-loop load generator for the benchmark of the whole path.

``python -m bench.path_load PORT CONNECTIONS SECONDS PATH`` prints one JSON object.
"""

import json
import socket
import sys
import threading
import time
from collections.abc import Callable
from functools import partial

BUFFER_BYTES = 65_536


def run(
    connect: Callable[[], socket.socket],
    seconds: float,
    path: str,
    latencies_s: list[float],
) -> None:
    """Send one request after another on one connection until the time is up."""
    request = f"GET {path} HTTP/1.1\r\nHost: gateway\r\n\r\n".encode()
    end_s = time.monotonic() + seconds
    with connect() as connection:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while (start_s := time.monotonic()) < end_s:
            connection.sendall(request)
            response = connection.recv(BUFFER_BYTES)
            while not _is_complete(response):
                response += connection.recv(BUFFER_BYTES)
            assert response.startswith(b"HTTP/1.1 200"), response[:300]
            latencies_s.append(time.monotonic() - start_s)


def _is_complete(response: bytes) -> bool:
    head, separator, body = response.partition(b"\r\n\r\n")
    if not separator:
        return False
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            return len(body) >= int(line.partition(b":")[2])
    return body.endswith(b"0\r\n\r\n")


def main() -> None:
    """Run the load and print the number of responses and their latencies."""
    port, connections, seconds, path = sys.argv[1:]
    latencies_s: list[float] = []
    connect = partial(socket.create_connection, ("127.0.0.1", int(port)))
    threads = [
        threading.Thread(target=run, args=(connect, float(seconds), path, latencies_s))
        for _ in range(int(connections))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    latencies_s.sort()
    report = {
        "answers": len(latencies_s),
        "p50_ms": latencies_s[len(latencies_s) // 2] * 1000,
        "p99_ms": latencies_s[int(len(latencies_s) * 0.99)] * 1000,
    }
    print(json.dumps(report))


if __name__ == "__main__":
    main()
