"""The table of entry hosts, as filled from the platform's host list."""

import pytest

from gentianwharf.daemon._hosts import HostTable
from gentianwharf.infra import ListedHost
from gentianwharf.topology import Host
from tests.builders_platform import listed_host

OWN = Host(id="lac-1", domain="lac", peer_address="127.0.0.1:1")


def table() -> HostTable:
    return HostTable(own=OWN, known=(), servers={"calendrier-1"}, now_s=lambda: 0.0)


@pytest.mark.parametrize(
    ("listed", "hosts", "leaving", "servers"),
    [
        pytest.param([], ["lac-1"], [], [], id="empty"),
        pytest.param(
            [listed_host("lac-2")], ["lac-1", "lac-2"], [], [], id="another-host"
        ),
        pytest.param(
            [listed_host("lac-2", leaving=True)], ["lac-1"], ["lac-2"], [], id="leaving"
        ),
        pytest.param(
            [listed_host("lac-1", leaving=True)], ["lac-1"], [], [], id="own-leaving"
        ),
        pytest.param(
            [listed_host("calendrier-1", leaving=True)],
            ["lac-1"],
            [],
            ["calendrier-1"],
            id="server-leaving",
        ),
    ],
)
def test_listed_hosts_and_servers_are_live_or_leaving(
    listed: list[ListedHost], hosts: list[str], leaving: list[str], servers: list[str]
) -> None:
    hosts_table = table()
    hosts_table.apply_list(listed)
    assert sorted(hosts_table.hosts) == hosts
    assert sorted(hosts_table.leaving_hosts) == leaving
    assert sorted(hosts_table.leaving_servers) == servers
    assert hosts_table.daemon_count == len(hosts) + len(leaving)
    assert not hosts_table.apply_list(listed)
