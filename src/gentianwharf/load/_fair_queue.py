"""A fair queue of one class's waiting requests, round robin over callers and keys.

Load pattern: one caller sends 20 times as many requests as the others, or one key
receives half of a service's load. A FIFO queue would serve such a flow nearly all the
time, and requests of other flows would wait behind it or be refused.

Each request is put into the next round in which neither its caller nor its key has a
request yet, and rounds are served in order. This is round robin over two kinds of flow
at once. A single flow is served as fast as capacity allows; requests of other flows
are put into the next round, ahead of the rest of the first flow's requests.

No request joins the round that is being served. Start-time fair queueing allows that:
in the bench, 200 callers under overload then kept one round going for a second, and
requests of the next round had a p99 of 1.3 s.

The queue's capacity is shared as well: a flow may have as many requests waiting as
there are free places (dynamic thresholds, Choudhury and Hahne, 1998). A hot flow
therefore holds at most half of the capacity and others find a free place at once. A
queued request is never evicted; a request that is refused is refused on arrival.
"""

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from itertools import count
from typing import final

from ._requests import Discipline, Ticket

# A flow whose next round is not after the current one is treated like a new flow, so
# its entry can be dropped. The table is cleaned up when it exceeds twice the queue's
# length by this much.
FLOW_TABLE_SLACK = 256

Flow = tuple[str, str]
Entry = tuple[int, float, int, Ticket]


def _order_oldest(ticket: Ticket, sequence: int) -> float:
    return sequence


def _order_newest(ticket: Ticket, sequence: int) -> float:
    return -sequence


def _order_deadline(ticket: Ticket, sequence: int) -> float:
    return ticket.deadline_s


_ORDERS: dict[Discipline, Callable[[Ticket, int], float]] = {
    Discipline.OLDEST_FIRST: _order_oldest,
    Discipline.NEWEST_FIRST: _order_newest,
    Discipline.EARLIEST_DEADLINE: _order_deadline,
}


@final
class FairQueue:
    """A priority queue by round, then by the class's discipline.

    >>> queue = FairQueue(discipline=Discipline.OLDEST_FIRST)
    >>> def ticket(id, caller):
    ...     return Ticket(id=id, service="ledger", request_class="posting",
    ...                   caller=caller, deadline_s=5.0)
    >>> for id, caller in [("1", "hot"), ("2", "hot"), ("3", "hot"), ("4", "other")]:
    ...     queue.push(ticket(id, caller))
    >>> [queue.pop().id for _ in range(4)]
    ['1', '4', '2', '3']
    """

    def __init__(self, *, discipline: Discipline) -> None:
        self._order = _ORDERS[discipline]
        self._heap: list[Entry] = []
        # Waiting requests by round, each round in order of arrival.
        self._rounds: dict[int, dict[str, Ticket]] = {}
        self._round_by_id: dict[str, int] = {}
        self._enqueued_s: dict[str, float] = {}
        self._sequence = count()
        self._round = 0
        self._next_rounds: dict[Flow, int] = {}
        self._counts: dict[Flow, int] = {}

    def __len__(self) -> int:
        return len(self._round_by_id)

    def __contains__(self, ticket_id: str) -> bool:
        return ticket_id in self._round_by_id

    def round_of(self, ticket: Ticket) -> int:
        """Return the round that ``ticket`` would be put into now."""
        rounds = self._next_rounds
        number = max(self._round + 1, rounds.get(("caller", ticket.caller), 0))
        if ticket.key is not None:
            number = max(number, rounds.get(("key", ticket.key), 0))
        return number

    def push(self, ticket: Ticket, *, now_s: float = 0.0, in_flight: int = 0) -> None:
        """Add a request whose caller or key has ``in_flight`` requests at servers.

        Each of those counts as a turn that the flow has already had.
        """
        number = self.round_of(ticket) + in_flight
        for flow in _flows_of(ticket):
            self._next_rounds[flow] = number + 1
            self._counts[flow] = self._counts.get(flow, 0) + 1
        sequence = next(self._sequence)
        heappush(self._heap, (number, self._order(ticket, sequence), sequence, ticket))
        self._round_by_id[ticket.id] = number
        self._enqueued_s[ticket.id] = now_s
        self._rounds.setdefault(number, {})[ticket.id] = ticket
        if len(self._next_rounds) > 2 * len(self._round_by_id) + FLOW_TABLE_SLACK:
            self._drop_idle_flows()

    def peek(self) -> Ticket:
        """Return the next request; raises ``IndexError`` when empty."""
        while True:
            number, _, _, ticket = self._heap[0]
            if self._round_by_id.get(ticket.id) == number:
                return ticket
            heappop(self._heap)

    def pop(self) -> Ticket:
        """Remove and return the next request; raises ``IndexError`` when empty."""
        ticket = self.peek()
        self._round = heappop(self._heap)[0]
        return self._remove(ticket.id)

    def remove(self, ticket_id: str) -> Ticket | None:
        """Remove a request that need not wait any more; return it if it was queued."""
        return self._remove(ticket_id) if ticket_id in self._round_by_id else None

    def can_enqueue(self, ticket: Ticket, *, capacity: int, maximum: int) -> bool:
        """Whether ``ticket`` may wait in a queue with ``capacity`` places.

        A flow without waiting requests may use up to ``maximum`` places when a single
        flow holds more than half of the capacity: that flow may have been queued while
        the capacity was larger, or while no other flow needed it.
        """
        waiting = len(self._round_by_id)
        own = self._busiest_count(ticket)
        if waiting < capacity:
            return own < capacity - waiting
        if own or waiting >= maximum:
            return False
        return max(self._counts.values(), default=0) * 2 > capacity

    def enqueued_s(self, ticket: Ticket) -> float:
        """Return when a waiting request was added."""
        return self._enqueued_s[ticket.id]

    def waiting(self) -> list[Ticket]:
        """Return all waiting requests, by round."""
        return [
            ticket for tickets in self._rounds.values() for ticket in tickets.values()
        ]

    def _busiest_count(self, ticket: Ticket) -> int:
        """Return how many requests the busier of the ticket's flows has waiting."""
        count = self._counts.get(("caller", ticket.caller), 0)
        if ticket.key is None:
            return count
        return max(count, self._counts.get(("key", ticket.key), 0))

    def _remove(self, ticket_id: str) -> Ticket:
        number = self._round_by_id.pop(ticket_id)
        del self._enqueued_s[ticket_id]
        tickets = self._rounds[number]
        ticket = tickets.pop(ticket_id)
        for flow in _flows_of(ticket):
            remaining = self._counts[flow] - 1
            if remaining:
                self._counts[flow] = remaining
            else:
                del self._counts[flow]
        if not tickets:
            del self._rounds[number]
        if not self._round_by_id:
            self._heap.clear()
            self._next_rounds.clear()
            self._round = 0
        elif len(self._heap) > 2 * len(self._round_by_id) + FLOW_TABLE_SLACK:
            # Entries of removed requests stay in the heap until they are popped.
            self._heap = [
                entry for entry in self._heap if entry[3].id in self._round_by_id
            ]
            heapify(self._heap)
        return ticket

    def _drop_idle_flows(self) -> None:
        self._next_rounds = {
            flow: number
            for flow, number in self._next_rounds.items()
            if number > self._round
        }


def _flows_of(ticket: Ticket) -> tuple[Flow, ...]:
    if ticket.key is None:
        return (("caller", ticket.caller),)
    return (("caller", ticket.caller), ("key", ticket.key))
