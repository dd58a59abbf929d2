"""Records of what servers held, for the soak's check of two holders."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, final

from soak._disruptions import Disruptions
from soak._owner_checks import find_shared_keys

from gentianwharf.platform.standin import HoldChange

FIRST, LAST = 100, 199
HOSTS = ("host-0", "host-1")


def hold(
    server: str,
    *,
    token: int,
    at_s: float,
    until_s: float,
    arrived_s: float | None = None,
    born_ms: int = 1,
    shards: tuple[int, int] = (FIRST, LAST),
    service: str = "calendar",
) -> HoldChange:
    """Return a grant; a release if ``until_s`` is 0; late if ``arrived_s`` is given."""
    return HoldChange(
        server=server,
        service=service,
        born_ms=born_ms,
        first=shards[0],
        last=shards[1],
        token=token,
        arrived_s=at_s if arrived_s is None else arrived_s,
        carried_out_s=at_s,
        until_s=until_s,
        is_late=arrived_s is not None,
    )


def run(server: str, *, at_s: float, shard: int = FIRST) -> Mapping[str, Any]:
    """Return a request that a server began."""
    return {"server": server, "shard": shard, "begun_s": at_s}


@final
@dataclass(kw_only=True)
class Held:
    """What a run of the soak has recorded."""

    now_s: float = 0.0
    ends_s: dict[str, list[float]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.disruptions = Disruptions(now_s=lambda: self.now_s)

    def disrupt(self, subject: str, begun_s: float, ended_s: float) -> None:
        """Disrupt something for a time."""
        self.now_s = begun_s
        self.disruptions.begin(subject)
        self.now_s = ended_s
        self.disruptions.end(subject)

    def broken(
        self, changes: Iterable[HoldChange], runs: Iterable[Mapping[str, Any]] = ()
    ) -> list[str]:
        """Return the lines of the check."""
        return find_shared_keys(
            list(changes), list(runs), self.ends_s, HOSTS, self.disruptions
        )
