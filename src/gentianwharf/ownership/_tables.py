"""One host's copy of the store: newest values by key, and the decoded tables."""

from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet
from typing import final

import msgspec
import xxhash

from gentianwharf.errors import InputError

from ._messages import Item
from ._table import CHUNK_SHARDS, Chunk, Entry, unpack_chunk

TABLE = "table/"
WITNESSES = "witnesses/"


def chunk_key(service: str, number: int) -> str:
    """Return the store key of a chunk, relative to the customer's prefix.

    >>> chunk_key("ledger", 2)
    'table/ledger/2'
    """
    return f"{TABLE}{service}/{number}"


def version_hash(key: str, revision: int) -> int:
    """Return the hash of one version, its contribution to ``checksum_of``."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{revision}".encode())


def checksum_of(versions: Mapping[str, int]) -> int:
    """Return a checksum of a set of versions that does not depend on their order.

    It has 64 bits: two different sets have the same one with a probability of 2**-64.

    >>> checksum_of({"a": 1, "b": 2}) == checksum_of({"b": 2, "a": 1})
    True
    >>> checksum_of({"a": 1, "b": 2}) == checksum_of({"a": 2, "b": 1})
    False
    """
    checksum = 0
    for key, revision in versions.items():
        checksum ^= version_hash(key, revision)
    return checksum


def witnessed_in(versions: Mapping[str, int]) -> frozenset[str]:
    """Return the domains that have a witness list among ``versions``."""
    return frozenset(
        key.removeprefix(WITNESSES) for key in versions if key.startswith(WITNESSES)
    )


def witness_key(domain: str) -> str:
    """Return the store key of a domain's witness list."""
    return f"{WITNESSES}{domain}"


