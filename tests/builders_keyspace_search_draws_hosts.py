"""Faults of hosts."""

from tests.builders_keyspace_search_draws import Draws, Kind


class HostDraws(Draws):
    """Hosts that are paused, killed or stopped."""

    def kinds(self) -> list[Kind]:
        """Return all kinds."""
        return [
            self._pause_host,
            self._pause_on_renewal,
            self._kill_host,
            self._resign,
            self._resign_on_gain,
            self._race_leaders,
        ]

    def _pause_host(self) -> None:
        delay_s = self.rng.choice([0.0, 0.0005, 0.05 * self.rng.random()])
        self.clock.callLater(
            delay_s, self.world.pause, self.world.draw_host(leader=0.7)
        )

    def _pause_on_renewal(self) -> None:
        self.world.is_pausing_on_renewal = True

    def _kill_host(self) -> None:
        self.world.end_host(self.world.draw_host())

    def _resign(self) -> None:
        self.world.stop_host(self.world.draw_host(leader=0.8))

    def _resign_on_gain(self) -> None:
        self.world.resigns_on_gain = 1

    def _race_leaders(self) -> None:
        self.world.resigns_on_gain = self.rng.choice([1, 2])
        self._resign()
