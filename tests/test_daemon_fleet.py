"""What one daemon tells of all: rules in force everywhere, and burn of all hosts."""

from collections.abc import Iterable
from random import Random
from typing import Any, final

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianwharf.admin import HostRulesStatus, RolloutStatus
from gentianwharf.daemon._decisions import FleetDecisions
from gentianwharf.daemon._fleet import FleetBurnView, FleetRulesView
from gentianwharf.daemon._hosts import HostTable
from gentianwharf.daemon._rules import RulesInForce
from gentianwharf.errors import InputError
from gentianwharf.infra import MemoryStore, VersionedValue
from gentianwharf.metrics import EncodedHistogram, Recorder
from gentianwharf.spread import SpreadSystem
from gentianwharf.topology import Host
from tests.builders_metrics import answer, decision, recorder
from tests.builders_platform import result_of
from tests.builders_queries import QueryNetwork
from tests.builders_rules import SHARDS, migration, stored_rules

RULES_KEY = "gentianwharf/tunis/rules"
HOSTS = [
    Host(id=f"{domain}-1", domain=domain, peer_address=f"127.0.0.1:{port}")
    for port, domain in enumerate(("lac", "charguia", "ariana"), start=1)
]


def record(revision: int, share: float = 0.1) -> VersionedValue:
    """Return the migration's rules as the store holds them."""
    value = stored_rules(migration(share))
    return VersionedValue(key=RULES_KEY, value=value, revision=revision)


@final
class FleetHost:
    """A host's parts that take part in answering for the fleet."""

    def __init__(self, *, host: Host, network: QueryNetwork) -> None:
        clock = network.clock
        queries = network.add(host.id)
        table = HostTable(own=host, known=HOSTS, servers=(), now_s=clock.seconds)
        self.rules = RulesInForce(shards=SHARDS, now_s=clock.seconds)
        self.recorder: Recorder = recorder(clock)
        self.spread = SpreadSystem(
            host=host,
            clock=clock,
            store=MemoryStore(clock=clock),
            peers=_Nobody(),
            prefixes=[RULES_KEY],
            on_value=self.rules.take,
            rng=Random(1),
        )
        self.fleet_rules = FleetRulesView(
            clock=clock,
            queries=queries,
            hosts=table,
            rules=self.rules,
            spread=self.spread,
            rules_key=RULES_KEY,
        )
        self.decisions = FleetDecisions(
            queries=queries, hosts=table, recorder=self.recorder, now_s=clock.seconds
        )
        self.burn = FleetBurnView(
            clock=clock, queries=queries, hosts=table, recorder=self.recorder
        )


class _Nobody:
    def send(self, host_id: str, message: bytes) -> bool:
        """Drop; versions are published to each host by hand."""
        return False


@final
class Fleet:
    """Three hosts, one in each failure domain; ``lac-1`` is the one that is asked."""

    def __init__(self, cut: Iterable[str] = ()) -> None:
        self.clock = Clock()
        self.network = QueryNetwork(clock=self.clock, cut=cut)
        self.hosts = {
            one.id: FleetHost(host=one, network=self.network) for one in HOSTS
        }

    def publish(self, value: VersionedValue, *hosts: str) -> None:
        for host in hosts or self.hosts:
            self.hosts[host].spread.publish(value)

    def run(self, duration_s: float) -> None:
        for _ in range(int(duration_s * 100)):
            self.clock.advance(0.01)

    def ask(self, revision: int | None, wait_s: float) -> "Deferred[RolloutStatus]":
        view = self.hosts["lac-1"].fleet_rules
        return Deferred.fromCoroutine(
            view.rollout_status(revision=revision, wait_s=wait_s)
        )

    def burn(self, host: str | None = None, duration_s: float = 4) -> Any:
        done = Deferred.fromCoroutine(self.hosts["lac-1"].burn.burn(host=host))
        self.run(duration_s)
        return result_of(done)