@final
class WitnessList(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """The witnesses of a domain; ``leaving`` is the previous list during a change.

    During a change, a right and an announcement need a majority of both lists.
    ``lost`` is an operator's declaration that nothing in the domain runs any more.
    """

    hosts: tuple[str, ...]
    leaving: tuple[str, ...] = ()
    lost: bool = False

    def all(self) -> tuple[str, ...]:
        """Return the hosts of both lists without duplicates."""
        return tuple(dict.fromkeys((*self.hosts, *self.leaving)))

    def is_majority(self, hosts: Iterable[str]) -> bool:
        """Whether ``hosts`` include a majority of each list.

        >>> change = WitnessList(hosts=("c", "d", "e"), leaving=("a", "b", "c"))
        >>> change.is_majority({"c", "d"})
        False
        >>> change.is_majority({"b", "c", "d"})
        True
        """
        given = set(hosts)
        lists = [members for members in (self.hosts, self.leaving) if members]
        return bool(lists) and all(
            len(given.intersection(members)) > len(members) // 2 for members in lists
        )

    def can_recover_from(self, hosts: Iterable[str]) -> bool:
        """Whether ``hosts`` (with memory) share a host with every possible majority."""
        given = set(hosts)
        lists = [members for members in (self.hosts, self.leaving) if members]
        return bool(lists) and all(
            len(given.intersection(members)) >= (len(members) + 1) // 2
            for members in lists
        )


@final
class Tables:
    """The newest values received; a revision never decreases, whatever its source."""

    def __init__(self, *, shards: Mapping[str, int]) -> None:
        self._shards = dict(shards)
        self._items: dict[str, Item] = {}
        self._witnesses: dict[str, WitnessList] = {}
        self._chunks: dict[str, dict[int, Chunk]] = {name: {} for name in shards}
        self.entries: dict[str, list[Entry | None]] = {
            name: [None] * count for name, count in shards.items()
        }
        self.pins: dict[str, dict[str, int]] = {name: {} for name in shards}
        self.pinned_keys: dict[str, dict[int, str]] = {name: {} for name in shards}
        self.pinned: dict[str, dict[int, Entry]] = {name: {} for name in shards}
        self.versions: dict[str, int] = {}
        self.checksum = checksum_of(self.versions)
        self._owned: dict[str, set[int]] = {}

    def install(self, item: Item) -> bool:
        """Install a value unless the same or a newer revision is installed.

        Raises ``InputError`` for a value that can't be read, and changes nothing then.
        """
        # A peer that was partitioned or paused forwards outdated values. An older
        # revision must never replace a newer one.
        earlier = self.versions.get(item.key, 0)
        if item.revision <= earlier:
            return False
        if item.key.startswith(TABLE):
            self._install_chunk(item)
        elif item.key.startswith(WITNESSES):
            domain = item.key.removeprefix(WITNESSES)
            self._witnesses[domain] = _read_witness_list(item)
        else:
            return False
        self._items[item.key] = item
        self.versions[item.key] = item.revision
        if earlier:
            self.checksum ^= version_hash(item.key, earlier)
        self.checksum ^= version_hash(item.key, item.revision)
        return True

    def _install_chunk(self, item: Item) -> None:
        service, _, number = item.key.removeprefix(TABLE).rpartition("/")
        if service not in self._shards:
            return
        if not number.isdecimal():
            raise InputError(
                f"expected the number of a chunk, got {number!r}; remove the value",
                step="read table",
                peer=item.key,
            )
        chunk = unpack_chunk(item.value, service=service, number=int(number))
        earlier = self._chunks[service].get(chunk.number)
        self._chunks[service][chunk.number] = chunk
        count = self._shards[service]
        entries = self.entries[service]
        pinned = self.pinned[service]
        for shard in earlier.pins.values() if earlier else ():
            pinned.pop(shard, None)
        self._index(earlier, chunk)
        for shard, entry in chunk.entries.items():
            if shard < count:
                entries[shard] = entry
            else:
                pinned[shard] = entry
        if earlier is None or earlier.pins != chunk.pins:
            self.pins[service] = {
                key: shard
                for other in self._chunks[service].values()
                for key, shard in other.pins.items()
            }
            self.pinned_keys[service] = {
                shard: key for key, shard in self.pins[service].items()
            }

    def _index(self, earlier: Chunk | None, chunk: Chunk) -> None:
        old = earlier.entries if earlier else {}
        for shard, entry in old.items():
            now = chunk.entries.get(shard)
            if now is None or now.owner != entry.owner:
                self._owned[entry.owner].discard(shard)
        for shard, entry in chunk.entries.items():
            self._owned.setdefault(entry.owner, set()).add(shard)

    def owned_by(self, service: str, server: str) -> dict[int, Entry]:
        """Return the entries owned by ``server``, including those that are moving."""
        owned = {}
        for shard in self._owned.get(server, ()):
            entry = self.entry(service, shard)
            if entry is not None:
                owned[shard] = entry
        return owned

    def numbers_of(self, server: str) -> AbstractSet[int]:
        """Return the shard numbers of the entries that ``server`` owns."""
        return self._owned.get(server, frozenset())

    def count_shards(self, service: str, server: str) -> int:
        """Return how many shards ``server`` owns, not counting pinned keys."""
        shards = self._shards[service]
        return sum(number < shards for number in self._owned.get(server, ()))

    def entry(self, service: str, shard: int) -> Entry | None:
        """Return the entry of a shard or of a pinned key."""
        entries = self.entries[service]
        if shard < len(entries):
            return entries[shard]
        return self.pinned[service].get(shard)

    def shard_for(self, service: str, shard: int, key: str | None) -> int:
        """Return the number of the pinned entry of ``key``, or ``shard`` if none."""
        pins = self.pins[service]
        return pins.get(key, shard) if pins and key is not None else shard

    def witnesses(self, domain: str) -> WitnessList | None:
        """Return a domain's witness list, or None when none is installed."""
        return self._witnesses.get(domain)

    def witnessed(self) -> frozenset[str]:
        """Return the domains whose witness list is installed."""
        return frozenset(self._witnesses)

    def is_declared_lost(self, domain: str) -> bool:
        """Whether an operator declared ``domain`` lost."""
        witnesses = self.witnesses(domain)
        return witnesses is not None and witnesses.lost

    def chunks(self, service: str) -> dict[int, Chunk]:
        """Return a service's chunks by number."""
        return self._chunks[service]

    def chunk_count(self, service: str) -> int:
        """Return the number of chunks that the service's shards need."""
        return -(-self._shards[service] // CHUNK_SHARDS)

    def is_complete(self, service: str) -> bool:
        """Whether every chunk of the service is installed."""
        return len(self._chunks[service]) >= self.chunk_count(service)

    def newer_than(self, versions: Mapping[str, int]) -> list[Item]:
        """Return the installed values that are newer than ``versions``."""
        return [
            item
            for key, item in self._items.items()
            if item.revision > versions.get(key, 0)
        ]

    def is_newer_than(self, versions: Mapping[str, int]) -> bool:
        """Whether any installed value is newer than ``versions``."""
        return any(
            revision > versions.get(key, 0) for key, revision in self.versions.items()
        )

    def knows(self, versions: Mapping[str, int]) -> bool:
        """Whether all of ``versions``, or newer ones, are installed."""
        return all(
            self.versions.get(key, 0) >= revision for key, revision in versions.items()
        )

    def item(self, key: str) -> Item | None:
        """Return the installed value of ``key``."""
        return self._items.get(key)


def _read_witness_list(item: Item) -> WitnessList:
    try:
        return msgspec.msgpack.decode(item.value, type=WitnessList)
    except msgspec.MsgspecError as error:
        raise InputError(
            f"expected a witness list, got {len(item.value)} undecodable bytes:"
            f" {error}; restore the value or upgrade this host",
            step="read witnesses",
            peer=item.key,
        ) from error
