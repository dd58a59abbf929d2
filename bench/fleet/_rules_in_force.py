"""Checks how soon hosts have versions of the rules in force."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from math import inf
from statistics import median
from typing import final

import msgspec
from soak._added_rules import CONFIG_APPLY_S
from soak._disruptions import CATCH_UP_S

from gentianwharf.platform.standin import Outage, StoreOrderReport

IN_FORCE = "configuration in force"
STARTED = "started"

Span = tuple[float, float]


@final
@dataclass(kw_only=True)
class HostRules:
    """The versions that a host put in force, and its downtimes.

    ``in_force`` has times and versions in order, ``downtimes_s`` the spans in which the
    host did not run.
    """

    name: str
    in_force: list[tuple[float, int]] = field(default_factory=list)
    started_s: list[float] = field(default_factory=list)
    downtimes_s: list[Span] = field(default_factory=list)

    def add_restart(self, killed_s: float) -> None:
        """Add the downtime from the end of a process to the start of the next one."""
        started_s = [at_s for at_s in self.started_s if at_s > killed_s]
        self.downtimes_s.append((killed_s, started_s[0] if started_s else inf))

    def in_force_s(self, version: int, *, from_s: float) -> float:
        """Return when it had a version or a newer one, ``from_s`` at the earliest."""
        known = [(at_s, number) for at_s, number in self.in_force if number >= version]
        return max(from_s, known[0][0]) if known else inf


@final
@dataclass(frozen=True, kw_only=True)
class Delays:
    """How long hosts took to put a version in force after its acknowledgement.

    ``late`` has the hosts that exceeded the allowed time, and by how much. Outages and
    downtimes extend that time.
    """

    version: int
    acknowledged_s: float
    delays_s: Sequence[float]
    late: Mapping[str, float]


def read_host_lines(
    name: str, lines: Iterable[bytes], *, clock_offset_s: float
) -> HostRules:
    """Read a host's log; ``clock_offset_s`` is subtracted from its times."""
    rules = HostRules(name=name)
    for line in lines:
        try:
            entry = msgspec.json.decode(line)
        except msgspec.DecodeError:
            continue
        if not isinstance(entry, dict) or entry.get("message") not in (
            IN_FORCE,
            STARTED,
        ):
            continue
        at_s = datetime.fromisoformat(entry["at"]).timestamp() - clock_offset_s
        if entry["message"] == STARTED:
            rules.started_s.append(at_s)
        elif isinstance(entry.get("version"), int):
            rules.in_force.append((at_s, entry["version"]))
    return rules


def store_outages_s(
    reports: Iterable[StoreOrderReport], address: str | None = None
) -> list[Span]:
    """Return the spans in which the store hung or refused, for an address alone."""
    spans_s: list[Span] = []
    begun_s: float | None = None
    for report in reports:
        addresses = report.order.addresses
        is_meant = address in addresses if address else not addresses
        if report.order.outage is None or not is_meant:
            continue
        if begun_s is not None:
            spans_s.append((begun_s, report.carried_out_s))
        is_over = report.order.outage is Outage.NONE
        begun_s = None if is_over else report.carried_out_s
    return spans_s + ([(begun_s, inf)] if begun_s is not None else [])


def due_s(acknowledged_s: float, downtimes_s: Iterable[Span]) -> float:
    """Return when a version must be in force on a host.

    >>> due_s(10.0, []), due_s(10.0, [(5.0, 10.5)]), due_s(10.0, [(12.5, 14.0)])
    (12.0, 13.5, 12.0)
    """
    at_s = acknowledged_s + CONFIG_APPLY_S
    for begun_s, ended_s in sorted(downtimes_s):
        if begun_s <= at_s <= ended_s + CATCH_UP_S:
            at_s = ended_s + CATCH_UP_S
    return at_s


def delays(
    acknowledged: Iterable[tuple[int, float]],
    hosts: Sequence[HostRules],
    *,
    outages_s: Sequence[Span],
) -> Iterator[Delays]:
    """Yield the delays of each version, which was acknowledged at the given time."""
    for version, acknowledged_s in acknowledged:
        late: dict[str, float] = {}
        delays_s = []
        for host in hosts:
            in_force_s = host.in_force_s(version, from_s=acknowledged_s)
            delays_s.append(in_force_s - acknowledged_s)
            excess_s = in_force_s - due_s(
                acknowledged_s, [*outages_s, *host.downtimes_s]
            )
            if excess_s > 0:
                late[host.name] = excess_s
        yield Delays(
            version=version,
            acknowledged_s=acknowledged_s,
            delays_s=delays_s,
            late=late,
        )


def describe_delays(found: Iterable[Delays], *, begun_s: float) -> list[str]:
    """Return a line for each version, with times since ``begun_s``."""
    return [
        f"version {version.version}, acknowledged at"
        f" {version.acknowledged_s - begun_s:.3f} s: in force after"
        f" {median(version.delays_s):.3f} s at the median host,"
        f" {max(version.delays_s):.3f} s at the last"
        for version in found
    ]


def find_late(found: Iterable[Delays], *, begun_s: float) -> list[str]:
    """Return a line for each version that hosts in touch had too late."""
    return [
        f"CONFIG: version {version.version}, acknowledged at"
        f" {version.acknowledged_s - begun_s:.3f} s, was late on {len(version.late)}"
        f" hosts in touch, most on {max(version.late, key=version.late.__getitem__)},"
        f" by {max(version.late.values()):.3f} s more than {CONFIG_APPLY_S} s"
        for version in found
        if version.late
    ]
