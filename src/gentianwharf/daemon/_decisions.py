"""Why requests went where they went, on this host or whichever served them."""

from collections.abc import Callable
from dataclasses import asdict
from typing import Any, cast, final

import msgspec

from gentianwharf.admin import JsonValue, RetainedDecisions
from gentianwharf.metrics import Decision, Recorder
from gentianwharf.spread import PeerQueries

from ._hosts import HostTable
from ._peer_answers import read_answer

DECISION = "decision"

HOST_TIMEOUT_S = 0.5
TIMEOUT_S = 3.0

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[dict[str, Any]])


@final
class FleetDecisions:
    """A caller knows its request's id and not the host that the balancer chose."""

    def __init__(
        self,
        *,
        queries: PeerQueries,
        hosts: HostTable,
        recorder: Recorder,
        now_s: Callable[[], float],
    ) -> None:
        self._queries = queries
        self._hosts = hosts
        self._recorder = recorder
        self._now_s = now_s
        queries.register_handler(
            DECISION, lambda request_id: _encoder.encode(self._own(request_id))
        )

    def latest(self, *, refused_only: bool, limit: int) -> RetainedDecisions:
        """Return this host's newest kept decisions."""
        kept = self._recorder.decisions.latest(
            limit=limit, always_kept_only=refused_only
        )
        return RetainedDecisions(decisions=[self._told(one) for one in kept], silent={})

    async def find(self, request_id: str) -> RetainedDecisions:
        """Return what this host keeps on a request, else what any other does."""
        found = self._own(request_id)
        if found:
            return RetainedDecisions(decisions=found, silent={})

        def take(host: str, answer: bytes) -> None:
            kept = read_answer(
                _decoder,
                answer,
                expected="a host's decisions",
                step="ask for a decision",
                peer=host,
            )
            found.extend(kept)

        silent = await self._queries.gather(
            DECISION,
            [one for one in sorted(self._hosts.hosts) if one != self._hosts.own.id],
            argument=request_id,
            on_answer=take,
            host_timeout_s=HOST_TIMEOUT_S,
            timeout_s=TIMEOUT_S,
        )
        return RetainedDecisions(
            decisions=cast("list[dict[str, JsonValue]]", found), silent=silent
        )

    def _own(self, request_id: str) -> list[dict[str, Any]]:
        one = self._recorder.decisions.find(request_id)
        return [self._told(one)] if one is not None else []

    def _told(self, decision: Decision) -> dict[str, Any]:
        # Of a monotonic clock, which says nothing to another host.
        ago_s = self._now_s() - decision.at_s
        fields = asdict(decision) | {"host": self._hosts.own.id, "ago_s": ago_s}
        del fields["at_s"]
        return fields
