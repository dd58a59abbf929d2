"""What a host knows of the store: newest values by key, and the tables in them."""

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
    """Return the store key of a chunk, below the customer's.

    >>> chunk_key("ledger", 2)
    'table/ledger/2'
    """
    return f"{TABLE}{service}/{number}"


def version_hash(key: str, revision: int) -> int:
    """Return the part of one version in the checksum of all."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{revision}".encode())


def checksum_of(versions: Mapping[str, int]) -> int:
    """Return a checksum that two sets of versions share only when they are equal.

    64 bits, in any order: two sets that differ share it with odds of 2 to the -64.

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
    """The witnesses of a domain; ``leaving`` is the earlier list while it changes.

    While it changes, a right and an announcement need a majority of both lists.
    ``lost`` is an operator's word that nothing of the domain runs any more.
    """

    hosts: tuple[str, ...]
    leaving: tuple[str, ...] = ()
    lost: bool = False

    def all(self) -> tuple[str, ...]:
        """Return every host of both lists once."""
        return tuple(dict.fromkeys((*self.hosts, *self.leaving)))

    def is_majority(self, hosts: Iterable[str]) -> bool:
        """Whether ``hosts`` hold a majority of each list.

        >>> change = WitnessList(hosts=("c", "d", "e"), leaving=("a", "b", "c"))
        >>> change.is_majority({"c", "d"})
        False
        >>> change.is_majority({"b", "c", "d"})
        True
        """
        given = set(hosts)
        lists = [one for one in (self.hosts, self.leaving) if one]
        return bool(lists) and all(
            len(given.intersection(one)) > len(one) // 2 for one in lists
        )

    def can_recover_from(self, hosts: Iterable[str]) -> bool:
        """Whether ``hosts`` (with memory) meet every majority in at least one host."""
        given = set(hosts)
        lists = [one for one in (self.hosts, self.leaving) if one]
        return bool(lists) and all(
            len(given.intersection(one)) >= (len(one) + 1) // 2 for one in lists
        )


@final
class Tables:
    """Newest known values; only grows in revisions, whoever brings them."""

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
        """Take a value unless the same or a newer one is known already.

        Raises ``InputError`` for one that can't be read, of which nothing is taken.
        """
        # A peer that was cut off or paused passes on what it knew: an older
        # revision must never come back in force.
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
                for one in self._chunks[service].values()
                for key, shard in one.pins.items()
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
        """Return the entries whose owner is ``server``, moving ones included."""
        owned = {}
        for shard in self._owned.get(server, ()):
            entry = self.entry(service, shard)
            if entry is not None:
                owned[shard] = entry
        return owned

    def numbers_of(self, server: str) -> AbstractSet[int]:
        """Return the numbers of the entries whose owner is ``server``."""
        return self._owned.get(server, frozenset())

    def count_shards(self, service: str, server: str) -> int:
        """Return how many shards ``server`` owns, without keys' own entries."""
        shards = self._shards[service]
        return sum(number < shards for number in self._owned.get(server, ()))

    def entry(self, service: str, shard: int) -> Entry | None:
        """Return a shard's entry, pinned ones included."""
        entries = self.entries[service]
        if shard < len(entries):
            return entries[shard]
        return self.pinned[service].get(shard)

    def shard_for(self, service: str, shard: int, key: str | None) -> int:
        """Return the number of ``key``'s own entry, or ``shard``."""
        pins = self.pins[service]
        return pins.get(key, shard) if pins and key is not None else shard

    def witnesses(self, domain: str) -> WitnessList | None:
        """Return a domain's witness list, None when none is known."""
        return self._witnesses.get(domain)

    def witnessed(self) -> frozenset[str]:
        """Return the domains whose witness list is known."""
        return frozenset(self._witnesses)

    def is_declared_lost(self, domain: str) -> bool:
        """Whether an operator declared ``domain`` lost."""
        witnesses = self.witnesses(domain)
        return witnesses is not None and witnesses.lost

    def chunks(self, service: str) -> dict[int, Chunk]:
        """Return a service's chunks by number."""
        return self._chunks[service]

    def chunk_count(self, service: str) -> int:
        """Return how many chunks the service's shards need."""
        return -(-self._shards[service] // CHUNK_SHARDS)

    def is_complete(self, service: str) -> bool:
        """Whether every chunk of the service is known."""
        return len(self._chunks[service]) >= self.chunk_count(service)

    def newer_than(self, versions: Mapping[str, int]) -> list[Item]:
        """Return the values that are newer than ``versions``."""
        return [
            item
            for key, item in self._items.items()
            if item.revision > versions.get(key, 0)
        ]

    def is_newer_than(self, versions: Mapping[str, int]) -> bool:
        """Whether anything known is newer than ``versions``."""
        return any(
            revision > versions.get(key, 0) for key, revision in self.versions.items()
        )

    def knows(self, versions: Mapping[str, int]) -> bool:
        """Whether all of ``versions``, or newer ones, are known."""
        return all(
            self.versions.get(key, 0) >= revision for key, revision in versions.items()
        )

    def item(self, key: str) -> Item | None:
        """Return the newest known value of ``key``."""
        return self._items.get(key)


def _read_witness_list(item: Item) -> WitnessList:
    try:
        return msgspec.msgpack.decode(item.value, type=WitnessList)
    except msgspec.MsgspecError as error:
        raise InputError(
            f"expected a witness list, got {len(item.value)} bytes that are none:"
            f" {error}; restore the value or upgrade this host",
            step="read witnesses",
            peer=item.key,
        ) from error
