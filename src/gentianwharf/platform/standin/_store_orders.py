"""What orders do to a stand-in store."""

from collections.abc import Mapping
from math import inf

from ._orders import InvalidOrderError
from ._store_faults import AnswerLink, StoreFaults, StoreOrder


def carry_out(
    order: StoreOrder, *, faults: StoreFaults, links: Mapping[str, AnswerLink]
) -> int:
    """Begin or end the faults that an order names, and count the revoked items.

    ``links`` has the link of each address on which hosts reach the store. Raises
    ``InvalidOrderError`` if the order names others.
    """
    unknown = sorted({*order.addresses} - {*links})
    if unknown:
        raise InvalidOrderError(
            f"expected addresses among {', '.join(sorted(links))}, got"
            f" {', '.join(unknown)}; correct the order, nothing was changed"
        )
    addressed = [links[address] for address in order.addresses or links]
    if order.outage is not None:
        for link in addressed if order.addresses else [None]:
            faults.begin(order.outage, link)
    if order.slowdown is not None:
        faults.slowdown = order.slowdown
    if order.unanswered_share is not None:
        faults.unanswered_share = order.unanswered_share
    if order.late_share is not None:
        faults.late_share = order.late_share
    if order.drops_history:
        faults.drop_history()
    if order.rate_bytes_per_s is not None:
        for link in addressed:
            link.rate_bytes_per_s = order.rate_bytes_per_s or inf
    if order.revokes is None:
        return 0
    return faults.revoke(order.revokes, addressed)
