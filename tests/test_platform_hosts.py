"""The contract of ``HostList``: in memory, over HTTP, or ``--hosts-bench``.

A bench has ``hosts``, ``run(coroutine)``, ``close()``, and ``put(listed)`` and
``remove(id)``, after which the list shows the change, however long that takes.
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
    """The list in memory, which lags on a virtual clock."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.memory = MemoryHostList(clock=self.clock, lag_s=LAG_S)
        self.hosts: HostList = self.memory
        self.run: Callable[[Coroutine[Any, Any, Any]], Any] = run_now

    def put(self, listed: ListedHost) -> None:
        """Change a line and wait until it shows."""
        self.memory.put(listed)
        self.clock.advance(LAG_S)

    def remove(self, host_id: str) -> None:
        """Take a line away and wait until that shows."""
        self.memory.remove(host_id)
        self.clock.advance(LAG_S)

    def close(self) -> None:
        """Nothing is open."""


class HttpHosts(MemoryHosts):
    """The same behind the stand-in's HTTP side."""

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
    made = hosts_bench_class()
    yield made
    made.close()


def listed(bench: MemoryHosts) -> dict[str, ListedHost]:
    return {one.id: one for one in bench.run(bench.hosts.read())}


def test_list_shows_who_joins_leaves_and_is_gone(bench: MemoryHosts) -> None:
    bench.put(listed_host("lac-1"))
    bench.put(listed_host("lac-2"))
    assert listed(bench) == {one: listed_host(one) for one in ("lac-1", "lac-2")}
    bench.put(listed_host("lac-1", leaving=True))
    assert listed(bench)["lac-1"].leaving
    bench.remove("lac-1")
    assert list(listed(bench)) == ["lac-2"]


def test_empty_list_is_a_list(bench: MemoryHosts) -> None:
    assert bench.run(bench.hosts.read()) == []


@pytest.mark.parametrize("make", HOSTS_BENCHES)
def test_stand_in_lags(make: type[MemoryHosts]) -> None:
    bench = make()
    bench.memory.put(listed_host("lac-1"))
    assert listed(bench) == {}
    bench.clock.advance(LAG_S)
    assert list(listed(bench)) == ["lac-1"]
    bench.close()
