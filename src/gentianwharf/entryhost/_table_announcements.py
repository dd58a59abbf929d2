"""Begins moves of keys once the other hosts have received the table.

Until a host has the table, it sends the requests of a moving span to its former holder,
which refuses them from the release on.
"""

from typing import Any, final

from gentianwharf.errors import InputError
from gentianwharf.keyspace import GrantManager, decode_table
from gentianwharf.store import Events, Item

from ._peers import Peers
from ._store_keys import TABLE_PREFIX

PROCESSING_S = 0.01
"""Time in which a host receives and applies a table, after the leader's link has sent
it to all hosts."""

MAX_LEAD_S = 0.06
"""Hosts that have the table already hold the requests of its moves. On a slow link with
many hosts they do not wait for the last one."""

ANNOUNCE_WAIT_S = 0.3
"""How long a move waits for its announcement at most: the leader's own watch may be
late or unanswered."""


@final
class TableAnnouncements:
    """Sends the changes of the leader's watch to all hosts, and then begins moves."""

    def __init__(
        self, *, peers: Peers, grant_manager: GrantManager, reactor: Any
    ) -> None:
        self._peers = peers
        self._grant_manager = grant_manager
        self._reactor = reactor
        grant_manager.announce_wait_s = ANNOUNCE_WAIT_S

    def forward(self, after_revision: int, events: Events) -> None:
        """Send changes of the store to all hosts; does nothing on other hosts."""
        sent_in_s = self._peers.broadcast_events(after_revision, events)
        if sent_in_s is None:
            return
        lead_s = min(MAX_LEAD_S, sent_in_s + PROCESSING_S)
        for change in events.changes:
            if isinstance(change, Item) and change.key.startswith(TABLE_PREFIX):
                self._reactor.callLater(lead_s, self._announce, change)

    def _announce(self, item: Item) -> None:
        try:
            table = decode_table(item.value, peer=item.key)
        except InputError:
            # The planner logs it.
            return
        self._grant_manager.note_announced(table.service, table.highest_token)
