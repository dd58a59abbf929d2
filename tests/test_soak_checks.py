"""The soak's checks of added and removed rules."""

from math import inf

import pytest
from soak._added_rules import AddedRule, RulesVersion
from soak._checks import SentRequest, check_recovery
from soak._cuts import Cut, find_unserved_cuts
from soak._disruptions import (
    ALL_SERVER_LINKS,
    STORE,
    STORE_ANSWERS,
    Disruptions,
    link_of,
)
from soak._operators import MOST_RULES
from soak._rule_checks import find_stale_versions, find_version_regressions
from soak._server_arguments import MOVED_SERVICES, SERVICES

from gentianwharf.platform import decode_configuration
from gentianwharf.platform.standin import MAX_VALUE_BYTES, MOVED, configuration

ADDED = RulesVersion(number=5, sent_s=9.0, acknowledged_s=10.0)
REMOVED = RulesVersion(number=8, sent_s=19.0, acknowledged_s=20.0)
FORMER_SERVER, MOVED_SERVER = len(SERVICES) - 1, len(SERVICES)


def sent_request(
    *,
    at_s: float,
    status: int,
    rule: AddedRule,
    took_s: float = 0.1,
    host: str = "h",
    server: int | None = None,
) -> SentRequest:
    return SentRequest(
        id="rule-1",
        service="seats",
        host=host,
        may_repeat=True,
        sent_s=at_s,
        rule=rule,
        ended_s=at_s + took_s,
        status=status,
        signature=f"server-{server}" if server is not None else None,
        is_complete=True,
    )


def added_rule() -> AddedRule:
    return AddedRule(path="/added/", added=ADDED)


def removed_rule() -> AddedRule:
    return AddedRule(path="/dropped/", added=ADDED, removed=REMOVED)


def moved_rule() -> AddedRule:
    return AddedRule(path="/moved/", added=ADDED, moved=REMOVED)


class DisruptionSite:
    """Disruptions with the given spans of time, on a clock that a test can set."""

    def __init__(self, **spans_s: tuple[float, float]) -> None:
        self.now_s = 0.0
        self.disruptions = Disruptions(now_s=lambda: self.now_s)
        for subject, (begun_s, ended_s) in spans_s.items():
            self.now_s = begun_s
            self.disruptions.begin(subject)
            if ended_s != inf:
                self.now_s = ended_s
                self.disruptions.end(subject)


NO_DISRUPTIONS = DisruptionSite().disruptions


def test_a_rule_that_was_acknowledged_long_ago_is_served() -> None:
    """Callers receive 404 for rules that operators have added.

    The store acknowledged a list of 819 rules, but every host rejected it, since one
    of its models accepted at most 500, and kept the previous list in force.
    """
    found = find_stale_versions(
        [sent_request(at_s=12.1, status=404, rule=added_rule())], NO_DISRUPTIONS
    )
    assert found == [
        "CONFIG: rule-1 through h at 12.100 got 404 for /added/, added by 5 at 10.000"
    ]


@pytest.mark.parametrize("at_s", [9.5, 11.9])
def test_a_rule_may_be_unknown_until_its_bound(at_s: float) -> None:
    assert not find_stale_versions(
        [sent_request(at_s=at_s, status=404, rule=added_rule())], NO_DISRUPTIONS
    )


def test_a_rule_may_be_unknown_once_its_removal_is_under_way() -> None:
    before = sent_request(at_s=18.8, status=404, rule=removed_rule())
    crossing = sent_request(at_s=18.95, status=404, rule=removed_rule())
    assert find_stale_versions([before], NO_DISRUPTIONS)
    assert not find_stale_versions([crossing], NO_DISRUPTIONS)


def test_a_removed_rule_is_served_no_more_after_its_bound() -> None:
    late = sent_request(at_s=22.1, status=200, rule=removed_rule())
    assert find_stale_versions([late], NO_DISRUPTIONS)
    assert not find_stale_versions(
        [sent_request(at_s=21.9, status=200, rule=removed_rule())], NO_DISRUPTIONS
    )


def test_a_rule_that_was_never_acknowledged_has_no_bound() -> None:
    version = RulesVersion(number=5, sent_s=9.0)
    rule = AddedRule(path="/added/", added=version)
    assert not find_stale_versions(
        [sent_request(at_s=99.0, status=404, rule=rule)], NO_DISRUPTIONS
    )


