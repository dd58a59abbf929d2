"""Checks of rule documents: refused documents, their findings, accepted documents."""

from typing import Any

import pytest

from gentianwharf.rules import (
    MAX_DOCUMENT_BYTES,
    MAX_RULES,
    MAX_SINGLE_KEY_RULES,
    Rule,
    RuleChecker,
    RuleDocument,
    Severity,
)
from tests.builders_rules import document, keyed_rule, migration, rule, scope

LEDGER = rule(name="ledger", when={"path_prefix": "/ledger/"})


def errors(checked: RuleDocument, **deadline_caps_ms: int) -> list[str]:
    findings = RuleChecker(scope=scope(**deadline_caps_ms)).check(checked)
    return [str(item) for item in findings if item.severity is Severity.ERROR]


def warnings(checked: RuleDocument) -> list[str]:
    findings = RuleChecker(scope=scope()).check(checked)
    return [str(item) for item in findings if item.severity is Severity.WARNING]


@pytest.mark.parametrize("share", [0.0, 0.01, 0.1, 0.5, 1.0])
def test_every_step_of_a_migration_passes(share: float) -> None:
    assert errors(migration(share)) == []


@pytest.mark.parametrize(
    ("wrong", "expected"),
    [
        pytest.param(
            rule(service="leger"),
            ["rules.0.then.service", "desk, ledger"],
            id="service",
        ),
        pytest.param(rule(site="nord"), ["rules.0.then.site", "'nord'"], id="site"),
        pytest.param(
            rule(site="new"), ["one of old", "has servers"], id="site-without-servers"
        ),
        pytest.param(rule(request_class="slow"), ["consultation, posting"], id="class"),
        pytest.param(
            keyed_rule(key=None), ["rules.0.then.key", "is keyed"], id="no-key"
        ),
        pytest.param(
            rule(when={"key": "a"}),
            ["the rule asks for one"],
            id="no-key-for-condition",
        ),
        pytest.param(
            rule(when={"shard_share": 0.5}), ["shard_share", "not keyed"], id="share"
        ),
        pytest.param(
            keyed_rule(when={"shard_range": {"first": 0, "last": 100}}),
            ["shard_range.last", "at most 99"],
            id="range-too-far",
        ),
        pytest.param(
            rule(when={"headers": {"gentianwharf-key": "a"}}),
            ['condition "key"'],
            id="key-as-header",
        ),
    ],
)
def test_mistake_in_a_rule_names_field_found_and_expected(
    wrong: Rule, expected: list[str]
) -> None:
    found = errors(document(wrong))
    assert len(found) == 1, found
    assert "rule 1 (one)" in found[0]
    assert all(part in found[0] for part in expected), found[0]


@pytest.mark.parametrize(
    ("wrong", "expected"),
    [
        pytest.param(document(), "no rule", id="empty"),
        pytest.param(document(LEDGER, LEDGER), "another name", id="same-name"),
        pytest.param(
            document(
                *(
                    keyed_rule(name=f"k-{n}", when={"key": f"k{n}"}, site="old")
                    for n in range(MAX_SINGLE_KEY_RULES + 1)
                )
            ),
            f"at most {MAX_SINGLE_KEY_RULES}",
            id="single-keys",
        ),
        pytest.param(
            document(*(rule(name=f"r-{n}") for n in range(MAX_RULES + 1))),
            f"{MAX_RULES + 1} rules; expected at most {MAX_RULES}",
            id="rules",
        ),
        pytest.param(
            document(
                *(
                    rule(name=f"r-{n}", when={"headers": {"x-a": f"{n:01000}"}})
                    for n in range(300)
                )
            ),
            f"at most {MAX_DOCUMENT_BYTES} bytes",
            id="bytes",
        ),
    ],
)
def test_mistake_of_the_whole_document(wrong: RuleDocument, expected: str) -> None:
    assert any(expected in found for found in errors(wrong))


def test_deadline_of_a_keyed_service_is_bounded() -> None:
    long = document(keyed_rule(deadline_ms=9000))
    assert errors(long) == []
    found = errors(long, desk=5000)
    assert "at most 5000" in found[0]


OLD = keyed_rule(name="old", site="old")
NEW_BY_HEADER = {"headers": {"x-beta": "1"}}


