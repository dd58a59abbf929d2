"""An in-memory store and host list of the platform, served over HTTP.

docs/design/platform.md describes the format. A fault table around the store injects
outages; a response that it drops is a connection closed without a response.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, cast, final

from klein import Klein
from pydantic import BaseModel, ValidationError
from twisted.internet.interfaces import ITCPTransport
from twisted.web.server import Request

from gentianwharf.errors import (
    ConflictError,
    OutcomeUnknownError,
    PeerUnavailableError,
    RefusedError,
)
from gentianwharf.infra import HostList, KeyValueStore, VersionedValue, wire
from gentianwharf.infra.wire import ErrorName

from ._call_id import repeat_call_id

STATUSES = {
    ErrorName.CONFLICT: 409,
    ErrorName.REFUSED: 422,
    ErrorName.UNAVAILABLE: 503,
}


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class _Route:
    body: type[BaseModel]
    handle: Callable[[Any], Awaitable[BaseModel]]


@final
class StoreApp:
    """Serves a store and a host list; ``resource()`` returns the site's root."""

    klein = Klein()

    def __init__(self, *, store: KeyValueStore, hosts: HostList) -> None:
        self._store = store
        self._hosts = hosts
        self._routes = {
            "store/get": _Route(body=wire.KeyRequest, handle=self._get),
            "store/get-many": _Route(body=wire.PrefixRequest, handle=self._get_many),
            "store/compare-and-swap": _Route(body=wire.SwapRequest, handle=self._swap),
            "store/watch": _Route(body=wire.WatchRequest, handle=self._watch),
            "store/lease-grant": _Route(
                body=wire.LeaseGrantRequest, handle=self._lease_grant
            ),
            "store/lease-renew": _Route(
                body=wire.LeaseRequest, handle=self._lease_renew
            ),
            "store/lease-revoke": _Route(
                body=wire.LeaseRequest, handle=self._lease_revoke
            ),
            "hosts": _Route(body=wire.Nothing, handle=self._read_hosts),
        }

    def resource(self) -> Any:
        """Return the resource for a ``twisted.web`` site."""
        return self.klein.resource()

    @klein.route("/v1/<path:path>", methods=["POST"])
    async def answer(self, request: Request, path: str) -> bytes:
        """Handle any call; klein cancels a waiting watch if its client disconnects."""
        request.setHeader("Content-Type", "application/json")
        repeat_call_id(request)
        route = self._routes.get(path)
        if route is None:
            return _refuse(request, ErrorName.REFUSED, f"no such call: {path}")
        try:
            body = route.body.model_validate_json(_content(request))
            return wire.encode(await route.handle(body))
        except (ValidationError, RefusedError) as error:
            return _refuse(request, ErrorName.REFUSED, str(error))
        except ConflictError as error:
            return _refuse(request, ErrorName.CONFLICT, error.message)
        except PeerUnavailableError as error:
            return _refuse(request, ErrorName.UNAVAILABLE, error.message)
        except OutcomeUnknownError:
            # The client must see a connection without a response, not an error.
            cast(ITCPTransport, request.transport).abortConnection()
            return b""

    async def _get(self, body: wire.KeyRequest) -> BaseModel:
        value = await self._store.get(body.key)
        return _values([] if value is None else [value])

    async def _get_many(self, body: wire.PrefixRequest) -> BaseModel:
        return _values(await self._store.get_many(body.prefix))

    async def _swap(self, body: wire.SwapRequest) -> BaseModel:
        written = await self._store.compare_and_swap(
            body.key,
            body.value,
            expected_revision=body.expected_revision,
            lease_id=body.lease_id,
        )
        return wire.WireValue.from_value(written)

    async def _watch(self, body: wire.WatchRequest) -> BaseModel:
        changed = await self._store.watch(
            body.prefix, after_revision=body.after_revision, wait_s=body.wait_s
        )
        return _values(changed)

    async def _lease_grant(self, body: wire.LeaseGrantRequest) -> BaseModel:
        lease = await self._store.lease_grant(ttl_s=body.ttl_s)
        return wire.LeaseAnswer(id=lease.id, ttl_s=lease.ttl_s)

    async def _lease_renew(self, body: wire.LeaseRequest) -> BaseModel:
        await self._store.lease_renew(body.lease_id)
        return wire.Nothing()

    async def _lease_revoke(self, body: wire.LeaseRequest) -> BaseModel:
        await self._store.lease_revoke(body.lease_id)
        return wire.Nothing()

    async def _read_hosts(self, _: wire.Nothing) -> BaseModel:
        return wire.HostsAnswer(hosts=tuple(await self._hosts.read()))


def _content(request: Request) -> bytes:
    return b"" if request.content is None else request.content.read()


def _values(values: list[VersionedValue]) -> BaseModel:
    return wire.ValuesAnswer.from_values(values)


def _refuse(request: Request, error: ErrorName, message: str) -> bytes:
    request.setResponseCode(STATUSES[error])
    return wire.encode(wire.Problem(error=error, message=message))
