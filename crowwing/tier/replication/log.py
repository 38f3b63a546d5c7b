"""The entries that a replica holds in memory, after the position that its last snapshot stands for."""

from bisect import bisect_right
from collections import deque

from crowwing.tier.replication.records import LogEntry
from crowwing.tier.replication.terms import LOG_START, LogPosition

# Kept in memory for replicas that catch up; whoever lacks older entries is repaired by ranges.
MAX_ENTRIES = 4000
MAX_BYTES = 16 * 1024 * 1024


class EntryLog:
    """A contiguous run of entries."""

    def __init__(self) -> None:
        """An empty log at the start of all entries."""
        self.base: LogPosition = LOG_START
        self._entries: deque[LogEntry] = deque()
        self._ends: deque[int] = deque()  # bytes of all payloads up to each entry
        self._base_end = 0  # the same up to the base

    @property
    def last(self) -> LogPosition:
        """The position of the newest entry."""
        if not self._entries:
            return self.base
        newest = self._entries[-1]
        return newest.term, newest.index

    def reset(self, position: LogPosition) -> None:
        """Forgets all entries: a state at `position` stands for them."""
        self.base = position
        self._entries.clear()
        self._ends.clear()
        self._base_end = 0

    def append(self, entry: LogEntry) -> None:
        """Adds the next entry, and drops the oldest beyond the bound."""
        assert entry.index == self.last[1] + 1, "entries are contiguous"
        end = (self._ends[-1] if self._ends else self._base_end) + len(entry.payload)
        self._entries.append(entry)
        self._ends.append(end)
        while len(self._entries) > MAX_ENTRIES or end - self._base_end > MAX_BYTES:
            oldest = self._entries.popleft()
            self._base_end = self._ends.popleft()
            self.base = (oldest.term, oldest.index)

    def contains(self, position: LogPosition) -> bool:
        """Whether the log went through exactly this position."""
        if position == self.base:
            return True
        entry = self.at(position[1])
        return entry is not None and entry.term == position[0]

    def at(self, index: int) -> LogEntry | None:
        """The entry with an index, if it is still held."""
        offset = index - self.base[1] - 1
        return self._entries[offset] if 0 <= offset < len(self._entries) else None

    def after(self, index: int, upto: int | None = None) -> tuple[LogEntry, ...]:
        """The entries behind an index that is not before the base, up to the newest or to an index."""
        first = max(0, index - self.base[1])
        end = len(self._entries) if upto is None else min(len(self._entries), upto - self.base[1])
        return tuple(self._entries[offset] for offset in range(first, end))

    def bytes_between(self, start: int, end: int) -> int:
        """Bytes of the payloads behind one index up to another, as far as they are held."""
        return self._end_of(end) - self._end_of(start)

    def index_within(self, start: int, max_bytes: int) -> int:
        """The last index behind `start` up to which payloads have so many bytes; at least the next one."""
        if start >= self.last[1]:
            return start
        offset = bisect_right(self._ends, self._end_of(start) + max_bytes)
        return min(self.last[1], max(start + 1, self.base[1] + offset))

    def _end_of(self, index: int) -> int:
        offset = index - self.base[1] - 1
        if offset < 0:
            return self._base_end
        return self._ends[min(offset, len(self._ends) - 1)] if self._ends else self._base_end
