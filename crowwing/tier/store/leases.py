"""Which front runs which item. Kept in memory by the primary alone: a lost lease only means a run that is
repeated.
"""

import heapq
from collections import deque
from collections.abc import Callable, Iterable

from crowwing.tier.state.batch_jobs import BatchJob
from crowwing.tier.state.events import BatchItem
from crowwing.tier.state.views import TierState

LEASE_S = 1.8
GRACE_S = 0.8  # after a change of primary, in which fronts tell what they run

ItemKey = tuple[str, str]  # lot, item


class Leases:
    """Leases of items to fronts. What a call costs does not grow with the items that are leased."""

    def __init__(self, now: float) -> None:
        self._until: dict[ItemKey, float] = {}
        self._holder: dict[ItemKey, str] = {}
        self._ends: list[tuple[float, ItemKey]] = []  # a heap; a lease that was renewed stands in it again
        self._free: dict[str, deque[str]] = {}  # items by lot, oldest lot first
        self._not_before = now + GRACE_S

    def add_job(self, job: BatchJob) -> None:
        """The items of a lot may be leased from now on."""
        self._free[job.id] = deque(job.open_items)

    @property
    def free_count(self) -> int:
        """About how many items wait for a front."""
        return sum(len(items) for items in self._free.values())

    def renew(
        self, state: TierState, front: str, running: Iterable[ItemKey], now: float
    ) -> tuple[ItemKey, ...]:
        """Renews what a front runs; gives what it need not run any more."""
        stop: list[ItemKey] = []
        for key in running:
            if not _is_open(state, key) or self._held_by_other(key, front, now):
                stop.append(key)
            else:
                self._grant(key, front, now)
        return tuple(stop)

    def give_up(self, state: TierState, front: str, keys: Iterable[ItemKey]) -> None:
        """Items that a front has stopped without a result may be leased again at once."""
        for key in keys:
            if self._holder.get(key) == front:
                self.release(state, key)

    def lease(
        self, state: TierState, front: str, most: int, now: float, hopeless: Callable[[BatchJob], bool]
    ) -> list[tuple[BatchJob, BatchItem]]:
        """Leases waiting items, oldest lot first, but lots that can't be in time any more last."""
        self.free_expired(state, now)
        if now < self._not_before:
            return []
        leased: list[tuple[BatchJob, BatchItem]] = []
        for job in self._jobs_with_free_items(state, hopeless):
            self._lease_of(job, front, most, now, leased)
            if len(leased) >= most:
                break
        return leased

    def _jobs_with_free_items(self, state: TierState, hopeless: Callable[[BatchJob], bool]) -> list[BatchJob]:
        for job_id in [x for x, items in self._free.items() if not items or x not in state.jobs]:
            del self._free[job_id]
        return sorted((state.jobs[job_id] for job_id in self._free), key=hopeless)

    def _lease_of(
        self, job: BatchJob, front: str, most: int, now: float, leased: list[tuple[BatchJob, BatchItem]]
    ) -> None:
        free = self._free[job.id]
        while free and len(leased) < most:
            item = job.open_items.get(free.popleft())
            if item is None or self._until.get((job.id, item.id), 0.0) > now:
                continue
            self._grant((job.id, item.id), front, now)
            leased.append((job, item))

    def free_expired(self, state: TierState, now: float) -> None:
        """Items whose lease has ended may be leased again."""
        while self._ends and self._ends[0][0] <= now:
            _, key = heapq.heappop(self._ends)
            if self._until.get(key, now + 1) <= now:
                self.release(state, key)

    def release(self, state: TierState, key: ItemKey) -> None:
        """The item may be leased again at once, before others, unless it has its result."""
        self._until.pop(key, None)
        self._holder.pop(key, None)
        if _is_open(state, key):
            self._free.setdefault(key[0], deque()).appendleft(key[1])

    def _grant(self, key: ItemKey, front: str, now: float) -> None:
        self._until[key], self._holder[key] = now + LEASE_S, front
        heapq.heappush(self._ends, (now + LEASE_S, key))

    def _held_by_other(self, key: ItemKey, front: str, now: float) -> bool:
        return self._until.get(key, 0.0) > now and self._holder.get(key) != front


def _is_open(state: TierState, key: ItemKey) -> bool:
    job = state.jobs.get(key[0])
    return job is not None and key[1] in job.open_items
