"""Entry point of ``python -m gentianwharf.cli``."""

from . import main

if __name__ == "__main__":
    main()
