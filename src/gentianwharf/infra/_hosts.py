"""The platform's list of live and leaving hosts, which lags behind the truth."""

from dataclasses import dataclass
from typing import Protocol, final


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ListedHost:
    """One line of the list: an entry host or a backend server's host."""

    id: str
    domain: str
    address: str
    leaving: bool


class HostList(Protocol):
    """The list as this project uses it."""

    async def read(self) -> list[ListedHost]:
        """Return the hosts that the platform believes to be live."""
