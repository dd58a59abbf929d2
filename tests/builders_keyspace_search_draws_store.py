"""Faults of the store, and of one host's calls to it."""

from tests.builders_keyspace_search_draws import Draws, Kind
from tests.builders_keyspace_search_hosts import SearchHost
from tests.builders_keyspace_search_store import StoreFaults


class StoreDraws(Draws):
    """Faults of the store as a whole, or of one host's calls."""

    def kinds(self) -> list[Kind]:
        """Return all kinds, some of them more than once."""
        return [
            self._stop_store,
            self._slow_store,
            self._lose_store_answers,
            self._write_late,
            self._lose_claims,
            self._answer_claims_late,
            self._cut_host_off,
            self._cut_host_off,
            self._turn_host_away,
            self._delay_news,
            self._drop_history,
            self._fail_tables,
        ]

    def _stop_store(self) -> None:
        store, rng = self.store, self.rng
        if store.is_down:
            return
        store.stop()
        pauses_leases = rng.random() < 0.5

        def heal() -> None:
            store.start(pauses_leases=pauses_leases)
            self.world.spread_news()

        self.world.last(rng.uniform(0.3, rng.choice([2.0, 9.0])), heal)

    def _slow_store(self) -> None:
        self.world.store_faults.is_slow = True
        self.world.last(self.rng.uniform(1.0, 8.0), self._hasten_store)

    def _hasten_store(self) -> None:
        self.world.store_faults.is_slow = False

    def _lose_store_answers(self) -> None:
        faults = self.rng.choice(
            [self.world.store_faults, self.world.draw_host().store.own]
        )
        faults.loses_answers = self.rng.choice([0.3, 0.8])

        def heal() -> None:
            faults.loses_answers = 0.0

        self.world.last(self.rng.uniform(0.5, 6.0), heal)

    def _write_late(self) -> None:
        self.world.store_faults.writes_late = self.rng.choice([0.3, 0.8])

        def heal() -> None:
            self.world.store_faults.writes_late = 0.0

        self.world.last(self.rng.uniform(0.5, 6.0), heal)

    def _lose_claims(self) -> None:
        faults = self.rng.choice(
            [self.world.store_faults, self.world.draw_host(leader=0.0).store.own]
        )
        self.lose_claims_of(faults, self.rng.uniform(2.0, 10.0))

    def lose_claims_of(self, faults: StoreFaults, duration_s: float) -> None:
        faults.loses_claims = self.rng.choice([0.5, 1.0])

        def heal() -> None:
            faults.loses_claims = 0.0

        self.world.last(duration_s, heal)

    def _cut_host_off(self) -> None:
        longest_s = self.rng.choice([3.0, 12.0])
        self.cut_store(
            self.world.draw_host(leader=0.7), self.rng.uniform(0.5, longest_s)
        )

    def cut_store(self, host: SearchHost, duration_s: float) -> None:
        own = host.store.own
        is_one_way = self.rng.random() < 0.3
        own.is_cut, own.loses_all_answers = not is_one_way, is_one_way

        def heal() -> None:
            own.is_cut = own.loses_all_answers = False
            self.world.spread_news()

        self.world.last(duration_s, heal)

    def _turn_host_away(self) -> None:
        self.turn_away(self.world.draw_host(), self.rng.uniform(0.5, 6.0))

    def turn_away(self, host: SearchHost, duration_s: float) -> None:
        own = host.store.own
        own.turns_away = True

        def heal() -> None:
            own.turns_away = False
            self.world.spread_news()

        self.world.last(duration_s, heal)

    def _delay_news(self) -> None:
        own = self.world.draw_host(leader=0.2).store.own
        own.news_late_s = 2.0

        def heal() -> None:
            own.news_late_s = 0.0

        self.world.last(self.rng.uniform(1.0, 10.0), heal)

    def _fail_tables(self) -> None:
        own = self.world.draw_host().store.own
        own.serves_no_tables = True

        def heal() -> None:
            own.serves_no_tables = False

        self.world.last(self.rng.uniform(0.5, 5.0), heal)

    def start_store_with_leases(self) -> None:
        self.store.start(pauses_leases=True)
        self.world.spread_news()

    def _drop_history(self) -> None:
        """Let one host, or all of them, read all items anew."""
        hosts = self.rng.choice(
            [[self.world.draw_host()], [*self.world.hosts.values()]]
        )
        faults = [host.store.own for host in hosts]
        for own in faults:
            own.drops_history = self.rng.choice([0.3, 1.0])

        def heal() -> None:
            for own in faults:
                own.drops_history = 0.0

        self.world.last(self.rng.uniform(0.5, 10.0), heal)

    def _answer_claims_late(self) -> None:
        own = self.world.draw_host(leader=0.0).store.own
        own.answers_claims_late = self.rng.choice([0.5, 1.0])

        def heal() -> None:
            own.answers_claims_late = 0.0

        self.world.last(self.rng.uniform(2.0, 10.0), heal)
