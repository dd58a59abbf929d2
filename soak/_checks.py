"""What must hold, from what callers and backend servers see."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, final

from ._added_rules import AddedRule

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Each promises that the request has not run and never will."""

LEAST_SERVED = 0.98
"""Of what is asked once all troubles are over and the time to recover has passed."""


@final
@dataclass(kw_only=True, slots=True)
class Asked:
    """One request as its caller sees it; ``status`` 0 without an answer."""

    id: str
    host: str
    may_repeat: bool
    asked_s: float
    rule: AddedRule | None = None
    ended_s: float = 0.0
    status: int = 0
    body: bytes = b""
    signature: str | None = None
    is_whole: bool = False
    error: str = ""

    def is_allowed(self) -> bool:
        """Whether each version of the rules that may be in force allows it."""
        if self.rule is None:
            return True
        return self.rule.must_be_served(self.asked_s, self.ended_s)


def broken(asked: Sequence[Asked], runs: Iterable[Any]) -> list[str]:
    """Return a line for each promise that was broken."""
    by_id: dict[str, list[Any]] = defaultdict(list)
    by_shard: dict[int, list[Any]] = defaultdict(list)
    for run in runs:
        by_id[run["request_id"]].append(run)
        if run["shard"] is not None and run["is_whole"]:
            by_shard[run["shard"]].append(run)
    found = [line for one in asked for line in _request(one, by_id[one.id])]
    return found + [line for one in by_shard.values() for line in _owners(one)]


def _request(asked: Asked, runs: Sequence[Any]) -> Iterable[str]:
    where = f"{asked.id} through {asked.host} at {asked.asked_s:.3f}"
    if not asked.may_repeat and len(runs) > 1:
        servers = [run["server"] for run in runs]
        yield f"REPEATED: {where} ran {len(runs)} times, on {servers}"
    if asked.status in NOT_RUN_STATUSES and runs and not asked.may_repeat:
        yield f"PROMISE: {where} got {asked.status} and ran on {runs[0]['server']}"
    if asked.status == 200 and asked.is_whole:
        if not asked.body.startswith(asked.id.encode() + b" "):
            yield f"ANSWER: {where} got another request's: {asked.body[:80]!r}"
        if asked.signature is None:
            yield f"ANSWER: {where} got 200 that no server signed"


def _owners(runs: list[Any]) -> Iterable[str]:
    """Yield where two servers ran requests of one shard at the same time."""
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


def unserved(asked: Sequence[Asked], *, from_s: float) -> list[str]:
    """Return a line if too little is served after everything is well again."""
    late = [one for one in asked if one.asked_s >= from_s and one.is_allowed()]
    served = sum(one.status == 200 and one.is_whole for one in late)
    if late and served >= len(late) * LEAST_SERVED:
        return []
    others = sorted({f"{one.status} {one.error}" for one in late if one.status != 200})
    return [f"RECOVER: {served} of {len(late)} served once all was well: {others[:5]}"]
