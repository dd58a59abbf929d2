"""Connects a host's retry budgets to the reports that hosts exchange."""

from collections.abc import Callable, Mapping

from gentianwharf.load import Gate
from gentianwharf.logs import log

from ._peers import Peers


def exchange_retries(*, gate: Gate, peers: Peers, now_s: Callable[[], float]) -> None:
    """State unconfirmed repeats in reports, and count what ended processes left."""
    retries = gate.retries
    counted: Mapping[str, float] = {}

    def apply_inherited(repeats: Mapping[str, float], is_known: bool) -> None:
        nonlocal counted
        if repeats != counted:
            log.info(
                "repeats of ended processes count as this host's",
                extra={"repeats": dict(repeats), "is_known": is_known},
            )
        counted = repeats
        retries.set_inherited(repeats, is_known=is_known, now_s=now_s())

    peers.unconfirmed = retries.next_unconfirmed
    peers.inherited.on_inherited = apply_inherited
    retries.expect_inherited(now_s())
