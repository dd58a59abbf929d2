"""Run an entry host: ``python -m gentianwharf.entryhost``."""

from ._main import main

if __name__ == "__main__":
    main()
