"""The key table of a service in its stored form."""

from random import Random

from gentianwharf.keyspace import KeyTable, Span, decode_table, encode_table
from tests.builders_keyspace import span, table

SERVERS = 85
SPANS = 300


def random_spans(rng: Random) -> list[Span]:
    """Return spans with random holders."""
    return [
        span(10 * number, 10 * number + 9, rng.randrange(SERVERS), token=number + 1)
        for number in range(SPANS)
    ]


def pieces(of: KeyTable) -> set[bytes]:
    return set(encode_table(of).split(b"],["))


def test_move_of_few_spans_leaves_the_rest_of_the_encoding_unchanged() -> None:
    """Guards against large updates that delay the notice of a leaving server.

    Each move is sent to 86 hosts as the part of the table that changed. Holders were
    listed in the order of their first span, so one move changed the indexes in most
    spans.
    """
    rng = Random(1)
    spans = random_spans(rng)
    before = table(*spans, highest_token=1000)
    for number in rng.sample(range(SPANS), 8):
        moved = spans[number]
        spans[number] = span(
            moved.first, moved.last, rng.randrange(SERVERS), token=1000
        )
    after = table(*spans, highest_token=1000)
    assert len(pieces(after) - pieces(before)) <= 10
    assert decode_table(encode_table(after), peer="x") == after


def test_order_of_spans_does_not_change_the_order_of_holders() -> None:
    spans = random_spans(Random(2))
    holders = [
        encode_table(table(*order)).partition(b'"spans"')[0]
        for order in (spans, spans[::-1])
    ]
    assert holders[0] == holders[1]
