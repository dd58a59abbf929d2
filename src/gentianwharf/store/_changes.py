"""Helpers that process the changes in an answer of the store."""

from collections.abc import Callable

from gentianwharf.logs import log

from ._types import Events, Item, Removal


def newest_changes(events: Events) -> Events:
    """Return only the last change of each key.

    Operators may write many versions within one watch. Processing one version with a
    thousand rules blocks a host for 0.3 s; ten versions kept a host from answering
    callers and from renewing its lease for 3.6 s.
    """
    latest: dict[str, Item | Removal] = {}
    for change in events.changes:
        known = latest.get(change.key)
        # The order of changes within an answer is not guaranteed.
        if known is None or known.revision < change.revision:
            latest[change.key] = change
    changes = sorted(latest.values(), key=lambda change: change.revision)
    return Events(changes=tuple(changes), revision=events.revision)


def call_guarded(call: Callable[[], None], *, peer: str, revision: int | None) -> None:
    """Call a listener; an error in it affects only this call.

    If the error were raised here, the other changes of the same answer would be
    skipped, which no later watch returns again, and the copy could end for every key.
    """
    try:
        call()
    except Exception:
        log.exception(
            "listener failed on a change in the store",
            extra={"step": "note-change", "peer": peer, "revision": revision},
        )
