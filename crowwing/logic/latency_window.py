"""The newest latencies of one kind of work and the queue timeout that follows from them.

Shared by the backend and the serving tier. Pure; one unit of time throughout, whichever the caller uses.
"""

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Iterator, Sequence
from typing import Generic, TypeVar

Latency = TypeVar("Latency", int, float)

SAMPLES, ENOUGH = 64, 8  # latencies that a P90 is taken from, and before it counts


def p90(ranked: Sequence[Latency]) -> Latency:
    """The 90th percentile of latencies in ascending order."""
    return ranked[len(ranked) * 9 // 10]


def queue_timeout(usual_p90: Latency, aim: Latency, least: Latency, most: Latency) -> Latency:
    """How long a request may be held: one P90, but no longer than a P90 leaves of the time it has."""
    return max(least, min(usual_p90, aim - usual_p90, most))


class LatencyWindow(Generic[Latency]):
    """The newest latencies, in order of arrival and of size."""

    def __init__(self) -> None:
        self._newest: deque[Latency] = deque()
        self.ranked: list[Latency] = []

    def __len__(self) -> int:
        return len(self._newest)

    def __iter__(self) -> Iterator[Latency]:
        """The latencies in order of arrival."""
        return iter(self._newest)

    @property
    def enough(self) -> bool:
        """Whether there are enough for a percentile."""
        return len(self._newest) >= ENOUGH

    @property
    def full(self) -> bool:
        """Whether the next latency drives the oldest out."""
        return len(self._newest) >= SAMPLES

    def add(self, latency: Latency) -> Latency | None:
        """Takes one in; gives the oldest, where that is dropped for it."""
        oldest = self._newest.popleft() if self.full else None
        if oldest is not None:
            del self.ranked[bisect_left(self.ranked, oldest)]
        self._newest.append(latency)
        insort(self.ranked, latency)
        return oldest
