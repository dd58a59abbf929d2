"""Entry hosts as processes, and servers that a request ends, for tests.

A server process that has ended starts again after ``RESTART_S``, at its address and
under its id.
"""

import http.client
import os
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from random import Random

from gentianwharf.platform.standin import (
    ADDED,
    CALLERS_PORT,
    LOOK_UPS,
    POSTINGS,
    UPLOADS,
)

from .builders_processes import wait_until
from .builders_repeats import CALLER_TIMEOUT_S, SAFE_PATH, RepeatsDeployment

ENDS = "ends-its-server"
RESTART_S = 2.0
SERVERS, KEYED_SERVERS = 16, 8
POLL_S = 0.02
DEADLINE_MS = 3_000
MAX_CRASHES = 3
REFUSED = "the request has ended servers"
REFUSED_CALLS = 20
CALL_GAP_S = 0.02
CALLS_TIMEOUT_S = 40.0


@dataclass(frozen=True, kw_only=True)
class Kind:
    """A kind of request, as its caller sends it."""

    host: str
    method: str
    path: str
    shard: int | None = None
    body: bytes | None = None


KINDS = {
    "safe": Kind(host=ADDED, method="GET", path=SAFE_PATH),
    "keyed": Kind(host=LOOK_UPS, method="GET", path="/", shard=7),
    "unsafe": Kind(host=POSTINGS, method="POST", path="/", body=b"x" * 300),
    "upload": Kind(host=UPLOADS, method="POST", path="/", body=b"y" * 40_000),
}


@dataclass
class CrashDeployment(RepeatsDeployment):
    """A deployment whose servers are started again when a request has ended them."""

    ends: int = 0
    """How many servers have ended."""

    def run_servers(self, stopped: threading.Event) -> None:
        """Start servers again that have ended, until ``stopped``."""
        due_s: dict[int, float] = {}
        while not stopped.wait(POLL_S):
            now_s = time.monotonic()
            for number in range(self.servers):
                if self.processes[f"server-{number}"].poll() is None:
                    continue
                if number not in due_s:
                    self.ends += 1
                    due_s[number] = now_s + RESTART_S
                elif now_s >= due_s[number]:
                    del due_s[number]
                    self.start_server(number)

    def call(self, host: int, kind: Kind, *, name: str) -> tuple[int, str]:
        """Send a request; return its status and body, 0 without an answer."""
        connection = http.client.HTTPConnection(
            self.ip(host), CALLERS_PORT, timeout=CALLER_TIMEOUT_S
        )
        headers = {
            "Host": kind.host,
            "Attempt-Id": f"{name}-{next(self.ids)}",
            "Deadline-Ms": str(DEADLINE_MS),
        }
        if kind.shard is not None:
            headers["Shard-Key"] = str(kind.shard)
        try:
            connection.request(
                kind.method, f"{kind.path}{name}", body=kind.body, headers=headers
            )
            response = connection.getresponse()
            return response.status, response.read().decode("latin-1")
        except (OSError, http.client.HTTPException):
            return 0, ""
        finally:
            connection.close()

    def call_often(self, kind: Kind, *, hosts: range, seed: int) -> list[str]:
        """Send a request that ends servers, each time to another host.

        Return the bodies of the answers, of which the last ``REFUSED_CALLS`` and maybe
        others refuse it for that.
        """
        rng = Random(seed)
        end_s = time.monotonic() + CALLS_TIMEOUT_S
        bodies: list[str] = []
        while sum(REFUSED in body for body in bodies) < REFUSED_CALLS:
            assert time.monotonic() < end_s, f"not refused: {bodies[-3:]}"
            bodies.append(self.call(rng.choice(hosts), kind, name=ENDS)[1])
            time.sleep(CALL_GAP_S)
        return bodies

    def call_for(
        self, duration_s: float, kind: Kind, *, hosts: range, seed: int
    ) -> list[int]:
        """Send a request that ends servers all the time; return the statuses."""
        rng = Random(seed)
        end_s = time.monotonic() + duration_s
        statuses: list[int] = []
        while time.monotonic() < end_s:
            statuses.append(self.call(rng.choice(hosts), kind, name=ENDS)[0])
            time.sleep(CALL_GAP_S)
        return statuses

    def kill_leader(self, hosts: range) -> None:
        """Kill the host that leads, and start it again."""
        for host in hosts:
            if self.metric(host, "leads"):
                self.kill_host(host)
                self.start_host(host)
                return


@contextmanager
def crash_deployment(
    directory: Path, *, hosts: range, lost_share: float = 0.0, failed_share: float = 0.0
) -> Iterator[CrashDeployment]:
    """Run hosts and servers until all hosts know each other.

    Servers answer ``failed_share`` of the requests that end them with 500.
    """
    deployment = CrashDeployment(
        directory=directory,
        net=220 + os.getpid() % 30,
        lost_share=lost_share,
        servers=SERVERS,
        keyed_servers=KEYED_SERVERS,
        work_ms="200",
        server_options=("--ends-on", ENDS, "--failed-share", str(failed_share)),
    )
    stopped = threading.Event()
    try:
        deployment.start()
        for host in hosts:
            deployment.start_host(host)
        deployment.wait_until_ready(hosts)
        deployment.wait_until_listed(hosts)
        for kind in KINDS.values():
            wait_until(
                lambda kind=kind: deployment.call(0, kind, name="warm-up")[0] == 200,
                description=f"requests to {kind.host} to be served",
            )
        runner = threading.Thread(target=deployment.run_servers, args=(stopped,))
        runner.start()
        try:
            yield deployment
        finally:
            stopped.set()
            runner.join()
    finally:
        deployment.stop()
