"""Run an entry host: ``python -OO -m gentianwharf.entry``.

A host that starts again serves nobody until its modules are loaded. Of what they make
nothing is ever garbage, and looking through it again and again takes a seventh of the
time (0.60 to 0.66 s without, 0.70 to 0.84 s with it, three starts each). So the
collector begins when they are there. It is switched off before anything else is
imported, which is why this module is not part of the package that it runs.

The callers' port is opened first of all, where ``GENTIANWHARF_LISTEN`` in the
environment names it: whoever comes while modules are loaded waits, and isn't reset.

Settings may change while a host starts, and a SIGHUP that nobody handles ends the
process. So it is noted from the first moment on.
"""

import gc
import os
import signal
from contextlib import suppress

from gentianwharf.early_port import open_port

early_reloads: list[int] = []
gc.disable()
signal.signal(signal.SIGHUP, lambda number, _: early_reloads.append(number))
callers_port = None
# Of a port that can't be had the host itself tells, when it tries once more.
with suppress(KeyError, ValueError, OSError):
    callers_port = open_port(os.environ["GENTIANWHARF_LISTEN"])

from gentianwharf.entryhost import main  # noqa: E402

if __name__ == "__main__":
    main(early_reloads=early_reloads, callers_port=callers_port)
