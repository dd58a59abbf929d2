"""What rules look at in a request, and what the deciding one says."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import final
from urllib.parse import parse_qsl, unquote

from ._rule import KeyPlace, KeySource, Rule
from ._shards import MAX_KEY_CHARACTERS

KEY_HEADER = "gentianwharf-key"
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
MOST_QUERY_FIELDS = 100


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RequestFacts:
    """What a rule may look at.

    Header names and ``host`` are in lower case, ``host`` without its port; ``path``
    as it came, still percent-encoded. Text is what UTF-8 gives with
    ``errors="replace"``, so that a key reads the same in every place.
    """

    method: str
    host: str
    path: str
    query: str = ""
    headers: Mapping[str, str] = field(default_factory=dict)


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RuleMatch:
    """The rule that decides a request, and what follows from it.

    ``key`` is None when the request carries none where the rule looks for it.
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
    """Return the request's key, or None when it has none that can be used.

    It stands in the header ``Gentianwharf-Key`` or where the rule says. A request with
    two different keys has none: a server asked by the header's key would otherwise
    run what the path asks of a key that another server owns.

    Percent-encoding is undone first: otherwise two spellings of one key would hash to
    two shards, and one key would have two owners.

    >>> from ._rule import DecodedKeySource
    >>> key_source = DecodedKeySource(place=KeyPlace.PATH_SEGMENT, name="1")
    >>> read_key(key_source, RequestFacts(method="GET", host="", path="/club/a%62c"))
    'abc'
    """
    named = facts.headers.get(KEY_HEADER)
    placed = _read_place(key_source, facts) if key_source is not None else None
    if named and placed and named != placed:
        return None
    key = named or placed
    if not key or len(key) > MAX_KEY_CHARACTERS:
        return None
    return key


def _read_place(key_source: KeySource, facts: RequestFacts) -> str | None:
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
        fields = parse_qsl(query, max_num_fields=MOST_QUERY_FIELDS)
    except ValueError:
        return None
    for field_name, value in fields:
        if field_name == name:
            return value
    return None
