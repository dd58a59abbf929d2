"""Command-line options of ``gentianwharf``; other modules implement the commands."""

import sys
import traceback
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path
from typing import Annotated

from cyclopts import App, CycloptsError, Parameter, validators

from gentianwharf import __version__
from gentianwharf.errors import InputError

from . import (
    _apply,
    _decisions,
    _files,
    _fleet,
    _logs,
    _quarantine,
    _rollout,
    _rules,
    _status,
)
from ._exit_codes import ExitCode
from ._session import CommonOptions, run, standard_terminal

Flag = Annotated[bool, Parameter(negative="")]
InForce = Annotated[
    bool,
    Parameter(
        negative="",
        help="Those that the daemon matches with, also while the store is down.",
    ),
]
EditedFrom = Annotated[
    int | None,
    Parameter(
        help="Revision that the file was edited from; `rules show` writes it into the"
        " file."
    ),
]
Yes = Annotated[
    bool,
    Parameter(
        negative="",
        help="Don't ask when the file does not say what it was edited from.",
    ),
]
Wait = Annotated[
    bool,
    Parameter(
        help="Wait until every listed host has the rules in force; exits 5 when some"
        " have not, and names them."
    ),
]
WaitS = Annotated[
    int,
    Parameter(
        name="--wait-s",
        validator=validators.Number(gte=1, lte=60),
        help="Longest wait in seconds.",
    ),
]
Limit = Annotated[
    int,
    Parameter(
        validator=validators.Number(gte=1, lte=1000), help="How many at the most."
    ),
]
Refused = Annotated[bool, Parameter(negative="", help="Only those refused or unknown.")]
RequestId = Annotated[
    str | None, Parameter(help="Id of a request, from its answer or the log.")
]
BurnHost = Annotated[
    str | None, Parameter(help="One host alone; all listed ones if not given.")
]
Headers = Annotated[
    tuple[str, ...], Parameter(help="NAME: VALUE; may be given several times.")
]
StoreAddress = Annotated[
    str,
    Parameter(
        env_var="GENTIANWHARF_STORE",
        help="Where operators reach the platform's store, IP:PORT.",
    ),
]
RequestKey = Annotated[str | None, Parameter(help="The request's Gentianwharf-Key.")]
Page = Annotated[Path | None, Parameter(help="File for the page.")]
DEFAULT_OPTIONS = CommonOptions()

app = App(
    name="gentianwharf",
    help="Operate gentianwharf: its rules, keys, servers, hosts and reports.",
    version=__version__,
)
settings_app = App(name="settings", help="Settings files.")
rules_app = App(name="rules", help="The ordered list of when-then rules.")
keys_app = App(name="keys", help="Owners of keys.")
servers_app = App(name="servers", help="Backend servers.")
hosts_app = App(name="hosts", help="The platform's host list.")
domains_app = App(name="domains", help="Failure domains.")
report_app = App(name="report", help="Reports.")
logs_app = App(name="logs", help="Log files of hosts.")
quarantine_app = App(
    name="quarantine", help="Requests that are refused since servers end under them."
)
for _group in (
    settings_app,
    rules_app,
    keys_app,
    servers_app,
    hosts_app,
    domains_app,
    report_app,
    logs_app,
    quarantine_app,
):
    app.command(_group)


def _run_locally(action: Callable[[], ExitCode]) -> int:
    """Run a command that needs no daemon; invalid input exits with ``REFUSED``."""
    try:
        return action()
    except InputError as error:
        standard_terminal().problem(str(error))
        return ExitCode.REFUSED


@settings_app.command(name="check")
def settings_check(file: Path, /, *, json: Flag = False) -> int:
    """Check a settings file; every mistake is named with its line."""
    return _run_locally(
        partial(_files.check_settings, file, standard_terminal(as_json=json))
    )


@rules_app.command(name="check")
def rules_check(file: Path, /, *, settings: Path, json: Flag = False) -> int:
    """Check a rule file against a settings file; asks no daemon."""
    return _run_locally(
        partial(_files.check_rules, file, settings, standard_terminal(as_json=json))
    )


@rules_app.command(name="show")
def rules_show(
    *, in_force: InForce = False, common: CommonOptions = DEFAULT_OPTIONS
) -> int:
    """Print the rules in the store as a file to edit and apply."""
    return run(common, partial(_rules.show, in_force=in_force))


@rules_app.command(name="diff")
def rules_diff(file: Path, /, *, common: CommonOptions = DEFAULT_OPTIONS) -> int:
    """Print what applying a file would change."""
    return run(common, partial(_rules.diff, file=file))


@rules_app.command(name="apply")
def rules_apply(
    file: Path,
    /,
    *,
    edited_from: EditedFrom = None,
    yes: Yes = False,
    wait: Wait = True,
    wait_s: WaitS = 20,
    common: CommonOptions = DEFAULT_OPTIONS,
) -> int:
    """Put a rule file in force; exits 4 when another operator was faster."""
    return run(
        common,
        partial(
            _apply.apply,
            file=file,
            edited_from=edited_from,
            assume_yes=yes,
            wait_s=wait_s if wait else 0,
        ),
    )


@rules_app.command(name="status")
def rules_status(*, common: CommonOptions = DEFAULT_OPTIONS) -> int:
    """Print which revision of the rules each listed host has in force."""
    return run(common, _rollout.status)


