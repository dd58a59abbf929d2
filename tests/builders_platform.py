"""Builders for tests of the platform: loops, coroutines, stores in two shapes."""

from collections.abc import Coroutine
from random import Random
from typing import Any, TypeVar, final

from twisted.internet.defer import Deferred
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.protocol import Factory
from twisted.internet.task import Clock
from twisted.web.server import Site

from gentianwharf.infra import (
    Fault,
    FaultyStore,
    HttpStore,
    ListedHost,
    MemoryHostList,
    MemoryStore,
)
from gentianwharf.standin import StoreApp

Result = TypeVar("Result")

MOST_ITERATIONS = 20_000
"""A hundred seconds when nothing happens: a test that hangs ends."""


@final
class Loop:
    """An event loop of its own, so that a test with sockets leaves nothing behind."""

    def __init__(self) -> None:
        self.reactor = EPollReactor()
        self.reactor.startRunning(installSignalHandlers=False)

    def run(self, coroutine: Coroutine[Any, Any, Result]) -> Result:
        """Run the loop until the coroutine is done; return or raise what it gave."""
        done = Deferred.fromCoroutine(coroutine)
        self.run_until(lambda: done.called)
        return result_of(done)

    def run_until(self, condition: Any) -> None:
        """Run the loop until ``condition()`` holds."""
        for _ in range(MOST_ITERATIONS):
            if condition():
                return
            self.reactor.iterate(0.005)
        raise AssertionError("the condition did not come true")

    def listen(self, site: Any) -> str:
        """Listen on a free loopback port; return ``ip:port``."""
        port = self.reactor.listenTCP(0, site, interface="127.0.0.1")
        return f"127.0.0.1:{port.getHost().port}"

    def free_address(self) -> str:
        """Return an ``ip:port`` that nobody listens on at the moment."""
        port = self.reactor.listenTCP(0, Factory(), interface="127.0.0.1")
        address = f"127.0.0.1:{port.getHost().port}"
        port.stopListening()
        self.reactor.iterate(0)
        return address

    def close(self) -> None:
        """Stop the loop and close every socket of it."""
        self.reactor.fireSystemEvent("shutdown")
        for reader in self.reactor.removeAll():
            reader.connectionLost(None)


def result_of(done: "Deferred[Result]") -> Result:
    """Return what a fired ``Deferred`` holds, or raise its error."""
    results: list[Result] = []
    failures: list[Any] = []
    done.addCallbacks(results.append, failures.append)
    if failures:
        failures[0].raiseException()
    assert results, "it still waits"
    return results[0]


def run_now(coroutine: Coroutine[Any, Any, Result]) -> Result:
    """Return the result of a coroutine that has nothing to wait for."""
    return result_of(Deferred.fromCoroutine(coroutine))


@final
class MemoryBench:
    """A store in memory behind a fault table, on a virtual clock."""

    def __init__(self, *, faults: tuple[Fault, ...] = ()) -> None:
        self.clock = Clock()
        self.inner = MemoryStore(clock=self.clock)
        self.store = FaultyStore(
            store=self.inner, clock=self.clock, rng=Random(1), faults=faults
        )

    def run(self, coroutine: Coroutine[Any, Any, Result]) -> Result:
        """Run a coroutine on the virtual clock, at most a minute of it."""
        done = Deferred.fromCoroutine(coroutine)
        for _ in range(600):
            if done.called:
                break
            self.clock.advance(0.1)
        return result_of(done)

    def pass_time(self, duration_s: float) -> None:
        """Let time pass."""
        self.clock.advance(duration_s)

    def close(self) -> None:
        """Nothing is open."""


@final
class HttpBench:
    """The same behind the stand-in's HTTP side, on real sockets.

    The store keeps virtual time, so that leases lapse without waiting; the watches
    that a test waits out are made short by ``pass_time``.
    """

    def __init__(self, *, faults: tuple[Fault, ...] = ()) -> None:
        self._loop = Loop()
        self.clock = Clock()
        self.inner = MemoryStore(clock=self.clock)
        faulty = FaultyStore(
            store=self.inner, clock=self.clock, rng=Random(1), faults=faults
        )
        app = StoreApp(store=faulty, hosts=MemoryHostList(clock=self.clock))
        site = Site(app.resource(), reactor=self._loop.reactor)
        self.store = HttpStore(
            reactor=self._loop.reactor,
            url=f"http://{self._loop.listen(site)}",
            call_timeout_s=0.5,
        )

    def run(self, coroutine: Coroutine[Any, Any, Result]) -> Result:
        """Run a coroutine on sockets, moving the store's clock along."""
        done = Deferred.fromCoroutine(coroutine)

        def is_done() -> bool:
            self.clock.advance(0.005)
            return bool(done.called)

        self._loop.run_until(is_done)
        return result_of(done)

    def pass_time(self, duration_s: float) -> None:
        """Let the store's time pass."""
        self.clock.advance(duration_s)

    def close(self) -> None:
        """Close every socket."""
        self._loop.run(self.store.close())
        self._loop.close()


def listed_host(name: str = "lac-1", *, leaving: bool = False) -> ListedHost:
    """Build a line of the host list."""
    return ListedHost(id=name, domain="lac", address="127.0.0.1:1", leaving=leaving)
