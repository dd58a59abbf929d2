"""Checks of the promises that callers and backend servers can observe."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, final

from ._added_rules import AddedRule

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise that the request has not run and never will."""

MIN_SERVED_SHARE = 0.98
"""The share of requests that must be served once the deployment has recovered."""


@final
@dataclass(kw_only=True, slots=True)
class SentRequest:
    """One request as its caller sees it; ``status`` is 0 without a response."""

    id: str
    service: str
    host: str
    may_repeat: bool
    sent_s: float
    rule: AddedRule | None = None
    ended_s: float = 0.0
    status: int = 0
    body: bytes = b""
    signature: str | None = None
    is_complete: bool = False
    error: str = ""

    @property
    def is_served(self) -> bool:
        """Whether the caller got a whole answer of a server."""
        return self.status == 200 and self.is_complete

    def is_allowed(self) -> bool:
        """Whether every version of the rules that may be in force has its rule."""
        if self.rule is None:
            return True
        return self.rule.must_be_served(self.sent_s, self.ended_s)


def find_violations(requests: Sequence[SentRequest], runs: Iterable[Any]) -> list[str]:
    """Return a line for each violation of a promise."""
    by_id: dict[str, list[Any]] = defaultdict(list)
    by_shard: dict[int, list[Any]] = defaultdict(list)
    for run in runs:
        by_id[run["request_id"]].append(run)
        if run["shard"] is not None and run["is_whole"]:
            by_shard[run["shard"]].append(run)
    violations = [
        line
        for request in requests
        for line in _check_request(request, by_id[request.id])
    ]
    return violations + [
        line for shard_runs in by_shard.values() for line in _check_owners(shard_runs)
    ]


def sent_by_service(requests: Iterable[SentRequest]) -> dict[str, list[float]]:
    """Return the times at which callers sent requests to each service, in order."""
    sent_s: dict[str, list[float]] = defaultdict(list)
    for request in requests:
        sent_s[request.service].append(request.sent_s)
    return {service: sorted(times_s) for service, times_s in sent_s.items()}


def _check_request(request: SentRequest, runs: Sequence[Any]) -> Iterable[str]:
    where = f"{request.id} through {request.host} at {request.sent_s:.3f}"
    if not request.may_repeat and len(runs) > 1:
        servers = [run["server"] for run in runs]
        yield f"REPEATED: {where} ran {len(runs)} times, on {servers}"
    if request.status in NOT_RUN_STATUSES and runs and not request.may_repeat:
        yield f"PROMISE: {where} got {request.status} and ran on {runs[0]['server']}"
    if request.status == 200 and request.is_complete:
        if not request.body.startswith(request.id.encode() + b" "):
            yield f"ANSWER: {where} got another request's: {request.body[:80]!r}"
        if request.signature is None:
            yield f"ANSWER: {where} got 200 that no server signed"


def _check_owners(runs: list[Any]) -> Iterable[str]:
    """Yield a line for each overlap of runs of one shard on two servers."""
    runs.sort(key=lambda run: run["begun_s"])
    latest = runs[0]
    for run in runs[1:]:
        if run["server"] != latest["server"] and run["begun_s"] < latest["ended_s"]:
            yield (
                f"OWNER: shard {run['shard']} ran on {latest['server']} until"
                f" {latest['ended_s']:.3f} and on {run['server']} from"
                f" {run['begun_s']:.3f}"
            )
        if run["ended_s"] > latest["ended_s"]:
            latest = run


def check_recovery(requests: Sequence[SentRequest], *, from_s: float) -> list[str]:
    """Return a line if too few requests are served from ``from_s`` on."""
    late = [
        request
        for request in requests
        if request.sent_s >= from_s and request.is_allowed()
    ]
    served = sum(request.is_served for request in late)
    if late and served >= len(late) * MIN_SERVED_SHARE:
        return []
    failures = sorted(
        {
            f"{request.status} {request.error}"
            for request in late
            if request.status != 200
        }
    )
    return [
        f"RECOVER: {served} of {len(late)} served once all was well: {failures[:5]}"
    ]
