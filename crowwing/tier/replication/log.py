"""The log entries that a replica holds in memory, after a base position."""

from bisect import bisect_right
from collections import deque

from crowwing.tier.replication.records import LogEntry
from crowwing.tier.replication.terms import LOG_START, LogPosition

# Kept in memory for replicas that catch up; a replica that lacks older entries is repaired by ranges.
MAX_ENTRIES = 4000
MAX_BYTES = 16 * 1024 * 1024


class EntryLog:
    """A contiguous sequence of entries."""

    def __init__(self) -> None:
        """An empty log that starts before the first entry."""
        self.base: LogPosition = LOG_START
        self._entries: deque[LogEntry] = deque()
        self._ends: deque[int] = deque()  # cumulative payload bytes up to and including each entry
        self._base_end = 0  # cumulative payload bytes up to the base

    @property
    def last(self) -> LogPosition:
        """The position of the newest entry, or the base if there is none."""
        if not self._entries:
            return self.base
        newest = self._entries[-1]
        return newest.term, newest.index

    def reset(self, position: LogPosition) -> None:
        """Discards all entries: the state at `position` includes them."""
        self.base = position
        self._entries.clear()
        self._ends.clear()
        self._base_end = 0

    def append(self, entry: LogEntry) -> None:
        """Appends the next entry and drops the oldest ones beyond the limits."""
        assert entry.index == self.last[1] + 1, "entries are contiguous"
        end = (self._ends[-1] if self._ends else self._base_end) + len(entry.payload)
        self._entries.append(entry)
        self._ends.append(end)
        while len(self._entries) > MAX_ENTRIES or end - self._base_end > MAX_BYTES:
            oldest = self._entries.popleft()
            self._base_end = self._ends.popleft()
            self.base = (oldest.term, oldest.index)

    def contains(self, position: LogPosition) -> bool:
        """Whether the log has an entry, or its base, with exactly this term and index."""
        if position == self.base:
            return True
        entry = self.at(position[1])
        return entry is not None and entry.term == position[0]

    def at(self, index: int) -> LogEntry | None:
        """The entry with an index, if it is still in memory."""
        offset = index - self.base[1] - 1
        return self._entries[offset] if 0 <= offset < len(self._entries) else None

    def after(self, index: int, upto: int | None = None) -> tuple[LogEntry, ...]:
        """The entries after `index`, which is not below the base, up to `upto` (default: the newest)."""
        first = max(0, index - self.base[1])
        end = len(self._entries) if upto is None else min(len(self._entries), upto - self.base[1])
        return tuple(self._entries[offset] for offset in range(first, end))

    def bytes_between(self, start: int, end: int) -> int:
        """Payload bytes of the entries after `start` up to `end`, as far as they are in memory."""
        return self._end_of(end) - self._end_of(start)

    def index_within(self, start: int, max_bytes: int) -> int:
        """The last index after `start` within `max_bytes` of payloads; at least the next entry."""
        if start >= self.last[1]:
            return start
        offset = bisect_right(self._ends, self._end_of(start) + max_bytes)
        return min(self.last[1], max(start + 1, self.base[1] + offset))

    def _end_of(self, index: int) -> int:
        offset = index - self.base[1] - 1
        if offset < 0:
            return self._base_end
        return self._ends[min(offset, len(self._ends) - 1)] if self._ends else self._base_end
