"""One host's part of the burn report, as sent to another host, and its aggregation.

Percentiles of several hosts can't be averaged. Hosts therefore send encoded histograms
and counts, both of which can be added up.
"""

from collections.abc import Iterable
from typing import Any, final

import msgspec

from gentianwharf.errors import InputError

from ._burn import BurnReport, ClassLatency, MissingHost, UnavailableBurn, burn_report
from ._histograms import EncodedHistogram, new_histogram, percentile_s
from ._objectives import Objective
from ._windows import WindowCount

ANSWER_SECONDS = "gentianwharf_answer_seconds"


@final
class BurnPart(msgspec.Struct, frozen=True, kw_only=True):
    """The counts and histograms of one host."""

    counts: list[WindowCount]
    unavailable: list[UnavailableBurn]
    histograms: list[EncodedHistogram]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(BurnPart)


def encode_part(part: BurnPart) -> bytes:
    """Encode a part for sending to another host."""
    return _encoder.encode(part)


def decode_part(data: bytes, *, peer: str) -> BurnPart:
    """Decode and validate a part; raises ``InputError`` if it is malformed."""
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
    """Adds up the parts of hosts as they arrive, without retaining the parts.

    Counts and histograms are added. The longest unavailable span is the maximum over
    all hosts. Shard-seconds of unavailable time are added as well, so an outage that
    two hosts observed counts twice.
    """

    def __init__(self, *, objectives: Iterable[Objective]) -> None:
        self._objectives = tuple(objectives)
        self._hosts: list[str] = []
        self._counts: dict[tuple[Any, ...], tuple[int, int]] = {}
        self._unavailable: dict[str, UnavailableBurn] = {}
        self._elapsed: dict[tuple[str, str], Any] = {}

    def add(self, host: str, part: BurnPart) -> None:
        """Add a host's part.

        Raises ``InputError`` if a histogram can't be decoded; nothing is added then.
        """
        decoded = [
            ((entry.service, entry.request_class), _decoded(entry, host))
            for entry in part.histograms
            if entry.name == ANSWER_SECONDS
        ]
        for service_class, histogram in decoded:
            self._elapsed.setdefault(service_class, new_histogram()).add(histogram)
        for count in part.counts:
            self._add_count(count)
        for burn in part.unavailable:
            self._add_unavailable(burn)
        self._hosts.append(host)

    def report(self, *, silent: Iterable[MissingHost] = ()) -> BurnReport:
        """Return the report over all added hosts; ``silent`` are the missing ones."""
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

    def _add_count(self, count: WindowCount) -> None:
        labels = (
            count.window_s,
            count.request_class,
            count.service,
            count.rule,
            count.domain,
            count.server,
        )
        total, bad = self._counts.get(labels, (0, 0))
        self._counts[labels] = total + count.total, bad + count.bad

    def _add_unavailable(self, burn: UnavailableBurn) -> None:
        previous = self._unavailable.get(burn.service)
        if previous is not None:
            longest_s = max(previous.longest_s, burn.longest_s)
            allowed_s = min(previous.allowed_s, burn.allowed_s)
            burn = UnavailableBurn(
                service=burn.service,
                shard_s=previous.shard_s + burn.shard_s,
                longest_s=longest_s,
                allowed_s=allowed_s,
                within=longest_s <= allowed_s,
            )
        self._unavailable[burn.service] = burn


def _decoded(entry: EncodedHistogram, host: str) -> Any:
    histogram = new_histogram()
    try:
        histogram.decode_and_add(entry.encoded)
    except Exception as error:
        # The library has no base exception of its own; it lets those of zlib, binascii
        # and other modules through.
        raise InputError(
            f"expected an encoded histogram of {entry.service} {entry.request_class}:"
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
