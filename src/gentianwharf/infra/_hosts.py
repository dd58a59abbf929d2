"""The platform's list of live and leaving hosts, which may be out of date."""

from dataclasses import dataclass
from typing import Protocol, final


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ListedHost:
    """An entry of the list: an entry host or the host of a backend server."""

    id: str
    domain: str
    address: str
    leaving: bool


class HostList(Protocol):
    """The interface to the list that this project uses."""

    async def read(self) -> list[ListedHost]:
        """Return the hosts that the platform lists as live or leaving."""
