"""Tests for requests with a checksum of the versions, and for when they succeed."""

from collections.abc import Callable, Mapping, Sequence

import pytest

from gentianwharf.ownership import _tables
from gentianwharf.ownership._messages import (
    Item,
    RightAnswer,
    ShareAnswer,
    VersionsWanted,
)
from gentianwharf.ownership._rights import Rights, Witness, shorten
from gentianwharf.ownership._table import first_chunk, pack_chunk
from gentianwharf.ownership._tables import (
    TABLE,
    Tables,
    WitnessList,
    checksum_of,
    version_hash,
)
from gentianwharf.ownership._timing import RIGHT_USE_S
from gentianwharf.placement import rendezvous_rank
from tests.builders_ownership import World

LAC = WitnessList(hosts=("w1", "w2", "w3"))
KEY = "table/ledger/0"


def tables_at(revision: int) -> Tables:
    tables = Tables(shards={"ledger": 1})
    value = pack_chunk(first_chunk("ledger", 0, {0: "a"}))
    tables.install(Item(KEY, revision, value))
    return tables


def witness() -> Witness:
    found = Witness(host="w1", domain="lac", incarnation=1)
    found.note_list(LAC)
    found.store_read()
    return found


@pytest.mark.parametrize(
    ("asked", "known", "is_given"),
    [
        pytest.param(2, 2, True, id="same"),
        pytest.param(1, 2, False, id="witness-newer"),
        pytest.param(2, 1, False, id="asker-newer"),
    ],
)
def test_checksum_alone_is_confirmed_only_if_equal(
    asked: int, known: int, is_given: bool
) -> None:
    ask = Rights().ask_briefly(
        domain="lac", witnesses=LAC, checksum=tables_at(asked).checksum, now_s=0.0
    )
    assert (witness().answer(ask, tables_at(known)).good_s > 0) is is_given


@pytest.mark.parametrize(
    ("known", "is_given"),
    [pytest.param(1, True, id="older"), pytest.param(3, False, id="newer")],
)
def test_same_round_continues_with_all_versions(known: int, is_given: bool) -> None:
    """A host receives a move before its witnesses do, so their checksums differ.

    If it waited for the next round, each move would cost every host one of the three
    rounds that may fail. The right still counts from the first request.
    """
    rights, tables = Rights(), tables_at(2)
    brief = rights.ask_briefly(
        domain="lac", witnesses=LAC, checksum=tables.checksum, now_s=10.0
    )
    wanted = VersionsWanted(domain="lac", round=brief.round, is_share=False)
    full = rights.ask_fully(wanted, tables)
    assert full is not None and full.round == brief.round
    for host in ("w1", "w2"):
        answer = witness().answer(full, tables_at(known))  # type: ignore[arg-type]
        rights.hear(host, answer)
    assert (rights.until_s("lac") == 10.0 + RIGHT_USE_S) is is_given


def test_versions_wanted_for_a_round_before_a_restart_is_not_answered() -> None:
    rights = Rights(first_round=100)
    for is_share in (False, True):
        wanted = VersionsWanted(domain="lac", round=7, is_share=is_share)
        assert rights.ask_fully(wanted, tables_at(1)) is None


def test_answers_to_both_kinds_of_request_make_one_majority() -> None:
    rights, tables = Rights(), tables_at(2)
    brief = rights.ask_briefly(
        domain="lac", witnesses=LAC, checksum=tables.checksum, now_s=10.0
    )
    rights.hear("w1", witness().answer(brief, tables_at(2)))
    assert rights.until_s("lac") < 10.0
    rights.ask_fully(
        VersionsWanted(domain="lac", round=brief.round, is_share=False), tables
    )
    rights.hear("w2", RightAnswer(domain="lac", round=brief.round, good_s=RIGHT_USE_S))
    assert rights.until_s("lac") == 10.0 + RIGHT_USE_S


@pytest.mark.parametrize(
    "versions",
    [
        pytest.param({}, id="none"),
        pytest.param({KEY: 7}, id="one"),
        pytest.param({KEY: 7, "witnesses/lac": 3, "table/ledger/1": 9}, id="three"),
    ],
)
def test_incremental_checksum_equals_that_of_all_versions(
    versions: Mapping[str, int],
) -> None:
    tables = Tables(shards={})
    for key, revision in versions.items():
        value = b"\x91\x90" if key.startswith("witnesses") else b""
        for number in range(1, revision + 1):
            tables.install(Item(key, number, value))
            tables.install(Item(key, 1, value))
    assert tables.versions == versions
    assert tables.checksum == checksum_of(versions)


def hash_of_keys_alone(key: str, revision: int) -> int:
    return version_hash(key, 0)


def hash_without_chunks(key: str, revision: int) -> int:
    return 0 if key.startswith(TABLE) else version_hash(key, revision)


def reaches_only_witnesses(world: World, stale: str, server_domain: str) -> None:
    """Cut ``stale`` off from all hosts but those of the server's domain."""
    for host in world.hosts:
        if host != stale and not host.startswith(server_domain):
            world.cut(host, stale)


def reaches_only_own_domain(world: World, stale: str, server_domain: str) -> None:
    """Cut ``stale`` off from all hosts but those of its own domain."""
    own = world.domain_of(stale)
    for host in world.hosts:
        if not host.startswith(own):
            world.cut(host, stale)
        elif host != stale:
            # It would forward values from its watch.
            world.cut(host, "store")