@rules_app.command(name="history")
def rules_history(*, common: CommonOptions = DEFAULT_OPTIONS) -> int:
    """Print the versions of the rules still kept, newest first."""
    return run(common, _rules.history)


@rules_app.command(name="explain")
def rules_explain(
    path: str,
    /,
    *,
    method: str = "GET",
    host: str = "",
    query: str = "",
    header: Headers = (),
    key: RequestKey = None,
    common: CommonOptions = DEFAULT_OPTIONS,
) -> int:
    """Say which rule decides a request, why others do not, and who owns its key."""
    try:
        headers = _rules.parse_headers(header)
    except InputError as error:
        standard_terminal().problem(error.message)
        return ExitCode.USAGE
    bare_path, _, written_query = path.partition("?")
    request = {
        "method": method,
        "host": host,
        "path": bare_path,
        "query": query or written_query,
        "headers": headers,
        "key": key,
    }
    return run(common, partial(_rules.explain, request=request))


@keys_app.command(name="owner")
def keys_owner(
    service: str, key: str, /, *, common: CommonOptions = DEFAULT_OPTIONS
) -> int:
    """Print who owns a key."""
    return run(common, partial(_fleet.key_owner, service=service, key=key))


@keys_app.command(name="move")
def keys_move(
    service: str, key: str, server: str, /, *, common: CommonOptions = DEFAULT_OPTIONS
) -> int:
    """Move the key's shard to a server."""
    return run(
        common, partial(_fleet.move_key, service=service, key=key, server=server)
    )


@keys_app.command(name="pin")
def keys_pin(
    service: str,
    key: str,
    server: str | None = None,
    /,
    *,
    off: Flag = False,
    common: CommonOptions = DEFAULT_OPTIONS,
) -> int:
    """Give a key an entry of its own on a server, or take it away with --off."""
    if (server is None) != off:
        standard_terminal().problem("keys pin: expected either a server or --off")
        return ExitCode.USAGE
    return run(common, partial(_fleet.pin_key, service=service, key=key, server=server))


@servers_app.command(name="list")
def servers_list(
    *, service: str | None = None, common: CommonOptions = DEFAULT_OPTIONS
) -> int:
    """Print the backend servers as this daemon sees them."""
    return run(common, partial(_fleet.list_servers, service=service))


@servers_app.command(name="drain")
def servers_drain(server: str, /, *, common: CommonOptions = DEFAULT_OPTIONS) -> int:
    """Give a server no new work and move its shards away."""
    return run(common, partial(_fleet.drain_server, server=server))


@hosts_app.command(name="list")
def hosts_list(*, common: CommonOptions = DEFAULT_OPTIONS) -> int:
    """Print the platform's list of live and leaving hosts, which lags."""
    return run(common, _fleet.list_hosts)


@domains_app.command(name="declare-lost")
def domains_declare_lost(
    domain: str, /, *, yes: Flag = False, common: CommonOptions = DEFAULT_OPTIONS
) -> int:
    """Let other domains take over a failure domain's keys; says the risk and asks."""
    return run(common, partial(_fleet.declare_lost, domain=domain, assume_yes=yes))


@app.command(name="status")
def status(*, common: CommonOptions = DEFAULT_OPTIONS) -> int:
    """Print a daemon's state, the three measures and its alarms."""
    return run(common, _status.status)


@app.command(name="decisions")
def decisions(
    *,
    request_id: RequestId = None,
    refused: Refused = False,
    most: Limit = 20,
    common: CommonOptions = DEFAULT_OPTIONS,
) -> int:
    """Print why requests went where they did, waited or were refused."""
    return run(
        common,
        partial(
            _decisions.decisions, request_id=request_id, refused=refused, limit=most
        ),
    )


@logs_app.command(name="explain")
def logs_explain(request_id: str, /, *files: Path, json: Flag = False) -> int:
    """Print what log files of hosts tell of a request; asks no daemon."""
    return _run_locally(
        partial(_logs.explain, request_id, files, standard_terminal(as_json=json))
    )


@quarantine_app.command(name="list")
def quarantine_list(*, store: StoreAddress, json: Flag = False) -> int:
    """Print the requests under which servers ended, and how each end is known."""
    return _quarantine.run(
        store, standard_terminal(as_json=json), _quarantine.list_requests
    )


@quarantine_app.command(name="release")
def quarantine_release(name: str, /, *, store: StoreAddress) -> int:
    """Let a request through, so that it runs as any other."""
    return _quarantine.run(
        store, standard_terminal(), partial(_quarantine.release, name=name)
    )


@report_app.command(name="burn")
def report_burn(
    *, html: Page = None, host: BurnHost = None, common: CommonOptions = DEFAULT_OPTIONS
) -> int:
    """Print the service-level burn of all hosts, or write it as a page."""
    return run(common, partial(_status.burn, html=html, host=host))


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command line and exit with one of the documented codes."""
    tokens = sys.argv[1:] if arguments is None else list(arguments)
    try:
        code = app(tokens, exit_on_error=False, result_action="return_value")
    except CycloptsError:
        sys.exit(ExitCode.USAGE)
    except Exception:
        # Python's default exit code is 1, which means that nothing took effect.
        traceback.print_exc()
        sys.exit(ExitCode.FAULT)
    sys.exit(code if isinstance(code, int) else ExitCode.DONE)
