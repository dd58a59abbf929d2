"""``gentianwharf status`` and ``gentianwharf report``."""

from pathlib import Path
from typing import Any

from gentianwharf.errors import InputError
from gentianwharf.metrics import BurnReport, burn_html, burn_text

from ._client import AdminClient
from ._exit_codes import ExitCode
from ._terminal import Terminal


async def status(client: AdminClient, shown: Terminal) -> ExitCode:
    """Print one daemon's state, the three measures and its alarms."""
    state = await client.get("state")
    if shown.as_json:
        shown.json(state)
        return ExitCode.DONE
    _print_daemon(state, shown)
    _print_services(state, shown)
    _print_measures(state["measures"], shown)
    for alarm in state["alarms"]:
        shown.line(f"ALARM {alarm['name']}: {alarm['detail']}")
    return ExitCode.DONE


def _print_daemon(state: dict[str, Any], shown: Terminal) -> None:
    ready = (
        "stopping" if state["stopping"] else "ready" if state["ready"] else "unready"
    )
    shown.line(
        f"{state['host']} ({state['customer']}, domain {state['domain']}, site"
        f" {state['site']}): {ready}"
    )
    heard = state["store_heard_ago_s"]
    age = f"{heard:.1f} s ago" if heard is not None else "never"
    shown.line(
        f"rules: revision {state['rules_revision'] or 'none'}; store heard {age}"
    )


def _print_services(state: dict[str, Any], shown: Terminal) -> None:
    shown.table(
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


def _print_measures(measures: dict[str, Any] | None, shown: Terminal) -> None:
    if measures is None:
        shown.line("no measures yet")
        return
    rows = [
        *(["imbalance", name, one] for name, one in measures["imbalance"].items()),
        *(["churn (shards)", name, one] for name, one in measures["churn"].items()),
        *(
            ["unavailable time (s)", name, one]
            for name, one in measures["unavailable_s"].items()
        ),
    ]
    shown.line(f"measures over {measures['window_s']:.0f} s:")
    shown.table(["measure", "of", "value"], rows)


async def burn(
    client: AdminClient, shown: Terminal, *, html: Path | None, host: str | None
) -> ExitCode:
    """Print the service-level burn, or write it as a page.

    Exits 5 when a listed host is missing in it: a script must not take the rest of a
    fleet for the whole.
    """
    fields = await client.get("burn", host=host)
    report = BurnReport.from_builtins(fields)
    if html is not None:
        _write(html, burn_html(report))
        shown.note(f"written to {html}")
    if shown.as_json:
        shown.json(fields)
    elif html is None:
        shown.line(burn_text(report))
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
