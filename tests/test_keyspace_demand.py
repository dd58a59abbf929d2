"""What hosts report becomes how busy shards are and how fast servers work."""

from twisted.internet.task import Clock

from gentianwharf.keyspace import Demand, LoadSeen

SHARDS = 1000


def quick(answers: int, each_s: float) -> LoadSeen:
    return LoadSeen(
        running=answers,
        waiting=0,
        answers=answers,
        quick=answers,
        quick_s=answers * each_s,
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
    assert load.of(500, 500) > 0.1


def test_key_that_is_hot_no_more_is_forgotten_within_seconds() -> None:
    clock = Clock()
    demand = Demand(now_s=clock.seconds)
    demand.note_requests({500: 100})
    for second in range(100):
        demand.note_requests({second: 5})
        clock.advance(0.1)
    assert demand.load(SHARDS).of(500, 500) < 0.02


def test_faster_server_is_found_by_how_long_its_answers_take() -> None:
    clock = Clock()
    demand = Demand(now_s=clock.seconds)
    for _ in range(10):
        demand.note_load("fast", quick(10, 0.06))
        demand.note_load("slow", quick(10, 0.14))
        clock.advance(1.0)
        demand.learn_speeds()
    assert demand.speed("fast") > 1.5
    assert demand.speed("slow") < 0.8
    assert demand.speed("unknown") == 1.0


def test_answers_that_waited_say_nothing_of_speed() -> None:
    """A hot key's server is slow because it is full, not because it is slow."""
    clock = Clock()
    demand = Demand(now_s=clock.seconds)
    full = LoadSeen(running=60, waiting=200, answers=10)
    for _ in range(10):
        demand.note_load("full", full)
        demand.note_load("other", quick(10, 0.1))
        clock.advance(1.0)
        demand.learn_speeds()
    assert demand.speed("full") == 1.0


def test_first_measure_replaces_the_guess_at_once() -> None:
    """A slow server is full from the first second, and its callers wait.

    Its shards are a part like all others', until its speed is known.
    """
    clock = Clock()
    demand = Demand(now_s=clock.seconds)
    demand.note_load("fast", quick(10, 0.06))
    demand.note_load("slow", quick(10, 0.14))
    demand.learn_speeds()
    assert demand.speed("slow") < 0.8
