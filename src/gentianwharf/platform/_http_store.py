"""The platform's store and host list over HTTP."""

from typing import final
from urllib.parse import urlsplit

from pydantic import BaseModel, TypeAdapter

from ._hosts import ListedHost
from ._http import Call, JsonCaller, Reactor
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
    encode,
)

STORE_PATH = "/v1/store/"
HOSTS_PATH = "/v1/hosts"

CALL_TIMEOUT_S = 2.0
"""The store answers in milliseconds; one slower than this is as good as out of reach,
and a caller that waits longer holds its own work up."""

WATCH_MARGIN_S = 1.0
"""How much longer than its own wait a watch may take before it counts as silent."""

_VALUES = TypeAdapter(ValuesAnswer)
_VALUE = TypeAdapter(WireValue)
_LEASE = TypeAdapter(LeaseAnswer)
_NOTHING = TypeAdapter(Nothing)
_HOSTS = TypeAdapter(HostsAnswer)


def _peer(url: str) -> str:
    return urlsplit(url).netloc


@final
class HttpStore:
    """A ``KeyValueStore`` over HTTP; ``url`` is ``http://IP:PORT``."""

    def __init__(
        self, *, reactor: Reactor, url: str, call_timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self._caller = JsonCaller(reactor=reactor, connect_timeout_s=call_timeout_s)
        self._peer = _peer(url)
        self._call_timeout_s = call_timeout_s

    async def close(self) -> None:
        """Close the kept connections."""
        await self._caller.close()

    async def get(self, key: str) -> VersionedValue | None:
        """Return the value of ``key``, or None when there is none."""
        answer = await self._caller.post(
            self._call("get", KeyRequest(key=key)), _VALUES
        )
        values = answer.versioned()
        return values[0] if values else None

    async def get_many(self, prefix: str) -> list[VersionedValue]:
        """Return every value whose key begins with ``prefix``."""
        body = PrefixRequest(prefix=prefix)
        answer = await self._caller.post(self._call("get-many", body), _VALUES)
        return answer.versioned()

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
        call = self._call("compare-and-swap", body)
        return (await self._caller.post(call, _VALUE)).versioned()

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> list[VersionedValue]:
        """Wait up to ``wait_s`` for values under ``prefix`` newer than a revision.

        A connection gone silent ends in ``OutcomeUnknownError`` one second after
        ``wait_s``, and the next watch opens a new one.
        """
        body = WatchRequest(prefix=prefix, after_revision=after_revision, wait_s=wait_s)
        call = self._call("watch", body, timeout_s=wait_s + WATCH_MARGIN_S)
        return (await self._caller.post(call, _VALUES)).versioned()

    async def lease_grant(self, *, ttl_s: float) -> StoreLease:
        """Make a lease that lapses ``ttl_s`` after its last renewal."""
        call = self._call("lease-grant", LeaseGrantRequest(ttl_s=ttl_s))
        answer = await self._caller.post(call, _LEASE)
        return StoreLease(id=answer.id, ttl_s=answer.ttl_s)

    async def lease_renew(self, lease_id: str) -> None:
        """Renew; raises ``RefusedError`` when the lease has lapsed already."""
        call = self._call("lease-renew", LeaseRequest(lease_id=lease_id))
        await self._caller.post(call, _NOTHING)

    async def lease_revoke(self, lease_id: str) -> None:
        """End a lease at once, with the keys written under it."""
        call = self._call("lease-revoke", LeaseRequest(lease_id=lease_id))
        await self._caller.post(call, _NOTHING)

    def _call(
        self, name: str, body: BaseModel, *, timeout_s: float | None = None
    ) -> Call:
        return Call(
            step=f"store {name}",
            peer=self._peer,
            path=STORE_PATH + name,
            body=encode(body),
            timeout_s=self._call_timeout_s if timeout_s is None else timeout_s,
        )


@final
class HttpHostList:
    """A ``HostList`` over HTTP; ``url`` is ``http://IP:PORT``."""

    def __init__(
        self, *, reactor: Reactor, url: str, call_timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self._caller = JsonCaller(reactor=reactor, connect_timeout_s=call_timeout_s)
        self._peer = _peer(url)
        self._call_timeout_s = call_timeout_s

    async def close(self) -> None:
        """Close the kept connections."""
        await self._caller.close()

    async def read(self) -> list[ListedHost]:
        """Return the hosts that the platform believes to be live."""
        call = Call(
            step="host list read",
            peer=self._peer,
            path=HOSTS_PATH,
            body=encode(Nothing()),
            timeout_s=self._call_timeout_s,
        )
        return list((await self._caller.post(call, _HOSTS)).hosts)
