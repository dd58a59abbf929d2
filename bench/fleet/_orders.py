"""Orders to the servers of a fleet, and events that the servers report."""

from enum import StrEnum

import msgspec


class EndManner(StrEnum):
    """What is seen of a server that a request has ended."""

    REFUSING = "refusing"
    """Its connections end, and new ones are refused."""

    PROXIED = "proxied"
    """Its connections end; a proxy accepts new ones, and closes them."""

    SILENT = "silent"
    """Its connections stay open without an answer, and new ones are refused."""


class RuleMove(msgspec.Struct):
    """That the store acknowledged which service the rule that moves has.

    This was the given version of the rules.
    """

    moved: bool
    moved_at_s: float
    version: int = 0


class ServerEnd(msgspec.Struct):
    """That a server ended, and whether a request ended it."""

    server: str
    ended_at_s: float
    by_request: bool


class AddressReassigned(msgspec.Struct):
    """That another server got the address of one that had ended."""

    address: str
    reassigned_at_s: float


class Order(msgspec.Struct, omit_defaults=True):
    """What the servers of a process are to do from now on.

    ``lost_share`` is the probability that an answer is lost, and ``rest_s`` the time
    for which servers refuse and ask for rest, 0 for none. ``reassigned_share`` of the
    servers end now, and others of another service get their addresses. ``service``
    limits the first two to one service. ``moves_rule`` writes a configuration in which
    a rule has another service, or its first one again; ``added_rules`` writes one with
    so many further rules, which replace those added before. ``ended_share`` of the
    servers end now and start again, one after the other where ``is_rolling``. Servers
    that a request ends do so in ``end_manner`` with the probability
    ``end_manner_share``, else as ``REFUSING``; ``refused_share`` of these requests is
    refused and not run, and ``failed_share`` answered with 500 and not run either. The
    links to ``held_share`` of the servers hold what hosts send from now on, until an
    order with 0 delivers it.
    """

    lost_share: float | None = None
    rest_s: float | None = None
    reassigned_share: float | None = None
    service: str | None = None
    moves_rule: bool | None = None
    added_rules: int | None = None
    ended_share: float | None = None
    is_rolling: bool = False
    end_manner: EndManner | None = None
    end_manner_share: float = 1.0
    refused_share: float | None = None
    failed_share: float | None = None
    held_share: float | None = None


class HeldBytes(msgspec.Struct):
    """That links delivered what they had held for a server, in how many pieces."""

    server: str
    delivered_at_s: float
    pieces: int
