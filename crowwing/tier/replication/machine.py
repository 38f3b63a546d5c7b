"""The state machine that log entries are applied to."""

from collections.abc import Iterable, Mapping
from typing import Protocol


class Machine(Protocol):
    """The state that the entries make up, in numbered ranges (ranges.py)."""

    def apply(self, payload: bytes, index: int) -> None:
        """Applies the entry with this index."""

    def freeze(self) -> Iterable[tuple[int, bytes]]:
        """All ranges that are not empty with their content as it is now, made when iterated by any thread."""

    def range_of(self, payload: bytes) -> int:
        """The one range that an entry changes."""

    def digests(self) -> tuple[bytes, ...]:
        """A digest of each range; ranges that went through the same entries have the same."""

    def dump_range(self, number: int) -> bytes:
        """The content of one range."""

    def replace_ranges(self, contents: Mapping[int, bytes]) -> None:
        """Replaces the content of some ranges."""