def serve_through_a_host_that_missed_a_move(
    isolate: Callable[[World, str, str], None],
) -> None:
    """Move a lost server's shards while one host still reaches it but misses the move.

    All other hosts are cut off from the server. This host continues to request rights
    with its tables from before the move.
    """
    world = World(deadline_cap_s=0.1, knows_validity=False, gives_stamp=False)
    world.settle()
    world.advance(0.5)
    controller = next(
        name for name, host in world.hosts.items() if host.system.state().controls
    )
    server_domain, stale_domain = (
        domain.name
        for domain in world.domains
        if domain.name != world.domain_of(controller)
    )
    server = next(name for name in world.servers if server_domain in name)
    # The host of its domain that requests shares from two others.
    stale = rendezvous_rank(
        "rights", [host for host in world.hosts if host.startswith(stale_domain)]
    )[-1]
    for host in world.hosts:
        if host != stale:
            world.cut(host, server)
    world.cut(stale, "store")
    isolate(world, stale, server_domain)
    world.traffic(3.0)
    assert world.has_logged("owners-lost")


ISOLATED = pytest.mark.parametrize(
    "isolate",
    [
        pytest.param(reaches_only_witnesses, id="witness"),
        pytest.param(reaches_only_own_domain, id="fellows"),
    ],
)


@ISOLATED
def test_host_that_missed_a_move_gets_no_right(
    isolate: Callable[[World, str, str], None],
) -> None:
    """A host misses the messages of a move and requests rights with its old tables.

    Its checksum differs from that of all other hosts, so none of them confirms it.
    """
    serve_through_a_host_that_missed_a_move(isolate)


@ISOLATED
@pytest.mark.parametrize("part", [hash_of_keys_alone, hash_without_chunks])
def test_partial_checksum_gives_two_owners(
    part: Callable[[str, int], int],
    isolate: Callable[[World, str, str], None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The same case, with a checksum that omits the revisions or the chunks.

    The asked hosts take the old tables for equal to their own and keep confirming
    them. The host continues to send to the old owner after the shard was granted to
    the new one.
    """
    monkeypatch.setattr(_tables, "version_hash", part)
    with pytest.raises(AssertionError, match="two owners"):
        serve_through_a_host_that_missed_a_move(isolate)


def shared_rights(
    names: Sequence[str], good_s: Mapping[str, float]
) -> dict[str, float]:
    """Return the rights of a host that had the lists of ``names`` when it asked."""
    tables = Tables(shards={})
    for name in names:
        tables.install(Item(f"witnesses/{name}", 1, b"\x91\x90"))
    rights = Rights()
    number = rights.open_share(tables=tables, now_s=10.0)
    answer = shorten(ShareAnswer(round=number, good_s=dict(good_s)), names, exact="")
    # A list that arrives while the answer is in transit.
    tables.install(Item("witnesses/late", 1, b"\x91\x90"))
    rights.hear_share(answer)
    until_s = {name: rights.until_s(name) for name in (*names, "late")}
    return {name: end_s - 10.0 for name, end_s in until_s.items() if end_s > 10.0}


@pytest.mark.parametrize(
    ("good_s", "others_s", "named"),
    [
        pytest.param({"a": 0.3, "b": 0.3, "c": 0.3}, 0.3, {"a"}, id="alike"),
        pytest.param({"a": 0.3, "b": 0.29, "c": 0.1}, 0.29, {"a", "c"}, id="one-older"),
        pytest.param({"a": 0.3, "b": 0.3}, 0.3, {"a", "c"}, id="one-lacking"),
        pytest.param({}, 0.0, set(), id="none"),
    ],
)
def test_share_names_only_the_domains_that_differ(
    good_s: Mapping[str, float], others_s: float, named: set[str]
) -> None:
    answer = shorten(
        ShareAnswer(round=1, good_s=dict(good_s)), ["a", "b", "c"], exact="a"
    )
    assert answer.others_s == others_s
    assert set(answer.good_s) == named
    shared = shared_rights(["a", "b", "c"], good_s)
    assert set(shared) == set(good_s)
    assert all(shared[name] <= left_s + 1e-9 for name, left_s in good_s.items())


@pytest.mark.parametrize(
    "guarded", [pytest.param(True, id="guard"), pytest.param(False, id="no-guard")]
)
def test_share_does_not_cover_a_domain_added_after_the_request(
    guarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A domain gets its first witnesses while an answer is in transit.

    The common value of the answer is for the domains that both hosts held at the time
    of the request. If it were applied to all domains known on arrival, it would give a
    right to the new domain's servers that none of its witnesses has confirmed.
    """
    if not guarded:
        # The set of domains in the request grows with the tables.
        monkeypatch.setattr(
            Tables, "witnessed", lambda tables: tables._witnesses.keys()
        )
    shared = shared_rights(["a", "b"], {"a": 0.3, "b": 0.3})
    assert ("late" not in shared) is guarded


def test_share_repeated_with_all_versions_has_its_own_round() -> None:
    """A request is duplicated; one copy meets other versions, one an equal table.

    Both answers arrive. The second request may cover more domains, and the answer to
    the first must not be applied to these.
    """
    tables = tables_at(2)
    rights = Rights()
    first = rights.open_share(tables=tables, now_s=10.0)
    tables.install(Item("witnesses/late", 1, b"\x91\x90"))
    wanted = VersionsWanted(domain=None, round=first, is_share=True)
    again = rights.ask_fully(wanted, tables)
    assert again is not None and again.round != first
    rights.hear_share(ShareAnswer(round=first, good_s={}, others_s=0.3))
    assert rights.until_s("late") < 10.0
    rights.hear_share(ShareAnswer(round=again.round, good_s={}, others_s=0.3))
    assert rights.until_s("late") == pytest.approx(10.3)
