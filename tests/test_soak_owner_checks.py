"""The soak's check that no two servers hold the same keys."""

from collections.abc import Mapping
from typing import Any

import pytest
from soak._disruptions import (
    ALL_SERVER_LINKS,
    SOAK,
    link_of,
    server_links_of,
    standstill_of,
)

from gentianwharf.platform.standin import HoldChange

from .builders_soak_holds import FIRST, LAST, Held, hold, run

THAWED = (
    *(standstill_of("server-1"), standstill_of("host-1")),
    *(link_of("server-1"), server_links_of("host-0"), SOAK),
)


def in_turn() -> list[HoldChange]:
    """Return the grants of keys that move once they are free."""
    return [
        hold("server-0", token=1, at_s=0.0, until_s=4.0),
        hold("server-0", token=1, at_s=2.0, until_s=6.0),
        hold("server-1", token=2, at_s=6.0, until_s=10.0),
    ]


def shared(at_s: float = 3.0, arrived_s: float | None = None) -> list[HoldChange]:
    """Return the grants of keys that two servers hold until 4 s."""
    return [
        hold("server-0", token=1, at_s=0.0, until_s=4.0),
        hold("server-1", token=2, at_s=at_s, until_s=8.0, arrived_s=arrived_s),
    ]


def both_ran(at_s: float = 3.8) -> list[Mapping[str, Any]]:
    """Return a request at each of them."""
    return [run("server-0", at_s=at_s), run("server-1", at_s=at_s, shard=LAST)]


def test_keys_that_move_once_they_are_free_are_in_order() -> None:
    assert not Held().broken(in_turn(), [run("server-0", at_s=1.0)])


def test_keys_that_move_after_their_release_are_in_order() -> None:
    release = hold("server-0", token=1, at_s=1.0, until_s=0.0)
    (grant, other) = shared(at_s=1.1)
    assert not Held().broken([grant, release, other])


def test_part_of_the_keys_may_move_after_its_release() -> None:
    """Guards against releases that count for shards which they don't name."""
    grant, _ = shared()
    release = hold("server-0", token=1, at_s=1.0, until_s=0.0, shards=(FIRST, 149))
    free = hold("server-1", token=2, at_s=1.1, until_s=5.0, shards=(FIRST, 149))
    held = hold("server-1", token=2, at_s=1.1, until_s=5.0, shards=(149, LAST))
    assert not Held().broken([grant, release, free])
    (line,) = Held().broken([grant, release, held])
    assert "shards 150 to 199 at server-0 and server-1 from 1.100 to 4.000" in line


def test_keys_held_by_two_servers_for_long_are_found() -> None:
    (line,) = Held().broken(shared())
    assert line.startswith("OWNER: shards 100 to 199 at server-0 and server-1")
    assert line.endswith("from 3.000 to 4.000, 1.000 s")


def test_keys_that_renewals_share_for_long_are_found() -> None:
    """Guards against spans that are short since each renewal begins one."""
    renewals = [
        hold("server-1", token=2, at_s=3.0 + 0.4 * number, until_s=3.4 + 0.4 * number)
        for number in range(3)
    ]
    (line,) = Held().broken([*shared()[:1], *renewals])
    assert "1.000 s" in line


def test_keys_held_by_two_servers_for_short_need_requests_at_both() -> None:
    held = Held()
    grants = shared(at_s=3.6)
    assert not held.broken(grants)
    assert not held.broken(grants, [run("server-0", at_s=3.8)])
    assert not held.broken(grants, both_ran(at_s=3.5))
    (line,) = held.broken(grants, both_ran())
    assert line.endswith("which began 1 and 1 requests")


def test_requests_on_keys_that_are_shared_no_more_do_not_count() -> None:
    """Guards against requests that count for keys which were shared just before."""
    grants = [
        hold("server-0", token=1, at_s=0.0, until_s=4.0, shards=(FIRST, 149)),
        hold("server-0", token=1, at_s=0.0, until_s=4.3, shards=(150, LAST)),
        hold("server-1", token=2, at_s=3.9, until_s=8.0),
    ]
    ran = run("server-0", at_s=4.2, shard=LAST)
    assert not Held().broken(grants, [ran, run("server-1", at_s=4.2, shard=FIRST)])
    assert Held().broken(grants, [ran, run("server-1", at_s=4.2, shard=LAST)])


def test_services_have_keys_of_their_own() -> None:
    other = hold("server-1", token=2, at_s=1.0, until_s=5.0, service="seats")
    assert not Held().broken([*shared()[:1], other])


def test_server_that_was_killed_holds_nothing() -> None:
    assert not Held(ends_s={"server-0": [2.9]}).broken(shared())
    assert Held(ends_s={"server-0": [4.1]}).broken(shared())


@pytest.mark.parametrize("subject", [*THAWED, ALL_SERVER_LINKS])
def test_grants_held_up_on_their_way_do_not_count_for_the_time(subject: str) -> None:
    held = Held()
    held.disrupt(subject, 1.0, 2.8)
    assert not held.broken(shared())


@pytest.mark.parametrize(
    "subject", [*THAWED, ALL_SERVER_LINKS, standstill_of("server-0"), "store"]
)
def test_only_grants_soon_after_a_thaw_are_excused(subject: str) -> None:
    """Guards against disruptions that excuse what came before or long after them."""
    held = Held()
    held.disrupt(subject, 1.0, 2.6)
    held.disrupt(subject, 3.1, 3.2)
    assert len(held.broken(shared())) == 1


