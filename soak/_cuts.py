"""Cuts the links of some hosts to all servers, and checks that they are served."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf
from random import Random
from typing import final

from ._checks import SentRequest
from ._deployment import Deployment
from ._disruptions import ALL_SERVER_LINKS, Disruptions
from ._schedule import Schedule
from ._server_link import LinkCut

PAUSE_S = (0.5, 5.0)
DURATION_S = (1.5, 6.0)
DETECTION_S = 1.0
"""Time from the cut after which hosts without links have to serve."""

MIN_REQUESTS = 10
MIN_SERVED_RATIO = 2 / 3
"""How often first tries at hosts without links are served, relative to the others."""

MAX_FAILURES, MAX_FAILED_SHARE = 10, 0.02


@final
@dataclass(kw_only=True, slots=True)
class Cut:
    """The links of ``hosts`` to all servers were cut for a time."""

    hosts: tuple[str, ...]
    begun_s: float
    ended_s: float = inf


@final
class Cuts:
    """Cuts links at random times, in addition to the other faults."""

    def __init__(
        self, *, deployment: Deployment, schedule: Schedule, rng: Random
    ) -> None:
        self.cuts: list[Cut] = []
        self._deployment = deployment
        self._schedule = schedule
        self._rng = rng

    def start(self) -> None:
        """Schedule the next cut."""
        self._schedule.call_later(self._rng.uniform(*PAUSE_S), self._begin)

    def _begin(self) -> None:
        rng, hosts = self._rng, self._deployment.hosts
        names = tuple(sorted(rng.sample(hosts, rng.randint(1, len(hosts) - 1))))
        form = rng.choice(list(LinkCut))
        duration_s = rng.uniform(*DURATION_S)
        self._schedule.record(
            f"links of {', '.join(names)} to all servers: {form} for {duration_s:.2f} s"
        )
        self.cuts.append(Cut(hosts=names, begun_s=self._deployment.reactor.seconds()))
        self._deployment.links.cut_from_servers(names, form)
        self._schedule.call_later(duration_s, self._end)

    def _end(self) -> None:
        self.restore()
        self.start()

    def restore(self) -> None:
        """Restore all links."""
        self._deployment.links.restore_to_servers()
        for cut in self.cuts:
            cut.ended_s = min(cut.ended_s, self._deployment.reactor.seconds())


def requests_during(
    cut: Cut, requests: Sequence[SentRequest], disruptions: Disruptions
) -> tuple[list[SentRequest], list[SentRequest]]:
    """Return first tries at hosts without links, and those at the others.

    They were sent once hosts have to know of the cut, through hosts that nothing else
    disrupted, and while some host with links was undisrupted, too: without one, or
    while all links hold what is sent, there is no way to the servers.
    """
    linked = {request.host for request in requests} - set(cut.hosts)
    counted = [
        request
        for request in requests
        if cut.begun_s + DETECTION_S <= request.sent_s < cut.ended_s
        and request.is_allowed()
        and not disruptions.overlaps(ALL_SERVER_LINKS, request.sent_s, request.ended_s)
        and disruptions.is_undisrupted(request.host, request.sent_s, request.ended_s)
        and any(
            disruptions.is_undisrupted(host, request.sent_s, request.ended_s)
            for host in linked
        )
    ]
    return (
        [request for request in counted if request.host in cut.hosts],
        [request for request in counted if request.host not in cut.hosts],
    )


def describe_cuts(
    requests: Sequence[SentRequest], cuts: Sequence[Cut], disruptions: Disruptions
) -> str:
    """Return how many first tries were served during all cuts, by where they went."""
    pairs = [requests_during(cut, requests, disruptions) for cut in cuts]
    cut_off = [request for pair in pairs for request in pair[0]]
    others = [request for pair in pairs for request in pair[1]]
    return (
        f"without links {sum(each.is_served for each in cut_off)} of {len(cut_off)}"
        f" served, meanwhile {sum(each.is_served for each in others)} of"
        f" {len(others)} at the others"
    )


def find_unserved_cuts(
    requests: Sequence[SentRequest],
    cuts: Sequence[Cut],
    disruptions: Disruptions,
) -> list[str]:
    """Return a line for each cut during which the hosts without links served less."""
    lines = []
    for cut in cuts:
        cut_off, others = requests_during(cut, requests, disruptions)
        if min(len(cut_off), len(others)) < MIN_REQUESTS:
            continue
        failures = [request for request in cut_off if not request.is_served]
        sent = len(cut_off) + len(others)
        allowed = MAX_FAILURES + MAX_FAILED_SHARE * sent
        ratio = _served_share(cut_off) / max(_served_share(others), 1 / len(others))
        if ratio < MIN_SERVED_RATIO and len(failures) > allowed:
            outcomes = sorted({f"{each.status} {each.error}" for each in failures})
            lines.append(
                f"CUT-OFF: hosts without links from {cut.begun_s:.3f} to"
                f" {cut.ended_s:.3f} ({', '.join(cut.hosts)}) failed {len(failures)} of"
                f" {len(cut_off)}, served {ratio:.2f} times as often as the others:"
                f" {outcomes[:5]}"
            )
    return lines


def _served_share(requests: Sequence[SentRequest]) -> float:
    return sum(request.is_served for request in requests) / len(requests)
