"""Contract tests of ``HostList``, in memory, over HTTP or for ``--hosts-bench``.

A bench has ``hosts``, ``run(coroutine)``, ``close()``, ``put(listed)`` and
``remove(id)``. The last two return only when the list shows the change.
"""

from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import pytest
from twisted.internet.task import Clock
from twisted.web.server import Site

from gentianwharf.infra import (
    HostList,
    HttpHostList,
    ListedHost,
    MemoryHostList,
    MemoryStore,
)
from gentianwharf.standin import StoreApp

from .builders_platform import Loop, listed_host, run_now

LAG_S = 3.0


class MemoryHosts:
    """An in-memory list, whose changes show after a lag of virtual time."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.memory = MemoryHostList(clock=self.clock, lag_s=LAG_S)
        self.hosts: HostList = self.memory
        self.run: Callable[[Coroutine[Any, Any, Any]], Any] = run_now

    def put(self, listed: ListedHost) -> None:
        """Add or change an entry and wait until the list shows it."""
        self.memory.put(listed)
        self.clock.advance(LAG_S)

    def remove(self, host_id: str) -> None:
        """Remove an entry and wait until the list shows that."""
        self.memory.remove(host_id)
        self.clock.advance(LAG_S)

    def close(self) -> None:
        """Do nothing, since no socket is open."""


class HttpHosts(MemoryHosts):
    """The same list behind the stand-in's HTTP interface."""

    def __init__(self) -> None:
        super().__init__()
        self._loop = Loop()
        app = StoreApp(store=MemoryStore(clock=self.clock), hosts=self.memory)
        site = Site(app.resource(), reactor=self._loop.reactor)
        address = self._loop.listen(site)
        self._adapter = HttpHostList(
            reactor=self._loop.reactor, url=f"http://{address}"
        )
        self.hosts = self._adapter
        self.run = self._loop.run

    def close(self) -> None:
        """Close every socket."""
        self._loop.run(self._adapter.close())
        self._loop.close()


HOSTS_BENCHES = [MemoryHosts, HttpHosts]


@pytest.fixture
def bench(hosts_bench_class: type[MemoryHosts]) -> Iterator[MemoryHosts]:
    bench = hosts_bench_class()
    yield bench
    bench.close()


def read_hosts(bench: MemoryHosts) -> dict[str, ListedHost]:
    return {host.id: host for host in bench.run(bench.hosts.read())}


def test_list_shows_joining_leaving_and_removed_hosts(bench: MemoryHosts) -> None:
    bench.put(listed_host("lac-1"))
    bench.put(listed_host("lac-2"))
    assert read_hosts(bench) == {name: listed_host(name) for name in ("lac-1", "lac-2")}
    bench.put(listed_host("lac-1", leaving=True))
    assert read_hosts(bench)["lac-1"].leaving
    bench.remove("lac-1")
    assert list(read_hosts(bench)) == ["lac-2"]


def test_empty_list_is_read_as_empty(bench: MemoryHosts) -> None:
    assert bench.run(bench.hosts.read()) == []


@pytest.mark.parametrize("make", HOSTS_BENCHES)
def test_stand_in_shows_changes_after_its_lag(make: type[MemoryHosts]) -> None:
    bench = make()
    bench.memory.put(listed_host("lac-1"))
    assert read_hosts(bench) == {}
    bench.clock.advance(LAG_S)
    assert list(read_hosts(bench)) == ["lac-1"]
    bench.close()
