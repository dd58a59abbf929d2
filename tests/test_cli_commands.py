"""Commands of the tool against a fake daemon: output, exit codes, lost answers."""

import json
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from twisted.internet.error import ConnectionRefusedError as Refused
from twisted.internet.error import TimeoutError as ConnectTimeout
from twisted.web.client import ResponseFailed

from gentianwharf.admin import HostRulesStatus
from gentianwharf.cli import (
    ExitCode,
    _apply,
    _decisions,
    _fleet,
    _rollout,
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
from tests.builders_cli import run
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
    pytest.param(_rollout.status, "newest revision: 20", id="rules-status"),
    pytest.param(
        partial(_decisions.decisions, request_id=None, refused=True, limit=5),
        "queue-full",
        id="decisions",
    ),
]


@pytest.mark.parametrize("as_json", [False, True], ids=["table", "json"])
@pytest.mark.parametrize(("command", "part"), READS)
def test_read(command: Command, part: str, as_json: bool) -> None:
    result = run(command, as_json=as_json)
    assert result.code is ExitCode.DONE, result.problems
    if as_json:
        assert json.loads(result.out) is not None
    else:
        assert part in result.out


def test_status_shows_measures_and_alarms() -> None:
    out = run(_status.status).out
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
            partial(_fleet.declare_lost, domain="lac", assume_yes=True),
            ("declare-lost", "lac", "amira"),
            id="declare-lost",
        ),
    ],
)
def test_change_is_requested_in_the_operators_name(
    command: Command, call: tuple[Any, ...]
) -> None:
    daemon = FakeDaemon()
    assert run(command, daemon).code is ExitCode.DONE
    assert daemon.calls == [call]


@pytest.mark.parametrize(
    ("answer", "done"), [("lac", True), ("yes", False), ("", False)]
)
def test_declaring_a_domain_lost_prints_the_risks_and_asks(
    answer: str, done: bool
) -> None:
    daemon = FakeDaemon()
    command = partial(_fleet.declare_lost, domain="lac", assume_yes=False)
    result = run(command, daemon, prompt=lambda question: answer)
    assert "would own keys twice" in result.out
    assert "340 shards" in result.out
    assert bool(daemon.calls) is done
    assert result.code is (ExitCode.DONE if done else ExitCode.REFUSED)


@pytest.mark.parametrize(
    ("error", "code"),
    [
        pytest.param(
            PeerUnavailableError("m", step="s", peer="p"),
            ExitCode.UNREACHABLE,
            id="down",
        ),
        pytest.param(
            OutcomeUnknownError("m", step="s", peer="p"),
            ExitCode.UNREACHABLE,
            id="unknown",
        ),
        pytest.param(
            GentianwharfError("m", step="s", peer="p"), ExitCode.REFUSED, id="no"
        ),
    ],
)
def test_daemons_error_is_printed_with_its_step_and_peer(
    error: GentianwharfError, code: ExitCode
) -> None:
    command = partial(_rules.show, in_force=False)
    result = run(command, FakeDaemon(error=error))
    assert result.code is code
    assert "step s, peer p" in result.problems


@pytest.mark.parametrize("error", [Refused(), ConnectTimeout()])
def test_unreachable_daemon(error: Exception) -> None:
    result = run(_status.status, errors=[error], delivered=False)
    assert result.code is ExitCode.UNREACHABLE
    assert "check --admin" in result.problems


def test_wrong_token_is_refused() -> None:
    result = run(_status.status, token="something-else-entirely")
    assert result.code is ExitCode.REFUSED
    assert "Authorization" in result.problems


def test_report_is_written_as_a_page(tmp_path: Path) -> None:
    page = tmp_path / "burn.html"
    assert run(partial(_status.burn, html=page, host=None)).code is ExitCode.DONE
    text = page.read_text()
    assert text.startswith("<!DOCTYPE html>")
    assert ">0.40</td>" in text
    no_directory = partial(_status.burn, html=tmp_path / "no" / "burn.html", host=None)
    assert run(no_directory).code is ExitCode.REFUSED


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
    assume_yes: bool = False,
    wait_s: int = 0,
) -> Command:
    return partial(
        _apply.apply,
        file=file,
        edited_from=edited_from,
        assume_yes=assume_yes,
        wait_s=wait_s,
    )


def test_output_of_rules_show_names_its_revision(tmp_path: Path) -> None:
    daemon = FakeDaemon()
    file = tmp_path / "rules.jsonc"
    file.write_text(run(partial(_rules.show, in_force=False), daemon).out)
    result = run(apply(file), daemon)
    assert (result.code, result.out) == (ExitCode.DONE, "applied as revision 20\n")
    assert daemon.calls == [("apply", rule_version().document, 10, "amira")]


@pytest.mark.parametrize(
    ("answer", "yes", "applied"),
    [("yes", False, True), ("no", False, False), ("", True, True)],
)
def test_file_without_a_revision_needs_confirmation(
    tmp_path: Path, answer: str, yes: bool, applied: bool
) -> None:
    """A file from version control may undo another operator's change."""
    daemon = FakeDaemon()
    file = tmp_path / "rules.jsonc"
    file.write_text(migration(0.1).model_dump_json())
    result = run(apply(file, assume_yes=yes), daemon, prompt=lambda question: answer)
    assert "added    desk-new" in result.out
    assert "removed  all" in result.out
    assert bool(daemon.calls) is applied
    assert result.code is (ExitCode.DONE if applied else ExitCode.REFUSED)


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
    result = run(apply(rule_file), FakeDaemon(result=conflict))
    assert result.code is ExitCode.CONFLICT
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
    result = run(apply(rule_file), FakeDaemon(result=refused))
    assert result.code is ExitCode.REFUSED
    assert "rules.0.then.service: found 'desk'; expected one of ledger" in (
        result.problems
    )


