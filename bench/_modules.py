"""The benchmarks that ``python -m bench`` runs, in this order.

Each module of ``MODULES`` defines ``figures() -> Iterator[Figure]``. Those of
``PROGRAMS`` are run as separate processes and print their own JSON lines.
"""

MODULES = (
    "bench.metrics",
    "bench.rules",
    "bench.spread",
    "bench.capacity_memory",
    "bench.capacity_control",
    "bench.capacity_spread",
    "bench.capacity_placement",
    "bench.capacity_store",
    "bench.capacity_relay",
    "bench.quarantine",
    "bench.path",
    "bench.tunnels",
    "bench.decision",
    "bench.dispatch",
)
PROGRAMS = ("bench.load", "bench.load_cost", "bench.placement", "bench.ownership")
