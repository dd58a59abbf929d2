"""Request attributes that rules test, and the result of a match."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import final
from urllib.parse import parse_qsl, unquote

from ._rule import KeyPlace, KeySource, Rule
from ._shards import MAX_KEY_CHARACTERS

KEY_HEADER = "gentianwharf-key"
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
MAX_QUERY_FIELDS = 100


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RequestFacts:
    """The attributes of a request that rules can test.

    Header names and ``host`` are in lower case, and ``host`` has no port. ``path`` is
    still percent-encoded. All text is decoded as UTF-8 with ``errors="replace"``, so
    that a key is the same string wherever the request carries it.
    """

    method: str
    host: str
    path: str
    query: str = ""
    headers: Mapping[str, str] = field(default_factory=dict)


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RuleMatch:
    """The first rule that matches a request, and its routing of the request.

    ``key`` is None if the request has no usable key, see ``read_key``.
    """

    number: int
    rule: Rule
    service: str
    site: str | None
    request_class: str
    key: str | None
    shard: int | None
    repeatable: bool


def read_key(key_source: KeySource | None, facts: RequestFacts) -> str | None:
    """Return the request's key, or None if it has no usable key.

    The key is read from the header ``Gentianwharf-Key`` and from ``key_source``. If
    both are given and differ, the request has no usable key: it would be sent to the
    owner of the header's key, which would execute it for the key in the path, owned by
    another server. A key longer than ``MAX_KEY_CHARACTERS`` is not usable either.

    Percent-encoding is decoded: otherwise two spellings of one key would hash to two
    shards, and the key would have two owners.

    >>> from ._rule import DecodedKeySource
    >>> key_source = DecodedKeySource(place=KeyPlace.PATH_SEGMENT, name="1")
    >>> read_key(key_source, RequestFacts(method="GET", host="", path="/club/a%62c"))
    'abc'
    """
    header_key = facts.headers.get(KEY_HEADER)
    source_key = _read_source(key_source, facts) if key_source is not None else None
    if header_key and source_key and header_key != source_key:
        return None
    key = header_key or source_key
    if not key or len(key) > MAX_KEY_CHARACTERS:
        return None
    return key


def _read_source(key_source: KeySource, facts: RequestFacts) -> str | None:
    if key_source.place is KeyPlace.HEADER:
        return facts.headers.get(key_source.name)
    if key_source.place is KeyPlace.QUERY:
        return _read_query(key_source.name, facts.query)
    segments = facts.path.split("/", int(key_source.name) + 2)
    index = int(key_source.name) + 1
    if index >= len(segments):
        return None
    segment = segments[index]
    return unquote(segment) if "%" in segment else segment


def _read_query(name: str, query: str) -> str | None:
    try:
        fields = parse_qsl(query, max_num_fields=MAX_QUERY_FIELDS)
    except ValueError:
        return None
    for field_name, value in fields:
        if field_name == name:
            return value
    return None
