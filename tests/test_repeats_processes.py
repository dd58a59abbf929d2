"""Repeats that servers receive from several hosts, as processes."""

import signal
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from random import Random

import pytest

from .builders_repeats import RepeatsDeployment, repeats_deployment

HOSTS = range(6)
STARTS = 3
MANY_HOSTS = range(24)
DISRUPTIONS = 24
DISRUPTION_GAP_S = 0.5
PAUSED_SERVERS = (1, 2, 3, 4)
SERVER_PAUSE_S = 1.5
SHARDS = 65_536
CALLERS = 60
CALL_GAP_S = 0.05


def test_hosts_that_start_again_keep_to_the_agreed_retries(tmp_path: Path) -> None:
    """Guards against a retry budget that each start of a host fills anew."""
    with repeats_deployment(tmp_path) as deployment:
        for start in range(STARTS):
            for host in HOSTS:
                deployment.start_host(host)
            deployment.wait_until_ready(HOSTS)
            if not start:
                deployment.wait_until_listed(HOSTS)
            deployment.send_all(HOSTS, per_host=12)
            for host in HOSTS:
                deployment.kill_host(host)
        violations = deployment.excess_retries()
    assert not violations


def test_hosts_that_are_not_listed_keep_to_the_agreed_retries(tmp_path: Path) -> None:
    """Guards against hosts that don't know each other and each take a large share."""
    with repeats_deployment(tmp_path) as deployment:
        for host in MANY_HOSTS:
            deployment.start_host(host)
        deployment.send_early(MANY_HOSTS, per_host=10)
        violations = deployment.excess_retries()
    assert not violations


@pytest.mark.parametrize("seed", [1])
def test_disrupted_hosts_keep_to_the_agreed_retries(tmp_path: Path, seed: int) -> None:
    """Guards against retries that add up over starts, pauses and planned stops."""
    with repeats_deployment(tmp_path, lost_share=0.7) as deployment:
        for host in HOSTS:
            deployment.start_host(host)
        deployment.wait_until_listed(HOSTS)
        with _callers(deployment):
            _disrupt(deployment, Random(seed))
        violations = deployment.excess_retries()
        assert deployment.repeat_count()
    assert not violations


def test_hedges_that_are_lost_keep_to_the_servers_that_a_route_allows(
    tmp_path: Path,
) -> None:
    """Guards against one more run for each hedge that is lost beside a slow server."""
    with repeats_deployment(tmp_path, lost_share=0.8) as deployment:
        for host in HOSTS:
            deployment.start_host(host)
        deployment.wait_until_listed(HOSTS)
        with _callers(deployment):
            for server in PAUSED_SERVERS:
                deployment.pause_server(server, SERVER_PAUSE_S)
                time.sleep(SERVER_PAUSE_S)
        violations = deployment.excess_runs()
    assert not violations


@contextmanager
def _callers(deployment: RepeatsDeployment) -> Iterator[None]:
    """Let callers send requests to all hosts meanwhile."""
    ended = threading.Event()
    callers = [
        threading.Thread(target=_call, args=(deployment, Random(number), ended))
        for number in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    try:
        yield
    finally:
        ended.set()
        for caller in callers:
            caller.join()


def _call(deployment: RepeatsDeployment, rng: Random, ended: threading.Event) -> None:
    while not ended.is_set():
        shard = rng.choice([None, rng.randrange(SHARDS)])
        deployment.send(rng.choice(HOSTS), shard=shard)
        time.sleep(CALL_GAP_S)


def _disrupt(deployment: RepeatsDeployment, rng: Random) -> None:
    paused: list[int] = []
    for _ in range(DISRUPTIONS):
        host = rng.choice(HOSTS)
        if host in paused:
            paused.remove(host)
            deployment.send_signal(host, signal.SIGCONT)
        elif rng.random() < 0.5:
            paused.append(host)
            deployment.send_signal(host, signal.SIGSTOP)
        else:
            deployment.kill_host(host)
            deployment.start_host(host)
        time.sleep(DISRUPTION_GAP_S)
    for host in paused:
        deployment.send_signal(host, signal.SIGCONT)
