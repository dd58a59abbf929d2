"""Runs: coordinated omission, limits, and the command with real sockets."""

import json
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, final

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianwharf.errors import InputError
from gentianwharf.loadtool import (
    Bounds,
    LoadReport,
    LoadRun,
    LoadTally,
    Part,
    PlannedRequest,
    ReceivedResponse,
    SendError,
    Target,
    Verdict,
    check_response,
    make_report,
    merge_reports,
)
from tests.builders_loadtool import received, request

COMMAND = [sys.executable, "-c", "from gentianwharf.loadtool import main; main()"]


@final
class SlowSender:
    """Responds after ``normal_s``, and to the first request after ``stall_s``."""

    def __init__(self, *, clock: Clock, stall_s: float, normal_s: float) -> None:
        self._clock = clock
        self._stalls_s = iter([stall_s])
        self._normal_s = normal_s
        self._sent = 0

    async def send(self, planned: PlannedRequest) -> ReceivedResponse:
        """Respond after the request's delay."""
        responded: Deferred[None] = Deferred()
        delay_s = next(self._stalls_s, self._normal_s)
        self._clock.callLater(delay_s, responded.callback, None)
        await responded
        self._sent += 1
        request_id = f"id-{self._sent}"
        return received(request_id=request_id, fields={"request_id": request_id})


@final
class UnreachableSender:
    """A sender that can't connect."""

    async def send(self, planned: PlannedRequest) -> ReceivedResponse:
        """Fail immediately."""
        raise SendError("refused", verdict=Verdict.NOT_CONNECTED)


def run(clock: Clock, sender: Any, count: int) -> LoadTally:
    planned = iter([request(due_s=number * 0.01) for number in range(count)])
    load = LoadRun(clock=clock, sender=sender, planned=planned, connections=1)
    results: list[LoadTally] = []
    Deferred.fromCoroutine(load.run()).addCallback(results.append)
    clock.pump([0.001] * 3_000)
    (tally,) = results
    return tally


def test_a_stall_counts_for_every_request_that_was_due_in_it() -> None:
    """A server stalls for a second, and the report shows one slow request in 100.

    The only connection is busy, and the requests due meanwhile wait for it. If they
    are timed from when they are sent, the stall shows for one request only.
    """
    clock = Clock()
    tally = run(clock, SlowSender(clock=clock, stall_s=1.0, normal_s=0.001), count=100)
    report = make_report(tally, mix="tunis", seed=1, offered_per_s=100)
    assert report.sent.p50_ms < 5
    assert report.classes["consultation"].p50_ms > 400


def test_unreachable_target_ends_the_run() -> None:
    tally = run(Clock(), UnreachableSender(), count=3)
    assert tally.verdicts["consultation", Verdict.NOT_CONNECTED] == 3


@pytest.mark.parametrize(
    "text",
    ["10.0.0.1:8080", "gateway:80", "127.0.0.1", "127.0.0.1:0", "8.8.8.8:80", ""],
)
def test_load_goes_to_loopback_only(text: str) -> None:
    with pytest.raises(InputError, match="loopback"):
        Target.parse(text)


@pytest.mark.parametrize(
    ("rate_per_s", "duration_s", "connections", "named"),
    [
        pytest.param(30_000, 1, 1, "rate_per_s", id="rate"),
        pytest.param(1, 601, 1, "duration_s", id="duration"),
        pytest.param(1, 1, 513, "connections", id="connections"),
        pytest.param(20_000, 600, 1, "rate x duration", id="count"),
        pytest.param(0, 1, 1, "rate_per_s", id="nothing"),
    ],
)
def test_run_is_bounded(
    rate_per_s: float, duration_s: float, connections: int, named: str
) -> None:
    with pytest.raises(InputError, match=named):
        Bounds(rate_per_s=rate_per_s, duration_s=duration_s, connections=connections)


