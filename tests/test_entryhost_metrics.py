"""What on-call engineers read of a host: bounded, whatever callers and rules bring."""

from gentianwharf.entryhost._metrics import MOST_SERIES, HostMetrics
from gentianwharf.relay import AccessRecord, RunStatus, Ticket


def answered(*, request_class: str = "safe", status: int = 200) -> AccessRecord:
    ticket = Ticket(
        request_id="1",
        service="roster",
        request_class=request_class,
        caller="10.0.0.1",
        key=None,
        shard=None,
        deadline_s=1.0,
        repeatable=True,
    )
    return AccessRecord(
        ticket=ticket,
        rule=1,
        server="s1",
        domain="hall-a",
        status=status,
        run=RunStatus.RUN,
        waited_s=0.01,
        elapsed_s=0.2,
        reason="",
        step="",
        peer="",
    )


def test_answers_are_counted_and_timed_by_service_and_class() -> None:
    metrics = HostMetrics()
    metrics.add("leads", "Whether this host leads", lambda: 1.0)
    for _ in range(3):
        metrics.answered(answered())
    metrics.answered(answered(status=503))
    text = metrics.text()
    labels = 'class="safe",reason="",service="roster",status="200"'
    assert f"gentianwharf_answers_total{{{labels}}} 3.0" in text
    assert "gentianwharf_leads 1.0" in text
    assert 'gentianwharf_answer_seconds_bucket{class="safe",le="0.125"' in text
    assert "gentianwharf_wait_seconds_sum" in text
    assert "gentianwharf_resident_bytes" in text


def test_series_are_bounded() -> None:
    """A configuration a second, each with new classes, fills the memory of a host."""
    metrics = HostMetrics()
    for number in range(2 * MOST_SERIES):
        metrics.answered(answered(request_class=f"class-{number}"))
    lines = [one for one in metrics.text().splitlines() if "answers_total{" in one]
    assert len(lines) <= MOST_SERIES + 1
    assert any('class="other"' in one for one in lines)
