"""Requests that end each server which runs them, against entry hosts as processes."""

import signal
import threading
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from .builders_crashes import (
    ENDS,
    KINDS,
    MAX_CRASHES,
    REFUSED,
    CrashDeployment,
    Kind,
    crash_deployment,
)

HOSTS = range(12)
INNOCENT_CALLS = 20


@pytest.mark.parametrize("kind", KINDS.values(), ids=KINDS)
def test_third_server_that_a_request_ends_is_the_last(
    tmp_path: Path, kind: Kind
) -> None:
    """Guards against one request that takes servers away without end."""
    with crash_deployment(tmp_path, hosts=HOSTS) as deployment:
        bodies = deployment.call_often(kind, hosts=HOSTS, seed=1)
        _check_ends(deployment)
    refused = [REFUSED in body for body in bodies]
    assert all(refused[refused.index(True) :])
    assert all('"not-run"' in body for body in bodies if REFUSED in body)


def test_request_stays_refused_through_the_loss_of_the_leader(tmp_path: Path) -> None:
    """Guards against ends of servers that only the leader knows."""
    with crash_deployment(tmp_path, hosts=HOSTS) as deployment:
        kind = KINDS["unsafe"]
        for host in range(MAX_CRASHES - 1):
            assert deployment.call(host, kind, name=ENDS)[0] == 502
        deployment.kill_leader(HOSTS)
        deployment.call_often(kind, hosts=HOSTS, seed=2)
        deployment.wait_until_ready(HOSTS)
        deployment.call_often(kind, hosts=HOSTS, seed=3)
        _check_ends(deployment)


def test_request_is_refused_while_the_store_is_down(tmp_path: Path) -> None:
    """Guards against ends of servers that hosts learn from the store alone."""
    with crash_deployment(tmp_path, hosts=HOSTS) as deployment:
        store = deployment.processes["store"]
        store.send_signal(signal.SIGSTOP)
        deployment.call_often(KINDS["safe"], hosts=HOSTS, seed=4)
        store.send_signal(signal.SIGCONT)
        _check_ends(deployment)


def test_hosts_that_start_know_the_requests_that_are_refused(tmp_path: Path) -> None:
    """Guards against a request whose life begins anew with a restart of all hosts."""
    with crash_deployment(tmp_path, hosts=HOSTS) as deployment:
        kind = KINDS["safe"]
        deployment.call_often(kind, hosts=HOSTS, seed=5)
        # The leader writes to the store every 0.5 s.
        threading.Event().wait(1.5)
        for host in HOSTS:
            deployment.kill_host(host)
        for host in HOSTS:
            deployment.start_host(host)
        deployment.wait_until_ready(HOSTS)
        status, body = deployment.call(0, kind, name=ENDS)
        _check_ends(deployment)
    assert status == 503
    assert REFUSED in body


def test_servers_that_fail_let_no_request_go_that_ends_them(tmp_path: Path) -> None:
    """Guards against an answer of a faulty server that clears a culprit."""
    with crash_deployment(tmp_path, hosts=HOSTS, failed_share=0.5) as deployment:
        statuses = deployment.call_for(10.0, KINDS["safe"], hosts=HOSTS, seed=7)
        assert deployment.ends <= MAX_CRASHES
    assert 503 in statuses


def test_others_are_served_beside_a_request_that_ends_servers(tmp_path: Path) -> None:
    """Guards against callers who are turned away for what another one sent."""
    with crash_deployment(tmp_path, hosts=HOSTS) as deployment:
        with ThreadPoolExecutor(1) as callers:
            crashing = callers.submit(
                deployment.call_often, KINDS["safe"], hosts=HOSTS, seed=6
            )
            answers = [
                deployment.call(host, KINDS["safe"], name=f"innocent-{number}")
                for number in range(INNOCENT_CALLS)
                for host in HOSTS
            ]
            crashing.result()
        _check_ends(deployment)
    assert not [body for _, body in answers if "servers" in body]


def _check_ends(deployment: CrashDeployment) -> None:
    assert deployment.ends == MAX_CRASHES
