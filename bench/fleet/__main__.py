"""Play a fleet: ``python -m bench.fleet --disruption lost-answers``."""

import signal
import sys
import time
from dataclasses import replace
from pathlib import Path
from random import Random
from tempfile import mkdtemp

from cyclopts import App

import gentianwharf

from ._disruptions import DISRUPTIONS
from ._fleet import POLL_INTERVAL_S, Fleet
from ._judge import missing_effects, summary, violations
from ._orders import EndManner, Order
from ._shares import ShareWatch
from ._sheet import LARGE, SHEETS

CALLER_PROCESSES = 3

app = App(name="fleet", help="A large fleet as processes on this machine.")


@app.default
def run(
    *,
    disruption: str = "lost-answers",
    sheet: str = LARGE.name,
    hosts: int | None = None,
    duration_s: float = 44.0,
    rate: float = 1.0,
    impatient_share: float = 0.3,
    wait_s: float | None = None,
    seed: int = 1,
    extra_retries: int | None = None,
    net: int = 90,
    host_sources: Path | None = None,
    upload_share: float = 0.1,
    crash: str = "",
    crash_copies: int = 1,
    crash_interval_s: float = 0.1,
    crash_at_s: float = 15.0,
    crash_steady: bool = False,
    crash_patience_s: float | None = None,
    end_manner: EndManner = EndManner.REFUSING,
    end_manner_share: float = 1.0,
    crash_refused_share: float = 0.0,
    crash_failed_share: float = 0.0,
    shares_interval_s: float = 0.0,
) -> None:
    """Play one run, and exit with 1 if it breaks what operators allow.

    Parameters
    ----------
    disruption
        One of the names in ``DISRUPTIONS``.
    sheet
        Name of the deployment that is played: large, small or busy.
    hosts
        How many hosts, by default those of the sheet.
    duration_s
        For how long callers send.
    rate
        Multiple of the rates in the sheet.
    impatient_share
        Share of the callers that repeat at once.
    wait_s
        Callers begin this long after the start of the hosts; by default, once all
        hosts are ready.
    seed
        Seed of the random choices.
    extra_retries
        Repeats that operators allow in a window beyond those for each request, by
        default those of the sheet.
    net
        Programs listen below 127.NET, so that several runs don't meet.
    host_sources
        Folder with the sources of the hosts, by default those of this checkout.
    upload_share
        Share of the requests with a body that are uploads: 0 to 200 kB, sent in pieces.
        Servers verify every byte, and answer some uploads before their end. With 0, a
        seed gives the same requests as without support for uploads.
    crash
        Kind of a request that ends each server that begins to run it, sent beside the
        others; empty for none.
    crash_copies
        How many of them a caller sends at once, to hosts at random.
    crash_interval_s
        From an answer to such a request to the next one.
    crash_at_s
        When the first one is sent.
    crash_steady
        Count the interval from each send, and wait for no answer.
    crash_patience_s
        After which the caller of such a request leaves, by default at its deadline.
    end_manner
        What is seen of a server that such a request has ended.
    end_manner_share
        Share of these servers that end in that manner; the others refuse connections.
    crash_refused_share
        Share of the arrivals of such a request that servers refuse without a run.
    crash_failed_share
        Share of these arrivals that servers answer with 500 without a run.
    shares_interval_s
        Add up the hosts' shares in the saved retries this often, 0 for never. Hosts
        state them in their metrics, which takes their processor time.

    """
    if sheet not in SHEETS:
        sys.exit(f"--sheet: expected one of {', '.join(SHEETS)}; got {sheet!r}")
    played = SHEETS[sheet]
    hosts = played.hosts if hosts is None else hosts
    agreement = played.agreement
    if extra_retries is not None:
        agreement = replace(agreement, extra=extra_retries)
    kinds = [spec.name for spec in played.requests]
    if crash and crash not in kinds:
        sys.exit(f"--crash: expected one of {', '.join(kinds)}; got {crash!r}")
    if disruption not in DISRUPTIONS:
        expected = ", ".join(sorted(DISRUPTIONS))
        sys.exit(f"--disruption: expected one of {expected}; got {disruption!r}")
    # The processes also end when this one is asked to.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit("ended by SIGTERM"))
    rng = Random(seed)
    directory = Path(mkdtemp(prefix="fleet-"))
    sources = host_sources or Path(gentianwharf.__file__).parents[1]
    fleet = Fleet(
        directory=directory,
        net=net,
        hosts=hosts,
        host_sources=sources,
        sheet=played,
        agreement=agreement,
    )
    crashing: tuple[str, ...] = (
        *("--crash", crash, "--crash-copies", str(crash_copies)),
        *("--crash-interval-s", str(crash_interval_s)),
        *("--crash-at-s", str(crash_at_s)),
        "--crash-steady" if crash_steady else "--no-crash-steady",
    )
    if crash_patience_s is not None:
        crashing += ("--crash-patience-s", str(crash_patience_s))
    watch = ShareWatch(fleet=fleet, interval_s=shares_interval_s)
    outputs = [directory / f"callers-{part}.jsonl" for part in range(CALLER_PROCESSES)]
    try:
        fleet.start_platform()
        fleet.order_servers(
            Order(
                end_manner=end_manner,
                end_manner_share=end_manner_share,
                refused_share=crash_refused_share,
                failed_share=crash_failed_share,
            )
        )
        watch.start()
        started_s = time.monotonic()
        for number in range(hosts):
            fleet.start_host(number)
        _wait_for_hosts(fleet, wait_s)
        ready = fleet.ready_hosts()
        waited_s = time.monotonic() - started_s
        begun_s = time.monotonic()
        for part, output in enumerate(outputs):
            fleet.start_callers(
                f"callers-{part}",
                output,
                *("--net", str(net), "--hosts", str(hosts), "--part", str(part)),
                *("--parts", str(len(outputs)), "--duration-s", str(duration_s)),
                *("--rate", str(rate), "--impatient-share", str(impatient_share)),
                *("--seed", str(seed), "--upload-share", str(upload_share)),
                *("--sheet", sheet),
                *(crashing if crash and not part else ()),
            )
        for step in sorted(DISRUPTIONS[disruption], key=lambda step: step.at_s):
            _sleep_until(begun_s + step.at_s)
            step.act(fleet, rng)
        for part in range(CALLER_PROCESSES):
            fleet.wait_for(f"callers-{part}")
        fleet.check()
        watch.stop()
        record = fleet.record(outputs)
        record.begun_s = begun_s
    finally:
        watch.stop()
        fleet.stop()
    missing = missing_effects(record)
    if missing:
        sys.exit(f"{disruption}: {'; '.join(missing)}; logs in {directory}")
    found = violations(record)
    print(
        f"{disruption}, {sheet}, {hosts} hosts, seed {seed}, rate {rate}: {ready} ready"
        f" after {waited_s:.1f} s; {len(found)} broken; logs in {directory}"
    )
    lines = [*summary(record), *watch.summary(agreement), *found]
    print("\n".join(f"  {line}" for line in lines), flush=True)
    sys.exit(1 if found else 0)


def _wait_for_hosts(fleet: Fleet, wait_s: float | None) -> None:
    if wait_s is not None:
        _sleep_until(time.monotonic() + wait_s)
        return
    while fleet.ready_hosts() < fleet.host_count:
        time.sleep(POLL_INTERVAL_S)


def _sleep_until(end_s: float) -> None:
    time.sleep(max(0.0, end_s - time.monotonic()))


if __name__ == "__main__":
    app()
