"""Tests of ``Demand``: the load of shards and the speeds of servers from reports."""

from twisted.internet.task import Clock

from gentianwharf.keyspace import Demand, ObservedLoad

SHARDS = 1000


def unqueued(answers: int, each_s: float) -> ObservedLoad:
    return ObservedLoad(
        running=answers,
        waiting=0,
        answers=answers,
        executed=answers,
        unqueued=answers,
        unqueued_s=answers * each_s,
    )


def test_new_hot_key_stands_out_within_half_a_second() -> None:
    clock = Clock()
    demand = Demand(now_s=clock.seconds)
    for second in range(40):
        demand.note_requests(dict.fromkeys(range(second, SHARDS, 40), 1))
        clock.advance(0.1)
    for _ in range(5):
        demand.note_requests({500: 20})
        clock.advance(0.1)
    load = demand.load(SHARDS)
    assert load.hottest() == 500
    assert load.share(500, 500) > 0.1


def test_key_that_is_no_longer_hot_decays_within_seconds() -> None:
    clock = Clock()
    demand = Demand(now_s=clock.seconds)
    demand.note_requests({500: 100})
    for second in range(100):
        demand.note_requests({second: 5})
        clock.advance(0.1)
    assert demand.load(SHARDS).share(500, 500) < 0.02


def test_faster_server_is_detected_by_its_service_time() -> None:
    clock = Clock()
    demand = Demand(now_s=clock.seconds)
    for _ in range(10):
        demand.note_load("fast", unqueued(10, 0.06))
        demand.note_load("slow", unqueued(10, 0.14))
        clock.advance(1.0)
        demand.update_speeds()
    assert demand.speed("fast") > 1.5
    assert demand.speed("slow") < 0.8
    assert demand.speed("unknown") == 1.0


def test_full_server_is_not_measured_as_slow() -> None:
    """A hot key's server answers late because it is full, not because it is slow.

    It runs six requests at a time and finishes sixty a second, each within 0.1 s,
    although callers wait for 0.5 s.
    """
    clock = Clock()
    demand = Demand(now_s=clock.seconds)
    for _ in range(100):
        demand.note_load(
            "full", ObservedLoad(running=36, waiting=120, answers=6, executed=6)
        )
        demand.note_load("other", unqueued(6, 0.1))
        clock.advance(0.1)
        demand.update_speeds()
    assert 0.85 < demand.speed("full") < 1.15


def test_slow_server_that_is_full_is_detected() -> None:
    """Guards against a slow server that stays full since no load moves off it.

    All of its answers were queued, so none of them contains a plain service time.
    """
    clock = Clock()
    demand = Demand(now_s=clock.seconds)
    for _ in range(100):
        demand.note_load(
            "slow", ObservedLoad(running=18, waiting=30, answers=3, executed=3)
        )
        demand.note_load("other", unqueued(6, 0.1))
        demand.note_load("another", unqueued(6, 0.1))
        clock.advance(0.1)
        demand.update_speeds()
    assert demand.speed("slow") < 0.75


def test_rejected_requests_do_not_count_as_executed() -> None:
    clock = Clock()
    demand = Demand(now_s=clock.seconds)
    for _ in range(100):
        full = ObservedLoad(running=180, waiting=600, answers=30, executed=6)
        demand.note_load("full", full)
        demand.note_load("other", unqueued(6, 0.1))
        clock.advance(0.1)
        demand.update_speeds()
    assert 0.85 < demand.speed("full") < 1.15


def test_first_measurement_replaces_the_default_speed() -> None:
    """A slow server would be full from the first second until its speed is measured.

    Until then its share of the shards is the same as that of other servers.
    """
    clock = Clock()
    demand = Demand(now_s=clock.seconds)
    demand.note_load("fast", unqueued(10, 0.06))
    demand.note_load("slow", unqueued(10, 0.14))
    demand.update_speeds()
    assert demand.speed("slow") < 0.8


def test_server_with_unanswered_requests_counts_as_slow() -> None:
    """Guards against a slow server that keeps its keys because it reports no times.

    It takes five times as long as other servers, so callers give up before the answer
    and no answer shows how long it takes.
    """
    clock = Clock()
    demand = Demand(now_s=clock.seconds)
    for _ in range(10):
        demand.note_load(
            "stuck", ObservedLoad(running=0, waiting=0, answers=0, unanswered=1)
        )
        demand.note_load("other", unqueued(6, 0.1))
        demand.note_load("another", unqueued(6, 0.1))
        clock.advance(0.25)
        demand.update_speeds()
    assert demand.speed("stuck") < 0.5
    assert demand.speed("other") == 1.0


def test_occasionally_lost_answers_do_not_count_as_slow() -> None:
    clock = Clock()
    demand = Demand(now_s=clock.seconds)
    for _ in range(20):
        demand.note_load("lossy", unqueued(10, 0.1))
        demand.note_load(
            "lossy", ObservedLoad(running=0, waiting=0, answers=0, unanswered=1)
        )
        demand.note_load("other", unqueued(10, 0.1))
        clock.advance(0.25)
        demand.update_speeds()
    assert demand.speed("lossy") > 0.9


def test_speed_of_a_server_that_answers_again_recovers() -> None:
    clock = Clock()
    demand = Demand(now_s=clock.seconds)
    for second in range(60):
        unanswered = 1.0 if second < 20 else 0.0
        answers = 0 if second < 20 else 3
        demand.note_load("once-stuck", unqueued(answers, 0.1))
        demand.note_load(
            "once-stuck",
            ObservedLoad(running=0, waiting=0, answers=0, unanswered=unanswered),
        )
        demand.note_load("other", unqueued(6, 0.1))
        clock.advance(0.25)
        demand.update_speeds()
    assert demand.speed("once-stuck") > 0.9


def rejected(count: int) -> ObservedLoad:
    return ObservedLoad(running=0, waiting=0, answers=count)


def test_server_that_rejects_every_request_is_recognised_and_recovers() -> None:
    """Guards against shards that stay at a server that turns all their callers away."""
    clock = Clock()
    clock.advance(100)
    demand = Demand(now_s=clock.seconds)
    demand.note_load("s1", unqueued(20, 0.1))
    for _ in range(6):
        clock.advance(0.25)
        demand.note_load("s1", rejected(2))
    assert demand.rejects_all("s1")
    demand.note_load("s1", unqueued(1, 0.1))
    assert not demand.rejects_all("s1")


def test_full_server_does_not_count_as_one_that_rejects_all() -> None:
    """Guards against moves off every full server in an overload."""
    clock = Clock()
    clock.advance(100)
    demand = Demand(now_s=clock.seconds)
    for _ in range(40):
        clock.advance(0.25)
        demand.note_load("s1", rejected(10))
        demand.note_load("s1", unqueued(1, 0.1))
        assert not demand.rejects_all("s1")
