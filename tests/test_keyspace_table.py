"""A service's table of keys as it stands in the store."""

from random import Random

from gentianwharf.keyspace import KeyTable, Span, decode_table, encode_table
from tests.builders_keyspace import span, table

SERVERS = 85
SPANS = 300


def dealt(rng: Random) -> list[Span]:
    """Return spans that are dealt out at random."""
    return [
        span(10 * number, 10 * number + 9, rng.randrange(SERVERS), token=number + 1)
        for number in range(SPANS)
    ]


def pieces(of: KeyTable) -> set[bytes]:
    return set(encode_table(of).split(b"],["))


def test_move_of_few_spans_leaves_the_others_as_they_stand() -> None:
    """Hosts learn late that a server leaves, while keys move all the time.

    Each move is told to 86 hosts by what changed in the table. Holders stood in the
    order in which they appear, and one move changed the places of most of them.
    """
    rng = Random(1)
    spans = dealt(rng)
    before = table(*spans, highest_token=1000)
    for number in rng.sample(range(SPANS), 8):
        moved = spans[number]
        spans[number] = span(
            moved.first, moved.last, rng.randrange(SERVERS), token=1000
        )
    after = table(*spans, highest_token=1000)
    assert len(pieces(after) - pieces(before)) <= 10
    assert decode_table(encode_table(after), peer="x") == after


def test_order_of_spans_does_not_change_how_holders_stand() -> None:
    spans = dealt(Random(2))
    holders = [
        encode_table(table(*order)).partition(b'"spans"')[0]
        for order in (spans, spans[::-1])
    ]
    assert holders[0] == holders[1]
