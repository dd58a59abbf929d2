"""The platform's store and host list over HTTP."""

from typing import final
from urllib.parse import urlsplit

from pydantic import BaseModel, TypeAdapter

from ._hosts import ListedHost
from ._http import Answer, HttpAdapter, Reactor
from ._store import StoreLease, VersionedValue
from .wire import (
    HostsAnswer,
    KeyRequest,
    LeaseAnswer,
    LeaseGrantRequest,
    LeaseRequest,
    Nothing,
    PrefixRequest,
    SwapRequest,
    ValuesAnswer,
    WatchRequest,
    WireValue,
)

STORE_PATH = "/v1/store/"
HOSTS_PATH = "/v1/hosts"

CALL_TIMEOUT_S = 2.0
"""The store normally answers within milliseconds. One that takes longer than this is
treated as unreachable, since a longer wait would delay the caller's other work."""

WATCH_TIMEOUT_MARGIN_S = 1.0
"""How long after the end of its wait a watch without an answer times out."""

_VALUES = TypeAdapter(ValuesAnswer)
_VALUE = TypeAdapter(WireValue)
_LEASE = TypeAdapter(LeaseAnswer)
_NOTHING = TypeAdapter(Nothing)
_HOSTS = TypeAdapter(HostsAnswer)


def _peer(url: str) -> str:
    return urlsplit(url).netloc


@final
class HttpStore(HttpAdapter):
    """A ``KeyValueStore`` over HTTP; ``url`` is ``http://IP:PORT``."""

    def __init__(
        self, *, reactor: Reactor, url: str, call_timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        super().__init__(reactor=reactor, call_timeout_s=call_timeout_s)
        self._peer = _peer(url)

    async def get(self, key: str) -> VersionedValue | None:
        """Return the value of ``key``, or None if the key is absent."""
        answer = await self._call("get", KeyRequest(key=key), _VALUES)
        values = answer.to_values()
        return values[0] if values else None

    async def get_many(self, prefix: str) -> list[VersionedValue]:
        """Return every value whose key begins with ``prefix``."""
        answer = await self._call("get-many", PrefixRequest(prefix=prefix), _VALUES)
        return answer.to_values()

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> VersionedValue:
        """Write ``value`` if the key still has ``expected_revision`` (0: absent)."""
        body = SwapRequest(
            key=key,
            value=value,
            expected_revision=expected_revision,
            lease_id=lease_id,
        )
        return (await self._call("compare-and-swap", body, _VALUE)).to_value()

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> list[VersionedValue]:
        """Wait up to ``wait_s`` for values under ``prefix`` newer than a revision.

        If the connection no longer delivers data, ``OutcomeUnknownError`` is raised one
        second after ``wait_s``, and the next watch opens a new connection.
        """
        body = WatchRequest(prefix=prefix, after_revision=after_revision, wait_s=wait_s)
        answer = await self._call(
            "watch", body, _VALUES, timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S
        )
        return answer.to_values()

    async def lease_grant(self, *, ttl_s: float) -> StoreLease:
        """Create a lease that expires ``ttl_s`` after its last renewal."""
        body = LeaseGrantRequest(ttl_s=ttl_s)
        answer = await self._call("lease-grant", body, _LEASE)
        return StoreLease(id=answer.id, ttl_s=answer.ttl_s)

    async def lease_renew(self, lease_id: str) -> None:
        """Renew a lease; raises ``RefusedError`` if it has already expired."""
        await self._call("lease-renew", LeaseRequest(lease_id=lease_id), _NOTHING)

    async def lease_revoke(self, lease_id: str) -> None:
        """End a lease at once and delete the keys written under it."""
        await self._call("lease-revoke", LeaseRequest(lease_id=lease_id), _NOTHING)

    async def _call(
        self,
        name: str,
        body: BaseModel,
        answer: TypeAdapter[Answer],
        *,
        timeout_s: float | None = None,
    ) -> Answer:
        return await self._send(
            f"store {name}",
            self._peer,
            STORE_PATH + name,
            body,
            answer,
            timeout_s=timeout_s,
        )


@final
class HttpHostList(HttpAdapter):
    """A ``HostList`` over HTTP; ``url`` is ``http://IP:PORT``."""

    def __init__(
        self, *, reactor: Reactor, url: str, call_timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        super().__init__(reactor=reactor, call_timeout_s=call_timeout_s)
        self._peer = _peer(url)

    async def read(self) -> list[ListedHost]:
        """Return the hosts that the platform lists as live or leaving."""
        answer = await self._send(
            "host list read", self._peer, HOSTS_PATH, Nothing(), _HOSTS
        )
        return list(answer.hosts)
