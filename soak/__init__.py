"""A randomized soak test: runs the real programs as processes and injects faults.

Run it with ``python -m soak --seeds 50``; docs/SOAK.md describes what it starts,
injects and checks.
"""
