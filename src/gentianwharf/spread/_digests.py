"""Checksums that two hosts compare, and what they learn of each other by them."""

from collections.abc import Callable
from random import Random
from typing import final

from twisted.internet.interfaces import IReactorTime

from ._held import HeldValues
from ._messages import AnyMessage, Digest, Vector, Version
from ._overlay import Overlay
from ._pulls import Pulls
from ._readiness import Readiness

HEARTBEAT_S = 0.5
"""Time between two digests: what a lost message costs before it is noticed."""

OTHER_DOMAIN_EVERY = 4
"""Every fourth digest goes to another failure domain, whose watchers may hear the
store when ours don't."""

NEWS_S = 2.0
"""A digest whose news of the store is older than ours by this is answered by ours."""

NEVER_MS = -1


@final
class Digests:
    """Sends a digest each half second, and mends what the answers show."""

    def __init__(
        self,
        *,
        clock: IReactorTime,
        rng: Random,
        held: HeldValues,
        overlay: Overlay,
        readiness: Readiness,
        pulls: Pulls,
        bring: Callable[[str, list[Version]], None],
        send: Callable[[str, AnyMessage], None],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._held = held
        self._overlay = overlay
        self._readiness = readiness
        self._pulls = pulls
        self._bring = bring
        self._send = send
        self._beats = 0
        # Hosts that start together must not beat together.
        self._next_beat_s = clock.seconds() + rng.uniform(0, HEARTBEAT_S)

    def tick(self, *, now_s: float) -> None:
        """Send a digest when it is due."""
        if now_s < self._next_beat_s:
            return
        self._next_beat_s = now_s + HEARTBEAT_S * self._rng.uniform(0.8, 1.2)
        self._beats += 1
        target = self._beat_target()
        if target is not None:
            self._send(target, self._digest())

    def _beat_target(self) -> str | None:
        elsewhere, partners = self._overlay.partners_elsewhere, self._overlay.partners
        if elsewhere and (self._beats % OTHER_DOMAIN_EVERY == 0 or not partners):
            return self._rng.choice(elsewhere)
        return partners[self._beats % len(partners)] if partners else None

    def on_digest(self, host_id: str, digest: Digest) -> None:
        """Answer with all versions when they differ, else note the agreement."""
        if digest.checksum != self._held.table.checksum():
            self.send_vector(host_id)
            return
        # Few hosts name some host their partner; it hears news by its own digests.
        age_s = self.store_age_s()
        if age_s is not None and not 0 <= digest.store_age_ms <= 1_000 * (
            age_s + NEWS_S
        ):
            self._send(host_id, self._digest())
        self._agree(host_id, digest.store_age_ms, digest.ready)

    def on_vector(self, host_id: str, vector: Vector) -> None:
        """Ask for what is lacking and bring what the other lacks."""
        versions = self._held.carried(vector.versions)
        lacking = self._held.table.lacking(versions)
        if lacking:
            self._pulls.announced(host_id, lacking, now_s=self._clock.seconds())
        else:
            self._agree(host_id, vector.store_age_ms, vector.ready)
        self._bring(host_id, self._held.table.newer_than(versions))

    def send_vector(self, host_id: str) -> None:
        """Send every version that this host has."""
        vector = Vector(
            versions=self._held.table.versions(),
            store_age_ms=self._store_age_ms(),
            ready=self._readiness.ready,
        )
        self._send(host_id, vector)

    def judge(self) -> None:
        """Work out whether this host is ready, and tell its partners once it is."""
        if self._readiness.ready:
            return
        mine = self._overlay.domain_members
        if not self._readiness.judge(mine, (*mine, *self._overlay.others)):
            return
        # When many hosts start at once, the few that read the store are hard to find.
        for partner in self._overlay.partners:
            self._send(partner, self._digest())

    def store_age_s(self) -> float | None:
        """Return how old this host's news of the store is, None for none."""
        heard_s = self._readiness.store_heard_s
        return None if heard_s is None else self._clock.seconds() - heard_s

    def _agree(self, host_id: str, store_age_ms: int, ready: bool) -> None:
        """Note that this host holds all that another one does."""
        heard_s = None
        if store_age_ms != NEVER_MS:
            heard_s = self._clock.seconds() - store_age_ms / 1_000
        self._readiness.agreed(host_id, store_heard_s=heard_s, ready=ready)
        self.judge()

    def _digest(self) -> Digest:
        return Digest(
            checksum=self._held.table.checksum(),
            store_age_ms=self._store_age_ms(),
            ready=self._readiness.ready,
        )

    def _store_age_ms(self) -> int:
        age_s = self.store_age_s()
        return NEVER_MS if age_s is None else int(age_s * 1_000)
