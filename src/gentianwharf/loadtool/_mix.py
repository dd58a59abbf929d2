"""What callers of the two deployments ask for, and how often."""

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RequestKind:
    """One kind of request; ``path`` has ``{key}`` where the key goes.

    ``share`` is its share of all requests, ``limit_s`` how long a caller waits
    before it leaves. ``keyed`` says that the service is divided by key, so that the
    answer must name the key. ``once`` marks what must not repeat: each such request
    carries an ``Idempotency-Key`` of its own.
    """

    service: str
    request_class: str
    method: str
    path: str
    share: float
    limit_s: float
    body_bytes: int = 0
    keyed: bool = False
    once: bool = False


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Mix:
    """The requests of a deployment; keys are drawn by Zipf's law from ``keys``."""

    name: str
    kinds: tuple[RequestKind, ...]
    key_prefix: str
    keys: int
    zipf_exponent: float = 1.0


# Shares follow the brief's order: consultations come all day, what must not repeat
# is rarer, uploads come in bursts, archives are read at leisure.
TUNIS = Mix(
    name="tunis",
    key_prefix="faculte",
    keys=2_000,
    kinds=(
        RequestKind(
            service="calendrier",
            request_class="consultation",
            method="GET",
            path="/calendrier/{key}/seances",
            share=0.72,
            limit_s=2.0,
            keyed=True,
        ),
        RequestKind(
            service="inscription",
            request_class="reservation",
            method="POST",
            path="/inscription/{key}/places",
            share=0.15,
            limit_s=5.0,
            body_bytes=300,
            once=True,
        ),
        RequestKind(
            service="documents",
            request_class="upload",
            method="PUT",
            path="/documents/{key}/releve",
            share=0.06,
            limit_s=30.0,
            body_bytes=64 * 1024,
        ),
        RequestKind(
            service="documents",
            request_class="archive",
            method="GET",
            path="/documents/archive/{key}",
            share=0.07,
            limit_s=60.0,
        ),
    ),
)

BRAZOS_BEND = Mix(
    name="brazos-bend",
    key_prefix="club",
    keys=1_000,
    kinds=(
        RequestKind(
            service="clubdesk",
            request_class="consultation",
            method="GET",
            path="/clubdesk/{key}/roster",
            share=0.66,
            limit_s=2.0,
            keyed=True,
        ),
        RequestKind(
            service="ledger",
            request_class="posting",
            method="POST",
            path="/ledger/{key}/dues",
            share=0.12,
            limit_s=5.0,
            body_bytes=300,
            once=True,
        ),
        RequestKind(
            service="pressroom",
            request_class="upload",
            method="PUT",
            path="/pressroom/{key}/issue",
            share=0.04,
            limit_s=30.0,
            body_bytes=256 * 1024,
        ),
        RequestKind(
            service="pressroom",
            request_class="archive",
            method="GET",
            path="/pressroom/archive/{key}",
            share=0.18,
            limit_s=60.0,
        ),
    ),
)

MIXES = {mix.name: mix for mix in (TUNIS, BRAZOS_BEND)}
