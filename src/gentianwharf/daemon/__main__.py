"""Run the daemon with ``python -m gentianwharf.daemon``."""

from . import main

main()
