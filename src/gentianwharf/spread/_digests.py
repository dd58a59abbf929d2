"""DigestExchange that two hosts compare in order to detect missing versions."""

from collections.abc import Callable
from random import Random
from typing import final

from twisted.internet.interfaces import IReactorTime

from ._messages import AnyMessage, Digest, Vector, Version
from ._overlay import Overlay
from ._pulls import PullQueue
from ._readiness import Readiness
from ._replica import Replica

DIGEST_INTERVAL_S = 0.5
"""Mean time between two digests; a lost message is noticed after about this time."""

REMOTE_DIGEST_EVERY = 4
"""Every fourth digest goes to another failure domain, whose watchers may reach the
store when those of this domain can't."""

STORE_AGE_TOLERANCE_S = 2.0
"""A digest whose store contact is older than this host's by more than this is answered
with a digest."""

NEVER_MS = -1


@final
class DigestExchange:
    """Sends digests periodically, and exchanges the versions in which hosts differ."""

    def __init__(
        self,
        *,
        clock: IReactorTime,
        rng: Random,
        replica: Replica,
        overlay: Overlay,
        readiness: Readiness,
        pulls: PullQueue,
        send_newer: Callable[[str, list[Version]], None],
        send: Callable[[str, AnyMessage], None],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._replica = replica
        self._overlay = overlay
        self._readiness = readiness
        self._pulls = pulls
        self._send_newer = send_newer
        self._send = send
        self._digest_count = 0
        # Random, so that hosts that start together don't send at the same time.
        self._next_digest_s = clock.seconds() + rng.uniform(0, DIGEST_INTERVAL_S)

    def tick(self, *, now_s: float) -> None:
        """Send a digest if one is due."""
        if now_s < self._next_digest_s:
            return
        self._next_digest_s = now_s + DIGEST_INTERVAL_S * self._rng.uniform(0.8, 1.2)
        self._digest_count += 1
        target = self._choose_target()
        if target is not None:
            self._send(target, self._digest())

    def _choose_target(self) -> str | None:
        remote_partners, partners = (
            self._overlay.remote_partners,
            self._overlay.partners,
        )
        if remote_partners and (
            self._digest_count % REMOTE_DIGEST_EVERY == 0 or not partners
        ):
            return self._rng.choice(remote_partners)
        return partners[self._digest_count % len(partners)] if partners else None

    def on_digest(self, host_id: str, digest: Digest) -> None:
        """Answer with all versions if they differ, else record the agreement."""
        if digest.checksum != self._replica.table.checksum():
            self.send_vector(host_id)
            return
        # A host may be the partner of few others. It then learns the time of the last
        # store contact from the answers to its own digests.
        age_s = self.store_age_s()
        if age_s is not None and not 0 <= digest.store_age_ms <= 1_000 * (
            age_s + STORE_AGE_TOLERANCE_S
        ):
            self._send(host_id, self._digest())
        self._record_agreement(host_id, digest.store_age_ms, digest.ready)

    def on_vector(self, host_id: str, vector: Vector) -> None:
        """Pull what this host lacks, and send what the other host lacks."""
        versions = self._replica.select(vector.versions)
        missing = self._replica.table.missing(versions)
        if missing:
            self._pulls.request(host_id, missing, now_s=self._clock.seconds())
        else:
            self._record_agreement(host_id, vector.store_age_ms, vector.ready)
        self._send_newer(host_id, self._replica.table.newer_than(versions))

    def send_vector(self, host_id: str) -> None:
        """Send every version that this host holds."""
        vector = Vector(
            versions=self._replica.table.versions(),
            store_age_ms=self._store_age_ms(),
            ready=self._readiness.ready,
        )
        self._send(host_id, vector)

    def update_readiness(self) -> None:
        """Update the readiness; once ready, send a digest to all partners."""
        if self._readiness.ready:
            return
        members = self._overlay.domain_members
        if not self._readiness.evaluate(
            members, (*members, *self._overlay.remote_hosts)
        ):
            return
        # When many hosts start at once, only few of them read the store. Their digests
        # make the others ready sooner.
        for partner in self._overlay.partners:
            self._send(partner, self._digest())

    def store_age_s(self) -> float | None:
        """Return the time since the last known store contact, None if none."""
        contact_s = self._readiness.last_contact_s
        return None if contact_s is None else self._clock.seconds() - contact_s

    def _record_agreement(self, host_id: str, store_age_ms: int, ready: bool) -> None:
        """Record that this host holds all versions that another one holds."""
        contact_s = None
        if store_age_ms != NEVER_MS:
            contact_s = self._clock.seconds() - store_age_ms / 1_000
        self._readiness.record_agreement(host_id, last_contact_s=contact_s, ready=ready)
        self.update_readiness()

    def _digest(self) -> Digest:
        return Digest(
            checksum=self._replica.table.checksum(),
            store_age_ms=self._store_age_ms(),
            ready=self._readiness.ready,
        )

    def _store_age_ms(self) -> int:
        age_s = self.store_age_s()
        return NEVER_MS if age_s is None else int(age_s * 1_000)
