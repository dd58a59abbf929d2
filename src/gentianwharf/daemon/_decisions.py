"""Routing decisions on requests, from this host or from the one that served them."""

from collections.abc import Callable
from dataclasses import asdict
from typing import Any, cast, final

import msgspec

from gentianwharf.admin import JsonValue, RetainedDecisions
from gentianwharf.metrics import Decision, Recorder
from gentianwharf.spread import PeerQueries

from ._hosts import HostTable
from ._peer_responses import decode_response

DECISION = "decision"

HOST_TIMEOUT_S = 0.5
TIMEOUT_S = 3.0

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[dict[str, Any]])


@final
class FleetDecisions:
    """The decisions that the hosts retain, found by request id.

    A caller can give the id of its request, but not the host that the balancer chose.
    """

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
            DECISION,
            lambda request_id: _encoder.encode(self._own_decisions(request_id)),
        )

    def latest(self, *, refused_only: bool, limit: int) -> RetainedDecisions:
        """Return the newest decisions that this host retains."""
        retained = self._recorder.decisions.latest(
            limit=limit, always_kept_only=refused_only
        )
        return RetainedDecisions(
            decisions=[self._as_fields(decision) for decision in retained], silent={}
        )

    async def find(self, request_id: str) -> RetainedDecisions:
        """Return this host's decisions on a request, or else those of other hosts."""
        found = self._own_decisions(request_id)
        if found:
            return RetainedDecisions(decisions=found, silent={})

        def add_response(host: str, response: bytes) -> None:
            decisions = decode_response(
                _decoder,
                response,
                expected="a host's decisions",
                step="ask for a decision",
                peer=host,
            )
            found.extend(decisions)

        silent = await self._queries.gather(
            DECISION,
            [host for host in sorted(self._hosts.hosts) if host != self._hosts.own.id],
            argument=request_id,
            on_answer=add_response,
            host_timeout_s=HOST_TIMEOUT_S,
            timeout_s=TIMEOUT_S,
        )
        return RetainedDecisions(
            decisions=cast("list[dict[str, JsonValue]]", found), silent=silent
        )

    def _own_decisions(self, request_id: str) -> list[dict[str, Any]]:
        decision = self._recorder.decisions.find(request_id)
        return [self._as_fields(decision)] if decision is not None else []

    def _as_fields(self, decision: Decision) -> dict[str, Any]:
        # ``at_s`` is a reading of this host's monotonic clock, meaningless elsewhere.
        ago_s = self._now_s() - decision.at_s
        fields = asdict(decision) | {"host": self._hosts.own.id, "ago_s": ago_s}
        del fields["at_s"]
        return fields
