"""Settings: the examples are valid, and mistakes are reported with their location."""

import json
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianwharf.errors import InputError
from gentianwharf.rules import RuleChecker, RuleDocument
from gentianwharf.settings import (
    LineMap,
    load_rules,
    load_settings,
    map_lines,
    parse_jsonc,
    rule_scope_of,
    services_of,
    validate,
)

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.mark.parametrize(
    ("example", "counts"),
    [
        pytest.param("tunis", [16, 8, 13], id="tunis"),
        pytest.param("brazos-bend", [12, 7, 12], id="brazos-bend"),
    ],
)
def test_examples_have_the_expected_number_of_servers(
    example: str, counts: list[int]
) -> None:
    services = services_of(load_settings(EXAMPLES / example / "settings.jsonc"))
    assert [len(service.servers) for service in services] == counts
    assert load_rules(EXAMPLES / example / "rules.jsonc").rules


RULES = (EXAMPLES / "tunis" / "rules.jsonc").read_text()
TUNIS = (EXAMPLES / "tunis" / "settings.jsonc").read_text()


def line_of(text: str, part: str) -> int:
    """Return the line of the first occurrence of ``part``."""
    return text.count("\n", 0, text.index(part)) + 1


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        pytest.param(
            '"127.0.0.1:8080"', '"gateway:8080"', "host names", id="host-name"
        ),
        pytest.param('"domain": "lac",', '"domain": "nord",', "'nord'", id="domain"),
        pytest.param(
            '["lac", "charguia"', '["lac", "nord"', "'nord'", id="servers-domain"
        ),
        pytest.param('"shards": 1024,', "", "needs shards", id="no-shards"),
        pytest.param('"customer"', '"custmer"', "custmer", id="misspelt"),
        pytest.param('"tunis",', '"tunis"', "line 4", id="syntax"),
        pytest.param(
            '"id": "lac-1",', '"id": "a", "id": "b",', "'id' stands twice", id="twice"
        ),
        pytest.param(
            '"name": "documents"', '"name": "inscription"', "again", id="same-name"
        ),
        pytest.param(
            '"admin_address": "127.0.0.1:8081"',
            '"admin_address": "10.0.0.1:8081"',
            "without admin_token_file",
            id="open-admin-port",
        ),
        pytest.param('"limit_ms": 300', '"limit_ms": 9000', "at most", id="objective"),
        pytest.param(
            '"drain_limit_s": 75', '"drain_limit_s": 60', "62.0", id="short-shutdown"
        ),
        pytest.param('"level": "info"', '"level": "loud"', "warning", id="log-level"),
    ],
)
def test_mistake_names_place_and_remedy(
    tmp_path: Path, old: str, new: str, expected: str
) -> None:
    assert old in TUNIS
    path = tmp_path / "settings.jsonc"
    path.write_text(TUNIS.replace(old, new, 1))
    with pytest.raises(InputError, match=expected) as caught:
        load_settings(path)
    assert caught.value.peer == str(path)


@pytest.mark.parametrize(
    ("old", "new"),
    [
        pytest.param('"first_port": 9300', '"first_port": 0', id="value-in-a-list"),
        pytest.param('"domain": "lac",', '"domain": "nord",', id="seen-together"),
        pytest.param('"slots": 6', '"slots": "six"', id="wrong-type"),
    ],
)
def test_mistake_names_its_line(tmp_path: Path, old: str, new: str) -> None:
    text = TUNIS.replace(old, new, 1)
    path = tmp_path / "settings.jsonc"
    path.write_text(text)
    with pytest.raises(InputError, match=f"line {line_of(text, new)}: "):
        load_settings(path)


def test_every_mistake_is_listed_at_once(tmp_path: Path) -> None:
    path = tmp_path / "settings.jsonc"
    path.write_text(
        TUNIS.replace('"domain": "lac",', '"domain": "nord",').replace(
            '"drain_limit_s": 75', '"drain_limit_s": 1'
        )
    )
    with pytest.raises(InputError, match="2 mistakes") as caught:
        load_settings(path)
    assert "host.domain" in caught.value.message
    assert "shutdown.drain_limit_s" in caught.value.message


@pytest.mark.parametrize("example", ["tunis", "brazos-bend"])
@pytest.mark.parametrize("share", [0.01, 0.1, 0.5, 1.0])
def test_examples_rules_pass_at_every_step_of_the_migration(
    example: str, share: float
) -> None:
    folder = EXAMPLES / example
    scope = rule_scope_of(load_settings(folder / "settings.jsonc"))
    text = (folder / "rules.jsonc").read_text()
    assert '"shard_share": 0.01' in text
    edited = text.replace('"shard_share": 0.01', f'"shard_share": {share}')
    data = parse_jsonc(edited, source="rules.jsonc")
    findings = RuleChecker(scope=scope).check(RuleDocument.model_validate(data))
    assert findings == ()


def test_servers_have_the_capabilities_of_their_service(tmp_path: Path) -> None:
    path = tmp_path / "settings.jsonc"
    path.write_text(
        TUNIS.replace(
            '"shards": 1024,', '"shards": 1024, "capabilities": {"gives_stamp": true},'
        )
    )
    keyed, plain, _ = services_of(load_settings(path))
    assert all(
        server.gives_stamp and not server.checks_giver for server in keyed.servers
    )
    assert not any(server.gives_stamp for server in plain.servers)


VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-5, 5)
    | st.text("ab{[,:\"'/*\\\n", max_size=6),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text('ab/:,"', min_size=1, max_size=4), inner, max_size=4)
    ),
    max_leaves=20,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(VALUES)
def test_every_value_has_its_line(value: object) -> None:
    text = "// a comment: {[,\n" + json.dumps(value, indent=1)
    assert parse_jsonc(text, source="test") == value
    lines = map_lines(text)
    assert lines.duplicate_keys == ()
    _check_lines(value, (), lines, text.split("\n"))


def _check_lines(
    value: object, location: tuple[str | int, ...], lines: LineMap, text: list[str]
) -> None:
    if isinstance(value, list):
        for index, item in enumerate(value):
            _check_lines(item, (*location, index), lines, text)
    elif isinstance(value, dict):
        for name, item in value.items():
            line = text[lines.line_of((*location, name)) - 1]
            assert line.lstrip().startswith(json.dumps(name) + ":")
            _check_lines(item, (*location, name), lines, text)
    elif location and isinstance(location[-1], int):
        line = text[lines.line_of(location) - 1]
        assert line.strip().rstrip(",") == json.dumps(value)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    st.one_of(
        st.text(),
        VALUES.map(json.dumps),
        st.builds(
            lambda offset, inserted: RULES[:offset] + inserted + RULES[offset:],
            st.integers(0, 400),
            st.sampled_from(list('{}[]",:/*\\') + ["null", "1e999", "\ud800"]),
        ),
    )
)
def test_any_rule_text_is_accepted_or_refused_with_a_reason(text: str) -> None:
    """Any file that an operator saves results in a document or an error message."""
    try:
        data = parse_jsonc(text, source="rules.jsonc")
        validate(RuleDocument, data, source="rules.jsonc", lines=map_lines(text))
    except InputError as error:
        assert error.message.startswith("rules.jsonc: ")
