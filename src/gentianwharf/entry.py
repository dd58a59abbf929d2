"""Run an entry host: ``python -OO -m gentianwharf.entry``.

A restarted host cannot serve requests until its modules are loaded. The objects that
imports create are never garbage, and repeated scans by the garbage collector take about
a seventh of the loading time (0.60 to 0.66 s without the collector, 0.70 to 0.84 s with
it, three starts each). The collector is therefore disabled before anything else is
imported, and enabled once loading has finished. This module is outside the package that
it runs because importing the package would come first.

If the environment variable ``GENTIANWHARF_LISTEN`` is set, the callers' port is opened
before the imports: callers that connect during loading wait in the kernel's queue and
are not reset.

Settings may change while a host starts, and an unhandled SIGHUP ends the process. A
handler that records the signal is therefore installed first.
"""

import gc
import os
import signal
from contextlib import suppress

from gentianwharf.early_port import open_port

early_reloads: list[int] = []
callers_port = None
if __name__ == "__main__":
    # Not on a mere import, such as a test's: whoever imports this runs on.
    gc.disable()
    signal.signal(signal.SIGHUP, lambda number, _: early_reloads.append(number))
    # If the port cannot be opened here, the host tries again and reports the error.
    with suppress(KeyError, ValueError, OSError):
        callers_port = open_port(os.environ["GENTIANWHARF_LISTEN"])

from gentianwharf.entryhost import main  # noqa: E402

if __name__ == "__main__":
    main(early_reloads=early_reloads, callers_port=callers_port)
