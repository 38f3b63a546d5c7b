"""The state machine that log entries are applied to."""

from collections.abc import Iterable, Mapping
from typing import Protocol


class Machine(Protocol):
    """The replicated state, partitioned into numbered ranges (ranges.py)."""

    def apply(self, payload: bytes, index: int) -> None:
        """Applies the entry with this index."""

    def freeze(self) -> Iterable[tuple[int, bytes]]:
        """All non-empty ranges as of this call; encoded lazily, on whichever thread iterates."""

    def range_of(self, payload: bytes) -> int:
        """The one range that an entry changes."""

    def digests(self) -> tuple[bytes, ...]:
        """A digest of each range; equal for ranges that the same entries were applied to."""

    def dump_range(self, number: int) -> bytes:
        """The content of one range."""

    def replace_ranges(self, contents: Mapping[int, bytes]) -> None:
        """Replaces the content of some ranges."""
