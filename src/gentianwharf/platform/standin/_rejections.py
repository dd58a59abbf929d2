"""Requests that a stand-in server answers without running them."""

from dataclasses import dataclass
from random import Random
from typing import final

from twisted.web.server import Request

STATUS_SERVER_ERROR = 500
STATUS_UNAVAILABLE = 503


@final
@dataclass(kw_only=True, slots=True)
class Rejections:
    """Which requests with ``part`` in their target are rejected, drawn from ``rng``.

    ``refused_share`` of them is refused as if the server were full, ``failed_share``
    answered as by a faulty one, which does not say that they have not run.
    """

    part: bytes
    rng: Random
    refused_share: float = 0.0
    failed_share: float = 0.0

    def status(self, request: Request) -> int:
        """Return the status of a request that is not run, 0 if it is run."""
        if self.part not in request.uri:
            return 0
        drawn = self.rng.random()
        if drawn < self.refused_share:
            return STATUS_UNAVAILABLE
        if drawn < self.refused_share + self.failed_share:
            return STATUS_SERVER_ERROR
        return 0
