"""Matching: the first matching rule applies, with the same result as without index."""

from collections.abc import Mapping
from urllib.parse import quote

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from gentianwharf.keys import shard_of
from gentianwharf.rules import (
    RequestFacts,
    Rule,
    RuleChecker,
    RuleDocument,
    RuleSet,
    Severity,
    explain,
)
from tests.builders_rules import (
    SHARDS,
    document,
    facts,
    keyed_rule,
    migration,
    rule,
    scope,
)


def rule_set(*rules: Rule) -> RuleSet:
    return RuleSet(document=document(*rules), revision=1, shards=SHARDS)


LAST = rule(name="last")


@pytest.mark.parametrize(
    ("when", "request_facts", "holds"),
    [
        pytest.param({}, facts(), True, id="empty"),
        pytest.param({"path_prefix": "/desk/"}, facts("/desk/a"), True, id="path"),
        pytest.param({"path_prefix": "/desk/"}, facts("/desk"), False, id="no-slash"),
        pytest.param({"host": "a.example"}, facts(host="a.example"), True, id="host"),
        pytest.param({"host": "a.example"}, facts(), False, id="other-host"),
        pytest.param({"methods": ["GET", "HEAD"]}, facts(), True, id="method"),
        pytest.param({"methods": ["POST"]}, facts(), False, id="other-method"),
        pytest.param({"headers": {"x-a": "1"}}, facts(x_a="1"), True, id="header"),
        pytest.param({"headers": {"x-a": "1"}}, facts(x_a="2"), False, id="value"),
        pytest.param({"headers": {"x-a": "1"}}, facts(), False, id="no-header"),
        pytest.param({"key": "sciences"}, facts(), True, id="key"),
        pytest.param({"key": "arts"}, facts(), False, id="other-key"),
        pytest.param({"shard_share": 1.0}, facts(), True, id="all-shards"),
        pytest.param({"shard_share": 0.0}, facts(), False, id="no-shard"),
        pytest.param({"shard_share": 1.0}, facts("/desk/"), False, id="no-key"),
        pytest.param(
            {"shard_range": {"first": 0, "last": 99}}, facts(), True, id="range"
        ),
    ],
)
def test_condition(
    when: dict[str, object], request_facts: RequestFacts, holds: bool
) -> None:
    rules = rule_set(keyed_rule(when={"path_prefix": "/", **when}), LAST)
    found = rules.match(request_facts)
    assert found is not None
    assert (found.number == 1) is holds


def test_no_rule_matches() -> None:
    assert rule_set(rule(when={"path_prefix": "/x/"})).match(facts()) is None


@pytest.mark.parametrize(
    ("key", "request_facts", "expected"),
    [
        pytest.param(
            {"place": "path_segment", "name": "1"}, facts("/d/b/c"), "b", id="segment"
        ),
        pytest.param(
            {"place": "path_segment", "name": "5"}, facts("/d/b"), None, id="no-segment"
        ),
        pytest.param(
            {"place": "query", "name": "k"},
            facts(query="a=1&k=x%20y"),
            "x y",
            id="query",
        ),
        pytest.param({"place": "query", "name": "k"}, facts(), None, id="no-field"),
        pytest.param(
            {"place": "query", "name": "k"},
            facts(query="&".join(["a=1"] * 200 + ["k=x"])),
            None,
            id="endless-query",
        ),
        pytest.param(
            {"place": "header", "name": "x-club"}, facts(x_club="c"), "c", id="header"
        ),
        pytest.param(
            {"place": "path_segment", "name": "1"},
            facts("/d/b", gentianwharf_key="named"),
            None,
            id="two-keys",
        ),
        pytest.param(
            {"place": "path_segment", "name": "1"},
            facts("/d/%62", gentianwharf_key="b"),
            "b",
            id="same-key-twice",
        ),
        pytest.param(
            {"place": "path_segment", "name": "1"},
            facts("/d", gentianwharf_key="named"),
            "named",
            id="header-alone",
        ),
        pytest.param(
            {"place": "path_segment", "name": "1"},
            facts("/d/" + "x" * 600),
            None,
            id="too-long",
        ),
    ],
)
def test_key_is_read_where_the_rule_says(
    key: dict[str, str], request_facts: RequestFacts, expected: str | None
) -> None:
    found = rule_set(keyed_rule(key=key, when={"path_prefix": "/"})).match(
        request_facts
    )
    assert found is not None
    assert found.key == expected
    shard = None if expected is None else shard_of(expected, SHARDS["desk"])
    assert found.shard == shard


def test_two_spellings_of_a_key_have_one_shard() -> None:
    """A club's page shows a posting that its treasurer's page does not.

    One browser percent-encodes a letter of the club's name in the path, the other does
    not. Hashed without decoding, the two spellings have two shards and two owners.
    """
    rules = rule_set(keyed_rule(site="old"))
    plain = rules.match(facts("/desk/sciences"))
    encoded = rules.match(facts("/desk/%73cience%73"))
    assert plain is not None
    assert encoded is not None
    assert (encoded.key, encoded.shard) == (plain.key, plain.shard)


