"""The retries that all hosts together send, on a virtual clock."""

from dataclasses import dataclass, field
from random import Random

import pytest
from soak._retry_checks import worst_window

from gentianwharf.load import Gate, OutcomeKind, Refuse, RetryAgreement, Start
from gentianwharf.load._budget import DELIVERY_S, MAX_SAVED_RETRIES, RetryBudget
from gentianwharf.load._host_shares import HostShares
from gentianwharf.load._retry_budgets import RetryBudgets
from tests import builders_load as build

EXTRA = 208
RETRY_RATIO, WINDOW_S = 0.2, 10.0
AGREEMENT = RetryAgreement(ratio=RETRY_RATIO, extra=EXTRA, window_s=WINDOW_S)
UNUSED_S = 13.0
"""A time after which a host's share is available."""
SERVICE = "seats"
HOSTS = 84


@dataclass
class Hosts:
    """The budgets of all hosts, with the requests and retries of the run."""

    agreement: RetryAgreement = AGREEMENT
    count: int = HOSTS
    sent_s: list[float] = field(default_factory=list)
    retried_s: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.names = [f"host-{number}" for number in range(self.count)]
        self._shares: dict[str, HostShares] = {}
        self._budgets: dict[str, RetryBudgets] = {}
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a host, which knows no other one; it may have run before."""
        self._shares[name] = HostShares(name=name)
        self._budgets[name] = RetryBudgets(
            agreement=self.agreement, shares=self._shares[name]
        )
        self._budgets[name].add(SERVICE)

    def list_hosts(self, name: str, listed: list[str]) -> None:
        """Let a host know the hosts that are listed."""
        self._shares[name].set_hosts(listed)
        self._budgets[name].update_hosts()

    def set_view_age_s(self, name: str, age_s: float) -> None:
        """Set how old a host's list is."""
        self._budgets[name].set_view_age_s(age_s)

    def send(self, name: str, now_s: float, *, retries: int = 0) -> int:
        """Send a request that wants ``retries``; return how many were sent."""
        budgets = self._budgets[name]
        self.sent_s.append(now_s)
        budgets.record_request(SERVICE, now_s)
        taken = sum(budgets.take(SERVICE, now_s) for _ in range(retries))
        self.retried_s += [now_s] * taken
        return taken

    def read(self, name: str, sent_s: float, read_s: float, *, retries: int) -> None:
        """Read a request later than its caller sent it."""
        self.send(name, read_s, retries=retries)
        self.sent_s[-1] = sent_s

    def assert_within_the_agreement(self) -> None:
        self.sent_s.sort()
        self.retried_s.sort()
        worst = worst_window(self.sent_s, self.retried_s, agreement=self.agreement)
        assert worst.sent <= worst.allowed


