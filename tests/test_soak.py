"""A short soak with fixed seeds: the real programs with injected faults."""

import os
import subprocess
import sys

import pytest

TIMEOUT_S = 150.0
"""A limit for hangs; a seed takes 35 s."""

PLAIN = ("--no-rules-grow", "--no-cut-links", "--no-store-outages")


@pytest.mark.parametrize(
    ("seed", "faults_s", "growth"),
    [(1, 10, "--rules-grow"), (4, 15, "--no-rules-grow")],
)
def test_no_promise_is_broken_under_random_faults(
    seed: int, faults_s: int, growth: str
) -> None:
    """Hosts and servers are killed, processes paused and links between them cut.

    Seed 1 also lets the list of rules grow to thousands, and restarts all hosts.
    """
    play(seed, faults_s, growth, *PLAIN[1:], "--no-uploads")


def test_no_promise_is_broken_while_hosts_lose_their_links() -> None:
    """Hosts lose their links to all servers, also beside restarts and changes."""
    options = ("--rules-grow", "--cut-links", "--no-uploads", "--no-store-outages")
    play(9601, 12, *options)


def test_no_promise_is_broken_while_answers_come_late_or_twice() -> None:
    """Guards against answers that count for other sends, beside all other faults."""
    play(20001, 10, *PLAIN, "--no-uploads", "--answer-faults")


def test_no_promise_is_broken_while_a_request_ends_servers() -> None:
    """Guards against one request that takes servers away, beside other faults."""
    play(30001, 10, *PLAIN, "--no-uploads", "--crashes")


def test_no_byte_of_an_upload_changes_under_random_faults() -> None:
    """Guards against bodies that servers run without a part, or without their end."""
    play(71012, 30, *PLAIN, "--uploads")


def test_no_promise_is_broken_while_links_hold_bytes() -> None:
    """Guards against repeats that arrive together with those written since."""
    play(740001, 12, *PLAIN, "--no-uploads", "--hold-links")


def test_no_promise_is_broken_while_the_store_hangs_or_drops_its_history() -> None:
    """Guards against rules that come late after outages, or are read no more."""
    play(760001, 12, "--rules-grow", "--no-cut-links", "--no-uploads")


def test_no_keys_have_two_holders_while_orders_are_late_and_leaders_end() -> None:
    """Guards against leaders that count too few of the grants before theirs."""
    play(790002, 20, *PLAIN, "--no-uploads", "--late-orders")


def test_no_keys_have_two_holders_while_servers_start_again() -> None:
    """Guards against former leaders that renew at servers which forgot a release."""
    play(810004, 6, *PLAIN, "--no-uploads", "--no-random-faults", "--servers-restart")


def test_no_keys_have_two_holders_while_leases_end_early() -> None:
    """Guards against leaders that count on a lease until it has run out by time."""
    options = ("--no-random-faults", "--leases-end-early", "--no-recovers")
    assert " 0 items revoked" not in play(850038, 4, *PLAIN, "--no-uploads", *options)


def play(seed: int, faults_s: int, *options: str) -> str:
    """Play a seed, and return what the soak prints."""
    result = subprocess.run(
        [
            *(sys.executable, "-m", "soak", "--first", str(seed), "--seeds", "1"),
            *(
                "--faults-s",
                str(faults_s),
                *options,
                "--net",
                str(120 + os.getpid() % 100),
            ),
        ],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert result.returncode == 0, result.stdout + result.stderr
    return result.stdout
