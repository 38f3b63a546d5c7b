"""Leases items of batch jobs to fronts, in the order of their requests."""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from crowwing.tier.configuration import Configuration
from crowwing.tier.replication.core import Role
from crowwing.tier.state.batch_jobs import BatchJob
from crowwing.tier.state.events import BatchItem
from crowwing.tier.store import commands, outcomes
from crowwing.tier.store.leases import ItemKey, JobItem, Leases
from crowwing.tier.store.node import ReplicaNode
from crowwing.tier.store.response_capacity import ResponseCapacity
from crowwing.tier.wire.egress import EgressPacer

FRONT_TIMEOUT_S = 3.0  # time since its last call after which a front is no longer counted
LEASE_SCAN_INTERVAL_S = 0.1  # between scans for expired leases
MIN_RUN_MS = 1500.0  # expected run time of an item from its lease on


@dataclass
class WaitingFront:
    """A front whose request waits for items."""

    front: str
    max_items: int
    leased: "asyncio.Future[list[JobItem]]" = field(repr=False)


class ItemLeasing:
    """The leases of a store machine while it is the primary; owned by `StoreService`."""

    def __init__(
        self,
        node: ReplicaNode,
        configuration: Callable[[], Configuration | None],
        pacer: EgressPacer | None = None,
    ) -> None:
        """Starts without leases.

        Args:
            node: The replica, for the role and the state of this machine.
            configuration: Returns the newest configuration, parsed.
            pacer: Paces the responses to fronts; None if they are not paced.
        """
        self._node = node
        self._configuration = configuration
        self._clock = node.clock
        self._leases = Leases(self._clock.monotonic())
        self._responses = ResponseCapacity(pacer)
        self._waiting: deque[WaitingFront] = deque()
        self._uncommitted: deque[tuple[int, str]] = deque()  # log index and id of each submitted job
        self._last_call_at: dict[str, float] = {}  # by front
        self._primary_since = self._clock.monotonic()

    def on_became_primary(self) -> None:
        """Resets the leases; all jobs in the state are committed at this point."""
        self._leases = Leases(self._clock.monotonic())
        self._uncommitted.clear()
        self._last_call_at.clear()
        self._primary_since = self._clock.monotonic()
        for job in self._node.state.jobs.values():
            self._leases.add_job(job)

    def count_fronts(self) -> int:
        """Counts the fronts that call this primary; 0 until all have had time to call."""
        now = self._clock.monotonic()
        if now - self._primary_since < FRONT_TIMEOUT_S:
            return 0
        self._last_call_at = {
            front: called_at
            for front, called_at in self._last_call_at.items()
            if now - called_at < FRONT_TIMEOUT_S
        }
        return len(self._last_call_at)

    def on_job_proposed(self, index: int, job_id: str) -> None:
        """Registers a job proposed at a log index; its items can be leased once that is committed."""
        self._uncommitted.append((index, job_id))

    def on_committed(self, index: int) -> None:
        """Makes the items of committed jobs available; the log is committed up to `index`."""
        if not self._uncommitted or self._uncommitted[0][0] > index:
            return
        while self._uncommitted and self._uncommitted[0][0] <= index:
            job = self._node.state.jobs.get(self._uncommitted.popleft()[1])
            if job is not None:
                self._leases.add_job(job)
        self._lease_to_waiting_fronts()

    def release(self, key: ItemKey) -> None:
        """Ends the lease of an item that a front has reported on."""
        self._leases.release(self._node.state, key)

    async def lease(
        self, command: commands.LeaseItemsRequest
    ) -> outcomes.LeaseItemsResponse | outcomes.NotPrimary:
        """Renews a front's leases, and waits up to its `wait_ms` for items."""
        if not self._node.replica.holds_lease(self._clock.monotonic()):
            if self._node.replica.role is not Role.FOLLOWER:
                return outcomes.LeaseItemsResponse((), ())
            return outcomes.NotPrimary(self._node.leader)
        state = self._node.state
        self._last_call_at[command.front] = self._clock.monotonic()
        self._leases.give_up(state, command.front, command.given_up)
        stop = self._leases.renew(state, command.front, command.running, self._clock.monotonic())
        leased: list[JobItem] = []
        if command.max_items:
            # A front that has items to stop gets its response at once.
            leased = await self._wait_for_items(command, 0 if stop else command.wait_ms)
        return outcomes.LeaseItemsResponse(tuple(self._to_leased(job, item) for job, item in leased), stop)

    def _to_leased(self, job: BatchJob, item: BatchItem) -> outcomes.LeasedItem:
        age_ms = max(0, self._clock.now_ms() - job.at_ms)
        return outcomes.LeasedItem(job.id, job.host, item, age_ms)

    async def _wait_for_items(self, command: commands.LeaseItemsRequest, wait_ms: int) -> list[JobItem]:
        future: asyncio.Future[list[JobItem]] = asyncio.get_running_loop().create_future()
        waiting = WaitingFront(command.front, command.max_items, future)
        self._waiting.append(waiting)
        self._lease_to_waiting_fronts()
        try:
            async with asyncio.timeout(wait_ms / 1000):
                return await future
        except TimeoutError:
            # The items may have been leased in the same event-loop iteration as the time-out.
            return future.result() if future.done() and not future.cancelled() else []
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)
            if future.done() and not future.cancelled():
                self._responses.release(future.result())

    async def run(self) -> None:
        """Leases items whose lease expired or that waited for link capacity; runs until cancelled."""
        while True:
            await asyncio.sleep(LEASE_SCAN_INTERVAL_S)
            if self._waiting:
                self._lease_to_waiting_fronts()

    def _lease_to_waiting_fronts(self) -> None:
        """Divides the available items evenly among the waiting fronts, longest wait first.

        The remaining fronts keep waiting while the link has no capacity for more items.
        """
        now = self._clock.monotonic()
        if not self._waiting or not self._node.replica.holds_lease(now):
            return
        state = self._node.state
        self._leases.free_expired(state, now)
        is_past_deadline = self._deadline_check()
        while self._waiting and self._responses.has_capacity() and (free := self._leases.free_count):
            waiting = self._waiting[0]
            max_items = min(waiting.max_items, math.ceil(free / len(self._waiting)))
            leased = self._leases.lease(state, waiting.front, max_items, now, is_past_deadline)
            if not leased:
                return
            self._waiting.popleft()
            if not waiting.leased.done():
                self._responses.reserve(leased)
                waiting.leased.set_result(leased)

    def _deadline_check(self) -> Callable[[BatchJob], bool]:
        """Returns a predicate: whether a job can no longer meet the completion SLO of its host."""
        slo_ms = self._completion_slo_ms()
        now_ms = self._clock.now_ms()

        def is_past_deadline(job: BatchJob) -> bool:
            return now_ms - job.at_ms > slo_ms.get(job.host, math.inf) - MIN_RUN_MS

        return is_past_deadline

    def _completion_slo_ms(self) -> dict[str, float]:
        """The completion SLO of batch jobs by host, for routes that have one."""
        configuration = self._configuration()
        routes = configuration.routes if configuration is not None else []
        return {
            route.host: route.completion_slo_ms for route in routes if route.completion_slo_ms is not None
        }
