"""A model of how a backend server handles grants, for stand-ins and fakes."""

from dataclasses import dataclass
from typing import final

from gentianwharf.infra import Grant, GrantOutcome


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class HeldShard:
    """A shard that the server holds; ``expires_s`` is on the server's own clock."""

    token: int
    expires_s: float


@final
class GrantTable:
    """The shards of one server with their tokens, and the highest token of each shard.

    ``knows_validity`` and ``gives_stamp`` are as in ``BackendServer``; without
    ``knows_validity`` a grant holds until it is released. The table is lost on a cold
    start.

    >>> table = GrantTable(started_s=0.0)
    >>> order = Grant(service="s", giver="h", term=1, tokens={7: 2}, validity_s=1.0,
    ...               server_stamp_s=None, void_after_stamp_s=None)
    >>> table.grant(order, now_s=1.0).value
    'accepted'
    >>> table.would_run(shard=7, token=2, now_s=1.0)
    True
    >>> table.release({7: 3}).value
    'accepted'
    >>> table.grant(order, now_s=1.0).value
    'fenced'
    """

    def __init__(
        self,
        *,
        started_s: float,
        knows_validity: bool = False,
        gives_stamp: bool = False,
        checks_giver: bool = False,
    ) -> None:
        self._started_s = started_s
        self._knows_validity = knows_validity
        self._gives_stamp = gives_stamp
        self._checks_giver = checks_giver
        self._term = 0
        self._held: dict[int, HeldShard] = {}
        self._highest_tokens: dict[int, int] = {}
        self.leaving = False

    def grant(self, grant: Grant, *, now_s: float) -> GrantOutcome:
        """Accept or renew all shards of a grant, or none of them."""
        if self._is_void(grant, now_s):
            return GrantOutcome.VOID
        if self._is_fenced(grant.tokens):
            return GrantOutcome.FENCED
        new = any(shard not in self._held for shard in grant.tokens)
        if self.leaving and new:
            return GrantOutcome.LEAVING
        grant_expires_s = self._expiry_s(grant, now_s)
        for shard, token in grant.tokens.items():
            held = self._held.get(shard)
            is_renewal = held is not None and held.token == token
            expires_s = (
                max(held.expires_s, grant_expires_s)
                if held and is_renewal
                else grant_expires_s
            )
            self._held[shard] = HeldShard(token=token, expires_s=expires_s)
            self._highest_tokens[shard] = token
        return GrantOutcome.ACCEPTED

    def _is_void(self, grant: Grant, now_s: float) -> bool:
        if not self._gives_stamp or grant.server_stamp_s is None:
            return False
        # The stamp is older than this process: the order was written before a cold
        # start that lost the fences, and must not grant a shard again.
        if grant.server_stamp_s < self._started_s:
            return True
        void_after_s = grant.void_after_stamp_s
        return void_after_s is not None and now_s > void_after_s

    def _expiry_s(self, grant: Grant, now_s: float) -> float:
        if not self._knows_validity:
            return float("inf")
        stamp_s = grant.server_stamp_s if self._gives_stamp else None
        return (now_s if stamp_s is None else stamp_s) + grant.validity_s

    def _is_fenced(self, tokens: dict[int, int]) -> bool:
        return any(
            token < self._highest_tokens.get(shard, 0)
            for shard, token in tokens.items()
        )

    def release(self, tokens: dict[int, int]) -> GrantOutcome:
        """Release shards, and fence all tokens below the given ones."""
        if self._is_fenced(tokens):
            return GrantOutcome.FENCED
        for shard, token in tokens.items():
            held = self._held.get(shard)
            if held is not None and held.token < token:
                del self._held[shard]
            self._highest_tokens[shard] = token
        return GrantOutcome.ACCEPTED

    def would_run(self, *, shard: int, token: int, now_s: float) -> bool:
        """Whether a request for ``shard`` under ``token`` would run now."""
        held = self._held.get(shard)
        return held is not None and held.token == token and now_s <= held.expires_s

    def held(self, *, now_s: float) -> dict[int, int]:
        """Return the tokens of the shards whose grants have not expired."""
        return {
            shard: held.token
            for shard, held in self._held.items()
            if now_s <= held.expires_s
        }
