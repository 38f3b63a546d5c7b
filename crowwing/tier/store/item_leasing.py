"""Hands the items of lots out to the fronts that ask for some, in the order in which they asked."""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from crowwing.tier.configuration import Configuration
from crowwing.tier.replication.core import Role
from crowwing.tier.state.batch_jobs import BatchJob
from crowwing.tier.state.events import BatchItem
from crowwing.tier.store import commands
from crowwing.tier.store.leases import ItemKey, Leases
from crowwing.tier.store.node import ReplicaNode

FRONT_HEARD_S = 3.0  # after its last call a front is not counted any more
HAND_OUT_S = 0.1  # between looks for leases that have ended
RUN_MARGIN_MS = 1500.0  # what an item takes, once it is leased

JobItem = tuple[BatchJob, BatchItem]


@dataclass
class WaitingFront:
    """A front that waits for items."""

    front: str
    most: int
    found: "asyncio.Future[list[JobItem]]" = field(repr=False)


class ItemLeasing:
    """The leases of a store machine while it is the primary."""

    def __init__(self, node: ReplicaNode, configuration: Callable[[], Configuration | None]) -> None:
        self._node, self._configuration = node, configuration
        self._clock = node.clock
        self._leases = Leases(self._clock.monotonic())
        self._waiting: deque[WaitingFront] = deque()
        self._uncommitted: deque[tuple[int, str]] = deque()  # index and lot
        self._heard: dict[str, float] = {}  # fronts, and when they called
        self._since = self._clock.monotonic()

    def became_primary(self) -> None:
        """Starts anew: all lots of the state are committed."""
        self._leases = Leases(self._clock.monotonic())
        self._uncommitted.clear()
        self._heard.clear()
        self._since = self._clock.monotonic()
        for job in self._node.state.jobs.values():
            self._leases.add_job(job)

    def count_fronts(self) -> int:
        """How many fronts call this primary; 0 until all have had the time to."""
        now = self._clock.monotonic()
        if now - self._since < FRONT_HEARD_S:
            return 0
        self._heard = {front: at for front, at in self._heard.items() if now - at < FRONT_HEARD_S}
        return len(self._heard)

    def job_proposed(self, index: int, job_id: str) -> None:
        """A lot stands at an index of the log; its items may run once that is committed."""
        self._uncommitted.append((index, job_id))

    def committed(self, index: int) -> None:
        """The log is committed up to an index."""
        if not self._uncommitted or self._uncommitted[0][0] > index:
            return
        while self._uncommitted and self._uncommitted[0][0] <= index:
            job = self._node.state.jobs.get(self._uncommitted.popleft()[1])
            if job is not None:
                self._leases.add_job(job)
        self._hand_out()

    def release(self, key: ItemKey) -> None:
        """A front has reported on an item."""
        self._leases.release(self._node.state, key)

    async def lease(
        self, command: commands.LeaseItemsRequest
    ) -> commands.LeaseItemsResponse | commands.NotPrimary:
        """Renews what a front runs, and waits for as many items as it wants, or for some of them."""
        if not self._node.replica.holds_lease(self._clock.monotonic()):
            if self._node.replica.role is not Role.FOLLOWER:
                return commands.LeaseItemsResponse((), ())
            return commands.NotPrimary(self._node.leader)
        self._heard[command.front] = self._clock.monotonic()
        self._leases.give_up(self._node.state, command.front, command.given_up)
        stop = self._leases.renew(self._node.state, command.front, command.running, self._clock.monotonic())
        found = (
            [] if not command.most else await self._wait_for_items(command, 0 if stop else command.wait_ms)
        )
        return commands.LeaseItemsResponse(tuple(self._leased(job, item) for job, item in found), stop)

    def _leased(self, job: BatchJob, item: BatchItem) -> commands.LeasedItem:
        return commands.LeasedItem(job.id, job.host, item, max(0, self._clock.now_ms() - job.at_ms))

    async def _wait_for_items(self, command: commands.LeaseItemsRequest, wait_ms: int) -> list[JobItem]:
        waiting = WaitingFront(command.front, command.most, asyncio.get_running_loop().create_future())
        self._waiting.append(waiting)
        self._hand_out()
        try:
            async with asyncio.timeout(wait_ms / 1000):
                return await waiting.found
        except TimeoutError:
            found = waiting.found
            return found.result() if found.done() and not found.cancelled() else []
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)

    async def run(self) -> None:
        """Hands out again what fronts have given up."""
        while True:
            await asyncio.sleep(HAND_OUT_S)
            if self._waiting:
                self._hand_out()

    def _hand_out(self) -> None:
        now = self._clock.monotonic()
        if not self._waiting or not self._node.replica.holds_lease(now):
            return
        self._leases.free_expired(self._node.state, now)
        due_ms, clock = self._due_ms(), self._clock.now_ms()

        def hopeless(job: BatchJob) -> bool:
            return clock - job.at_ms > due_ms.get(job.host, math.inf) - RUN_MARGIN_MS

        while self._waiting and (free := self._leases.free_count):
            waiting = self._waiting[0]
            share = math.ceil(free / len(self._waiting))
            found = self._leases.lease(
                self._node.state, waiting.front, min(waiting.most, share), now, hopeless
            )
            if not found:
                return
            self._waiting.popleft()
            if not waiting.found.done():
                waiting.found.set_result(found)

    def _due_ms(self) -> dict[str, float]:
        """By host, the time after which the results of its lots earn less."""
        configuration = self._configuration()
        routes = configuration.routes if configuration is not None else []
        return {x.host: x.completion_slo_ms for x in routes if x.completion_slo_ms is not None}
