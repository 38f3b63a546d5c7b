"""Sliding windows of the newest values in ascending order, of one kind and of several kinds."""

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Iterator
from typing import Generic, TypeVar

Number = TypeVar("Number", int, float)


class RankedWindow(Generic[Number]):
    """The newest values, ranked."""

    def __init__(self, size: int) -> None:
        self._size = size
        self._newest: deque[Number] = deque()
        self.ranked: list[Number] = []

    def __len__(self) -> int:
        return len(self._newest)

    def __iter__(self) -> Iterator[Number]:
        """The values in order of arrival."""
        return iter(self._newest)

    def add(self, value: Number) -> Number | None:
        """Adds a value; returns the oldest one if that is evicted for it."""
        oldest = self._newest.popleft() if len(self._newest) >= self._size else None
        if oldest is not None:
            del self.ranked[bisect_left(self.ranked, oldest)]
        self._newest.append(value)
        insort(self.ranked, value)
        return oldest


class RankedWindows(Generic[Number]):
    """The newest values of each of several kinds, ranked by kind and over all kinds."""

    def __init__(self, kinds: int, size: int) -> None:
        self._windows: list[RankedWindow[Number]] = [RankedWindow(size) for _ in range(kinds)]
        self.ranked: list[Number] = []  # of all kinds

    def __getitem__(self, kind: int) -> RankedWindow[Number]:
        return self._windows[kind]

    def __iter__(self) -> Iterator[RankedWindow[Number]]:
        """The windows in the order of their kinds."""
        return iter(self._windows)

    def add(self, kind: int, value: Number) -> None:
        """Adds a value of a kind."""
        oldest = self._windows[kind].add(value)
        if oldest is not None:
            del self.ranked[bisect_left(self.ranked, oldest)]
        insort(self.ranked, value)
