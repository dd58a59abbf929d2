"""A randomized soak: the real programs as separate processes, with faults from outside.

``python -m soak --seeds 50``; docs/SOAK.md says what it starts, injects and checks.
"""
