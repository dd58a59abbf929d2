"""The admin port's site, which limits the size of request bodies."""

from io import BytesIO
from typing import final

from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from ._replies import ProblemType, reply_problem

MAX_BODY_BYTES = 1024 * 1024
"""Four times the largest rule document, to allow for comments and indentation."""


@final
class _BoundedBody(BytesIO):
    """Discards the chunks of a body that exceed the limit.

    Twisted's own request class stores a body of any size in memory or in a temporary
    file. The hosts have no disks, so an endless upload would use up the memory and
    end the daemon.
    """

    overflowed = False

    def write(self, data: object) -> int:
        chunk = bytes(data)  # type: ignore[call-overload]
        if self.tell() + len(chunk) > MAX_BODY_BYTES:
            self.overflowed = True
            return len(chunk)
        return super().write(chunk)


class _AdminRequest(Request):
    """A request with a body of limited size."""

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        self.content = _BoundedBody()

    def process(self) -> None:
        if isinstance(self.content, _BoundedBody) and self.content.overflowed:
            body = reply_problem(
                self,
                ProblemType.TOO_LARGE,
                f"the body is larger than {MAX_BODY_BYTES} bytes",
            )
            self.write(body)
            self.finish()
            return
        super().process()


def admin_site(resource: Resource) -> Site:
    """Return the site that the daemon listens with."""
    return Site(resource, requestFactory=_AdminRequest)