def test_lost_answer_is_retried_with_the_same_change_id(rule_file: Path) -> None:
    """A connection that breaks before the answer must not apply the change twice."""
    daemon = FakeDaemon()
    broken = ResponseFailed([])
    result = run(apply(rule_file), daemon, errors=[broken, None])
    assert result.code is ExitCode.DONE
    assert len(daemon.calls) == 2
    assert len(set(daemon.change_ids)) == 1


def test_change_found_by_reading_back_says_so(rule_file: Path) -> None:
    applied = RulesApplied(version=rule_version(2), read_back=True, superseded=True)
    result = run(apply(rule_file), FakeDaemon(result=applied))
    assert result.code is ExitCode.DONE
    assert "found by reading back" in result.out
    assert "others have changed" in result.out


def test_document_in_force_already_says_so(rule_file: Path) -> None:
    same = RulesApplied(version=rule_version(2), read_back=False, already=True)
    result = run(apply(rule_file), FakeDaemon(result=same))
    assert (result.code, "in force already" in result.out) == (ExitCode.DONE, True)


def test_outcome_that_stays_unknown_names_the_change(rule_file: Path) -> None:
    errors: list[Exception | None] = [ResponseFailed([]) for _ in range(3)]
    daemon = FakeDaemon()
    result = run(apply(rule_file), daemon, errors=errors)
    assert result.code is ExitCode.UNREACHABLE
    assert "rules history" in result.problems
    assert str(daemon.change_ids[0]) in result.problems


def test_diff_changes_nothing(rule_file: Path) -> None:
    daemon = FakeDaemon()
    result = run(partial(_rules.diff, file=rule_file), daemon)
    assert result.code is ExitCode.DONE
    assert "added    desk-new" in result.out
    assert daemon.calls == []


def test_apply_returns_when_the_rules_are_in_force_on_every_host(
    rule_file: Path,
) -> None:
    daemon = FakeDaemon()
    result = run(apply(rule_file, wait_s=20), daemon)
    assert result.code is ExitCode.DONE
    assert result.out == ("applied as revision 20\nin force on 2 of 2 listed hosts\n")
    assert daemon.rollout_waits == [(20, 20.0)]


@pytest.mark.parametrize("as_json", [False, True], ids=["table", "json"])
def test_apply_names_the_hosts_where_the_rules_are_not_in_force(
    rule_file: Path, as_json: bool
) -> None:
    """Guards against a next migration step while a cut-off host has the old rules."""
    daemon = FakeDaemon(other_status=HostRulesStatus.SILENT)
    result = run(apply(rule_file, wait_s=20), daemon, as_json=as_json)
    assert result.code is ExitCode.INCOMPLETE
    assert "ariana-1 (ariana): silent, no answer within 0.5 s" in result.problems
    assert "lac-1" not in result.problems
    if as_json:
        assert json.loads(result.out)["in_force"]["everywhere"] is False


def test_lost_rollout_answer_is_no_failed_change(rule_file: Path) -> None:
    """Exit code 3 would say that the applied rules may not have taken effect."""
    result = run(apply(rule_file, wait_s=20), errors=[None, ResponseFailed([])])
    assert result.code is ExitCode.INCOMPLETE
    assert "applied as revision 20" in result.out
    assert "not known" in result.problems


@pytest.mark.parametrize(
    ("status", "part"),
    [
        (HostRulesStatus.SILENT, "no answer within 0.5 s"),
        (HostRulesStatus.OLDER, "older"),
        (HostRulesStatus.UNREADABLE, "unreadable"),
    ],
)
def test_rules_status_shows_every_host(status: HostRulesStatus, part: str) -> None:
    result = run(_rollout.status, FakeDaemon(other_status=status))
    assert result.code is ExitCode.INCOMPLETE
    (line,) = [text for text in result.out.splitlines() if "ariana-1" in text]
    assert part in line


def test_report_that_lacks_a_host_says_so_and_exits_5() -> None:
    daemon = FakeDaemon(silent_hosts=[MissingHost(host="ariana-1", reason="no answer")])
    result = run(partial(_status.burn, html=None, host=None), daemon)
    assert result.code is ExitCode.INCOMPLETE
    assert "Answers of 1 of 2 hosts" in result.out
    assert "MISSING ariana-1: no answer" in result.out


def test_report_of_one_host_requests_only_that_host() -> None:
    daemon = FakeDaemon()
    assert (
        run(partial(_status.burn, html=None, host="lac-1"), daemon).code
        is ExitCode.DONE
    )
    assert daemon.burn_hosts == ["lac-1"]


@pytest.mark.parametrize(
    ("silent", "code", "part"),
    [
        pytest.param((), ExitCode.REFUSED, "not sampled", id="not-retained"),
        pytest.param(
            (MissingHost(host="ariana-1", reason="no answer"),),
            ExitCode.INCOMPLETE,
            "ariana-1 could not be asked: no answer",
            id="silent-host",
        ),
    ],
)
def test_request_without_a_retained_decision_is_reported(
    silent: tuple[MissingHost, ...], code: ExitCode, part: str
) -> None:
    daemon = FakeDaemon(silent_hosts=silent)
    command = partial(
        _decisions.decisions, request_id="nowhere", refused=False, limit=20
    )
    result = run(command, daemon)
    assert result.code is code
    assert part in result.problems
    assert "no such decision" in result.out
    assert daemon.decision_calls == [("nowhere", False, 1)]
