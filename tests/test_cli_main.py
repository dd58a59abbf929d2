"""The command-line tool as a process: exit codes, files, a daemon on a socket."""

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


def exit_code_of_main(*arguments: str) -> int:
    with pytest.raises(SystemExit) as raised:
        main(arguments)
    assert isinstance(raised.value.code, int)
    return raised.value.code


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
    assert exit_code_of_main(*arguments) == code


def test_fault_of_the_tool_has_its_own_exit_code(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A script must not mistake a crash in the middle of a change for a refusal."""

    def crash(*arguments: object) -> None:
        raise KeyError("inner")

    monkeypatch.setattr("gentianwharf.cli._files.check_settings", crash)
    assert exit_code_of_main("settings", "check", SETTINGS) == ExitCode.FAULT


def test_settings_are_checked_with_their_initial_rules(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    settings = tmp_path / "settings.jsonc"
    settings.write_text(Path(SETTINGS).read_text())
    rules = Path(RULES).read_text()
    (tmp_path / "rules.jsonc").write_text(rules.replace('"nouveau"', '"nord"'))
    assert exit_code_of_main("settings", "check", str(settings)) == ExitCode.REFUSED
    assert "rules.0.then.site: found 'nord'" in capsys.readouterr().err
    assert (
        exit_code_of_main("settings", "check", str(settings), "--json")
        == ExitCode.REFUSED
    )
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
    assert exit_code_of_main(*arguments) == ExitCode.REFUSED
    assert f"line {line}: error: rule 3 (inscription)" in capsys.readouterr().out
    assert exit_code_of_main(*arguments, "--json") == ExitCode.REFUSED
    assert json.loads(capsys.readouterr().out)[0]["line"] == line


@pytest.fixture
def admin_port() -> Iterator[int]:
    command = [sys.executable, "-m", "tests.serve_admin"]
    with subprocess.Popen(
        command, stdin=subprocess.PIPE, stderr=subprocess.PIPE, text=True
    ) as process:
        assert process.stdin is not None
        assert process.stderr is not None
        yield int(process.stderr.readline())
        process.stdin.close()


def run_tool(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "gentianwharf.cli", *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def test_tool_authenticates_with_its_token(admin_port: int, tmp_path: Path) -> None:
    token_file = tmp_path / "token"
    token_file.write_text(f"{TOKEN}\n")
    admin = ["--admin", f"http://127.0.0.1:{admin_port}"]
    accepted = run_tool("status", *admin, "--token-file", str(token_file), "--json")
    assert accepted.returncode == ExitCode.DONE, accepted.stderr
    assert json.loads(accepted.stdout)["host"] == "lac-1"
    refused = run_tool("status", *admin)
    assert refused.returncode == ExitCode.REFUSED
    assert "Authorization" in refused.stderr


def test_no_daemon_at_the_address() -> None:
    result = run_tool("status", "--admin", "http://127.0.0.1:1")
    assert result.returncode == ExitCode.UNREACHABLE
    assert "can't be reached" in result.stderr


def test_closed_pipe_gives_no_traceback_and_keeps_the_exit_code() -> None:
    """Guards against a traceback and exit code 70 when ``head`` closes the pipe.

    That exit code means that it is not known whether a change took effect.
    """
    read_end, write_end = os.pipe()
    os.close(read_end)
    command = [sys.executable, "-m", "gentianwharf.cli", "settings", "check", SETTINGS]
    with os.fdopen(write_end, "wb") as closed_pipe:
        result = subprocess.run(
            command, stdout=closed_pipe, stderr=subprocess.PIPE, text=True, check=False
        )
    assert (result.returncode, result.stderr) == (ExitCode.DONE, "")
