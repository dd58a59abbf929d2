"""Commands of the tool against a daemon: output, exit codes, lost answers."""

import json
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from twisted.internet.error import ConnectionRefusedError as Refused
from twisted.internet.error import TimeoutError as ConnectTimeout
from twisted.web.client import ResponseFailed

from gentianwharf.admin import RulesAtHost
from gentianwharf.cli import (
    Exit,
    _apply,
    _decisions,
    _everywhere,
    _fleet,
    _rules,
    _status,
)
from gentianwharf.cli._session import Command
from gentianwharf.errors import (
    GentianwharfError,
    OutcomeUnknownError,
    PeerUnavailableError,
)
from gentianwharf.metrics import MissingHost
from gentianwharf.rules import (
    Finding,
    RulesApplied,
    RulesConflict,
    RulesRefused,
    Severity,
    diff_documents,
)
from tests.builders_admin import FakeDaemon, rule_version
from tests.builders_cli import ran
from tests.builders_rules import document, keyed_rule, migration

REQUEST = {"path": "/desk/sciences"}
READS: list[Any] = [
    pytest.param(
        partial(_rules.show, in_force=False), "edited_from_revision: 10", id="show"
    ),
    pytest.param(partial(_rules.show, in_force=True), "desk", id="show-in-force"),
    pytest.param(_rules.history, "karim", id="history"),
    pytest.param(
        partial(_rules.explain, request=REQUEST), "rule 1 (all) decides", id="explain"
    ),
    pytest.param(
        partial(_fleet.key_owner, service="desk", key="a/b c"), "a/b c", id="owner"
    ),
    pytest.param(partial(_fleet.list_servers, service=None), "desk-2", id="servers"),
    pytest.param(_fleet.list_hosts, "lac-1", id="hosts"),
    pytest.param(_status.status, "lac-1", id="status"),
    pytest.param(
        partial(_status.burn, html=None, host=None), "burn rate 0.40", id="burn"
    ),
    pytest.param(_everywhere.status, "newest revision: 20", id="rules-status"),
    pytest.param(
        partial(_decisions.decisions, request_id=None, refused=True, most=5),
        "queue-full",
        id="decisions",
    ),
]


@pytest.mark.parametrize("as_json", [False, True], ids=["table", "json"])
@pytest.mark.parametrize(("command", "part"), READS)
def test_read(command: Command, part: str, as_json: bool) -> None:
    result = ran(command, as_json=as_json)
    assert result.code is Exit.DONE, result.problems
    if as_json:
        assert json.loads(result.out) is not None
    else:
        assert part in result.out


def test_status_shows_measures_and_alarms() -> None:
    out = ran(_status.status).out
    assert "store-silent" in out
    assert all(part in out for part in ("imbalance", "churn", "unavailable time"))


@pytest.mark.parametrize(
    ("command", "call"),
    [
        pytest.param(
            partial(_fleet.move_key, service="desk", key="a", server="desk-2"),
            ("move", "desk", "a", "desk-2", "amira"),
            id="move",
        ),
        pytest.param(
            partial(_fleet.pin_key, service="desk", key="a", server=None),
            ("pin", "desk", "a", None, "amira"),
            id="unpin",
        ),
        pytest.param(
            partial(_fleet.drain_server, server="desk-2"),
            ("drain", "desk-2", "amira"),
            id="drain",
        ),
        pytest.param(
            partial(_fleet.declare_lost, domain="lac", without_asking=True),
            ("declare-lost", "lac", "amira"),
            id="declare-lost",
        ),
    ],
)
def test_change_is_asked_for_in_the_operators_name(
    command: Command, call: tuple[Any, ...]
) -> None:
    daemon = FakeDaemon()
    assert ran(command, daemon).code is Exit.DONE
    assert daemon.calls == [call]


@pytest.mark.parametrize(
    ("answer", "done"), [("lac", True), ("yes", False), ("", False)]
)
def test_declaring_a_domain_lost_says_the_risk_and_asks(
    answer: str, done: bool
) -> None:
    daemon = FakeDaemon()
    command = partial(_fleet.declare_lost, domain="lac", without_asking=False)
    result = ran(command, daemon, ask=lambda question: answer)
    assert "would own keys twice" in result.out
    assert "340 shards" in result.out
    assert bool(daemon.calls) is done
    assert result.code is (Exit.DONE if done else Exit.REFUSED)


@pytest.mark.parametrize(
    ("error", "code"),
    [
        pytest.param(
            PeerUnavailableError("m", step="s", peer="p"), Exit.UNREACHABLE, id="down"
        ),
        pytest.param(
            OutcomeUnknownError("m", step="s", peer="p"), Exit.UNREACHABLE, id="unknown"
        ),
        pytest.param(GentianwharfError("m", step="s", peer="p"), Exit.REFUSED, id="no"),
    ],
)
def test_daemons_error_is_told_with_its_step_and_peer(
    error: GentianwharfError, code: Exit
) -> None:
    command = partial(_rules.show, in_force=False)
    result = ran(command, FakeDaemon(error=error))
    assert result.code is code
    assert "step s, peer p" in result.problems


