"""The state that the fleet keeps together, as one member's copy: entries, the rule for copies that differ,
digests. Pure.

An entry is a key (`space/...`), a small JSON value, the stamp of who said it, and when it runs out. Two
copies of one key are settled by its space's rule, each the greater in a total order, so that merging in any
order, any number of times, gives the same (Shapiro, Preguiça, Baquero, Zawirski, "Conflict-free Replicated
Data Types", SSS 2011):

- LATEST: the later stamp; the member's name breaks a tie. For what one can overwrite.
- MOST: the greater number. For counters, of which each member and window has its own key.
- GONE: taken out beats put in. For sets whose members each carry the stamp of their adding in the key: an
  adding that nobody saw when the taking out was said has another key, and stays (add wins).

Nothing stays for ever: an entry runs out at `until` on the fleet's time, and what replaces it never runs out
earlier, so that no old copy outlives a newer one. A space holds `most` entries: of more, those that run out
last, which all members choose alike. What is put here is refused from seven eighths on, so that what others
put at the same moment finds room.

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

from crowwing.fleet.state.hybrid_clock import Hybrid, Stamp, TooFarAhead

LEAVES, GROUPS = 256, 16
A_GROUP = LEAVES // GROUPS
# In cells a fetch tells sums by their last 32 bits: two that differ pass for alike once in 4 billion, and the
# next comparing, by whole sums, finds them. Up to `FEW` entries it tells groups alone, since the entries of
# one that differs are then fewer bytes than the sums of all leaves.
SHORT, FEW = 0xFFFFFFFF, 400
VALUE_MOST, KEY_MOST = 512, 160  # bytes: an entry has to fit one datagram with room to spare
ROOM = 7 / 8  # part of a space that what is put here may fill

Value = int | float | str | bool | None | list | dict
Row = list  # an entry on the wire and on disk: [key, value, at, count, who, until]


class Join(Enum):
    LATEST, MOST, GONE = auto(), auto(), auto()


@dataclass(frozen=True, slots=True)
class Space:
    """What one kind of state may take: entries, and the longest life of one, µs. `wide`: for all members,
    where a fleet is in cells; else for those of a cell."""

    join: Join
    most: int
    longest: int
    wide: bool = False


class Entry(NamedTuple):
    value: Value
    stamp: Stamp
    until: int
    packed: bytes  # of the value, its keys in order: the last word between two of one stamp


class NotKept(ValueError):
    """Why something cannot be put: one line."""


def packed(value: Value) -> bytes:
    """In bytes of its own: what orjson 3.13 returns keeps the 4 kB that it was written into."""
    return bytes(memoryview(orjson.dumps(value, option=orjson.OPT_SORT_KEYS)))


def unpacked(sums: str) -> tuple[int, ...]:
    """Sums of all groups or of all leaves, as `packed` tells them. ValueError for what are none."""
    data = base64.b64decode(sums, validate=True)
    if len(data) not in (4 * GROUPS, 4 * LEAVES):
        raise ValueError("no sums of ours")
    return struct.unpack(f"<{len(data) // 4}I", data)


def leaf_of(key: str) -> int:
    return xxhash.xxh64_intdigest(key.encode()) % LEAVES


class Copies:
    """One member's copy. `turn` runs entries out; `changes` counts what was taken, for whoever writes it
    down."""

    def __init__(
        self, me: str, spaces: dict[str, Space], drift_most: int, clock: Hybrid | None = None
    ) -> None:
        """`clock`: shared with this member's other copy, where it has two."""
        self.me, self.spaces, self.clock = me, spaces, clock or Hybrid(me, drift_most)
        self.entries: dict[str, Entry] = {}  # emptied by each entry's `until`, bounded by each space's `most`
        self.held: Counter[str] = Counter()  # entries by space
        self.leaves = [0] * LEAVES
        self.keys: dict[int, set[str]] = {}  # by leaf; emptied with the entries
        self.ends: dict[str, list[tuple[int, str]]] = {
            name: [] for name in spaces
        }  # heaps; stale ones lazily
        self.changes = self.version = 0  # what was taken; any change, running out too
        self.summed: tuple[int, int] = (-1, 0)  # the root, and of which version it is
        self.refused: Counter[str] = Counter()

    # Looking

    def look(self, key: str) -> Value:
        """None where nothing is kept."""
        entry = self.entries.get(key)
        return None if entry is None else entry.value

    def under(self, prefix: str) -> Iterator[tuple[str, Entry]]:
        return ((key, entry) for key, entry in self.entries.items() if key.startswith(prefix))

    def root(self) -> int:
        if self.summed[0] != self.version:
            self.summed = self.version, self._root()
        return self.summed[1]

    def _root(self) -> int:
        return xxhash.xxh64_intdigest(b"".join(leaf.to_bytes(8, "little") for leaf in self.leaves))

    def packed(self) -> str:
        """What a fetch tells of this copy, so that only what differs comes; empty where nothing is held."""
        if not self.entries:
            return ""
        sums = self.groups() if len(self.entries) <= FEW else self.leaves
        return base64.b64encode(struct.pack(f"<{len(sums)}I", *(one & SHORT for one in sums))).decode()

    def unlike(self, sums: str) -> list[int]:
        """The leaves in which a copy that told these may differ. ValueError for what are none."""
        if not sums:
            return list(range(LEAVES))
        theirs = unpacked(sums)
        mine = self.groups() if len(theirs) == GROUPS else self.leaves
        size = LEAVES // len(theirs)
        differ = (n for n, one in enumerate(theirs) if one != mine[n] & SHORT)
        return [leaf for n in differ for leaf in range(n * size, (n + 1) * size)]

    def groups(self) -> list[int]:
        """A sum for each group of leaves."""
        whole = b"".join(leaf.to_bytes(8, "little") for leaf in self.leaves)
        step = 8 * A_GROUP
        return [xxhash.xxh64_intdigest(whole[n : n + step]) for n in range(0, len(whole), step)]

    def rows(self, leaves: Iterable[int]) -> Iterator[Row]:
        for leaf in leaves:
            for key in sorted(self.keys.get(leaf, ())):
                yield self.row(key)

    def row(self, key: str) -> Row:
        value, stamp, until, _ = self.entries[key]
        return [key, value, stamp.at, stamp.count, stamp.who, until]

    def every(self) -> Iterator[Row]:
        return self.rows(range(LEAVES))

    # Changing

    def put(self, now: int, key: str, value: Value, life: int) -> Row:
        """Says something here, for `life` µs; NotKept where it cannot be kept."""
        space = self._space(key)
        if life <= 0 or life > space.longest:
            raise NotKept(f"{key}: is to live {life} µs, of at most {space.longest}")
        old = self.entries.get(key)
        name = key.partition("/")[0]
        if old is None and self.held[name] >= ROOM * space.most:
            raise NotKept(f"{key}: {name} is full ({self.held[name]} of {space.most})")
        text = self._fits(key, value, space)
        stamp = self.clock.next(now)
        until = max(stamp.at + life, old.until if old is not None else 0)
        self._take(key, Entry(value, stamp, until, text), space)
        return self.row(key)

    def add(self, now: int, element: str, life: int) -> Row:
        """Puts `space/element` into its set under a key of its own, so that only a taking out that has seen
        this adding undoes it."""
        tag = self.clock.next(now)
        return self.put(now, f"{element}/{tag.at}.{tag.count}.{tag.who}", True, life)

    def take_out(self, now: int, element: str) -> list[Row]:
        """Takes out every adding of `space/element` that is known here."""
        known = [key for key, entry in self.under(f"{element}/") if entry.value is True]
        return [self.put(now, key, False, 1) for key in known]  # it stays until the adding would have run out

    def has(self, element: str) -> bool:
        return any(entry.value is True for _, entry in self.under(f"{element}/"))

    def merge(self, now: int, rows: Iterable[Row]) -> list[str]:
        """Takes what others say; the keys whose entry changed. A row that is none is refused and counted, and
        the others count."""
        changed = []
        for row in rows:
            try:
                key, entry, space = self._read(row)
                self.clock.heard(now, entry.stamp.at, entry.stamp.count)
            except TooFarAhead:
                self.refused["ahead"] += 1
                continue
            except (ValueError, TypeError, AttributeError):
                self.refused["unreadable"] += 1
                continue
            time = self.clock.time(now)
            if not time < entry.until <= time + space.longest:
                self.refused["out"] += 1  # it has run out here, or would stay beyond its space's longest
            elif self._take(key, entry, space):
                changed.append(key)
        return changed

    def holds(self, row: Row) -> bool:
        """Whether this row, or one that outranks it, is kept here: what is refused is not."""
        key, entry, space = self._read(row)
        mine = self.entries.get(key)
        return mine is not None and self._rank(space.join, mine) >= self._rank(space.join, entry)

    def _read(self, row: Row) -> tuple[str, Entry, Space]:
        """ValueError, TypeError or AttributeError for what is no row of ours."""
        key, value, at, count, who, until = row
        space = self._space(key)
        if type(at) is not int or type(count) is not int or type(until) is not int or type(who) is not str:
            raise NotKept(f"{key}: no stamp")
        return key, Entry(value, Stamp(at, count, who), until, self._fits(key, value, space)), space

    @staticmethod
    def _fits(key: str, value: Value, space: Space) -> bytes:
        """The value as it is compared; NotKept where it is none of this space's."""
        if space.join is Join.MOST and (isinstance(value, bool) or not isinstance(value, int | float)):
            raise NotKept(f"{key}: {value!r} is no number")
        if space.join is Join.GONE and not isinstance(value, bool):
            raise NotKept(f"{key}: {value!r} is neither in nor out")
        text = packed(value)
        if len(text) > VALUE_MOST or len(key.encode()) > KEY_MOST:
            raise NotKept(f"{key[:KEY_MOST]}: takes over {VALUE_MOST} bytes, or its key over {KEY_MOST}")
        return text

    def turn(self, now: int) -> None:
        """Runs out what has had its time on the fleet's clock."""
        time = self.clock.time(now)
        for heap in self.ends.values():
            while heap and heap[0][0] <= time:
                until, key = heapq.heappop(heap)
                entry = self.entries.get(key)
                if entry is not None and entry.until == until:
                    self._drop(key)

    def runs_out(self) -> int | None:
        """When the next entry runs out, on the fleet's time."""
        return min((heap[0][0] for heap in self.ends.values() if heap), default=None)

    def _space(self, key: str) -> Space:
        space = self.spaces.get(key.partition("/")[0])
        if space is None:
            raise NotKept(f"{key}: no space of this fleet")
        return space

    @staticmethod
    def _rank(join: Join, entry: Entry) -> tuple:
        """The total order in which the greater copy wins."""
        value, stamp, until, text = entry
        if join is Join.MOST:
            return value, stamp, until, text
        if join is Join.GONE:
            return value is False, stamp, until, text
        return stamp, until, text

    def _take(self, key: str, entry: Entry, space: Space) -> bool:
        old = self.entries.get(key)
        if old is not None and self._rank(space.join, entry) <= self._rank(space.join, old):
            return False
        name = key.partition("/")[0]
        if old is not None:
            self._drop(key)
        self._add(key, entry)
        heap = self.ends[name]
        heapq.heappush(heap, (entry.until, key))
        self.changes += 1
        while self.held[name] > space.most:  # the one that runs out first; the same on every member
            until, first = heapq.heappop(heap)
            if (kept := self.entries.get(first)) is not None and kept.until == until:
                self._drop(first)
                self.refused["room"] += 1
        if len(heap) > 4 * max(16, self.held[name]):  # overwritten ones do not gather
            heap[:] = [(self.entries[k].until, k) for k in self.entries if k.partition("/")[0] == name]
            heapq.heapify(heap)
        return key in self.entries

    def _add(self, key: str, entry: Entry) -> None:
        leaf = leaf_of(key)
        self.version += 1
        self.entries[key] = entry
        self.keys.setdefault(leaf, set()).add(key)
        self.leaves[leaf] ^= self._hash(key, entry)
        self.held[key.partition("/")[0]] += 1

    def _drop(self, key: str) -> None:
        leaf, entry = leaf_of(key), self.entries.pop(key)
        self.version += 1
        self.keys[leaf].discard(key)
        if not self.keys[leaf]:
            del self.keys[leaf]
        self.leaves[leaf] ^= self._hash(key, entry)
        self.held[key.partition("/")[0]] -= 1

    @staticmethod
    def _hash(key: str, entry: Entry) -> int:
        stamp = entry.stamp
        whole = f"{key}\0{stamp.at}\0{stamp.count}\0{stamp.who}\0{entry.until}\0".encode() + entry.packed
        return xxhash.xxh64_intdigest(whole)
