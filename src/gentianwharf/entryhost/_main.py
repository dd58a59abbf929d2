"""The process of an entry host, from reading its settings to shutdown."""

import gc
import os
import signal
import sys
from collections.abc import Sequence
from pathlib import Path
from socket import socket
from typing import Any, cast

from twisted.internet import reactor

from gentianwharf import logs
from gentianwharf.collector import freeze_objects
from gentianwharf.errors import InputError
from gentianwharf.lifecycle import use_monotonic_time
from gentianwharf.platform import SETTINGS_PATH_VARIABLE, read_host_settings

from ._host import EntryHost

EXIT_USAGE = 2


def main(
    *, early_reloads: Sequence[int] = (), callers_port: socket | None = None
) -> None:
    """Serve until SIGTERM.

    ``callers_port`` is a socket that already listens on the callers' address, if there
    is one.

    ``early_reloads`` receives an entry for each SIGHUP before the settings were read;
    another one may have arrived just afterwards.
    """
    use_monotonic_time(reactor)
    log_writer = logs.BoundedWriter(
        fileno=sys.stdout.fileno(), now_s=cast(Any, reactor).seconds
    )
    logs.configure(stream=log_writer)
    path = Path(os.environ.get(SETTINGS_PATH_VARIABLE, ""))
    try:
        settings = read_host_settings(path)
    except InputError as error:
        logs.log.error("not started: {}", error)
        sys.exit(EXIT_USAGE)
    host = EntryHost(settings=settings, reactor=reactor, callers_port=callers_port)
    host.metrics.add_gauge(
        "log_lines_dropped", "Lines that the log left out", lambda: log_writer.dropped
    )
    host.on_end = cast(Any, reactor).stop
    host.start()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: _request_stop(host))
    signal.signal(signal.SIGHUP, lambda *_: _request_reload(host, path))
    if early_reloads:
        reload_settings(host, path)
    freeze_objects()
    gc.enable()
    cast(Any, reactor).run(installSignalHandlers=False)


def reload_settings(host: EntryHost, path: Path) -> None:
    """Reload the settings; invalid ones are logged and change nothing."""
    try:
        host.apply_settings(read_host_settings(path))
    except InputError as error:
        logs.log.error("settings not applied: {}", error)


def _request_reload(host: EntryHost, path: Path) -> None:
    cast(Any, reactor).callFromThread(reload_settings, host, path)


def _request_stop(host: EntryHost) -> None:
    # A signal handler may interrupt any code; the reactor runs the call in its loop.
    cast(Any, reactor).callFromThread(host.shutdown.request_stop)