def standings(found: RolloutStatus) -> dict[str, HostRulesStatus]:
    return {one.host: one.standing for one in found.hosts}


def test_wait_ends_when_the_last_host_has_the_rules_in_force() -> None:
    fleet = Fleet()
    fleet.publish(record(7), "lac-1", "charguia-1")
    waiting = fleet.ask(7, 20)
    fleet.run(3)
    assert not waiting.called
    fleet.publish(record(7), "ariana-1")
    fleet.run(0.2)
    found = result_of(waiting)
    assert found.everywhere
    assert set(standings(found).values()) == {HostRulesStatus.IN_FORCE}


def test_newer_rules_in_force_are_enough() -> None:
    fleet = Fleet()
    fleet.publish(record(9))
    waiting = fleet.ask(7, 20)
    fleet.run(0.2)
    assert result_of(waiting).everywhere


def test_host_that_is_cut_off_is_named_after_the_wait() -> None:
    """A failure domain is cut off while an operator applies a migration step."""
    fleet = Fleet(cut={"ariana-1"})
    fleet.publish(record(7))
    waiting = fleet.ask(7, 5)
    fleet.run(4.8)
    assert not waiting.called
    fleet.run(1)
    found = result_of(waiting)
    (late,) = [
        one for one in found.hosts if one.standing is not HostRulesStatus.IN_FORCE
    ]
    assert (late.host, late.standing) == ("ariana-1", HostRulesStatus.SILENT)
    assert late.reason == "no answer within 0.5 s"


def test_host_that_falls_silent_does_not_pass_for_up_to_date() -> None:
    """A host answers with the old revision and is cut off before it has the new one.

    What it said before must not stand as its answer to the end of the wait.
    """
    fleet = Fleet()
    fleet.publish(record(5))
    waiting = fleet.ask(7, 2)
    fleet.run(0.5)
    fleet.network.cut.add("ariana-1")
    fleet.publish(record(7))
    fleet.run(3)
    found = result_of(waiting)
    late = {one.host: one for one in found.hosts}["ariana-1"]
    assert (late.standing, late.in_force_revision) == (HostRulesStatus.SILENT, 5)
    assert not found.everywhere


def test_host_that_holds_rules_it_cannot_read_does_not_pass_for_up_to_date() -> None:
    """A host of an older release gets a record of a newer one and keeps its rules.

    Its table of versions has the new revision; its callers follow the old rules.
    """
    fleet = Fleet()
    fleet.publish(record(5))
    fleet.publish(record(7), "lac-1", "charguia-1")
    unreadable = VersionedValue(key=RULES_KEY, value=b'{"format": 9}', revision=7)
    fleet.publish(unreadable, "ariana-1")
    waiting = fleet.ask(7, 1)
    fleet.run(2)
    found = result_of(waiting)
    assert standings(found)["ariana-1"] is HostRulesStatus.UNREADABLE
    assert not found.everywhere


def test_status_compares_with_the_newest_that_any_host_has() -> None:
    fleet = Fleet()
    fleet.publish(record(5))
    fleet.publish(record(7), "ariana-1")
    waiting = fleet.ask(None, 0)
    fleet.run(1)
    found = result_of(waiting)
    assert (found.revision, found.everywhere) == (7, False)
    assert standings(found)["ariana-1"] is HostRulesStatus.IN_FORCE
    assert standings(found)["lac-1"] is HostRulesStatus.OLDER


def test_fleet_without_rules_is_told() -> None:
    waiting = (fleet := Fleet()).ask(None, 0)
    fleet.run(1)
    found = result_of(waiting)
    assert (found.revision, found.everywhere) == (0, False)


