"""What a connection that is opened for this purpose tells about a server."""

from dataclasses import dataclass
from enum import StrEnum
from typing import final


class ProbeResult(StrEnum):
    """What became of a connection that was opened to find out about a server."""

    OPENED = "opened"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectProbe:
    """What such a connection told."""

    result: ProbeResult
