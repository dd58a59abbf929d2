"""The command line as a process: exit codes, files, and a daemon on a socket."""

import json
import os
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from gentianwharf.cli import ExitCode, main
from tests.builders_admin import TOKEN

EXAMPLES = Path(__file__).parent.parent / "examples"
SETTINGS = str(EXAMPLES / "tunis" / "settings.jsonc")
RULES = str(EXAMPLES / "tunis" / "rules.jsonc")


def code_of(*arguments: str) -> int:
    with pytest.raises(SystemExit) as ended:
        main(arguments)
    assert isinstance(ended.value.code, int)
    return ended.value.code


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        pytest.param(["settings", "check", SETTINGS], ExitCode.DONE, id="settings"),
        pytest.param(["settings", "check", "nowhere"], ExitCode.REFUSED, id="no-file"),
        pytest.param(["settings", "check", RULES], ExitCode.REFUSED, id="wrong-file"),
        pytest.param(
            ["rules", "check", RULES, "--settings", SETTINGS], ExitCode.DONE, id="rules"
        ),
        pytest.param(["rules", "check", RULES], ExitCode.USAGE, id="no-settings"),
        pytest.param(["rules", "chek"], ExitCode.USAGE, id="misspelt"),
        pytest.param(["keys", "pin", "desk", "a"], ExitCode.USAGE, id="no-server"),
        pytest.param(
            ["keys", "pin", "desk", "a", "b", "--off"], ExitCode.USAGE, id="both"
        ),
        pytest.param(
            ["rules", "explain", "/a", "--header", "x"], ExitCode.USAGE, id="bad-header"
        ),
        pytest.param(
            ["status", "--token-file", "nowhere"], ExitCode.USAGE, id="no-token-file"
        ),
        pytest.param(
            ["status", "--admin", "http://gateway:80"], ExitCode.USAGE, id="name"
        ),
        pytest.param(
            ["status", "--admin", "127.0.0.1:80"], ExitCode.USAGE, id="no-scheme"
        ),
        pytest.param(["--version"], ExitCode.DONE, id="version"),
    ],
)
def test_exit_code_without_a_daemon(arguments: list[str], code: ExitCode) -> None:
    assert code_of(*arguments) == code


def test_fault_of_the_tool_has_a_code_of_its_own(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A script must not take a crash in the middle of a change for a refusal."""

    def crash(*arguments: object) -> None:
        raise KeyError("inner")

    monkeypatch.setattr("gentianwharf.cli._files.check_settings", crash)
    assert code_of("settings", "check", SETTINGS) == ExitCode.FAULT


def test_settings_are_checked_together_with_their_first_rules(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    settings = tmp_path / "settings.jsonc"
    settings.write_text(Path(SETTINGS).read_text())
    rules = Path(RULES).read_text()
    (tmp_path / "rules.jsonc").write_text(rules.replace('"nouveau"', '"nord"'))
    assert code_of("settings", "check", str(settings)) == ExitCode.REFUSED
    assert "rules.0.then.site: found 'nord'" in capsys.readouterr().err
    assert code_of("settings", "check", str(settings), "--json") == ExitCode.REFUSED
    assert "nord" in json.loads(capsys.readouterr().out)["mistakes"][1]


def test_finding_in_a_rule_file_names_its_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    text = Path(RULES).read_text().replace('"service": "ledger"', "")
    text = text.replace('"service": "inscription"', '"service": "inscripton"')
    line = text.count("\n", 0, text.index('"service": "inscripton"')) + 1
    file = tmp_path / "rules.jsonc"
    file.write_text(text)
    arguments = ["rules", "check", str(file), "--settings", SETTINGS]
    assert code_of(*arguments) == ExitCode.REFUSED
    assert f"line {line}: error: rule 3 (inscription)" in capsys.readouterr().out
    assert code_of(*arguments, "--json") == ExitCode.REFUSED
    assert json.loads(capsys.readouterr().out)[0]["line"] == line


@pytest.fixture
def admin_port() -> Iterator[int]:
    command = [sys.executable, "-m", "tests.serve_admin"]
    with subprocess.Popen(
        command, stdin=subprocess.PIPE, stderr=subprocess.PIPE, text=True
    ) as serving:
        assert serving.stdin is not None
        assert serving.stderr is not None
        yield int(serving.stderr.readline())
        serving.stdin.close()


def run_tool(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "gentianwharf.cli", *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def test_tool_talks_to_a_daemon_with_its_token(admin_port: int, tmp_path: Path) -> None:
    token_file = tmp_path / "token"
    token_file.write_text(f"{TOKEN}\n")
    admin = ["--admin", f"http://127.0.0.1:{admin_port}"]
    done = run_tool("status", *admin, "--token-file", str(token_file), "--json")
    assert done.returncode == ExitCode.DONE, done.stderr
    assert json.loads(done.stdout)["host"] == "lac-1"
    refused = run_tool("status", *admin)
    assert refused.returncode == ExitCode.REFUSED
    assert "Authorization" in refused.stderr


def test_no_daemon_there() -> None:
    result = run_tool("status", "--admin", "http://127.0.0.1:1")
    assert result.returncode == ExitCode.UNREACHABLE
    assert "can't be reached" in result.stderr


def test_reader_that_goes_away_costs_neither_a_trace_nor_the_exit_code() -> None:
    """An operator pipes a command into ``head``, which closes the pipe.

    The tool ended with a trace and exit code 70, which says that whether a change took
    effect is not known.
    """
    reading, writing = os.pipe()
    os.close(reading)
    command = [sys.executable, "-m", "gentianwharf.cli", "settings", "check", SETTINGS]
    with os.fdopen(writing, "wb") as closed:
        done = subprocess.run(
            command, stdout=closed, stderr=subprocess.PIPE, text=True, check=False
        )
    assert (done.returncode, done.stderr) == (ExitCode.DONE, "")
