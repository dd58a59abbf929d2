"""Parsing and validation of the bodies, headers and queries of operators' requests."""

import re
from typing import Any, TypeVar

import msgspec
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from twisted.web.server import Request

from gentianwharf.errors import InputError
from gentianwharf.rules import RequestFacts

OPERATOR_HEADER = "gentianwharf-operator"
MAX_OPERATOR_CHARACTERS = 64
CHANGE_ID = re.compile(r"[A-Za-z0-9-]{8,64}")

Body = TypeVar("Body", bound=BaseModel)


class _Body(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class MoveBody(_Body):
    """The server to move the key's shard to."""

    key: str = Field(min_length=1)
    server: str = Field(min_length=1)


class PinBody(_Body):
    """The server to pin the key to; null removes the pin."""

    key: str = Field(min_length=1)
    server: str | None


class ExplainBody(_Body):
    """A request to explain; ``key`` is the value of its ``Gentianwharf-Key``."""

    method: str = "GET"
    host: str = ""
    path: str = "/"
    query: str = ""
    headers: dict[str, str] = Field(default_factory=dict)
    key: str | None = None

    def facts(self) -> RequestFacts:
        """Return the properties of the request that rules match."""
        headers = {name.lower(): value for name, value in self.headers.items()}
        if self.key is not None:
            headers["gentianwharf-key"] = self.key
        return RequestFacts(
            method=self.method.upper(),
            host=self.host.lower().split(":")[0],
            path=self.path,
            query=self.query,
            headers=headers,
        )


def read_body(request: Request, model: type[Body]) -> Body:
    """Return the body as ``model``; raises ``InputError`` naming what is wrong."""
    peer = _peer(request)
    try:
        data = msgspec.json.decode(_content(request))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InputError(
            f"the body is not JSON: {error}", step="read body", peer=peer
        ) from error
    return check_body(data, model, peer=peer)


def check_body(data: Any, model: type[Body], *, peer: str) -> Body:
    """Check ``data`` against ``model``; raises ``InputError`` naming each field."""
    try:
        return model.model_validate(data)
    except ValidationError as error:
        details = "; ".join(
            f"{'.'.join(map(str, mistake['loc'])) or 'body'}: {mistake['msg']}"
            for mistake in error.errors()
        )
        raise InputError(details, step="check body", peer=peer) from error


def read_operator(request: Request) -> str:
    """Return the operator's name; raises ``InputError`` when missing or too long."""
    value = request.getHeader(OPERATOR_HEADER) or ""
    name = value if isinstance(value, str) else value.decode("utf-8", "replace")
    if not name.strip() or len(name) > MAX_OPERATOR_CHARACTERS:
        raise InputError(
            f"expected the operator's name, at most {MAX_OPERATOR_CHARACTERS}"
            f" characters, in the header {OPERATOR_HEADER}, got {name!r}",
            step="read operator",
            peer=_peer(request),
        )
    return name.strip()


def read_change_id(request: Request) -> str | None:
    """Return the change's id, if any; raises ``InputError`` when it is malformed.

    Its length is limited because the store's record retains the ids of many changes.
    """
    change_id = query_argument(request, "change_id")
    if change_id is not None and not CHANGE_ID.fullmatch(change_id):
        raise InputError(
            f"change_id: expected 8 to 64 letters, digits or hyphens, got"
            f" {change_id[:80]!r}",
            step="read query",
            peer=_peer(request),
        )
    return change_id


def query_argument(request: Request, name: str) -> str | None:
    """Return the first query field ``name``, or None."""
    values = request.args.get(name.encode())
    return values[0].decode("utf-8", "replace") if values else None


def query_integer(request: Request, name: str, *, default: int | None) -> int:
    """Return the query field ``name`` as a number from 0."""
    text = query_argument(request, name)
    if text is None and default is not None:
        return default
    if text is None or not (text.isascii() and text.isdigit()) or len(text) > 18:
        raise InputError(
            f"{name}: expected a number from 0 in the query, got {text!r}",
            step="read query",
            peer=_peer(request),
        )
    return int(text)


def optional_query_integer(request: Request, name: str) -> int | None:
    """Return the query field ``name`` as a number from 0, None when it is absent."""
    if query_argument(request, name) is None:
        return None
    return query_integer(request, name, default=None)


def query_flag(request: Request, name: str) -> bool:
    """Return the query field ``name``, true or false; false when it is absent."""
    text = query_argument(request, name)
    if text not in (None, "true", "false"):
        raise InputError(
            f"{name}: expected true or false in the query, got {text!r}",
            step="read query",
            peer=_peer(request),
        )
    return text == "true"


def _peer(request: Request) -> str:
    address: Any = request.getClientAddress()
    host = getattr(address, "host", None)
    return f"{host}:{address.port}" if host is not None else "operator"


def _content(request: Request) -> bytes:
    return request.content.read() if request.content is not None else b""
