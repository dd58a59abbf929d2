"""Tests of IdempotencyCache: one run per key on a daemon, and bounded size."""

import pytest

from gentianwharf.load import Claim, IdempotencyCache

SCOPE = "ledger/round-rock"


def claim(
    cache: IdempotencyCache[str], key: str, now_s: float = 0.0, body: str = "POST /"
) -> Claim:
    return cache.claim(
        scope=SCOPE, key=key, request_id=f"r-{key}", fingerprint=body, now_s=now_s
    ).claim


def complete(
    cache: IdempotencyCache[str],
    key: str,
    *,
    now_s: float = 0.0,
    answer: str | None = "done",
    answer_bytes: int = 4,
) -> None:
    cache.complete(
        scope=SCOPE, key=key, now_s=now_s, answer=answer, answer_bytes=answer_bytes
    )


def test_repeated_request_joins_the_one_in_flight_then_gets_its_answer() -> None:
    """Guards against running a request twice that is repeated before its answer.

    Without the cache both requests were sent on, and a server that does not store
    idempotency keys charged twice.
    """
    cache = IdempotencyCache[str]()
    assert [claim(cache, "a"), claim(cache, "a")] == [Claim.RUN, Claim.JOIN]
    complete(cache, "a")
    assert claim(cache, "a") is Claim.REPLAY


@pytest.mark.parametrize(
    ("answer", "answer_bytes"),
    [
        pytest.param(None, 0, id="outcome-unknown"),
        pytest.param("large", 65 * 1024, id="answer-too-large-to-keep"),
    ],
)
def test_request_without_stored_answer_is_not_sent_again(
    answer: str | None, answer_bytes: int
) -> None:
    cache = IdempotencyCache[str]()
    claim(cache, "a")
    complete(cache, "a", answer=answer, answer_bytes=answer_bytes)
    assert claim(cache, "a") is Claim.UNKNOWN
    assert cache.answer_bytes_total == 0


def test_request_proved_not_run_may_be_sent_again() -> None:
    cache = IdempotencyCache[str]()
    claim(cache, "a")
    cache.discard(scope=SCOPE, key="a")
    assert claim(cache, "a") is Claim.RUN


def test_key_of_another_request_or_caller_does_not_replay_the_answer() -> None:
    cache = IdempotencyCache[str]()
    claim(cache, "a")
    complete(cache, "a")
    assert claim(cache, "a", body="POST /other") is Claim.MISMATCH
    other = cache.claim(
        scope="ledger/austin", key="a", request_id="x", fingerprint="POST /", now_s=0.0
    )
    assert other.claim is Claim.RUN


@pytest.mark.parametrize(
    ("cache", "expected"),
    [
        pytest.param(IdempotencyCache[str](max_entries=3), 3, id="count"),
        pytest.param(IdempotencyCache[str](max_bytes=8), 2, id="bytes"),
        pytest.param(IdempotencyCache[str](retention_s=2.5), 3, id="time"),
    ],
)
def test_cache_is_bounded_and_drops_the_oldest(
    cache: IdempotencyCache[str], expected: int
) -> None:
    for number in range(6):
        claim(cache, str(number), now_s=float(number))
        complete(cache, str(number), now_s=float(number))
    claims = [claim(cache, str(number), now_s=5.0) for number in range(6)]
    assert claims.count(Claim.REPLAY) == expected
    assert claims[-expected:] == [Claim.REPLAY] * expected


def test_full_cache_refuses_instead_of_dropping_requests_in_flight() -> None:
    cache = IdempotencyCache[str](max_in_flight=2)
    claims = [claim(cache, key) for key in "abca"]
    assert claims == [Claim.RUN, Claim.RUN, Claim.FULL, Claim.JOIN]
