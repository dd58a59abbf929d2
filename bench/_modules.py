"""The bench modules that ``python -m bench`` runs, in this order.

Each has ``figures() -> Iterator[Figure]``. One that is missing is named on standard
error and passed over, so that modules can land one by one.
"""

MODULES = (
    "bench.metrics",
    "bench.rules",
    "bench.load",
    "bench.placement",
    "bench.spread",
    "bench.ownership",
    "bench.capacity_memory",
    "bench.capacity_control",
    "bench.capacity_spread",
    "bench.capacity_placement",
    "bench.capacity_store",
    "bench.capacity_relay",
    "bench.path",
)
