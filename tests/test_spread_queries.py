"""Queries to many hosts: those without an answer are reported in bounded time."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import CancelledError

from gentianwharf.errors import InputError, PeerMismatchError
from gentianwharf.spread import MAX_ANSWER_BYTES
from gentianwharf.spread import _queries as queries_module
from gentianwharf.spread._queries import Query, Reply, decode_query, encode_query
from tests.builders_queries import start_query

HOSTS = [f"lac-{number}" for number in range(1, 6)]


def test_every_answer_comes_once() -> None:
    query = start_query(HOSTS)
    query.run()
    assert query.silent == {}
    assert query.answers == {host: host.encode() for host in HOSTS}


def test_unreachable_host_is_named_and_does_not_delay_others() -> None:
    """A listed host can't be reached while an operator waits for a report.

    The other answers arrive, and the report names the missing host and the reason.
    """
    query = start_query(HOSTS, cut={"lac-3"})
    query.run(1.1)
    assert query.silent == {"lac-3": "no answer within 1 s"}
    assert sorted(query.answers) == [one for one in HOSTS if one != "lac-3"]


def test_lost_message_is_sent_again() -> None:
    """The first message to each host is lost while its link is opened."""
    query = start_query(HOSTS, lost_first=len(HOSTS))
    query.run()
    assert (query.silent, len(query.answers)) == ({}, len(HOSTS))


def test_query_to_silent_hosts_ends_at_the_total_timeout() -> None:
    hosts = [f"lac-{number}" for number in range(300)]
    query = start_query(hosts, cut=set(hosts))
    query.run(3.1)
    assert set(query.silent) == set(hosts)
    assert any("not asked" in reason for reason in query.silent.values())
    assert query.clock.getDelayedCalls() == []


def test_only_some_hosts_are_asked_at_once() -> None:
    hosts = [f"lac-{number}" for number in range(200)]
    query = start_query(hosts, cut=set(hosts))
    assert len(query.sent_to) == queries_module.MAX_UNANSWERED_HOSTS


def test_answers_beyond_the_bytes_for_all_are_not_asked_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The answers of a large fleet would exhaust the memory of the querying host."""
    monkeypatch.setattr(queries_module, "MAX_GATHERED_BYTES", 10)
    monkeypatch.setattr(queries_module, "MAX_UNANSWERED_HOSTS", 1)
    query = start_query(HOSTS)
    query.run()
    assert sorted(query.answers) == ["lac-1", "lac-2"]
    assert all("not asked" in reason for reason in query.silent.values())


def test_too_large_answer_is_reported_with_advice() -> None:
    big = Random(1).randbytes(MAX_ANSWER_BYTES + 1)
    query = start_query(["lac-1"], answer=big)
    query.run()
    assert "ask the host alone" in query.silent["lac-1"]


def test_host_of_another_version_is_named() -> None:
    query = start_query(["lac-1"], kind="something newer")
    query.run()
    assert "of another version" in query.silent["lac-1"]


def test_error_in_on_answer_is_the_reason_of_the_host() -> None:
    def refuse(host: str, answer: bytes) -> None:
        raise InputError("expected a burn part", step="read", peer=host)

    query = start_query(["lac-1"], on_answer=refuse)
    query.run()
    assert query.silent == {"lac-1": "expected a burn part"}


def test_reply_to_an_earlier_query_or_of_another_host_is_dropped() -> None:
    query = start_query(["lac-1"], cut={"lac-1"})
    for host, number in (("lac-1", 99), ("ariana-9", query.number)):
        reply = encode_query(Reply(number=number, packed=b"\x00x"))
        query.queries.received(host, reply)
    assert query.answers == {}


def test_cancelled_query_leaves_no_timers() -> None:
    query = start_query(["lac-1"], cut={"lac-1"})
    failures: list[object] = []
    query.done.addErrback(lambda failure: failures.append(failure.type))
    query.done.cancel()
    assert failures == [CancelledError]
    assert query.clock.getDelayedCalls() == []


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    data=st.binary(max_size=80)
    | st.binary(max_size=60).map(lambda rest: b"\x01" + rest)
    | st.builds(
        lambda message, at, new: _changed(encode_query(message), at, new),
        st.builds(Query, number=st.integers(0, 2**48), kind=st.text(max_size=9))
        | st.builds(Reply, number=st.integers(0, 9), packed=st.binary(max_size=20)),
        st.integers(0, 30),
        st.integers(0, 255),
    )
)
def test_any_frame_is_a_message_or_a_clear_error(data: bytes) -> None:
    try:
        decode_query(data, peer="lac-1")
    except PeerMismatchError as error:
        assert (error.step, error.peer) == ("decode query", "lac-1")
        assert "expected" in error.message
    query = start_query(["lac-1"], cut={"lac-1"})
    query.queries.received("lac-2", data)
    assert query.answers == {}


def _changed(data: bytes, at: int, new: int) -> bytes:
    at %= len(data)
    return data[:at] + bytes([new]) + data[at + 1 :]