@pytest.mark.parametrize(
    ("at_s", "server", "is_late"),
    [
        pytest.param(18.8, FORMER_SERVER, False, id="former-before"),
        pytest.param(18.8, MOVED_SERVER, True, id="new-before"),
        pytest.param(21.9, FORMER_SERVER, False, id="former-until-its-bound"),
        pytest.param(21.9, MOVED_SERVER, False, id="new-at-once"),
        pytest.param(22.1, FORMER_SERVER, True, id="former-after-its-bound"),
        pytest.param(22.1, MOVED_SERVER, False, id="new-after-its-bound"),
    ],
)
def test_a_moved_rule_is_served_by_the_new_service_after_its_bound(
    at_s: float, server: int, is_late: bool
) -> None:
    """Guards against a soak that passes while hosts go on by the former service."""
    request = sent_request(at_s=at_s, status=200, rule=moved_rule(), server=server)
    assert bool(find_stale_versions([request], NO_DISRUPTIONS)) is is_late


@pytest.mark.parametrize(
    ("status", "rule"),
    [(404, added_rule()), (200, moved_rule())],
    ids=["added-rule-unknown", "former-service"],
)
def test_a_host_late_after_an_outage_of_the_store_is_found(
    status: int, rule: AddedRule
) -> None:
    """Guards against an outage that excuses hosts for longer than 3 s."""
    answered = rule.moved or rule.added
    ended_s = answered.acknowledged_s - 0.2
    site = DisruptionSite(**{STORE_ANSWERS: (ended_s - 4.0, ended_s)})
    late, excused = (
        sent_request(
            at_s=ended_s + after_s, status=status, rule=rule, server=FORMER_SERVER
        )
        for after_s in (3.1, 2.9)
    )
    (line,) = find_stale_versions([late], site.disruptions)
    assert line.startswith("CONFIG: rule-1 through h at")
    assert not find_stale_versions([excused], site.disruptions)


def test_the_former_service_is_older_than_the_new_one() -> None:
    rule = moved_rule()
    new = sent_request(at_s=19.5, status=200, rule=rule, server=MOVED_SERVER)
    former = sent_request(at_s=19.7, status=200, rule=rule, server=FORMER_SERVER)
    (line,) = find_version_regressions([former, new])
    assert line.startswith("OLDER: rule-1 through h at 19.700")
    assert not find_version_regressions([new, former][:1])


def test_servers_of_moved_rules_are_the_last_ones() -> None:
    """Guards against seeds whose faults meet other servers than before."""
    assert set(MOVED_SERVICES) == {MOVED}
    assert MOVED not in SERVICES


@pytest.mark.parametrize("subject", ["h", link_of("h"), STORE, STORE_ANSWERS])
def test_a_host_has_time_to_catch_up_after_a_disruption(subject: str) -> None:
    disruptions = DisruptionSite(**{subject: (11.0, 12.0)}).disruptions
    assert not find_stale_versions(
        [sent_request(at_s=14.9, status=404, rule=added_rule())], disruptions
    )
    assert find_stale_versions(
        [sent_request(at_s=15.1, status=404, rule=added_rule())], disruptions
    )


def test_a_disruption_that_lasts_excuses_its_host_alone() -> None:
    disruptions = DisruptionSite(h=(11.0, inf)).disruptions
    excused = sent_request(at_s=50.0, status=404, rule=added_rule())
    other = sent_request(at_s=50.0, status=404, rule=added_rule(), host="other")
    assert not find_stale_versions([excused], disruptions)
    assert find_stale_versions([other], disruptions)


def test_a_disruption_that_begins_anew_while_it_lasts_is_one() -> None:
    site = DisruptionSite(h=(11.0, inf))
    site.now_s = 12.0
    site.disruptions.begin("h")
    site.now_s = 13.0
    site.disruptions.end("h")
    site.disruptions.end("h")
    assert not site.disruptions.is_undisrupted("h", 15.9, 16.5)
    assert site.disruptions.is_undisrupted("h", 16.1, 16.5)


def test_a_host_does_not_go_back_to_before_a_rule_was_added() -> None:
    """A host returns to an older version, which also a disrupted host must not do."""
    shown = sent_request(at_s=10.0, status=200, rule=added_rule())
    back = sent_request(at_s=10.2, status=404, rule=added_rule())
    assert find_version_regressions([shown, back]) == [
        "OLDER: rule-1 through h at 10.200 got 404 as before version 5, after version 5"
    ]


def test_a_host_does_not_go_back_to_before_a_rule_was_removed() -> None:
    newer = RulesVersion(number=9, sent_s=21.0, acknowledged_s=22.0)
    shown = sent_request(
        at_s=21.5, status=200, rule=AddedRule(path="/newer/", added=newer)
    )
    back = sent_request(at_s=21.7, status=200, rule=removed_rule())
    assert find_version_regressions([back, shown])


