"""The entries that a replica holds in memory, after the position that its last snapshot stands for."""

from collections import deque

from crowwing.tier.replication.messages import START, Entry, Position

MOST_ENTRIES, MOST_BYTES = 4000, 16 * 1024 * 1024  # kept for those that catch up; older ones get a snapshot


class EntryLog:
    """A contiguous run of entries."""

    def __init__(self) -> None:
        self.base: Position = START
        self._entries: deque[Entry] = deque()
        self._bytes = 0

    @property
    def last(self) -> Position:
        """The position of the newest entry."""
        if not self._entries:
            return self.base
        newest = self._entries[-1]
        return newest.ballot, newest.index

    def reset(self, position: Position) -> None:
        """Forgets all entries: a snapshot at `position` stands for them."""
        self.base = position
        self._entries.clear()
        self._bytes = 0

    def append(self, entry: Entry) -> None:
        """Adds the next entry, and drops the oldest beyond the bound."""
        assert entry.index == self.last[1] + 1, "entries are contiguous"
        self._entries.append(entry)
        self._bytes += len(entry.payload)
        while len(self._entries) > MOST_ENTRIES or self._bytes > MOST_BYTES:
            oldest = self._entries.popleft()
            self._bytes -= len(oldest.payload)
            self.base = (oldest.ballot, oldest.index)

    def contains(self, position: Position) -> bool:
        """Whether the log went through exactly this position."""
        if position == self.base:
            return True
        entry = self.at(position[1])
        return entry is not None and entry.ballot == position[0]

    def at(self, index: int) -> Entry | None:
        """The entry with an index, if it is still held."""
        offset = index - self.base[1] - 1
        return self._entries[offset] if 0 <= offset < len(self._entries) else None

    def after(self, index: int) -> tuple[Entry, ...]:
        """All entries behind an index that is not before the base."""
        offset = max(0, index - self.base[1])
        return tuple(self._entries[place] for place in range(offset, len(self._entries)))
