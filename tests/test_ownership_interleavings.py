"""One owner at every step, whatever fails together: a Hypothesis state machine."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from tests.builders_ownership import SERVICE, STORE, World

HOSTS = [f"{domain}-{n}" for domain in ("lac", "charguia", "ariana") for n in (1, 2, 3)]
SERVERS = [
    f"{SERVICE}-{domain}-{n}"
    for domain in ("lac", "charguia", "ariana")
    for n in (1, 2)
]
DOMAINS = ["lac", "charguia", "ariana"]
SHARDS = 4


class OwnershipMachine(RuleBasedStateMachine):
    """Faults in any order, two and more at a time, under steady requests."""

    @initialize(
        seed=st.integers(0, 2**32),
        stamps=st.booleans(),
        delay_share=st.sampled_from([0.0, 0.1]),
        double_share=st.sampled_from([0.0, 0.1]),
    )
    def start(
        self, seed: int, stamps: bool, delay_share: float, double_share: float
    ) -> None:
        self.world = World(
            seed=seed,
            shards=SHARDS,
            drift=0.01,
            knows_validity=stamps,
            gives_stamp=stamps,
        )
        self.world.settle()
        self.world.delay_share = delay_share
        self.world.double_share = double_share

    @rule(duration_s=st.sampled_from([0.02, 0.1, 0.5, 1.5]))
    def pass_time(self, duration_s: float) -> None:
        self.world.traffic(duration_s)

    @rule(server=st.sampled_from(SERVERS))
    def freeze_or_thaw(self, server: str) -> None:
        found = self.world.servers[server]
        if found.frozen:
            found.thaw()
        else:
            found.frozen = True

    @rule(server=st.sampled_from(SERVERS))
    def lose_or_start_cold(self, server: str) -> None:
        found = self.world.servers[server]
        if found.lost:
            found.cold_start()
        found.lost = not found.lost

    @rule(server=st.sampled_from(SERVERS))
    def drain_or_undrain(self, server: str) -> None:
        found = self.world.servers[server]
        found.draining = not found.draining

    @rule(host=st.sampled_from(HOSTS))
    def pause_or_resume(self, host: str) -> None:
        found = self.world.hosts.get(host)
        if found is not None and found.clock.paused:
            found.clock.resume()
        elif found is not None:
            found.clock.paused = True

    @rule(host=st.sampled_from(HOSTS))
    def restart_host(self, host: str) -> None:
        self.world.start_host(host)

    @rule(one=st.sampled_from(HOSTS + DOMAINS), other=st.sampled_from([*HOSTS, STORE]))
    def cut(self, one: str, other: str) -> None:
        self.world.cut(one, other)

    @rule(place=st.sampled_from(HOSTS + DOMAINS))
    def cut_off(self, place: str) -> None:
        self.world.cut_off(place)

    @rule()
    def heal(self) -> None:
        self.world.cuts.clear()

    @rule()
    def store_down_or_up(self) -> None:
        self.world.store.down = not self.world.store.down

    @rule(count=st.integers(1, 3))
    def lose_answers(self, count: int) -> None:
        self.world.store.lose_answers = count

    @rule(shard=st.integers(0, SHARDS - 1), server=st.sampled_from(SERVERS))
    def move(self, shard: int, server: str) -> None:
        for host in self.world.hosts.values():
            if not host.clock.paused:
                host.system.move(SERVICE, shard, server)
                break


OwnershipMachine.TestCase.settings = settings(
    max_examples=25,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
test_one_owner_whatever_fails = OwnershipMachine.TestCase
