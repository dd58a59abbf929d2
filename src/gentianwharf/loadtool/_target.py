"""Where load may go, and how much: loopback addresses only, bounded in every way.

A load tool that takes any address is one typing mistake away from an attack on
somebody's service.
"""

from dataclasses import dataclass
from ipaddress import ip_address
from typing import final

from gentianwharf.errors import InputError

MOST_REQUESTS = 1_000_000
MOST_RATE_PER_S = 20_000.0
MOST_DURATION_S = 600.0
MOST_CONNECTIONS = 512


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """A loopback address."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Target":
        """Read ``IP:PORT``; raises ``InputError`` for all but loopback.

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
    """How much load a run makes; raises ``InputError`` beyond the limits."""

    rate_per_s: float
    duration_s: float
    connections: int

    def __post_init__(self) -> None:
        limits = (
            ("rate_per_s", self.rate_per_s, MOST_RATE_PER_S),
            ("duration_s", self.duration_s, MOST_DURATION_S),
            ("connections", self.connections, MOST_CONNECTIONS),
            ("rate x duration", self.rate_per_s * self.duration_s, MOST_REQUESTS),
        )
        for name, value, most in limits:
            if not 0 < value <= most:
                raise InputError(
                    f"{name}: expected more than 0 and at most {most:g}, got {value:g}",
                    step="check bounds",
                    peer=name,
                )
