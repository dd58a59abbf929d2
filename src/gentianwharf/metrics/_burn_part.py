"""One host's part of the burn report, as it goes to another host, and their sum.

Percentiles of hosts can't be averaged, so hosts send encoded histograms and counts;
both add up.
"""

from collections.abc import Iterable
from typing import Any, final

import msgspec

from gentianwharf.errors import InputError

from ._burn import BurnReport, ClassLatency, MissingHost, UnavailableBurn, burn_report
from ._histograms import EncodedHistogram, new_histogram, percentile_s
from ._objectives import Objective
from ._windows import WindowCount

ELAPSED = "gentianwharf_answer_seconds"


@final
class BurnPart(msgspec.Struct, frozen=True, kw_only=True):
    """What one host counted and timed."""

    counts: list[WindowCount]
    unavailable: list[UnavailableBurn]
    histograms: list[EncodedHistogram]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(BurnPart)


def encode_part(part: BurnPart) -> bytes:
    """Return a part as it goes to another host."""
    return _encoder.encode(part)


def decode_part(data: bytes, *, peer: str) -> BurnPart:
    """Check and return a part; raises ``InputError``."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise InputError(
            f"expected a host's part of the burn report: {error}; is the host of"
            " another version?",
            step="read burn part",
            peer=peer,
        ) from error


@final
class BurnAggregator:
    """Adds hosts' parts up as they come; none of them is kept.

    Counts and histograms add up. Of unavailable time the longest span is the longest
    that any host saw; shard-seconds are added, so that an outage which two hosts saw
    counts twice.
    """

    def __init__(self, *, objectives: Iterable[Objective]) -> None:
        self._objectives = tuple(objectives)
        self._hosts: list[str] = []
        self._counts: dict[tuple[Any, ...], tuple[int, int]] = {}
        self._unavailable: dict[str, UnavailableBurn] = {}
        self._elapsed: dict[tuple[str, str], Any] = {}

    def add(self, host: str, part: BurnPart) -> None:
        """Add a host's part, whole or not at all; raises ``InputError``."""
        decoded = [
            ((one.service, one.request_class), _decoded(one, host))
            for one in part.histograms
            if one.name == ELAPSED
        ]
        for which, histogram in decoded:
            self._elapsed.setdefault(which, new_histogram()).add(histogram)
        for one in part.counts:
            self._add_count(one)
        for burn in part.unavailable:
            self._add_unavailable(burn)
        self._hosts.append(host)

    def report(self, *, silent: Iterable[MissingHost] = ()) -> BurnReport:
        """Return the report over all hosts that were added."""
        counts = [
            WindowCount(
                window_s=window_s,
                request_class=request_class,
                service=service,
                rule=rule,
                domain=domain,
                server=server,
                total=total,
                bad=bad,
            )
            for (
                (window_s, request_class, service, rule, domain, server),
                (total, bad),
            ) in self._counts.items()
        ]
        return burn_report(
            self._objectives,
            counts,
            unavailable=list(self._unavailable.values()),
            latencies=[
                _latency(service, request_class, histogram)
                for (service, request_class), histogram in sorted(self._elapsed.items())
            ],
            hosts=sorted(self._hosts),
            silent=list(silent),
        )

    def _add_count(self, one: WindowCount) -> None:
        labels = (
            one.window_s,
            one.request_class,
            one.service,
            one.rule,
            one.domain,
            one.server,
        )
        total, bad = self._counts.get(labels, (0, 0))
        self._counts[labels] = total + one.total, bad + one.bad

    def _add_unavailable(self, one: UnavailableBurn) -> None:
        known = self._unavailable.get(one.service)
        if known is not None:
            longest_s = max(known.longest_s, one.longest_s)
            allowed_s = min(known.allowed_s, one.allowed_s)
            one = UnavailableBurn(
                service=one.service,
                shard_s=known.shard_s + one.shard_s,
                longest_s=longest_s,
                allowed_s=allowed_s,
                within=longest_s <= allowed_s,
            )
        self._unavailable[one.service] = one


def _decoded(one: EncodedHistogram, host: str) -> Any:
    histogram = new_histogram()
    try:
        histogram.decode_and_add(one.encoded)
    except Exception as error:
        # The library has no common error of its own: zlib's, binascii's and others.
        raise InputError(
            f"expected an encoded histogram of {one.service} {one.request_class}:"
            f" {error or type(error).__name__}; is the host of another version?",
            step="add burn part",
            peer=host,
        ) from error
    return histogram


def _latency(service: str, request_class: str, histogram: Any) -> ClassLatency:
    return ClassLatency(
        service=service,
        request_class=request_class,
        answers=histogram.get_total_count(),
        p50_s=percentile_s(histogram, 50),
        p99_s=percentile_s(histogram, 99),
        p999_s=percentile_s(histogram, 99.9),
        longest_s=percentile_s(histogram, 100),
    )
