"""Passing news on to every host: directly in small domains, down a tree in large ones.

The control holder has news for all hosts: that it lives, several times a second, and
each table that the store has taken. At the target size that would be 60,000 messages
from one loop. In a large domain it tells those that are nearest to the witnesses, and
each host passes on what is new to it to those that come after it in the same order in
which rights are shared. What is lost on the way is mended as before: a question for a
right under another checksum brings the newer tables, within a round.
"""

from collections.abc import Iterable
from typing import final

from ._asking import TreePlace, place_in_tree
from ._context import Context
from ._messages import ControlAlive, Item, Items
from ._pace import ASKERS, FAN_OUT

DIRECT_HOSTS = ASKERS + FAN_OUT
"""Hosts of a domain up to which all are told directly: a tree would have one step."""

ALIVE_STEPS = 5
"""Of so many signs of life one goes down the tree, one a second: only the hosts that
may take the control need to miss it soon, and they are told directly."""


@final
class Fanout:
    """Whom this host tells, and what it passes on."""

    def __init__(self, *, context: Context) -> None:
        self._context = context
        self._place: TreePlace | None = None
        self._children: tuple[str, ...] = ()
        self._passed_on: dict[str, tuple[int, int]] = {}

    def first_hosts(self, domain: str, also: Iterable[str] = ()) -> list[str]:
        """Return the hosts of ``domain`` that whoever has news tells.

        ``also`` are hosts of any domain that are told directly in any case.
        """
        context = self._context
        hosts = context.peers.hosts_of(domain)
        witnesses = context.tables.witnesses(domain)
        if len(hosts) > DIRECT_HOSTS and witnesses is not None:
            # The tree begins at two of the witnesses; who of them lives is known there.
            known = set(hosts)
            wanted = dict.fromkeys([*witnesses.all(), *also])
            hosts = [one for one in wanted if one in known]
        return [one for one in hosts if one != context.host.id]

    def children(self) -> tuple[str, ...]:
        """Return the hosts of the own domain to which this one passes news on."""
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

    def tell(self, item: Item) -> None:
        """Tell every domain of a value that the store has taken, and pass it on."""
        message = Items(items=[item])
        for domain in self._context.domains:
            for host in self.first_hosts(domain):
                self._context.peers.send(host, message)
        self.pass_on_items([item])

    def pass_on_items(self, items: list[Item]) -> None:
        """Pass on values that were new to this host."""
        for host in self.children() if items else ():
            self._context.send_items(host, items)

    def pass_on_alive(self, alive: ControlAlive) -> None:
        """Pass on a control holder's sign of life, once.

        Hosts that differ on who is live may each take the other for a child: the
        number ends that.
        """
        news = (alive.term, alive.number)
        if alive.number % ALIVE_STEPS or news <= self._passed_on.get(
            alive.service, (0, -1)
        ):
            return
        self._passed_on[alive.service] = news
        for host in self.children():
            self._context.send(host, alive)
