"""What the soak sees and what it excuses, for rules that operators add and remove."""

from math import inf

import pytest
from soak._added_rules import AddedRule, RulesVersion
from soak._checks import Asked, unserved
from soak._disruptions import STORE, Disruptions, way_of
from soak._operators import MOST_RULES
from soak._rule_checks import late_rules, older_after_newer

from gentianwharf.platform import decode_configuration
from gentianwharf.platform.standin import MAX_VALUE_BYTES, configuration

ADDED = RulesVersion(number=5, sent_s=9.0, acknowledged_s=10.0)
REMOVED = RulesVersion(number=8, sent_s=19.0, acknowledged_s=20.0)


def asked(
    *, at_s: float, status: int, rule: AddedRule, took_s: float = 0.1, host: str = "h"
) -> Asked:
    return Asked(
        id="rule-1",
        host=host,
        may_repeat=True,
        asked_s=at_s,
        rule=rule,
        ended_s=at_s + took_s,
        status=status,
        is_whole=True,
    )


def standing() -> AddedRule:
    return AddedRule(path="/added/", added=ADDED)


def dropped() -> AddedRule:
    return AddedRule(path="/dropped/", added=ADDED, removed=REMOVED)


class Disrupted:
    """Spans of time in which something is disrupted."""

    def __init__(self, **spans_s: tuple[float, float]) -> None:
        self.now_s = 0.0
        self.noted = Disruptions(now_s=lambda: self.now_s)
        for what, (begun_s, ended_s) in spans_s.items():
            self.now_s = begun_s
            self.noted.begin(what)
            if ended_s != inf:
                self.now_s = ended_s
                self.noted.end(what)


CALM = Disrupted().noted


def test_a_rule_that_was_acknowledged_long_ago_is_served() -> None:
    """Callers got 404 for rules that operators had added.

    The store acknowledged a list of 819 rules; every host refused it because a model
    of its own took 500 at the most, and went on with the list of before.
    """
    found = late_rules([asked(at_s=12.1, status=404, rule=standing())], CALM)
    assert found == [
        "CONFIG: rule-1 through h at 12.100 got 404 for /added/, added by 5 at 10.000"
    ]


@pytest.mark.parametrize("at_s", [9.5, 11.9])
def test_a_rule_may_be_unknown_until_its_bound(at_s: float) -> None:
    assert not late_rules([asked(at_s=at_s, status=404, rule=standing())], CALM)


def test_a_rule_may_be_unknown_once_its_removal_is_under_way() -> None:
    before = asked(at_s=18.8, status=404, rule=dropped())
    crossing = asked(at_s=18.95, status=404, rule=dropped())
    assert late_rules([before], CALM)
    assert not late_rules([crossing], CALM)


def test_a_removed_rule_is_served_no_more_after_its_bound() -> None:
    late = asked(at_s=22.1, status=200, rule=dropped())
    assert late_rules([late], CALM)
    assert not late_rules([asked(at_s=21.9, status=200, rule=dropped())], CALM)


def test_a_rule_that_was_never_acknowledged_has_no_bound() -> None:
    version = RulesVersion(number=5, sent_s=9.0)
    rule = AddedRule(path="/added/", added=version)
    assert not late_rules([asked(at_s=99.0, status=404, rule=rule)], CALM)


@pytest.mark.parametrize("what", ["h", way_of("h"), STORE])
def test_a_host_has_time_to_catch_up_after_a_disruption(what: str) -> None:
    disruptions = Disrupted(**{what: (11.0, 12.0)}).noted
    assert not late_rules([asked(at_s=14.9, status=404, rule=standing())], disruptions)
    assert late_rules([asked(at_s=15.1, status=404, rule=standing())], disruptions)


def test_a_disruption_that_lasts_excuses_its_host_alone() -> None:
    disruptions = Disrupted(h=(11.0, inf)).noted
    one = asked(at_s=50.0, status=404, rule=standing())
    other = asked(at_s=50.0, status=404, rule=standing(), host="other")
    assert not late_rules([one], disruptions)
    assert late_rules([other], disruptions)


def test_a_disruption_that_begins_anew_while_it_lasts_is_one() -> None:
    disrupted = Disrupted(h=(11.0, inf))
    disrupted.now_s = 12.0
    disrupted.noted.begin("h")
    disrupted.now_s = 13.0
    disrupted.noted.end("h")
    disrupted.noted.end("h")
    assert not disrupted.noted.is_in_touch("h", 15.9, 16.5)
    assert disrupted.noted.is_in_touch("h", 16.1, 16.5)


def test_a_host_does_not_go_back_to_before_a_rule_was_added() -> None:
    """Also where hosts are out of touch: what a host has shown, it knows."""
    shown = asked(at_s=10.0, status=200, rule=standing())
    back = asked(at_s=10.2, status=404, rule=standing())
    assert older_after_newer([shown, back]) == [
        "OLDER: rule-1 through h at 10.200 got 404 as before version 5, after version 5"
    ]


def test_a_host_does_not_go_back_to_before_a_rule_was_removed() -> None:
    newer = RulesVersion(number=9, sent_s=21.0, acknowledged_s=22.0)
    shown = asked(at_s=21.5, status=200, rule=AddedRule(path="/newer/", added=newer))
    back = asked(at_s=21.7, status=200, rule=dropped())
    assert older_after_newer([back, shown])


def test_answers_that_may_come_from_one_version_are_no_way_back() -> None:
    shown = asked(at_s=10.0, status=200, rule=standing())
    crossing = asked(at_s=10.05, status=404, rule=standing())
    elsewhere = asked(at_s=10.2, status=404, rule=standing(), host="other")
    removed = asked(at_s=19.5, status=404, rule=dropped())
    assert not older_after_newer([shown, crossing, elsewhere, removed])


def test_rules_that_must_be_served_count_for_the_recovery() -> None:
    """After a restart of all hosts none had rules: each request was refused."""
    refused = asked(at_s=30.0, status=503, rule=standing())
    assert unserved([refused], from_s=25.0)


def test_rules_that_may_be_unknown_do_not_count_for_the_recovery() -> None:
    served = asked(at_s=30.0, status=200, rule=standing())
    removed = asked(at_s=30.0, status=404, rule=dropped())
    assert not unserved([served, removed], from_s=25.0)


def test_the_longest_list_fits_into_a_value_of_the_store() -> None:
    paths = [f"/added-1000-{number}/" for number in range(MOST_RULES)]
    value = configuration(1000, added_paths=paths).value
    assert len(value) <= MAX_VALUE_BYTES
    assert len(decode_configuration(value).document.rules) == MOST_RULES + 3
