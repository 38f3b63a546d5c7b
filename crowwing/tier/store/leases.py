"""Leases of batch items: which front runs which item, and until when.

Leases are kept only in the primary's memory: losing one just means that its item is run again.
"""

import heapq
from collections import deque
from collections.abc import Callable, Iterable

from crowwing.tier.state.batch_jobs import BatchJob
from crowwing.tier.state.events import BatchItem
from crowwing.tier.state.tier_state import TierState

LEASE_S = 1.8
TAKEOVER_GRACE_S = 0.8  # after a change of primary, so that fronts can renew their leases with the new one

ItemKey = tuple[str, str]  # job, item
JobItem = tuple[BatchJob, BatchItem]


class Leases:
    """Leases of items to fronts; owned by `ItemLeasing`.

    The cost of a call does not depend on the number of leased items. All times are seconds of one monotonic
    clock.
    """

    def __init__(self, now: float) -> None:
        """Creates an empty table for a machine that became the primary at `now`."""
        self._expires_at: dict[ItemKey, float] = {}
        self._owners: dict[ItemKey, str] = {}
        self._expirations: list[tuple[float, ItemKey]] = []  # a heap; a renewed lease has several entries
        self._free: dict[str, deque[str]] = {}  # items by job, oldest job first
        self._not_before = now + TAKEOVER_GRACE_S

    def add_job(self, job: BatchJob) -> None:
        """Makes the open items of a job available for leasing."""
        self._free[job.id] = deque(job.open_items)

    @property
    def free_count(self) -> int:
        """Approximate number of unleased items; may include items that already have a result."""
        return sum(len(items) for items in self._free.values())

    def renew(
        self, state: TierState, front: str, running: Iterable[ItemKey], now: float
    ) -> tuple[ItemKey, ...]:
        """Renews the leases of the items that a front is running.

        Returns:
            The items that it must stop: those that have a result or are now leased to another front.
        """
        stop: list[ItemKey] = []
        for key in running:
            # Without the second check, two fronts could run one item after the first one's lease expired.
            if not _is_open(state, key) or self._is_leased_to_another(key, front, now):
                stop.append(key)
            else:
                self._grant(key, front, now)
        return tuple(stop)

    def give_up(self, state: TierState, front: str, keys: Iterable[ItemKey]) -> None:
        """Makes items that a front stopped without a result available again at once.

        Leases of other fronts are left alone: a retried call may arrive after an item was leased to another.
        """
        for key in keys:
            if self._owners.get(key) == front:
                self.release(state, key)

    def lease(
        self,
        state: TierState,
        front: str,
        max_items: int,
        now: float,
        is_past_deadline: Callable[[BatchJob], bool],
    ) -> list[JobItem]:
        """Leases available items: oldest job first, jobs past their deadline last.

        Args:
            state: The state whose items are leased.
            front: The owner of the leases.
            max_items: The maximum number of items.
            now: The time on the monotonic clock.
            is_past_deadline: Whether a job can no longer be completed in time.
        """
        self.free_expired(state, now)
        if now < self._not_before:
            return []
        leased: list[JobItem] = []
        for job in self._jobs_with_free_items(state, is_past_deadline):
            self._lease_items_of(job, front, max_items, now, leased)
            if len(leased) >= max_items:
                break
        return leased

    def _jobs_with_free_items(
        self, state: TierState, is_past_deadline: Callable[[BatchJob], bool]
    ) -> list[BatchJob]:
        """Returns the jobs in leasing order; drops those that were removed or have no available items."""
        obsolete = [job_id for job_id, items in self._free.items() if not items or job_id not in state.jobs]
        for job_id in obsolete:
            del self._free[job_id]
        return sorted((state.jobs[job_id] for job_id in self._free), key=is_past_deadline)

    def _lease_items_of(
        self, job: BatchJob, front: str, max_items: int, now: float, leased: list[JobItem]
    ) -> None:
        free = self._free[job.id]
        while free and len(leased) < max_items:
            item = job.open_items.get(free.popleft())
            # A new primary makes all open items available; fronts may have renewed leases on them since.
            if item is None or self._expires_at.get((job.id, item.id), 0.0) > now:
                continue
            self._grant((job.id, item.id), front, now)
            leased.append((job, item))

    def free_expired(self, state: TierState, now: float) -> None:
        """Makes items with expired leases available again."""
        while self._expirations and self._expirations[0][0] <= now:
            _, key = heapq.heappop(self._expirations)
            if self._expires_at.get(key, now + 1) <= now:
                self.release(state, key)

    def release(self, state: TierState, key: ItemKey) -> None:
        """Ends a lease; an item without a result goes to the head of its job's queue."""
        self._expires_at.pop(key, None)
        self._owners.pop(key, None)
        if _is_open(state, key):
            self._free.setdefault(key[0], deque()).appendleft(key[1])

    def _grant(self, key: ItemKey, front: str, now: float) -> None:
        expires_at = now + LEASE_S
        self._expires_at[key] = expires_at
        self._owners[key] = front
        heapq.heappush(self._expirations, (expires_at, key))

    def _is_leased_to_another(self, key: ItemKey, front: str, now: float) -> bool:
        return self._expires_at.get(key, 0.0) > now and self._owners.get(key) != front


def _is_open(state: TierState, key: ItemKey) -> bool:
    job_id, item = key
    job = state.jobs.get(job_id)
    return job is not None and item in job.open_items