def test_answers_that_may_come_from_one_version_are_no_way_back() -> None:
    shown = sent_request(at_s=10.0, status=200, rule=added_rule())
    crossing = sent_request(at_s=10.05, status=404, rule=added_rule())
    elsewhere = sent_request(at_s=10.2, status=404, rule=added_rule(), host="other")
    removed = sent_request(at_s=19.5, status=404, rule=removed_rule())
    assert not find_version_regressions([shown, crossing, elsewhere, removed])


def test_rules_that_must_be_served_count_for_the_recovery() -> None:
    """After a restart of all hosts none has rules, and every request is refused."""
    refused = sent_request(at_s=30.0, status=503, rule=added_rule())
    assert check_recovery([refused], from_s=25.0)


def test_rules_that_may_be_unknown_do_not_count_for_the_recovery() -> None:
    served = sent_request(at_s=30.0, status=200, rule=added_rule())
    removed = sent_request(at_s=30.0, status=404, rule=removed_rule())
    assert not check_recovery([served, removed], from_s=25.0)


def test_the_longest_list_fits_into_a_value_of_the_store() -> None:
    paths = [f"/added-1000-{number}/" for number in range(MOST_RULES)]
    value = configuration(1000, added_paths=paths).value
    assert len(value) <= MAX_VALUE_BYTES
    assert len(decode_configuration(value).document.rules) == MOST_RULES + 3


CUT = Cut(hosts=("host-0",), begun_s=10.0, ended_s=20.0)


def tries(*, host: str, served: int, failed: int, at_s: float) -> list[SentRequest]:
    statuses = [200] * served + [503] * failed
    return [
        sent_request(at_s=at_s, status=status, rule=added_rule(), host=host)
        for status in statuses
    ]


@pytest.mark.parametrize(
    ("served", "failed", "at_s", "reported"),
    [
        pytest.param(0, 30, 15.0, True, id="refuses-all"),
        pytest.param(30, 0, 15.0, False, id="serves-all"),
        pytest.param(10, 20, 15.0, True, id="served-a-third-as-often"),
        pytest.param(21, 9, 15.0, False, id="few-failures"),
        pytest.param(0, 30, 10.5, False, id="not-known-yet"),
        pytest.param(0, 30, 20.5, False, id="links-restored"),
    ],
)
def test_host_without_links_has_to_serve_like_the_others(
    served: int, failed: int, at_s: float, reported: bool
) -> None:
    """Guards against a soak that passes while hosts without links refuse requests."""
    requests = tries(host="host-0", served=served, failed=failed, at_s=at_s)
    requests += tries(host="host-1", served=30, failed=0, at_s=at_s)
    lines = find_unserved_cuts(requests, [CUT], NO_DISRUPTIONS)
    assert bool(lines) is reported


def test_disrupted_hosts_are_not_counted_during_a_cut() -> None:
    requests = tries(host="host-0", served=0, failed=30, at_s=15.0)
    requests += tries(host="host-1", served=30, failed=0, at_s=15.0)
    site = DisruptionSite(**{"host-0": (14.0, 16.0)})
    assert find_unserved_cuts(requests, [CUT], site.disruptions) == []


def test_tries_are_not_counted_while_all_links_hold() -> None:
    """Nobody is served then, with links or without."""
    requests = tries(host="host-0", served=0, failed=30, at_s=15.0)
    requests += tries(host="host-1", served=0, failed=15, at_s=15.0)
    requests += tries(host="host-1", served=15, failed=0, at_s=18.0)
    site = DisruptionSite(**{ALL_SERVER_LINKS: (14.0, 16.0)})
    assert find_unserved_cuts(requests, [CUT], site.disruptions) == []
    assert find_unserved_cuts(requests, [CUT], NO_DISRUPTIONS) != []
    later = tries(host="host-0", served=0, failed=30, at_s=18.0)
    assert find_unserved_cuts(requests + later, [CUT], site.disruptions) != []


def test_tries_are_not_counted_while_no_other_host_runs() -> None:
    """A host without links reaches the servers through others that run."""
    requests = tries(host="host-0", served=0, failed=30, at_s=15.0)
    requests += tries(host="host-1", served=30, failed=0, at_s=19.5)
    site = DisruptionSite(**{"host-1": (14.0, 16.0)})
    assert find_unserved_cuts(requests, [CUT], site.disruptions) == []
    assert find_unserved_cuts(requests, [CUT], NO_DISRUPTIONS) != []