def test_hosts_that_run_on_use_their_shares() -> None:
    hosts = Hosts()
    for name in hosts.names:
        hosts.list_hosts(name, hosts.names)
        hosts.send(name, 0.0)
    for name in hosts.names:
        hosts.send(name, UNUSED_S, retries=4)
    assert len(hosts.retried_s) == HOSTS * (EXTRA // HOSTS)
    hosts.assert_within_the_agreement()


@pytest.mark.parametrize("starts", [1, 2, 3, 8])
@pytest.mark.parametrize("are_known", [True, False], ids=["listed", "not-listed"])
@pytest.mark.parametrize("agreed", [64, EXTRA])
def test_starts_within_a_window_add_no_retries(
    agreed: int, are_known: bool, starts: int
) -> None:
    """Guards against a share that each start of a host has anew.

    Hosts had a full budget at each start, and those that knew no others a tenth of the
    sum each.
    """
    hosts = Hosts(agreement=RetryAgreement(ratio=RETRY_RATIO, extra=agreed))
    for name in hosts.names:
        hosts.list_hosts(name, hosts.names)
        hosts.send(name, 0.0)
    for number in range(starts * 10):
        now_s = UNUSED_S + number * WINDOW_S / starts / 10
        for name in hosts.names:
            if number % 10 == 0 and number:
                hosts.start(name)
                hosts.list_hosts(name, hosts.names if are_known else [])
            hosts.send(name, now_s, retries=2)
    hosts.assert_within_the_agreement()


@pytest.mark.parametrize("seed", range(30))
def test_hosts_keep_to_the_agreement_whatever_they_do(seed: int) -> None:
    """Guards against retries that add up over starts, lists and hosts that join."""
    rng = Random(seed)
    hosts = Hosts(count=rng.choice([3, 12, 40]))
    listed = hosts.names[: rng.randint(1, hosts.count)]
    now_s = 0.0
    failing = 0.0
    while now_s < 60.0:
        now_s += rng.expovariate(hosts.count * 3.0)
        if rng.random() < 0.005:
            failing = rng.choice([0.0, 0.0, 0.5, 1.0])
        name = rng.choice(hosts.names)
        kind = rng.random()
        if kind < 0.02:
            hosts.start(name)
        elif kind < 0.06:
            hosts.list_hosts(name, listed if rng.random() < 0.9 else [])
        elif kind < 0.07:
            hosts.set_view_age_s(name, rng.choice([0.0, 30.0]))
        elif kind < 0.071:
            # A host that is listed later than others know of it.
            listed = hosts.names[: len(listed) + 1]
        elif kind < 0.072:
            for other in hosts.names:
                hosts.start(other)
                hosts.list_hosts(other, listed)
        hosts.send(name, now_s, retries=3 if rng.random() < failing else 0)
    assert hosts.retried_s
    hosts.assert_within_the_agreement()


@pytest.mark.parametrize("fails_from_s", [UNUSED_S, UNUSED_S + DELIVERY_S])
@pytest.mark.parametrize(
    ("count", "extra", "per_s"),
    [
        pytest.param(HOSTS, EXTRA, 124, id="few-requests"),
        pytest.param(HOSTS, EXTRA, 673, id="busy"),
        pytest.param(12, 64, 201, id="few-hosts"),
        pytest.param(12, 64, 535, id="few-busy-hosts"),
        pytest.param(3, 64, 100, id="three-hosts"),
    ],
)
def test_requests_that_were_read_late_add_no_more_than_agreed(
    count: int, extra: int, per_s: int, fails_from_s: float
) -> None:
    """Guards against retries of more requests than were sent in their window.

    Requests that hosts read late come together with those that are sent then.
    """
    hosts = Hosts(agreement=RetryAgreement(ratio=RETRY_RATIO, extra=extra), count=count)
    for name in hosts.names:
        hosts.list_hosts(name, hosts.names)
        hosts.send(name, 0.0)
    rng = Random(count)
    on_time_from_s = UNUSED_S + DELIVERY_S
    for number in range(int(2 * WINDOW_S * per_s)):
        sent_s = UNUSED_S + number / per_s
        read_s = min(sent_s + DELIVERY_S, max(sent_s, on_time_from_s))
        retries = 2 if read_s >= fails_from_s else 0
        hosts.read(rng.choice(hosts.names), sent_s, read_s, retries=retries)
    hosts.assert_within_the_agreement()


def test_share_that_grows_is_not_available_at_once() -> None:
    """Guards against retries of hosts that left, which may have used them just before.

    What was saved was scaled up with the share.
    """
    hosts = Hosts()
    name = hosts.names[0]
    hosts.list_hosts(name, hosts.names)
    hosts.send(name, 0.0)
    hosts.send(name, UNUSED_S)
    hosts.list_hosts(name, hosts.names[:4])
    assert hosts.send(name, UNUSED_S, retries=20) == EXTRA // HOSTS
    assert hosts.send(name, 2 * UNUSED_S, retries=20) == MAX_SAVED_RETRIES


def test_service_without_requests_has_its_share_in_time() -> None:
    """Guards against a share that counts from the first request of a quiet service."""
    gate = new_gate(1, hosts=3, name="host-1", keyed=True)
    gate.set_hosts(["host-1", "host-2"])
    gate.tick(0.0)
    assert gate.retries.take("inscription", UNUSED_S)


def test_host_with_an_outdated_list_has_no_share() -> None:
    """Guards against a host that was cut off for long, and whose share others have."""
    hosts = Hosts()
    name = hosts.names[0]
    hosts.list_hosts(name, hosts.names)
    hosts.send(name, 0.0)
    hosts.set_view_age_s(name, WINDOW_S + 0.1)
    assert hosts.send(name, UNUSED_S, retries=1) == 0
    hosts.set_view_age_s(name, 0.1)
    assert hosts.send(name, UNUSED_S + 0.1, retries=1) == 0
    assert hosts.send(name, 2 * UNUSED_S + 0.1, retries=1) == 1


def test_host_without_a_share_retries_for_recent_requests_only() -> None:
    """Guards against retries that hosts without a share save for long."""
    budget = RetryBudget(agreement=AGREEMENT)
    for _ in range(20):
        budget.record_request(0.0)
    assert [budget.take(5.0), budget.take(5.0), budget.take(5.0)] == [True, True, False]
    for _ in range(20):
        budget.record_request(5.0)
    assert not budget.take(5.0 + WINDOW_S)


def test_retry_budget_bounds_the_load_that_failures_add() -> None:
    gate = build.gate(build.service(servers=1, slots=3))
    ticket = build.ticket("1")
    kinds = []
    for number in range(20):
        now_s = float(number)
        decision = gate.retry(ticket, OutcomeKind.SHED, now_s)
        gate.finished("1", build.ok(), now_s)
        kinds.append(type(decision))
        is_sent = isinstance(decision, Start)
        assert not is_sent or gate.retries.take(ticket.service, now_s)
    assert kinds == [Start] * 10 + [Refuse] * 10


def new_gate(number: int, *, hosts: int, name: str = "", keyed: bool = False) -> Gate:
    return Gate(
        services=[build.service(servers=2, keyed=keyed)],
        classes=build.CLASSES,
        domain="lac",
        rng=Random(number),
        daemons=hosts,
        name=name,
        retry_agreement=AGREEMENT,
    )


@pytest.mark.parametrize("daemons", [12, 84, 300])
def test_daemons_together_stay_within_the_retry_budget(daemons: int) -> None:
    """Guards against saved retries that add up over many daemons.

    Each daemon saved ten retries, so 84 of them had 840 where operators allow 208.
    """
    gates = [new_gate(number, hosts=daemons) for number in range(daemons)]
    retried = 0
    for number in range(20):
        for gate in gates:
            decision = gate.retry(build.ticket("1"), OutcomeKind.SHED, float(number))
            is_sent = isinstance(decision, Start)
            retried += is_sent and gate.retries.take("inscription", float(number))
            gate.finished("1", build.ok(), float(number))
    assert retried <= EXTRA


def test_hosts_that_know_each_other_share_the_saved_retries() -> None:
    """Guards against retries that nobody may make, as each share is below one."""
    names = [f"host-{number}" for number in range(300)]
    retried = 0
    for number, name in enumerate(names):
        gate = new_gate(number, hosts=300, name=name)
        gate.set_hosts(names)
        gate.submit(build.ticket("0"), 0.0)
        gate.finished("0", build.ok(), 0.0)
        for _ in range(3):
            decision = gate.retry(build.ticket("1"), OutcomeKind.SHED, UNUSED_S)
            is_sent = isinstance(decision, Start)
            retried += is_sent and gate.retries.take("inscription", UNUSED_S)
            gate.finished("1", build.ok(), UNUSED_S)
    assert EXTRA * 0.9 <= retried <= EXTRA


def test_small_share_of_the_retry_budget_still_allows_retries() -> None:
    """Guards against hosts that never retry because their share is below one."""
    gate = new_gate(1, hosts=300)
    for number in range(10):
        gate.submit(build.ticket(f"new-{number}"), 0.0)
        gate.finished(f"new-{number}", build.ok(), 0.0)
    assert isinstance(gate.retry(build.ticket("1"), OutcomeKind.SHED, 0.0), Start)


def test_request_that_reached_no_server_is_retried_without_a_budget() -> None:
    """Guards against failed connections that use up the budget of repeats."""
    gate = new_gate(1, hosts=3)
    ticket = build.ticket("1")
    failed = OutcomeKind.CONNECT_FAILED
    assert isinstance(gate.retry(ticket, failed, 0.0), Refuse)
    assert isinstance(gate.retry(ticket, failed, 0.0, is_repeat=False), Start)
