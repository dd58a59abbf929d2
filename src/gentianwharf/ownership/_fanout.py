"""Distribution of updates to all hosts: directly, or down a tree in large domains.

The control holder sends updates to all hosts: several times a second that it is alive,
and each table that the store has committed. At the target size that would be 60,000
messages from one event loop. In a large domain it sends only to the witnesses, two of
which are the roots of a tree, the same one by which rights are shared. Each host
forwards what is new to it to its children. Lost updates are repaired within a round: a
request for a right under another checksum brings the newer tables.
"""

from collections.abc import Iterable
from typing import final

from ._asking import TreePlace, place_in_tree
from ._context import Context
from ._messages import ControlAlive, Item, Items
from ._pace import ASKERS, FAN_OUT

DIRECT_HOSTS = ASKERS + FAN_OUT
"""Largest domain whose hosts all get updates directly; its tree has one level."""

ALIVE_FORWARD_INTERVAL = 5
"""One in this many alive messages is forwarded down the tree, about one a second. Only
hosts that may take the control must notice its loss soon; they get each one directly.
"""


@final
class Fanout:
    """Selects the receivers of this host's updates and forwards those of others."""

    def __init__(self, *, context: Context) -> None:
        self._context = context
        self._place: TreePlace | None = None
        self._children: tuple[str, ...] = ()
        self._forwarded: dict[str, tuple[int, int]] = {}

    def first_hosts(self, domain: str, also: Iterable[str] = ()) -> list[str]:
        """Return the hosts of ``domain`` to which the origin of an update sends it.

        ``also`` are hosts of any domain that always get the update directly.
        """
        context = self._context
        hosts = context.peers.hosts_of(domain)
        witnesses = context.tables.witnesses(domain)
        if len(hosts) > DIRECT_HOSTS and witnesses is not None:
            # The tree starts at two of the witnesses; they determine which are live.
            known = set(hosts)
            wanted = dict.fromkeys([*witnesses.all(), *also])
            hosts = [host for host in wanted if host in known]
        return [host for host in hosts if host != context.host.id]

    def children(self) -> tuple[str, ...]:
        """Return the hosts of this host's domain to which it forwards updates."""
        place = place_in_tree(self._context)
        if place != self._place:
            self._place = place
            self._children = self._find_children(place)
        return self._children

    def _find_children(self, place: TreePlace) -> tuple[str, ...]:
        host = self._context.host.id
        if len(place.listed) <= DIRECT_HOSTS or host not in place.listed:
            return ()
        order = place.order()
        first = ASKERS + order.index(host) * FAN_OUT
        return tuple(order[first : first + FAN_OUT])

    def broadcast_item(self, item: Item) -> None:
        """Send a value that the store has committed to every domain, and forward it."""
        message = Items(items=[item])
        for domain in self._context.domains:
            for host in self.first_hosts(domain):
                self._context.peers.send(host, message)
        self.forward_items([item])

    def forward_items(self, items: list[Item]) -> None:
        """Forward values that were new to this host."""
        for host in self.children() if items else ():
            self._context.send_items(host, items)

    def forward_alive(self, alive: ControlAlive) -> None:
        """Forward a control holder's alive message once.

        Hosts that disagree on who is live may each regard the other as a child; the
        message number prevents a loop.
        """
        version = (alive.term, alive.number)
        if alive.number % ALIVE_FORWARD_INTERVAL or version <= self._forwarded.get(
            alive.service, (0, -1)
        ):
            return
        self._forwarded[alive.service] = version
        for host in self.children():
            self._context.send(host, alive)
