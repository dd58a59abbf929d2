"""What ``python -m bench`` runs, in this order.

``MODULES`` have ``figures() -> Iterator[Figure]``. ``PROGRAMS`` print JSON lines of
their own when run as programs.
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
    "bench.path",
    "bench.decision",
)
PROGRAMS = ("bench.load", "bench.load_cost", "bench.placement", "bench.ownership")