@pytest.mark.parametrize("error", [Refused(), ConnectTimeout()])
def test_daemon_out_of_reach(error: Exception) -> None:
    result = ran(_status.status, lost=[error], reached=False)
    assert result.code is Exit.UNREACHABLE
    assert "check --admin" in result.problems


def test_wrong_token_is_refused() -> None:
    result = ran(_status.status, token="something-else-entirely")
    assert result.code is Exit.REFUSED
    assert "Authorization" in result.problems


def test_report_is_written_as_a_page(tmp_path: Path) -> None:
    page = tmp_path / "burn.html"
    assert ran(partial(_status.burn, html=page, host=None)).code is Exit.DONE
    text = page.read_text()
    assert text.startswith("<!DOCTYPE html>")
    assert ">0.40</td>" in text
    nowhere = partial(_status.burn, html=tmp_path / "no" / "burn.html", host=None)
    assert ran(nowhere).code is Exit.REFUSED


@pytest.fixture
def rule_file(tmp_path: Path) -> Path:
    path = tmp_path / "rules.jsonc"
    text = migration(0.1).model_dump_json()
    path.write_text(f"// edited_from_revision: 10\n{text}")
    return path


def apply(
    file: Path,
    *,
    edited_from: int | None = None,
    without_asking: bool = False,
    wait_s: int = 0,
) -> Command:
    return partial(
        _apply.apply,
        file=file,
        edited_from=edited_from,
        without_asking=without_asking,
        wait_s=wait_s,
    )


def test_file_that_was_shown_says_what_it_was_edited_from(tmp_path: Path) -> None:
    daemon = FakeDaemon()
    file = tmp_path / "rules.jsonc"
    file.write_text(ran(partial(_rules.show, in_force=False), daemon).out)
    result = ran(apply(file), daemon)
    assert (result.code, result.out) == (Exit.DONE, "applied as revision 20\n")
    assert daemon.calls == [("apply", rule_version().document, 10, "amira")]


@pytest.mark.parametrize(
    ("answer", "yes", "applied"),
    [("yes", False, True), ("no", False, False), ("", True, True)],
)
def test_file_that_does_not_say_so_is_shown_and_asked_for(
    tmp_path: Path, answer: str, yes: bool, applied: bool
) -> None:
    """A file from version control may undo what another operator has changed."""
    daemon = FakeDaemon()
    file = tmp_path / "rules.jsonc"
    file.write_text(migration(0.1).model_dump_json())
    result = ran(apply(file, without_asking=yes), daemon, ask=lambda question: answer)
    assert "added    desk-new" in result.out
    assert "removed  all" in result.out
    assert bool(daemon.calls) is applied
    assert result.code is (Exit.DONE if applied else Exit.REFUSED)


def test_conflict_prints_both_changes_and_exits_4(rule_file: Path) -> None:
    base = document(keyed_rule(name="all", site="old"))
    theirs = document(keyed_rule(name="all", site="new"))
    conflict = RulesConflict(
        current=rule_version(3, author="karim"),
        edited_from_revision=10,
        base_known=True,
        theirs=diff_documents(base, theirs),
        mine=diff_documents(base, migration(0.1)),
    )
    result = ran(apply(rule_file), FakeDaemon(result=conflict))
    assert result.code is Exit.CONFLICT
    assert "karim was faster" in result.problems
    theirs_part, mine_part = result.out.split("--- what this file would have changed")
    assert "then.site: old -> new" in theirs_part
    assert "added    desk-new" in mine_part


def test_refused_document_prints_its_findings(rule_file: Path) -> None:
    finding = Finding(
        severity=Severity.ERROR,
        rule_number=1,
        rule_name="all",
        location="rules.0.then.service",
        found="'desk'",
        expected="one of ledger",
    )
    refused = RulesRefused(findings=(finding,))
    result = ran(apply(rule_file), FakeDaemon(result=refused))
    assert result.code is Exit.REFUSED
    assert "rules.0.then.service: found 'desk'; expected one of ledger" in (
        result.problems
    )


def test_lost_answer_is_asked_for_again_under_the_same_id(rule_file: Path) -> None:
    """The daemon applies the rules, and the connection breaks before its answer.

    Told of a failure, the operator would apply once more, by hand, on top of it.
    """
    daemon = FakeDaemon()
    broken = ResponseFailed([])
    result = ran(apply(rule_file), daemon, lost=[broken, None])
    assert result.code is Exit.DONE
    assert len(daemon.calls) == 2
    assert len(set(daemon.change_ids)) == 1