@pytest.mark.parametrize(
    "rules",
    [
        pytest.param(
            [keyed_rule(name="beta", site="new", when=NEW_BY_HEADER), OLD], id="header"
        ),
        pytest.param(
            [keyed_rule(name="beta", site="new", when={"methods": ["GET"]}), OLD],
            id="method",
        ),
        pytest.param(
            [keyed_rule(name="beta", site="new", when={"path_prefix": "/d/"}), OLD],
            id="path",
        ),
        pytest.param(
            [keyed_rule(name="beta", site="new", when={"host": "new.example"}), OLD],
            id="host",
        ),
        pytest.param(
            [
                keyed_rule(name="beta", site="new", when={"shard_share": 0.1}),
                keyed_rule(name="other", site="old", when={"path_prefix": "/d/"}),
                OLD,
            ],
            id="share-on-one-of-two-paths",
        ),
        pytest.param(
            [
                keyed_rule(
                    name="beta", site="new", when={"key": "hot", **NEW_BY_HEADER}
                ),
                OLD,
            ],
            id="single-key-and-header",
        ),
        pytest.param(
            [
                keyed_rule(
                    name="beta",
                    site="new",
                    when={"shard_share": 0.1},
                    key={"place": "query", "name": "faculty"},
                ),
                OLD,
            ],
            id="key-from-two-places",
        ),
        pytest.param(
            [keyed_rule(name="beta", when=NEW_BY_HEADER), OLD], id="any-site-and-one"
        ),
    ],
)
def test_document_that_gives_a_key_two_owners_is_refused(rules: list[Rule]) -> None:
    """Two applicants for one faculty are shown different free seats.

    One browser sends a header for which a rule selects the new site, the other does
    not. Servers at both sites then reserve seats for the same key.
    """
    found = errors(document(*rules))
    assert len(found) >= 1
    assert "one key would have two owners" in found[0]
    assert "rule 1 (beta)" in found[0]
    assert "shard_share, shard_range or key" in found[0]


def shared(name: str, site: str, path: str, share: float | None = None) -> Rule:
    when: dict[str, Any] = {"path_prefix": path}
    if share is not None:
        when["shard_share"] = share
    return keyed_rule(name=name, site=site, when=when)


@pytest.mark.parametrize(
    "rules",
    [
        pytest.param(
            [
                shared("a-new", "new", "/a/", 0.1),
                shared("b-new", "new", "/b/", 0.1),
                shared("a-old", "old", "/a/"),
                shared("b-old", "old", "/b/"),
            ],
            id="same-share-on-two-paths",
        ),
        pytest.param(
            [
                keyed_rule(name="hot", site="new", when={"key": "hot"}),
                keyed_rule(
                    name="some",
                    site="new",
                    when={"shard_range": {"first": 5, "last": 9}},
                ),
                OLD,
            ],
            id="single-key-and-range",
        ),
        pytest.param(
            [
                keyed_rule(name="posts", site="old", when={"methods": ["POST"]}),
                OLD,
            ],
            id="method-with-the-same-site",
        ),
        pytest.param(
            [
                rule(name="beta", site="old", when=NEW_BY_HEADER),
                rule(name="all"),
            ],
            id="service-without-keys",
        ),
    ],
)
def test_document_in_which_sites_depend_on_keys_passes(rules: list[Rule]) -> None:
    assert errors(document(*rules)) == []


@pytest.mark.parametrize(
    ("rules", "hidden"),
    [
        pytest.param(
            [rule(name="all"), rule(name="never", when={"methods": ["GET"]})],
            "never",
            id="catch-all-first",
        ),
        pytest.param(
            [OLD, keyed_rule(name="never", site="old", when={"shard_share": 0.5})],
            "never",
            id="share-after-all",
        ),
        pytest.param(
            [
                keyed_rule(name="half", site="old", when={"shard_share": 0.5}),
                keyed_rule(name="never", site="old", when={"shard_share": 0.1}),
                OLD,
            ],
            "never",
            id="smaller-share-later",
        ),
    ],
)
def test_rule_that_no_request_reaches_is_a_warning(
    rules: list[Rule], hidden: str
) -> None:
    assert errors(document(*rules)) == []
    found = [text for text in warnings(document(*rules)) if "no request" in text]
    assert len(found) == 1
    assert f"({hidden})" in found[0]


def test_service_without_a_rule_is_a_warning() -> None:
    assert any("'desk'" in text for text in warnings(document(LEDGER)))
