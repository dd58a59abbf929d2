"""Changes are sent as deltas; a host without the base gets the complete value."""

import json
from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianwharf.errors import PeerMismatchError
from gentianwharf.infra import MOST_VALUE_BYTES
from gentianwharf.spread._delta import Copy, apply_delta, checksum, make_delta
from gentianwharf.spread._messages import Delta, Push, decode, encode
from gentianwharf.spread._packing import pack
from tests.builders_spread import RULES, Cluster, running, watchers_of

CHUNKS = st.lists(
    st.sampled_from([b'{"a":1}', b',{"b":2}', b"}", b"{}", b"x", b"", b"\xff}"]),
    max_size=30,
).map(b"".join)


def rules_of(changed: int, *, count: int = 300, seed: int = 1) -> bytes:
    """Return a record of many rules that differs by the value of ``changed``."""
    rng = Random(seed)
    rules = [
        {
            "name": f"r{one}-{rng.getrandbits(64):x}",
            "then": {"ms": rng.randrange(9_000)},
        }
        for one in range(count)
    ]
    rules[changed % count]["then"] = {"ms": 10_000 + changed}
    return json.dumps({"number": changed, "rules": rules}).encode()


@settings(derandomize=True, max_examples=300, deadline=None)
@given(before=CHUNKS | st.binary(max_size=60), after=CHUNKS | st.binary(max_size=60))
def test_delta_turns_the_old_value_into_the_new(before: bytes, after: bytes) -> None:
    assert apply_delta(before, make_delta(before, after), peer="lac-1") == after


def test_delta_of_one_rule_is_small() -> None:
    before, after = rules_of(1), rules_of(2)
    assert len(make_delta(before, after)) < len(after) / 40


@pytest.mark.parametrize(
    "value", [b"}" * 200_000, b"{},{}" * 50_000], ids=["braces", "alike"]
)
def test_delta_of_repeated_chunks_has_linear_cost(value: bytes) -> None:
    """A comparison of quadratic cost would block the event loop for minutes."""
    assert len(make_delta(value, value + b"x")) < 100


@settings(derandomize=True, max_examples=300, deadline=None)
@given(before=CHUNKS, delta=st.binary(max_size=40))
def test_any_delta_gives_a_value_or_a_clear_error(before: bytes, delta: bytes) -> None:
    try:
        apply_delta(before, delta, peer="lac-1")
    except PeerMismatchError as error:
        assert error.peer == "lac-1"
        assert "expected" in error.message


def test_delta_that_would_fill_the_memory_is_refused() -> None:
    """A few bytes reference the complete previous version a million times."""
    steps = [Copy(0, 1)] * 1_000
    with pytest.raises(PeerMismatchError, match=str(MOST_VALUE_BYTES)):
        apply_delta(
            bytes(MOST_VALUE_BYTES // 10), msgspec.msgpack.encode(steps), peer="lac-1"
        )


@pytest.fixture
def cluster() -> Cluster:
    made = running(Cluster(per_domain=12, domains=["lac"]))
    made.write(rules_of(0))
    made.run(2)
    assert made.all_at(2)
    return made


def test_change_of_one_rule_goes_out_as_a_delta(cluster: Cluster) -> None:
    cluster.bytes = 0
    value = cluster.write(rules_of(1))
    cluster.run(0.2)
    assert cluster.all_at(value.revision)
    held = {one.spread.value(RULES) for one in cluster.members.values()}
    assert held == {value}
    assert cluster.bytes < 12 * len(pack(value.value)) / 4


def test_host_without_the_base_gets_the_complete_value(cluster: Cluster) -> None:
    """All messages of the first of two changes to a host are lost.

    The second change arrives as a delta whose base the host never had. The host must
    neither keep the old value nor apply a wrong one.
    """
    one = next(
        member
        for member in cluster.members.values()
        if not member.spread.state().watching
    )
    cluster.cut_hosts = {one.host.id}
    cluster.write(rules_of(1))
    cluster.run(0.1)
    cluster.cut_hosts = set()
    value = cluster.write(rules_of(2))
    cluster.run(0.6)
    assert cluster.all_at(value.revision)
    assert one.spread.value(RULES) == value
    assert one.spread.state().counts.delta_failures == 1


def test_delta_with_a_wrong_checksum_is_not_applied(cluster: Cluster) -> None:
    """A peer holds different bytes for the same revision, due to a memory fault."""
    one = watchers_of(cluster, "lac")[0]
    before = one.spread.value(RULES)
    assert before is not None
    wrong = Delta(
        key=RULES,
        base=before.revision,
        packed=pack(make_delta(before.value, b"{}")),
        revision=99,
        checksum=checksum(b"something else"),
    )
    one.spread.received("lac-2", encode(wrong))
    assert one.spread.value(RULES) == before
    assert one.spread.state().counts.delta_failures == 1


def test_key_that_is_not_replicated_is_not_forwarded(cluster: Cluster) -> None:
    one = watchers_of(cluster, "lac")[0]
    cluster.messages = 0
    for message in (
        Delta(key="other", base=0, packed=b"", revision=5, checksum=0, root="lac-1"),
        Push(key="other", packed=pack(b"x"), revision=5, root="lac-1"),
    ):
        one.spread.received("lac-2", encode(message))
    assert cluster.messages == 0


MESSAGES = st.builds(
    Delta,
    key=st.just(RULES),
    base=st.integers(0, 9),
    packed=st.binary(max_size=30) | st.binary(max_size=30).map(pack),
    revision=st.integers(0, 2**40),
    checksum=st.integers(0, 2**64 - 1),
    root=st.sampled_from(["", "lac-1", "nobody"]),
) | st.builds(
    Push,
    key=st.sampled_from([RULES, "other"]),
    packed=st.binary(max_size=30),
    revision=st.integers(-1, 1),
    root=st.sampled_from(["", "lac-1", "nobody"]),
)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(
    data=st.binary(max_size=60)
    | st.binary(max_size=60).map(lambda rest: b"\x01" + rest)
    | MESSAGES.map(encode)
)
def test_any_message_of_a_peer_keeps_the_value(data: bytes) -> None:
    """A host of another version or a faulty one sends undecodable messages."""
    cluster = SHARED
    one = cluster.members["lac-1"]
    before = one.spread.value(RULES)
    one.spread.received("lac-2", data)
    assert one.spread.value(RULES) == before
    try:
        decode(data, peer="lac-2")
    except PeerMismatchError as error:
        assert error.peer == "lac-2"
        assert "expected" in error.message


SHARED = running(Cluster(per_domain=2, domains=["lac"]))
