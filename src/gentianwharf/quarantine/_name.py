"""What identifies a request that comes again."""

from dataclasses import dataclass
from hashlib import blake2b
from typing import final

DIGEST_BYTES = 16

MAX_PREFIX_BYTES = 16_384
"""Only the begin of a body is a part of the name. A longer body can't be kept until its
name is known."""

UNKNOWN_LENGTH = -1


def head_digest(
    *, method: bytes, host: bytes, target: bytes, caller: str, body_length: int | None
) -> bytes:
    """Return a digest of what is known of a request before its body arrives.

    ``target`` includes the query, ``body_length`` is in bytes and None for a body that
    states no length.

    >>> first = head_digest(
    ...     method=b"GET", host=b"h", target=b"/a", caller="10.1.0.1", body_length=0)
    >>> other = head_digest(
    ...     method=b"GET", host=b"h", target=b"/a", caller="10.1.0.2", body_length=0)
    >>> len(first), first == other
    (16, False)
    """
    length = UNKNOWN_LENGTH if body_length is None else body_length
    digest = blake2b(digest_size=DIGEST_BYTES)
    for field in (method, host, target, caller.encode(), b"%d" % length):
        digest.update(b"%d:" % len(field))
        digest.update(field)
    return digest.digest()


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RequestName:
    """A request's name: a digest of its head, and one of its head and its body."""

    head: bytes
    digest: bytes

    def __str__(self) -> str:
        return self.digest.hex()


@final
class BodyPrefix:
    """A running digest of the first ``MAX_PREFIX_BYTES`` of a body.

    >>> prefix = BodyPrefix()
    >>> prefix.update(b"some bytes")
    >>> prefix.is_full
    False
    """

    def __init__(self) -> None:
        self._digest = blake2b(digest_size=DIGEST_BYTES)
        self._missing_bytes = MAX_PREFIX_BYTES

    @property
    def is_full(self) -> bool:
        """Whether further bytes change nothing."""
        return not self._missing_bytes

    def update(self, data: bytes) -> None:
        """Add bytes of the body."""
        if not self._missing_bytes:
            return
        if len(data) > self._missing_bytes:
            data = data[: self._missing_bytes]
        self._missing_bytes -= len(data)
        self._digest.update(data)

    def name(self, head: bytes) -> RequestName:
        """Return the name of the request with this head."""
        digest = blake2b(head, digest_size=DIGEST_BYTES)
        digest.update(self._digest.digest())
        return RequestName(head=head, digest=digest.digest())