def test_late_grants_do_not_count_for_the_time() -> None:
    assert not Held().broken(shared(arrived_s=0.5))


def test_late_grants_count_for_requests() -> None:
    """Guards against excuses of the one rule that serve for the other."""
    (line,) = Held().broken(shared(arrived_s=0.5), both_ran())
    assert line.endswith("which began 1 and 1 requests")


def test_grants_of_a_thawed_host_do_not_count_for_requests() -> None:
    held = Held()
    held.disrupt(standstill_of("host-0"), 1.0, 2.8)
    assert not held.broken(shared(), both_ran())


def test_grants_that_a_thawed_server_takes_count_for_requests() -> None:
    held = Held()
    held.disrupt(standstill_of("server-1"), 1.0, 2.8)
    assert len(held.broken(shared(), both_ran())) == 1


@pytest.mark.parametrize("token", [1, 2], ids=["lower", "equal"])
def test_token_that_is_not_above_all_others_is_found(token: int) -> None:
    grants = [
        hold("server-0", token=2, at_s=0.0, until_s=4.0),
        hold("server-1", token=token, at_s=5.0, until_s=9.0),
    ]
    (line,) = Held().broken(grants)
    assert f"went to server-1 with fence {token} at 5.000, server-0 had had" in line


def test_same_grant_again_may_have_a_lower_token() -> None:
    again = hold("server-0", token=1, at_s=11.0, until_s=15.0)
    assert not Held().broken([*in_turn(), again])
    reborn = hold("server-0", token=1, at_s=11.0, until_s=15.0, born_ms=2)
    assert not Held().broken([*in_turn(), reborn])


def test_grant_whose_time_has_passed_takes_no_key() -> None:
    late = hold("server-2", token=1, at_s=11.0, until_s=10.0, arrived_s=6.0)
    assert not Held().broken([*in_turn(), late])


@pytest.mark.parametrize("subject", ["server-1", "host-0"])
def test_start_of_a_program_excuses_nothing(subject: str) -> None:
    """Guards against old renewals that don't count since their server just started."""
    held = Held()
    held.disrupt(subject, 1.0, 2.9)
    (line,) = held.broken(shared())
    assert line.endswith("1.000 s")


def reborn(*, token: int = 1) -> list[HoldChange]:
    """Return how a life of server-0 takes a key that server-1 has got since."""
    return [
        hold("server-0", token=1, at_s=0.0, until_s=4.0),
        hold("server-0", token=2, at_s=1.0, until_s=0.0),
        hold("server-1", token=2, at_s=1.1, until_s=9.0),
        hold("server-0", token=token, at_s=2.2, until_s=12.2, born_ms=2),
    ]


def test_next_life_that_takes_released_keys_is_found() -> None:
    """Guards against a server whose new life may hold what its former one released."""
    (line,) = Held(ends_s={"server-0": [2.0]}).broken(reborn())
    assert "at server-0 and server-1 from 2.200 to 9.000, 6.800 s" in line


def test_next_life_holds_until_its_own_end() -> None:
    """Guards against ends of a server that count for one of its lives alone."""
    held = Held(ends_s={"server-0": [2.0, 2.05, 2.5]})
    assert not held.broken(reborn())
    both = [run("server-0", at_s=2.3), run("server-1", at_s=2.3, shard=LAST)]
    (line,) = held.broken(reborn(), both)
    assert "from 2.200 to 2.500, which began 1 and 1 requests" in line


def test_next_life_holds_nothing_of_the_former_one() -> None:
    """Guards against renewals that count from the beginning of another life."""
    grants = [
        hold("server-0", token=1, at_s=0.0, until_s=4.0),
        hold("server-1", token=2, at_s=2.1, until_s=3.0),
        hold("server-0", token=3, at_s=3.1, until_s=5.0, born_ms=2),
    ]
    assert not Held(ends_s={"server-0": [2.0]}).broken(grants)
    assert Held(ends_s={"server-0": [2.8]}).broken(grants)


def test_lives_of_one_server_are_compared() -> None:
    """Guards against two processes of one id that hold the same keys."""
    grants = [
        hold("server-0", token=1, at_s=0.0, until_s=4.0),
        hold("server-0", token=2, at_s=3.0, until_s=5.0, born_ms=2),
    ]
    (line,) = Held().broken(grants)
    assert "at server-0 and server-0 from 3.000 to 4.000" in line
    assert not Held(ends_s={"server-0": [2.0]}).broken(grants)


def test_next_life_with_another_token_has_to_have_the_highest() -> None:
    """Guards against lower tokens that count as the same grant again."""
    grants = [
        *reborn()[:2],
        hold("server-1", token=3, at_s=1.1, until_s=2.1),
        hold("server-0", token=2, at_s=2.2, until_s=12.2, born_ms=2),
    ]
    (line,) = Held(ends_s={"server-0": [2.0]}).broken(grants)
    assert (
        "went to server-0 with fence 2 at 2.200, server-1 had had them with 3" in line
    )


def test_new_life_with_a_token_below_that_of_the_former_one_is_found() -> None:
    grants = [
        hold("server-0", token=2, at_s=0.0, until_s=4.0),
        hold("server-0", token=1, at_s=5.0, until_s=9.0, born_ms=2),
    ]
    assert len(Held(ends_s={"server-0": [4.5]}).broken(grants)) == 1
