"""The command ``gentianwharfd``."""

import signal
import sys
from pathlib import Path
from typing import Annotated, Any, cast

from cyclopts import App, Parameter
from twisted.internet import reactor

from gentianwharf import logs
from gentianwharf.errors import InputError
from gentianwharf.lifecycle import use_monotonic_time
from gentianwharf.settings import Settings, load_settings

from ._daemon import Daemon

EXIT_USAGE = 2
EXAMPLE_PATHS = {
    "tunis": "/calendrier/fst/visites",
    "brazos-bend": "/clubdesk/lions/roster",
}

app = App(name="gentianwharfd", help="Route requests by the operators' rules.")


@app.default
def run(
    settings: Path, *, embedded: Annotated[bool, Parameter(negative="")] = False
) -> None:
    """Run the daemon until SIGTERM.

    Parameters
    ----------
    settings
        Settings file, JSON with comments.
    embedded
        Also run stand-ins of the platform and of every backend server, and a daemon
        for each of the other failure domains, in this process, for a first look.

    """
    use_monotonic_time(reactor)
    try:
        checked = load_settings(settings)
        logs.configure(
            stream=sys.stderr,
            level=checked.log.level.upper(),
            private_fields=checked.log.keys,
        )
        _start(checked, settings.parent, embedded=embedded)
    except InputError as error:
        print(f"gentianwharfd: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    cast(Any, reactor).run(installSignalHandlers=embedded)


def _start(settings: Settings, directory: Path, *, embedded: bool) -> None:
    if embedded:
        # Imported here since a plain daemon does not need the stand-ins, and importing
        # them takes time.
        from ._embedded import EmbeddedDeployment

        deployment = EmbeddedDeployment(
            settings=settings, directory=directory, reactor=reactor
        )
        deployment.start()
        print(getting_started(settings), flush=True)
        # Nothing outside this process depends on it, so it ends without a graceful
        # shutdown.
        return
    daemon = Daemon(settings=settings, directory=directory, reactor=reactor)
    daemon.on_end = cast(Any, reactor).stop
    daemon.start()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: _request_stop(daemon))


def _request_stop(daemon: Daemon) -> None:
    # A signal may interrupt any statement, so the event loop does the work.
    cast(Any, reactor).callFromThread(daemon.shutdown.request_stop)


def getting_started(settings: Settings) -> str:
    """Return the first commands to try, for a new user."""
    host = settings.host
    path = EXAMPLE_PATHS.get(settings.customer, "/")
    return (
        f"Ready. First request:  curl -i http://{host.callers_address}{path}\n"
        "Change a rule:         edit the example's rules.jsonc, then\n"
        "                       .venv/bin/gentianwharf rules apply FILE"
        f" --admin http://{host.admin_address}\n"
        "Stop:                  Ctrl-C"
    )


def main() -> None:
    """Run the command."""
    app()
