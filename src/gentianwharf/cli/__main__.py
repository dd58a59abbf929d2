"""Run the operator's tool as ``python -m gentianwharf.cli``."""

from . import main

if __name__ == "__main__":
    main()
