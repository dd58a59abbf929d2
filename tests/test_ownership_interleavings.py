"""A Hypothesis state machine: one owner at every step under combined faults.

Each fault ends by itself after a while, so that faults overlap and moves still take
place between them.
"""

from collections.abc import Callable

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from tests.builders_ownership import SERVICE, STORE, FakeServer, World

DOMAINS = ["lac", "charguia", "ariana"]
HOSTS = [f"{domain}-{n}" for domain in DOMAINS for n in (1, 2, 3)]
SERVERS = [f"{SERVICE}-{domain}-{n}" for domain in DOMAINS for n in (1, 2)]
SHARDS = 4
KEYS = ["faculte-des-sciences", "round-rock"]
lasts = st.sampled_from([0.05, 0.3, 0.45, 0.8, 1.5, 4.0])
shards = st.integers(0, SHARDS - 1)
hosts = st.sampled_from(HOSTS)


class OwnershipMachine(RuleBasedStateMachine):
    """Applies faults in any order, also several at a time, under steady requests."""

    @initialize(
        seed=st.integers(0, 2**32),
        stamps=st.booleans(),
        delay_share=st.sampled_from([0.0, 0.05]),
        double_share=st.sampled_from([0.0, 0.1]),
    )
    def start(
        self, seed: int, stamps: bool, delay_share: float, double_share: float
    ) -> None:
        """Start a world and wait until it serves all shards."""
        self.world = World(
            seed=seed,
            shards=SHARDS,
            drift=0.01,
            knows_validity=stamps,
            gives_stamp=stamps,
            deadline_cap_s=2.0,
        )
        self.world.settle()
        self.world.delay_share = delay_share
        self.world.double_share = double_share

    def later(self, delay_s: float, act: Callable[[], None]) -> None:
        """Schedule the end of a fault."""
        self.world.clock.callLater(delay_s, act)

    def owner(self, shard: int) -> FakeServer:
        """Return the owner of a shard."""
        return self.world.servers[self.world.owner(shard)]

    @rule(duration_s=st.sampled_from([0.02, 0.1, 0.5, 1.5]))
    def pass_time(self, duration_s: float) -> None:
        """Send requests for a while."""
        self.world.traffic(duration_s)

    @rule(shard=shards, lasts_s=lasts)
    def freeze_owner(self, shard: int, lasts_s: float) -> None:
        """Freeze a server; it resumes later with its state and buffers."""
        found = self.owner(shard)
        if not found.frozen:
            found.frozen = True
            self.later(lasts_s, found.thaw)

    @rule(shard=shards, lasts_s=lasts)
    def lose_owner(self, shard: int, lasts_s: float) -> None:
        """Lose a server; it restarts later without state."""
        found = self.owner(shard)
        if not found.lost:
            found.lost = True
            self.later(lasts_s, found.cold_start)

    @rule(shard=shards, lasts_s=lasts)
    def drain_owner(self, shard: int, lasts_s: float) -> None:
        """Drain a server for a while."""
        found = self.owner(shard)
        found.draining = True
        self.later(lasts_s, lambda: setattr(found, "draining", False))

    def pause(self, host: str, lasts_s: float) -> None:
        """Pause a host."""
        found = self.world.hosts.get(host)
        if found is not None and not found.clock.paused:
            found.clock.paused = True
            self.later(lasts_s, found.clock.resume)

    @rule(host=hosts, lasts_s=lasts)
    def pause_host(self, host: str, lasts_s: float) -> None:
        """Pause any host."""
        self.pause(host, lasts_s)

    @rule(lasts_s=lasts)
    def pause_control_holder(self, lasts_s: float) -> None:
        """Pause the host that orders moves."""
        for host, found in list(self.world.hosts.items()):
            if found.system.state().controls:
                self.pause(host, lasts_s)

    @rule(host=hosts)
    def restart_host(self, host: str) -> None:
        """Restart a host without state."""
        self.world.start_host(host)

    @rule(
        one=st.sampled_from(HOSTS + DOMAINS),
        other=st.sampled_from([*HOSTS, *DOMAINS, STORE]),
        lasts_s=lasts,
    )
    def cut(self, one: str, other: str, lasts_s: float) -> None:
        """Cut the connection between two hosts, domains or the store."""
        pair = frozenset((one, other))
        if len(pair) == 2 and pair not in self.world.cuts:
            self.world.cuts.add(pair)
            self.later(lasts_s, lambda: self.world.cuts.discard(pair))

    @rule(lasts_s=lasts)
    def store_down(self, lasts_s: float) -> None:
        """Make the store unavailable for a while."""
        self.world.store.down = True
        self.later(lasts_s, lambda: setattr(self.world.store, "down", False))

    @rule(count=st.integers(1, 3))
    def lose_answers(self, count: int) -> None:
        """Apply the next writes, but lose their answers."""
        self.world.store.lose_answers = count

    @rule(shard=shards, server=st.sampled_from(SERVERS))
    def move(self, shard: int, server: str) -> None:
        """Ask for a planned move."""
        for host in self.world.hosts.values():
            if host.system.state().controls and not host.clock.paused:
                host.system.move(SERVICE, shard, server)

    @rule(key=st.sampled_from(KEYS), server=st.sampled_from(["", *SERVERS]))
    def pin(self, key: str, server: str) -> None:
        """Pin a key to a server, or remove the pin."""
        for host in self.world.hosts.values():
            if host.system.state().controls and not host.clock.paused:
                host.system.pin(SERVICE, key, server)

    @rule(key=st.sampled_from(KEYS))
    def send_for_key(self, key: str) -> None:
        """Send requests for a key for a while."""
        self.world.key_traffic(key, 0.1)


OwnershipMachine.TestCase.settings = settings(
    max_examples=25,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
test_one_owner_whatever_fails = OwnershipMachine.TestCase