def test_request_with_two_keys_reaches_no_owner() -> None:
    """A request has one faculty in its path and another one in the header.

    The owner of the header's key would execute it and reserve a seat in the path's
    faculty, which another server owns.
    """
    found = rule_set(keyed_rule(when={"shard_share": 1.0}), keyed_rule()).match(
        facts("/desk/sciences", gentianwharf_key="arts")
    )
    assert found is not None
    assert (found.number, found.key, found.shard) == (2, None, None)


@pytest.mark.parametrize(
    ("share", "shards"),
    [(0.0, 0), (0.01, 1), (0.07, 7), (0.1, 10), (0.5, 50), (1.0, 100)],
)
def test_share_covers_its_first_shards(share: float, shards: int) -> None:
    rules = RuleSet(document=migration(share), revision=1, shards=SHARDS)
    new = [shard for shard in range(100) if rules.site_of("desk", shard) == "new"]
    assert new == list(range(shards))


def test_single_key_has_the_site_of_its_first_rule() -> None:
    hot = keyed_rule(name="hot", site="new", when={"key": "hot"})
    rest = keyed_rule(name="rest", site="old")
    assert rule_set(hot, rest).single_key_sites("desk") == {"hot": "new"}
    assert rule_set(rest, hot).single_key_sites("desk") == {}
    assert rule_set(hot, rest).single_key_sites("ledger") == {}


def test_service_that_no_rule_names_leaves_its_site_open() -> None:
    assert rule_set(LAST).site_of("desk", 0) is None
    assert rule_set(LAST).site_of("nowhere", 0) is None


# There are few values for each attribute, so that rules often match requests.
PATHS = ["/", "/a", "/a/", "/a/b", "/a/b/", "/ab/", "/b/", "/b/a/"]
KEYS = ["k1", "k2", "k3"]
HOSTS = ["one", "two"]
HEADERS = st.dictionaries(
    st.sampled_from(["x-a", "x-b"]), st.sampled_from(["1", "2"]), max_size=2
)
ANY_KEY = {"place": "query", "name": "k"}
SOURCES = st.sampled_from(
    [
        {"place": "path_segment", "name": "1"},
        {"place": "query", "name": "k"},
        {"place": "header", "name": "x-a"},
    ]
)
KEY_CONDITIONS: st.SearchStrategy[dict[str, object]] = st.one_of(
    st.just({}),
    st.sampled_from(KEYS).map(lambda key: {"key": key}),
    st.sampled_from([0, 0.3, 1]).map(lambda share: {"shard_share": share}),
    st.sampled_from([(0, 20), (40, 99)]).map(
        lambda ends: {"shard_range": {"first": ends[0], "last": ends[1]}}
    ),
)
CONDITIONS = st.fixed_dictionaries(
    {},
    optional={
        "host": st.sampled_from(HOSTS),
        "path_prefix": st.sampled_from(PATHS),
        "methods": st.lists(st.sampled_from(["GET", "POST"]), max_size=2),
        "headers": HEADERS,
    },
)


@st.composite
def rules_of_any_kind(draw: st.DrawFn) -> Rule:
    keyed = draw(st.booleans())
    when = draw(CONDITIONS) | draw(KEY_CONDITIONS)
    if not keyed:
        when.pop("shard_share", None)
        when.pop("shard_range", None)
    site = draw(st.sampled_from(["old", "new"])) if keyed else "old"
    return rule(
        name=f"r-{draw(st.integers(0, 10**9))}",
        when=when,
        service="desk" if keyed else "ledger",
        site=site,
        key=draw(SOURCES),
    )


DOCUMENTS = st.lists(rules_of_any_kind(), min_size=1, max_size=12).map(
    lambda rules: RuleDocument(rules=tuple(rules))
)
FACTS = st.builds(
    RequestFacts,
    method=st.sampled_from(["GET", "POST", "PUT"]),
    host=st.sampled_from([*HOSTS, "three"]),
    path=st.builds(
        lambda path, key: path + key, st.sampled_from(PATHS), st.sampled_from(KEYS)
    ),
    query=st.sampled_from(["", "k=k1", "k=k2&k=k1"]),
    headers=HEADERS,
)


def naive_key(rule: Rule, request_facts: RequestFacts) -> str | None:
    assert rule.then.key is not None
    place, name = rule.then.key.place, rule.then.key.name
    if place == "header":
        return request_facts.headers.get(name) or None
    if place == "query":
        fields = [field.split("=") for field in request_facts.query.split("&") if field]
        return next((value for field, value in fields if field == name), None)
    segments = request_facts.path.split("/")[1:]
    return (segments[int(name)] or None) if int(name) < len(segments) else None


