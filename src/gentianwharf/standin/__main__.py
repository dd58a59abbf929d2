"""Run a stand-in with ``python -m gentianwharf.standin``."""

from . import main

main()
