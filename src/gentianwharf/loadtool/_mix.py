"""The request mixes of the two deployments."""

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RequestKind:
    """One kind of request; ``path`` holds ``{key}`` in place of the key.

    ``share`` is its share of all requests, ``timeout_s`` how long a caller waits for
    the whole answer. ``keyed`` marks a service that is divided by key, whose answers
    must contain the key. ``at_most_once`` marks requests that must not be repeated:
    each carries an ``Idempotency-Key`` of its own.
    """

    service: str
    request_class: str
    method: str
    path: str
    share: float
    timeout_s: float
    body_bytes: int = 0
    keyed: bool = False
    at_most_once: bool = False


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Mix:
    """The requests of a deployment; keys are drawn by Zipf's law from ``key_count``."""

    name: str
    kinds: tuple[RequestKind, ...]
    key_prefix: str
    key_count: int
    zipf_exponent: float = 1.0


# Consultations arrive all day, requests that must not be repeated are rarer, uploads
# come in bursts, and archives are read without urgency.
TUNIS = Mix(
    name="tunis",
    key_prefix="faculte",
    key_count=2_000,
    kinds=(
        RequestKind(
            service="calendrier",
            request_class="consultation",
            method="GET",
            path="/calendrier/{key}/seances",
            share=0.72,
            timeout_s=2.0,
            keyed=True,
        ),
        RequestKind(
            service="inscription",
            request_class="reservation",
            method="POST",
            path="/inscription/{key}/places",
            share=0.15,
            timeout_s=5.0,
            body_bytes=300,
            at_most_once=True,
        ),
        RequestKind(
            service="documents",
            request_class="upload",
            method="PUT",
            path="/documents/{key}/releve",
            share=0.06,
            timeout_s=30.0,
            body_bytes=64 * 1024,
        ),
        RequestKind(
            service="documents",
            request_class="archive",
            method="GET",
            path="/documents/archive/{key}",
            share=0.07,
            timeout_s=60.0,
        ),
    ),
)

BRAZOS_BEND = Mix(
    name="brazos-bend",
    key_prefix="club",
    key_count=1_000,
    kinds=(
        RequestKind(
            service="clubdesk",
            request_class="consultation",
            method="GET",
            path="/clubdesk/{key}/roster",
            share=0.66,
            timeout_s=2.0,
            keyed=True,
        ),
        RequestKind(
            service="ledger",
            request_class="posting",
            method="POST",
            path="/ledger/{key}/dues",
            share=0.12,
            timeout_s=5.0,
            body_bytes=300,
            at_most_once=True,
        ),
        RequestKind(
            service="pressroom",
            request_class="upload",
            method="PUT",
            path="/pressroom/{key}/issue",
            share=0.04,
            timeout_s=30.0,
            body_bytes=256 * 1024,
        ),
        RequestKind(
            service="pressroom",
            request_class="archive",
            method="GET",
            path="/pressroom/archive/{key}",
            share=0.18,
            timeout_s=60.0,
        ),
    ),
)

MIXES = {mix.name: mix for mix in (TUNIS, BRAZOS_BEND)}