def naive_match(rule: Rule, request_facts: RequestFacts) -> bool:
    when = rule.when
    shards = SHARDS.get(rule.then.service, 0)
    key = naive_key(rule, request_facts)
    shard = shard_of(key, shards) if key is not None and shards else None
    return all(
        [
            when.host in (None, request_facts.host),
            request_facts.path.startswith(when.path_prefix or ""),
            not when.methods or request_facts.method in when.methods,
            when.headers.items() <= dict(request_facts.headers).items(),
            when.key in (None, key),
            when.shard_share is None
            or (shard is not None and shard < when.shard_share * shards),
            when.shard_range is None
            or (
                shard is not None
                and when.shard_range.first <= shard <= when.shard_range.last
            ),
        ]
    )


@st.composite
def rules_that_differ_in_their_keys(draw: st.DrawFn) -> RuleDocument:
    """Generate rules that differ only in the key, followed by a few others."""
    first, last = sorted(draw(st.tuples(st.integers(0, 99), st.integers(0, 99))))
    key_conditions = st.one_of(
        KEY_CONDITIONS,
        st.just({"shard_range": {"first": first, "last": last}}),
        st.sampled_from(KEYS).map(lambda key: {"key": key}),
    )
    conditions = draw(st.lists(key_conditions, min_size=4, max_size=20))
    rules = [
        keyed_rule(name=f"r-{number}", site="old", when={"path_prefix": "/", **when})
        for number, when in enumerate(conditions)
    ]
    return document(*rules, *draw(st.lists(rules_of_any_kind(), max_size=3)))


RULES_THAT_DIFFER_IN_A_HEADER = st.lists(
    st.sampled_from(["1", "2", "3"]).map(lambda value: {"headers": {"x-a": value}}),
    min_size=4,
    max_size=8,
).map(
    lambda conditions: document(
        *(
            rule(name=f"r-{n}", when=when, key=ANY_KEY)
            for n, when in enumerate(conditions)
        ),
        rule(name="last", key=ANY_KEY),
    )
)


@settings(max_examples=600, deadline=None, derandomize=True)
@given(
    rules=st.one_of(
        DOCUMENTS, rules_that_differ_in_their_keys(), RULES_THAT_DIFFER_IN_A_HEADER
    ),
    request_facts=FACTS,
)
def test_match_agrees_with_testing_every_rule(
    rules: RuleDocument, request_facts: RequestFacts
) -> None:
    matching = [
        number
        for number, candidate in enumerate(rules.rules, start=1)
        if naive_match(candidate, request_facts)
    ]
    compiled = RuleSet(document=rules, revision=1, shards=SHARDS)
    found = compiled.match(request_facts)
    assert (found.number if found else None) == (matching[0] if matching else None)
    explanation = explain(compiled, request_facts)
    assert explanation.number == (found.number if found else None)
    assert all(skipped.reasons for skipped in explanation.passed_over)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(rules=DOCUMENTS, requests=st.lists(FACTS, min_size=1, max_size=20))
@example(
    rules=RuleDocument(
        rules=(
            keyed_rule(name="new", site="new", when={"shard_share": 0.3}),
            keyed_rule(name="old", site="old"),
        )
    ),
    requests=[facts(f"/desk/{quote(key)}") for key in KEYS],
)
def test_accepted_documents_send_a_key_to_one_site(
    rules: RuleDocument, requests: list[RequestFacts]
) -> None:
    """The site of a key is the one that placement uses, for every request."""
    findings = RuleChecker(scope=scope()).check(rules)
    if any(finding.severity is Severity.ERROR for finding in findings):
        return
    compiled = RuleSet(document=rules, revision=1, shards=SHARDS)
    single = compiled.single_key_sites("desk")
    for request_facts in requests:
        found = compiled.match(request_facts)
        if found is None or found.key is None or found.shard is None:
            continue
        assert found.site == _site_of(compiled, single, found.key, found.shard)


def _site_of(
    compiled: RuleSet, single: Mapping[str, str | None], key: str, shard: int
) -> str | None:
    return single[key] if key in single else compiled.site_of("desk", shard)


STEPS = [0.0, 0.01, 0.1, 0.5, 1.0, 0.1]


@pytest.mark.parametrize("shards", [100, 1024, 65_536])
def test_step_of_the_migration_moves_only_the_keys_between_two_shares(
    shards: int,
) -> None:
    """A step back to 10% must not move keys outside the two shares."""
    placements = [_new_site_shards(share, shards) for share in STEPS]
    for before, after, share in zip(
        placements, placements[1:], STEPS[1:], strict=False
    ):
        assert before <= after or after <= before
        assert abs(len(after) - share * shards) < 1
    assert placements[-1] == placements[STEPS.index(0.1)]


def _new_site_shards(share: float, shards: int) -> set[int]:
    rules = RuleSet(document=migration(share), revision=1, shards={"desk": shards})
    return {shard for shard in range(shards) if rules.site_of("desk", shard) == "new"}
