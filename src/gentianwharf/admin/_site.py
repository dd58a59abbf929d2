"""The admin port's site, which keeps only so much of a request's body."""

from io import BytesIO
from typing import final

from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from ._replies import ProblemType, reply_problem

MOST_BODY_BYTES = 1024 * 1024
"""Four times the largest rule document: comments and indentation take room."""


@final
class _BoundedBody(BytesIO):
    """Drops what goes beyond the limit.

    The request's own class would gather a body of any size in memory or in a file;
    the hosts have no disks, and an endless upload would end the daemon.
    """

    overflowed = False

    def write(self, data: object) -> int:
        chunk = bytes(data)  # type: ignore[call-overload]
        if self.tell() + len(chunk) > MOST_BODY_BYTES:
            self.overflowed = True
            return len(chunk)
        return super().write(chunk)


class _AdminRequest(Request):
    """A request whose body is bounded."""

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        self.content = _BoundedBody()

    def process(self) -> None:
        if isinstance(self.content, _BoundedBody) and self.content.overflowed:
            body = reply_problem(
                self,
                ProblemType.TOO_LARGE,
                f"the body is larger than {MOST_BODY_BYTES} bytes",
            )
            self.write(body)
            self.finish()
            return
        super().process()


def admin_site(resource: Resource) -> Site:
    """Return the site to listen with."""
    return Site(resource, requestFactory=_AdminRequest)
