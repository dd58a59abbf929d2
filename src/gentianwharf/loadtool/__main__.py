"""Run the load tool as ``python -m gentianwharf.loadtool``."""

from . import main

if __name__ == "__main__":
    main()
