"""What orders do to a stand-in store."""

from collections.abc import Mapping
from math import inf

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
    if order.unanswered_share is not None:
        faults.unanswered_share = order.unanswered_share
    if order.late_share is not None:
        faults.late_share = order.late_share
    if order.drops_history:
        faults.drop_history()
    if order.rate_bytes_per_s is not None:
        for address in order.addresses or links:
            links[address].rate_bytes_per_s = order.rate_bytes_per_s or inf
