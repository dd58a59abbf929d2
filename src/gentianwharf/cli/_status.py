"""``gentianwharf status`` and ``gentianwharf report``."""

from pathlib import Path
from typing import Any

from gentianwharf.errors import InputError
from gentianwharf.metrics import BurnReport, burn_html, burn_text

from ._client import AdminClient
from ._exit_codes import ExitCode
from ._terminal import Terminal


async def status(client: AdminClient, terminal: Terminal) -> ExitCode:
    """Print a daemon's state, the three measures and its alarms."""
    state = await client.get("state")
    if terminal.as_json:
        terminal.json(state)
        return ExitCode.DONE
    _print_daemon(state, terminal)
    _print_services(state, terminal)
    _print_measures(state["measures"], terminal)
    for alarm in state["alarms"]:
        terminal.line(f"ALARM {alarm['name']}: {alarm['detail']}")
    return ExitCode.DONE


def _print_daemon(state: dict[str, Any], terminal: Terminal) -> None:
    ready = (
        "stopping" if state["stopping"] else "ready" if state["ready"] else "unready"
    )
    terminal.line(
        f"{state['host']} ({state['customer']}, domain {state['domain']}, site"
        f" {state['site']}): {ready}"
    )
    store_heard_ago_s = state["store_heard_ago_s"]
    age = f"{store_heard_ago_s:.1f} s ago" if store_heard_ago_s is not None else "never"
    terminal.line(
        f"rules: revision {state['rules_revision'] or 'none'}; store heard {age}"
    )


def _print_services(state: dict[str, Any], terminal: Terminal) -> None:
    terminal.table(
        ["service", "table version", "right to send", "control holder"],
        [
            [
                service,
                version,
                state["right_to_send"].get(service),
                state["control_holders"].get(service),
            ]
            for service, version in sorted(state["table_versions"].items())
        ],
    )


def _print_measures(measures: dict[str, Any] | None, terminal: Terminal) -> None:
    if measures is None:
        terminal.line("no measures yet")
        return
    rows = [
        *(["imbalance", name, value] for name, value in measures["imbalance"].items()),
        *(["churn (shards)", name, value] for name, value in measures["churn"].items()),
        *(
            ["unavailable time (s)", name, value]
            for name, value in measures["unavailable_s"].items()
        ),
    ]
    terminal.line(f"measures over {measures['window_s']:.0f} s:")
    terminal.table(["measure", "of", "value"], rows)


async def burn(
    client: AdminClient, terminal: Terminal, *, html: Path | None, host: str | None
) -> ExitCode:
    """Print the service-level burn, or write it as an HTML page.

    Exits with ``INCOMPLETE`` when the data of a listed host is missing, so that a
    script does not take a partial report for one of the whole fleet.
    """
    fields = await client.get("burn", host=host)
    report = BurnReport.from_builtins(fields)
    if html is not None:
        _write(html, burn_html(report))
        terminal.note(f"written to {html}")
    if terminal.as_json:
        terminal.json(fields)
    elif html is None:
        terminal.line(burn_text(report))
    return ExitCode.INCOMPLETE if report.silent else ExitCode.DONE


def _write(path: Path, text: str) -> None:
    try:
        path.write_text(text, encoding="utf-8")
    except OSError as error:
        raise InputError(
            f"{path}: can't be written: {error.strerror}",
            step="write report",
            peer=str(path),
        ) from error
