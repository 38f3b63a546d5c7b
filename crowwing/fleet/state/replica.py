"""One member's replica of the fleet state: entries, merge rules and digests. Pure.

An entry is a key (`keyspace/...`), a small JSON value, a timestamp and an expiry time. The merge rule of the
keyspace decides between two versions of a key; each rule is a total order in which the greater version wins,
so merging is commutative, associative and idempotent (Shapiro, Preguiça, Baquero, Zawirski, "Conflict-free
Replicated Data Types", SSS 2011):

- LAST_WRITER_WINS: the later timestamp; the member's name breaks a tie. For registers that can be
  overwritten.
- MAXIMUM: the greater number. For counters, of which each member and window has its own key.
- REMOVE_WINS: a removal outranks an addition. For sets, in which each addition has its timestamp in the key:
  an addition that the removing member had not seen has another key and stays (observed-remove set).

Every entry expires at `until` on the fleet's time, and a replacement never expires earlier than what it
replaces, so an old version cannot outlive a newer one. A keyspace holds `max_entries`; of more, the ones that
expire last are kept, the same on all members. Local writes are rejected from seven eighths on, which leaves
capacity for concurrent writes of other members.

Digests: 256 leaves by a hash of the key, each the exclusive or of its entries' hashes, in 16 groups.
"""

import base64
import heapq
import struct
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

import orjson
import xxhash

from crowwing.fleet.state.hybrid_clock import ClockSkewError, HybridClock, Timestamp

LEAVES, GROUPS = 256, 16
LEAVES_PER_GROUP = LEAVES // GROUPS
# In cells a full transfer sends digests truncated to 32 bits: two that differ look equal once in 4 billion,
# and the next comparison of full digests finds them. Up to `FEW_ENTRIES` it sends group digests only, because
# the entries of a differing group then take fewer bytes than the digests of all leaves.
SHORT_DIGEST_MASK, FEW_ENTRIES = 0xFFFFFFFF, 400
MAX_VALUE_BYTES, MAX_KEY_BYTES = 512, 160  # an entry has to fit into one datagram with a margin
LOCAL_FILL_LIMIT = 7 / 8  # part of a keyspace that local writes may fill

Value = int | float | str | bool | None | list | dict
Row = list  # an entry on the wire and on disk: [key, value, time_us, counter, member, until]


class MergeRule(Enum):
    LAST_WRITER_WINS, MAXIMUM, REMOVE_WINS = auto(), auto(), auto()


@dataclass(frozen=True, slots=True)
class Keyspace:
    """Limits of one kind of state; `max_lifetime` of an entry in µs. In a fleet with cells, a `fleet_wide`
    keyspace is replicated to all members, any other within each cell."""

    merge_rule: MergeRule
    max_entries: int
    max_lifetime: int
    fleet_wide: bool = False


class Entry(NamedTuple):
    value: Value
    timestamp: Timestamp
    until: int
    encoded: bytes  # canonical JSON of the value; breaks ties between equal timestamps


class EntryRejectedError(ValueError):
    """An entry cannot be stored; the message is one line."""


def encode_canonical(value: Value) -> bytes:
    """Copies the bytes: what orjson 3.13 returns keeps its 4 kB output buffer alive."""
    return bytes(memoryview(orjson.dumps(value, option=orjson.OPT_SORT_KEYS)))


def decode_digests(digests: str) -> tuple[int, ...]:
    """Digests of all groups or all leaves from `Replica.encoded_digests`; ValueError for anything else."""
    data = base64.b64decode(digests, validate=True)
    if len(data) not in (4 * GROUPS, 4 * LEAVES):
        raise ValueError("not the digests of 16 groups or 256 leaves")
    return struct.unpack(f"<{len(data) // 4}I", data)


def leaf_of(key: str) -> int:
    return xxhash.xxh64_intdigest(key.encode()) % LEAVES


