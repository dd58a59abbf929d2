"""Limits on the target and the amount of load.

Only loopback addresses are accepted: with any other, a typing error would send the
load to somebody else's service.
"""

from dataclasses import dataclass
from ipaddress import ip_address
from typing import final

from gentianwharf.errors import InputError

MAX_REQUESTS = 1_000_000
MAX_RATE_PER_S = 20_000.0
MAX_DURATION_S = 600.0
MAX_CONNECTIONS = 512


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """A loopback address."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Target":
        """Read ``IP:PORT``; raises ``InputError`` for any but a loopback address.

        >>> Target.parse("127.0.0.1:8080")
        Target(host='127.0.0.1', port=8080)
        """
        host, _, port = text.rpartition(":")
        host = host.strip("[]")
        try:
            loopback = ip_address(host).is_loopback
        except ValueError:
            loopback = False
        if not loopback or not port.isdigit() or not 0 < int(port) <= 65535:
            raise InputError(
                f"expected a loopback address as IP:PORT (127.0.0.1:8080),"
                f" got {text!r}: this tool sends load nowhere else",
                step="check target",
                peer=text,
            )
        return cls(host=host, port=int(port))


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """The amount of load of a run; raises ``InputError`` beyond the limits."""

    rate_per_s: float
    duration_s: float
    connections: int

    def __post_init__(self) -> None:
        limits = (
            ("rate_per_s", self.rate_per_s, MAX_RATE_PER_S),
            ("duration_s", self.duration_s, MAX_DURATION_S),
            ("connections", self.connections, MAX_CONNECTIONS),
            ("rate x duration", self.rate_per_s * self.duration_s, MAX_REQUESTS),
        )
        for name, value, maximum in limits:
            if not 0 < value <= maximum:
                raise InputError(
                    f"{name}: expected more than 0 and at most {maximum:g},"
                    f" got {value:g}",
                    step="check bounds",
                    peer=name,
                )