def test_change_found_by_reading_back_says_so(rule_file: Path) -> None:
    found = RulesApplied(version=rule_version(2), read_back=True, superseded=True)
    result = ran(apply(rule_file), FakeDaemon(result=found))
    assert result.code is Exit.DONE
    assert "found by reading back" in result.out
    assert "others have changed" in result.out


def test_document_in_force_already_says_so(rule_file: Path) -> None:
    same = RulesApplied(version=rule_version(2), read_back=False, already=True)
    result = ran(apply(rule_file), FakeDaemon(result=same))
    assert (result.code, "in force already" in result.out) == (Exit.DONE, True)


def test_outcome_that_stays_unknown_names_the_change(rule_file: Path) -> None:
    lost: list[Exception | None] = [ResponseFailed([]) for _ in range(3)]
    daemon = FakeDaemon()
    result = ran(apply(rule_file), daemon, lost=lost)
    assert result.code is Exit.UNREACHABLE
    assert "rules history" in result.problems
    assert str(daemon.change_ids[0]) in result.problems


def test_diff_changes_nothing(rule_file: Path) -> None:
    daemon = FakeDaemon()
    result = ran(partial(_rules.diff, file=rule_file), daemon)
    assert result.code is Exit.DONE
    assert "added    desk-new" in result.out
    assert daemon.calls == []


def test_apply_returns_when_the_rules_are_in_force_on_every_host(
    rule_file: Path,
) -> None:
    daemon = FakeDaemon()
    result = ran(apply(rule_file, wait_s=20), daemon)
    assert result.code is Exit.DONE
    assert result.out == ("applied as revision 20\nin force on 2 of 2 listed hosts\n")
    assert daemon.waits == [(20, 20.0)]


@pytest.mark.parametrize("as_json", [False, True], ids=["table", "json"])
def test_apply_names_the_hosts_where_the_rules_are_not_in_force(
    rule_file: Path, as_json: bool
) -> None:
    """A host is cut off while an operator applies a migration step.

    Told just "applied", the operator would go on to the next step while callers of
    that host still follow the list before.
    """
    daemon = FakeDaemon(late=RulesAtHost.SILENT)
    result = ran(apply(rule_file, wait_s=20), daemon, as_json=as_json)
    assert result.code is Exit.INCOMPLETE
    assert "ariana-1 (ariana): silent, no answer within 0.5 s" in result.problems
    assert "lac-1" not in result.problems
    if as_json:
        assert json.loads(result.out)["in_force"]["everywhere"] is False


def test_wait_that_is_lost_does_not_look_like_a_failed_change(rule_file: Path) -> None:
    """The rules are applied; then the daemon dies while the tool waits for the hosts.

    Exit 3 would say that the change may not have taken effect.
    """
    result = ran(apply(rule_file, wait_s=20), lost=[None, ResponseFailed([])])
    assert result.code is Exit.INCOMPLETE
    assert "applied as revision 20" in result.out
    assert "not known" in result.problems


@pytest.mark.parametrize(
    ("late", "part"),
    [
        (RulesAtHost.SILENT, "no answer within 0.5 s"),
        (RulesAtHost.OLDER, "older"),
        (RulesAtHost.UNREADABLE, "unreadable"),
    ],
)
def test_rules_status_shows_every_host(late: RulesAtHost, part: str) -> None:
    result = ran(_everywhere.status, FakeDaemon(late=late))
    assert result.code is Exit.INCOMPLETE
    (line,) = [one for one in result.out.splitlines() if "ariana-1" in one]
    assert part in line


def test_report_that_lacks_a_host_says_so_and_exits_5() -> None:
    daemon = FakeDaemon(silent=[MissingHost(host="ariana-1", reason="no answer")])
    result = ran(partial(_status.burn, html=None, host=None), daemon)
    assert result.code is Exit.INCOMPLETE
    assert "Answers of 1 of 2 hosts" in result.out
    assert "MISSING ariana-1: no answer" in result.out


def test_report_of_one_host_alone_asks_for_it() -> None:
    daemon = FakeDaemon()
    assert ran(partial(_status.burn, html=None, host="lac-1"), daemon).code is Exit.DONE
    assert daemon.burns == ["lac-1"]


@pytest.mark.parametrize(
    ("silent", "code", "part"),
    [
        pytest.param((), Exit.REFUSED, "not sampled", id="kept-by-nobody"),
        pytest.param(
            (MissingHost(host="ariana-1", reason="no answer"),),
            Exit.INCOMPLETE,
            "ariana-1 could not be asked: no answer",
            id="a-host-is-silent",
        ),
    ],
)
def test_request_that_is_not_kept_is_told(
    silent: tuple[MissingHost, ...], code: Exit, part: str
) -> None:
    daemon = FakeDaemon(silent=silent)
    command = partial(
        _decisions.decisions, request_id="nowhere", refused=False, most=20
    )
    result = ran(command, daemon)
    assert result.code is code
    assert part in result.problems
    assert "no such decision" in result.out
    assert daemon.decision_calls == [("nowhere", False, 1)]
