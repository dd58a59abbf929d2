"""The command ``gentianwharfd``."""

import sys
from pathlib import Path
from typing import Annotated, Any, cast

from cyclopts import App, Parameter
from twisted.internet import reactor

from gentianwharf.errors import InputError
from gentianwharf.settings import load_settings

from ._daemon import Daemon
from ._embedded import Embedded

EXIT_USAGE = 2

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
        Also run stand-ins of the platform and of every backend server in this
        process, for a first look.

    """
    try:
        checked = load_settings(settings)
        daemon = Daemon(settings=checked, directory=settings.parent, reactor=reactor)
    except InputError as error:
        print(f"gentianwharfd: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    if embedded:
        Embedded(settings=checked, reactor=reactor).start()
    daemon.start()
    if embedded:
        print(first_steps(checked.host.callers_address, checked.customer), flush=True)
    cast(Any, reactor).run()


def first_steps(callers: str, customer: str) -> str:
    """Return what a newcomer can do next."""
    paths = {
        "tunis": "/calendrier/fst/visites",
        "brazos-bend": "/clubdesk/lions/roster",
    }
    path = paths.get(customer, "/")
    return (
        f"Ready. First request:  curl -i http://{callers}{path}\n"
        "Change a rule:         edit the shard_share in the example's rules.jsonc,\n"
        "                       then: gentianwharf rules apply FILE\n"
        "Stop:                  Ctrl-C"
    )


def main() -> None:
    """Run the command."""
    app()
