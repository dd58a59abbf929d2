"""Builders for platform tests: event loops, coroutine results and store benches."""

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

MAX_ITERATIONS = 20_000
"""Ends a test that hangs; an idle loop takes about 100 s for them."""


@final
class Loop:
    """A separate event loop, so that a test with sockets leaves none of them open."""

    def __init__(self) -> None:
        self.reactor = EPollReactor()
        self.reactor.startRunning(installSignalHandlers=False)

    def run(self, coroutine: Coroutine[Any, Any, Result]) -> Result:
        """Run the loop until the coroutine ends; return its result or raise."""
        done = Deferred.fromCoroutine(coroutine)
        self.run_until(lambda: done.called)
        return result_of(done)

    def run_until(self, condition: Any) -> None:
        """Run the loop until ``condition()`` is true."""
        for _ in range(MAX_ITERATIONS):
            if condition():
                return
            self.reactor.iterate(0.005)
        raise AssertionError("the condition did not come true")

    def listen(self, site: Any) -> str:
        """Listen on a free loopback port and return ``ip:port``."""
        port = self.reactor.listenTCP(0, site, interface="127.0.0.1")
        return f"127.0.0.1:{port.getHost().port}"

    def free_address(self) -> str:
        """Return an ``ip:port`` on which no process listens at the moment."""
        port = self.reactor.listenTCP(0, Factory(), interface="127.0.0.1")
        address = f"127.0.0.1:{port.getHost().port}"
        port.stopListening()
        self.reactor.iterate(0)
        return address

    def close(self) -> None:
        """Stop the loop and close its sockets."""
        self.reactor.fireSystemEvent("shutdown")
        for reader in self.reactor.removeAll():
            reader.connectionLost(None)


def result_of(done: "Deferred[Result]") -> Result:
    """Return the result of a fired ``Deferred``, or raise its error."""
    results: list[Result] = []
    failures: list[Any] = []
    done.addCallbacks(results.append, failures.append)
    if failures:
        failures[0].raiseException()
    assert results, "the Deferred has not fired"
    return results[0]


def run_now(coroutine: Coroutine[Any, Any, Result]) -> Result:
    """Return the result of a coroutine that ends without waiting."""
    return result_of(Deferred.fromCoroutine(coroutine))


@final
class MemoryBench:
    """An in-memory store behind a fault table, on a virtual clock."""

    def __init__(self, *, faults: tuple[Fault, ...] = ()) -> None:
        self.clock = Clock()
        self.inner = MemoryStore(clock=self.clock)
        self.store = FaultyStore(
            store=self.inner, clock=self.clock, rng=Random(1), faults=faults
        )

    def run(self, coroutine: Coroutine[Any, Any, Result]) -> Result:
        """Run a coroutine for up to a minute of virtual time."""
        done = Deferred.fromCoroutine(coroutine)
        for _ in range(600):
            if done.called:
                break
            self.clock.advance(0.1)
        return result_of(done)

    def pass_time(self, duration_s: float) -> None:
        """Advance the virtual clock."""
        self.clock.advance(duration_s)

    def close(self) -> None:
        """Do nothing, since no socket is open."""


@final
class HttpBench:
    """The same store behind the stand-in's HTTP interface, on real sockets.

    The store runs on virtual time, so that leases expire without waiting. ``pass_time``
    shortens the watches that a test waits for.
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
        """Run a coroutine on sockets while advancing the store's clock."""
        done = Deferred.fromCoroutine(coroutine)

        def is_done() -> bool:
            self.clock.advance(0.005)
            return bool(done.called)

        self._loop.run_until(is_done)
        return result_of(done)

    def pass_time(self, duration_s: float) -> None:
        """Advance the store's clock."""
        self.clock.advance(duration_s)

    def close(self) -> None:
        """Close every socket."""
        self._loop.run(self.store.close())
        self._loop.close()


def listed_host(name: str = "lac-1", *, leaving: bool = False) -> ListedHost:
    """Build an entry of the host list."""
    return ListedHost(id=name, domain="lac", address="127.0.0.1:1", leaving=leaving)
