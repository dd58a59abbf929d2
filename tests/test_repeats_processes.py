"""Repeats that servers receive from several hosts, as processes."""

from pathlib import Path

from .builders_repeats import repeats_deployment

HOSTS = range(6)
STARTS = 3
MANY_HOSTS = range(24)


def test_hosts_that_start_again_keep_to_the_agreed_retries(tmp_path: Path) -> None:
    """Guards against a retry budget that each start of a host fills anew."""
    with repeats_deployment(tmp_path) as deployment:
        for _ in range(STARTS):
            for host in HOSTS:
                deployment.start_host(host)
            deployment.wait_until_ready(HOSTS)
            deployment.send_all(HOSTS, per_host=12)
            for host in HOSTS:
                deployment.kill_host(host)
        repeats = deployment.worst_window()
    assert repeats.sent <= repeats.allowed


def test_hosts_that_are_not_listed_keep_to_the_agreed_retries(tmp_path: Path) -> None:
    """Guards against hosts that don't know each other and each take a large share."""
    with repeats_deployment(tmp_path) as deployment:
        for host in MANY_HOSTS:
            deployment.start_host(host)
        deployment.send_early(MANY_HOSTS, per_host=10)
        repeats = deployment.worst_window()
    assert repeats.sent <= repeats.allowed
