"""Cost of recording an answer; the budget is 5 µs per request."""

from collections.abc import Iterator
from random import Random

from twisted.internet.task import Clock

from gentianwharf.entryhost._metrics import HostMetrics
from gentianwharf.metrics import Answer, Recorder, RunStatus
from gentianwharf.relay import AccessRecord, Ticket

from ._figure import Figure
from ._timing import time_us

SEED = 1
SERVERS = 16
TIMES = 20_000
HOST_CLASSES = 5
HOST_ANSWERS = 1_500


def _answer(random: Random) -> Answer:
    return Answer(
        service="calendrier",
        request_class="consultation",
        rule=1,
        domain="lac",
        server=f"calendrier-{random.randrange(SERVERS)}",
        status=200,
        run=RunStatus.RUN,
        waited_s=0.0,
        elapsed_s=random.expovariate(100),
        shard=random.randrange(1024),
    )


def figures() -> Iterator[Figure]:
    """Yield the cost of recording and building answers and of the metrics pages."""
    random = Random(SEED)
    clock = Clock()
    recorder = Recorder(clock=clock, random=random)
    answers = [_answer(random) for _ in range(1_000)]
    stream = iter(answers * (TIMES * 10 // 1_000))
    size = {"servers": SERVERS}
    yield Figure(
        name="metrics_answer_recorded",
        value=time_us(lambda: recorder.record_answer(next(stream)), times=TIMES),
        unit="us",
        size=size,
        seed=SEED,
    )
    yield Figure(
        name="metrics_answer_built",
        value=time_us(lambda: _build_copy(answers[0]), times=TIMES),
        unit="us",
        size={},
    )
    yield Figure(
        name="metrics_prometheus_text",
        value=time_us(recorder.prometheus_text, times=5),
        unit="us",
        size=size,
        seed=SEED,
    )
    yield Figure(
        name="metrics_host_page",
        value=time_us(_host_metrics(random).text, times=5),
        unit="us",
        size={"classes": HOST_CLASSES, "answers": HOST_ANSWERS},
        seed=SEED,
    )


def _build_copy(answer: Answer) -> Answer:
    return Answer(
        service=answer.service,
        request_class=answer.request_class,
        rule=answer.rule,
        domain=answer.domain,
        server=answer.server,
        status=answer.status,
        run=answer.run,
        waited_s=answer.waited_s,
        elapsed_s=answer.elapsed_s,
        refused=answer.refused,
        shard=answer.shard,
    )


def _host_metrics(random: Random) -> HostMetrics:
    """Return an entry host's metrics with many recorded answers of several classes."""
    metrics = HostMetrics()
    for number in range(HOST_ANSWERS):
        name = str(number % HOST_CLASSES)
        ticket = Ticket(
            request_id=str(number),
            service=name,
            request_class=name,
            caller="10.0.0.1",
            key=None,
            shard=None,
            deadline_s=1.0,
            repeatable=True,
        )
        metrics.record_response(
            AccessRecord(
                ticket=ticket,
                rule=1,
                server="server",
                domain="lac",
                status=200,
                run=RunStatus.RUN,
                waited_s=random.expovariate(20),
                elapsed_s=random.expovariate(2),
                reason="",
                step="",
                peer="",
            )
        )
    return metrics