class Replica:
    """One member's replica. `expire` drops expired entries; `changes` counts stored ones, for snapshots."""

    def __init__(
        self, me: str, keyspaces: dict[str, Keyspace], max_drift: int, clock: HybridClock | None = None
    ) -> None:
        """`clock`: shared with this member's other replica, if it has two."""
        self.me, self.keyspaces, self.clock = me, keyspaces, clock or HybridClock(me, max_drift)
        self.entries: dict[str, Entry] = {}  # bounded by expiry and by `max_entries` of each keyspace
        self.entry_counts: Counter[str] = Counter()  # entries by keyspace
        self.leaf_digests = [0] * LEAVES
        self.keys_by_leaf: dict[int, set[str]] = {}  # by leaf; bounded by the entries
        # Heaps of (until, key); stale items are removed lazily.
        self.expiries: dict[str, list[tuple[int, str]]] = {name: [] for name in keyspaces}
        self.changes = self.version = 0  # entries stored; any change, expiry included
        self.cached_root: tuple[int, int] = (-1, 0)  # version and its root digest
        self.rejected: Counter[str] = Counter()

    # Reads

    def get(self, key: str) -> Value:
        """The value, or None for a missing key."""
        entry = self.entries.get(key)
        return None if entry is None else entry.value

    def with_prefix(self, prefix: str) -> Iterator[tuple[str, Entry]]:
        return ((key, entry) for key, entry in self.entries.items() if key.startswith(prefix))

    def root(self) -> int:
        if self.cached_root[0] != self.version:
            self.cached_root = self.version, self._compute_root()
        return self.cached_root[1]

    def _compute_root(self) -> int:
        return xxhash.xxh64_intdigest(b"".join(leaf.to_bytes(8, "little") for leaf in self.leaf_digests))

    def encoded_digests(self) -> str:
        """Digests sent with a full-transfer request, so that only differences come; empty if there are no
        entries."""
        if not self.entries:
            return ""
        digests = self.group_digests() if len(self.entries) <= FEW_ENTRIES else self.leaf_digests
        return base64.b64encode(
            struct.pack(f"<{len(digests)}I", *(one & SHORT_DIGEST_MASK for one in digests))
        ).decode()

    def differing_leaves(self, digests: str) -> list[int]:
        """Leaves in which a replica with these encoded digests may differ; ValueError if malformed."""
        if not digests:
            return list(range(LEAVES))
        their_digests = decode_digests(digests)
        own_digests = self.group_digests() if len(their_digests) == GROUPS else self.leaf_digests
        size = LEAVES // len(their_digests)
        differ = (n for n, one in enumerate(their_digests) if one != own_digests[n] & SHORT_DIGEST_MASK)
        return [leaf for n in differ for leaf in range(n * size, (n + 1) * size)]

    def group_digests(self) -> list[int]:
        """One digest for each group of leaves."""
        content = b"".join(leaf.to_bytes(8, "little") for leaf in self.leaf_digests)
        step = 8 * LEAVES_PER_GROUP
        return [xxhash.xxh64_intdigest(content[n : n + step]) for n in range(0, len(content), step)]

    def rows(self, leaves: Iterable[int]) -> Iterator[Row]:
        for leaf in leaves:
            for key in sorted(self.keys_by_leaf.get(leaf, ())):
                yield self.row(key)

    def row(self, key: str) -> Row:
        value, timestamp, until, _ = self.entries[key]
        return [key, value, timestamp.time_us, timestamp.counter, timestamp.member, until]

    def all_rows(self) -> Iterator[Row]:
        return self.rows(range(LEAVES))

    # Writes

    def put(self, now: int, key: str, value: Value, lifetime: int) -> Row:
        """Stores a local write for `lifetime` µs; EntryRejectedError if it cannot be stored."""
        keyspace = self._keyspace(key)
        if lifetime <= 0 or lifetime > keyspace.max_lifetime:
            raise EntryRejectedError(
                f"{key}: lifetime {lifetime} µs is not between 1 and {keyspace.max_lifetime}"
            )
        old = self.entries.get(key)
        name = key.partition("/")[0]
        if old is None and self.entry_counts[name] >= LOCAL_FILL_LIMIT * keyspace.max_entries:
            raise EntryRejectedError(
                f"{key}: {name} is full ({self.entry_counts[name]} of {keyspace.max_entries} entries)"
            )
        encoded = self._encode_value(key, value, keyspace)
        timestamp = self.clock.next_timestamp(now)
        until = max(timestamp.time_us + lifetime, old.until if old is not None else 0)
        self._store(key, Entry(value, timestamp, until, encoded), keyspace)
        return self.row(key)

    def add_element(self, now: int, element: str, lifetime: int) -> Row:
        """Adds `keyspace/element` to its set under a unique key, so that only a removal that has seen this
        addition undoes it."""
        tag = self.clock.next_timestamp(now)
        return self.put(now, f"{element}/{tag.time_us}.{tag.counter}.{tag.member}", True, lifetime)

    def remove_element(self, now: int, element: str) -> list[Row]:
        """Removes every addition of `keyspace/element` that is known here."""
        known = [key for key, entry in self.with_prefix(f"{element}/") if entry.value is True]
        return [self.put(now, key, False, 1) for key in known]  # kept until the addition would have expired

    def contains(self, element: str) -> bool:
        return any(entry.value is True for _, entry in self.with_prefix(f"{element}/"))

    def merge(self, now: int, rows: Iterable[Row]) -> list[str]:
        """Merges rows of another replica; returns the changed keys. Invalid rows are counted and skipped."""
        changed = []
        for row in rows:
            try:
                key, entry, keyspace = self._parse_row(row)
                self.clock.observe(now, entry.timestamp.time_us, entry.timestamp.counter)
            except ClockSkewError:
                self.rejected["ahead"] += 1
                continue
            except (ValueError, TypeError, AttributeError):
                self.rejected["unreadable"] += 1
                continue
            time = self.clock.time(now)
            if not time < entry.until <= time + keyspace.max_lifetime:
                self.rejected["out"] += 1  # expired already, or would exceed the maximum lifetime
            elif self._store(key, entry, keyspace):
                changed.append(key)
        return changed

    def holds(self, row: Row) -> bool:
        """Whether this row or one that outranks it is stored here; false for a rejected row."""
        key, entry, keyspace = self._parse_row(row)
        mine = self.entries.get(key)
        return mine is not None and self._precedence(keyspace.merge_rule, mine) >= self._precedence(
            keyspace.merge_rule, entry
        )

    def _parse_row(self, row: Row) -> tuple[str, Entry, Keyspace]:
        """ValueError, TypeError or AttributeError for a malformed row."""
        key, value, at, count, who, until = row
        keyspace = self._keyspace(key)
        if type(at) is not int or type(count) is not int or type(until) is not int or type(who) is not str:
            raise EntryRejectedError(f"{key}: malformed timestamp")
        return (
            key,
            Entry(value, Timestamp(at, count, who), until, self._encode_value(key, value, keyspace)),
            keyspace,
        )

    @staticmethod
    def _encode_value(key: str, value: Value, keyspace: Keyspace) -> bytes:
        """Canonical JSON of the value; EntryRejectedError if the keyspace does not allow the value."""
        if keyspace.merge_rule is MergeRule.MAXIMUM and (
            isinstance(value, bool) or not isinstance(value, int | float)
        ):
            raise EntryRejectedError(f"{key}: {value!r} is not a number")
        if keyspace.merge_rule is MergeRule.REMOVE_WINS and not isinstance(value, bool):
            raise EntryRejectedError(f"{key}: {value!r} is not a boolean")
        encoded = encode_canonical(value)
        if len(encoded) > MAX_VALUE_BYTES or len(key.encode()) > MAX_KEY_BYTES:
            raise EntryRejectedError(
                f"{key[:MAX_KEY_BYTES]}: value is over {MAX_VALUE_BYTES} bytes, or key over {MAX_KEY_BYTES}"
            )
        return encoded

    def expire(self, now: int) -> None:
        """Drops entries that have expired on the fleet's time."""
        time = self.clock.time(now)
        for heap in self.expiries.values():
            while heap and heap[0][0] <= time:
                until, key = heapq.heappop(heap)
                entry = self.entries.get(key)
                if entry is not None and entry.until == until:
                    self._remove(key)

    def next_expiry(self) -> int | None:
        """When the next entry expires, on the fleet's time."""
        return min((heap[0][0] for heap in self.expiries.values() if heap), default=None)

    def _keyspace(self, key: str) -> Keyspace:
        keyspace = self.keyspaces.get(key.partition("/")[0])
        if keyspace is None:
            raise EntryRejectedError(f"{key}: unknown keyspace")
        return keyspace

    @staticmethod
    def _precedence(merge_rule: MergeRule, entry: Entry) -> tuple:
        """Total order of the versions of a key; the greater one wins."""
        value, timestamp, until, encoded = entry
        if merge_rule is MergeRule.MAXIMUM:
            return value, timestamp, until, encoded
        if merge_rule is MergeRule.REMOVE_WINS:
            return value is False, timestamp, until, encoded
        return timestamp, until, encoded

    def _store(self, key: str, entry: Entry, keyspace: Keyspace) -> bool:
        old = self.entries.get(key)
        if old is not None and self._precedence(keyspace.merge_rule, entry) <= self._precedence(
            keyspace.merge_rule, old
        ):
            return False
        name = key.partition("/")[0]
        if old is not None:
            self._remove(key)
        self._insert(key, entry)
        heap = self.expiries[name]
        heapq.heappush(heap, (entry.until, key))
        self.changes += 1
        # Evict the entry that expires first, the same on every member.
        while self.entry_counts[name] > keyspace.max_entries:
            until, earliest = heapq.heappop(heap)
            if (stored := self.entries.get(earliest)) is not None and stored.until == until:
                self._remove(earliest)
                self.rejected["room"] += 1
        if len(heap) > 4 * max(16, self.entry_counts[name]):  # rebuild the heap when most of it is stale
            heap[:] = [(self.entries[k].until, k) for k in self.entries if k.partition("/")[0] == name]
            heapq.heapify(heap)
        return key in self.entries

    def _insert(self, key: str, entry: Entry) -> None:
        leaf = leaf_of(key)
        self.version += 1
        self.entries[key] = entry
        self.keys_by_leaf.setdefault(leaf, set()).add(key)
        self.leaf_digests[leaf] ^= self._hash(key, entry)
        self.entry_counts[key.partition("/")[0]] += 1

    def _remove(self, key: str) -> None:
        leaf, entry = leaf_of(key), self.entries.pop(key)
        self.version += 1
        self.keys_by_leaf[leaf].discard(key)
        if not self.keys_by_leaf[leaf]:
            del self.keys_by_leaf[leaf]
        self.leaf_digests[leaf] ^= self._hash(key, entry)
        self.entry_counts[key.partition("/")[0]] -= 1

    @staticmethod
    def _hash(key: str, entry: Entry) -> int:
        timestamp = entry.timestamp
        content = (
            f"{key}\0{timestamp.time_us}\0{timestamp.counter}\0{timestamp.member}\0{entry.until}\0".encode()
            + entry.encoded
        )
        return xxhash.xxh64_intdigest(content)
