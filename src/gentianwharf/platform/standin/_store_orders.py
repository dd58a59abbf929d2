"""Orders to a stand-in store: lines of JSON on its standard input."""

from collections.abc import Callable, Mapping
from math import inf
from typing import final

import msgspec
from twisted.protocols.basic import LineOnlyReceiver

from ._store_faults import AnswerLink, StoreFaults, StoreOrder


def carry_out(
    order: StoreOrder, *, faults: StoreFaults, links: Mapping[str, AnswerLink]
) -> None:
    """Begin or end the faults that an order names.

    ``links`` has the link of each address on which hosts reach the store.
    """
    if order.outage is not None:
        faults.begin(order.outage)
    if order.slowdown is not None:
        faults.slowdown = order.slowdown
    if order.drops_history:
        faults.drop_history()
    if order.rate_bytes_per_s is not None:
        for address in order.addresses or links:
            links[address].rate_bytes_per_s = order.rate_bytes_per_s or inf


@final
class OrderReader(LineOnlyReceiver):
    """Calls ``on_order`` with each order that it reads."""

    delimiter = b"\n"

    def __init__(self, *, on_order: Callable[[StoreOrder], None]) -> None:
        self._on_order = on_order

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Decode a line, and call ``on_order``."""
        self._on_order(msgspec.json.decode(line, type=StoreOrder))