def test_burn_of_all_hosts_adds_counts_and_histograms() -> None:
    """Percentiles of hosts can't be averaged: a slow host must show in the whole."""
    fleet = Fleet()
    for host, elapsed_s in (("lac-1", 0.01), ("charguia-1", 0.01), ("ariana-1", 0.9)):
        for _ in range(10):
            fleet.hosts[host].recorder.record_answer(answer(elapsed_s=elapsed_s))
    report = fleet.burn()
    assert report["hosts"] == ["ariana-1", "charguia-1", "lac-1"]
    assert report["silent"] == []
    (hour,) = [one for one in report["classes"] if one["window_s"] == 3600]
    assert (hour["answers"], hour["bad"]) == (30, 10)
    (latency,) = report["latencies"]
    assert latency["answers"] == 30
    assert latency["p50_s"] == pytest.approx(0.01, rel=0.02)
    assert latency["p99_s"] == pytest.approx(0.9, rel=0.02)


def test_part_is_made_once_for_several_operators() -> None:
    """Several operators ask for the report in an incident; each part holds the loop."""
    fleet = Fleet()
    ariana = fleet.hosts["ariana-1"]
    for _ in range(3):
        ariana.recorder.record_answer(answer())
        assert fleet.burn("ariana-1", duration_s=0.1)["latencies"][0]["answers"] == 1
    fleet.run(1)
    assert fleet.burn("ariana-1", duration_s=0.1)["latencies"][0]["answers"] == 3


def test_burn_names_the_hosts_that_did_not_answer() -> None:
    fleet = Fleet(cut={"ariana-1"})
    report = fleet.burn()
    assert report["hosts"] == ["charguia-1", "lac-1"]
    assert report["silent"] == [{"host": "ariana-1", "reason": "no answer within 3 s"}]


def test_burn_of_one_host_alone() -> None:
    fleet = Fleet()
    fleet.hosts["ariana-1"].recorder.record_answer(answer())
    assert fleet.burn("ariana-1")["hosts"] == ["ariana-1"]
    assert fleet.burn("lac-1")["latencies"] == []
    with pytest.raises(InputError, match="not a listed host"):
        fleet.burn("nobody")


@pytest.mark.parametrize("encoded", [b"", b"nonsense", b"HISTFAAAAAA=", b"\xff" * 40])
def test_histogram_that_makes_no_sense_leaves_out_the_host(
    monkeypatch: pytest.MonkeyPatch, encoded: bytes
) -> None:
    """A host of another version sends something else; the others' sum must stand."""
    fleet = Fleet()
    fleet.hosts["lac-1"].recorder.record_answer(answer())
    ariana = fleet.hosts["ariana-1"].recorder
    ariana.record_answer(answer())
    (good,) = ariana.burn_part().histograms
    bad = EncodedHistogram(
        name=good.name,
        service=good.service,
        request_class=good.request_class,
        encoded=encoded,
    )
    monkeypatch.setattr(ariana, "encoded_histograms", lambda: [good, bad])
    report = fleet.burn()
    assert report["hosts"] == ["charguia-1", "lac-1"]
    assert "expected an encoded histogram" in report["silent"][0]["reason"]
    assert report["latencies"][0]["answers"] == 1


@pytest.mark.parametrize("served_by", ["lac-1", "ariana-1"])
def test_decision_is_found_on_whichever_host_served(served_by: str) -> None:
    """A caller complains and gives its request id; the balancer chose the host."""
    fleet = Fleet()
    fleet.hosts[served_by].recorder.record_decision(decision(refused="queue-full"))
    fleet.run(1)
    asked = fleet.hosts["lac-1"].decisions.find("r1")
    waiting = Deferred.fromCoroutine(asked)
    fleet.run(1)
    (one,) = result_of(waiting).decisions
    assert (one["host"], one["refused"]) == (served_by, "queue-full")
    assert one["ago_s"] == pytest.approx(1, abs=0.1)


def test_decision_that_a_silent_host_may_keep_is_not_denied() -> None:
    fleet = Fleet(cut={"ariana-1"})
    waiting = Deferred.fromCoroutine(fleet.hosts["lac-1"].decisions.find("r1"))
    fleet.run(1)
    kept = result_of(waiting)
    assert (kept.decisions, list(kept.silent)) == ([], ["ariana-1"])