@contextmanager
def running_server(*arguments: str) -> Iterator[str]:
    command = [sys.executable, "-m", "tests.builders_loadtool", *arguments]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        assert process.stdout is not None
        try:
            yield f"127.0.0.1:{int(process.stdout.readline())}"
        finally:
            process.kill()


def command(target: str, *options: str) -> subprocess.CompletedProcess[str]:
    arguments = [*COMMAND, "--target", target, "--rate-per-s", "100", *options]
    return subprocess.run(
        [*arguments, "--duration-s", "1"],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_command_reports_what_callers_received() -> None:
    with running_server() as target:
        result = command(target, "--json")
    assert result.returncode == 0, result.stderr
    report = json.loads(result.stdout)
    assert report["violations"] == 0
    assert set(report["verdicts"]["reservation"]) == {"served"}
    assert report["imbalance"]["calendrier"] < 2


def test_second_run_of_a_seed_repeats_no_idempotency_key() -> None:
    """A second run right after the first reports responses to other requests.

    Both sent the same keys, and the router returned its cached responses to the first
    run.
    """
    with running_server() as target:
        for _ in range(2):
            result = command(target)
            assert result.returncode == 0, result.stdout


def test_command_finds_crossed_answers() -> None:
    with running_server("crossed") as target:
        result = command(target)
    assert result.returncode == 1, result.stderr
    assert "another request's answer" in result.stdout


@pytest.mark.parametrize(
    ("target", "code"),
    [
        pytest.param("127.0.0.1:9", 3, id="unreachable"),
        pytest.param("192.0.2.1:80", 2, id="not-loopback"),
    ],
)
def test_exit_code_tells_why_nothing_was_sent(target: str, code: int) -> None:
    assert command(target).returncode == code


def part_report(number: int, *, elapsed_s: float, seed: int = 1) -> LoadReport:
    tally = LoadTally()
    tally.duration_s = 1.0
    for index in range(10):
        request_id = f"id-{number}-{index}"
        result = check_response(
            request(),
            received(request_id=request_id, fields={"request_id": request_id}),
        )
        tally.add(request(), result, elapsed_s=elapsed_s, service_s=elapsed_s)
    part = Part(number=number, count=2)
    return make_report(tally, mix="tunis", seed=seed, offered_per_s=10, part=part)


def test_merged_report_counts_every_part_once() -> None:
    """A run in two processes is reported with the percentiles of the faster one."""
    merged = merge_reports(
        [part_report(1, elapsed_s=0.001), part_report(2, elapsed_s=0.1)]
    )
    assert merged.classes["consultation"].count == 20
    assert merged.classes["consultation"].p50_ms == pytest.approx(1, rel=0.01)
    assert merged.classes["consultation"].p99_ms == pytest.approx(100, rel=0.01)
    assert merged.verdicts == {"consultation": {"served": 20}}
    assert merged.servers == {"calendrier": {"calendrier-3": 20}}
    assert (merged.offered_per_s, merged.served_per_s) == (20, 20)
    assert merged.parts == ["1/2", "2/2"]


@pytest.mark.parametrize(
    ("number", "seed"),
    [pytest.param(1, 1, id="same-part"), pytest.param(2, 7, id="other-seed")],
)
def test_parts_of_different_plans_are_not_merged(number: int, seed: int) -> None:
    other = part_report(number, elapsed_s=0.1, seed=seed)
    with pytest.raises(InputError, match="parts of one plan"):
        merge_reports([part_report(1, elapsed_s=0.1), other])


def test_command_merges_the_reports_of_its_parts(tmp_path: Path) -> None:
    files = [tmp_path / "1.json", tmp_path / "2.json"]
    with running_server() as target:
        for number, path in enumerate(files, start=1):
            result = command(target, "--part", f"{number}/2", "--json")
            path.write_text(result.stdout)
    merged = subprocess.run(
        [*COMMAND, "merge", *map(str, files)],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert merged.returncode == 0, merged.stderr
    assert "offered 100/s" in merged.stdout
