"""Runs batch items alongside live requests: leases them from the primary and reports their results."""

import asyncio
import logging
import time

from crowwing.tier.configuration import choose_service
from crowwing.tier.front.batch_item_run import ItemReport, make_item_run
from crowwing.tier.front.dispatch import Dispatcher
from crowwing.tier.front.service_pool import ServicePool
from crowwing.tier.front.store_client import StoreClient
from crowwing.tier.store import commands, outcomes

log = logging.getLogger("crowwing.lots")

LEASE_WAIT_MS = 600  # how long the primary may wait for items (long polling)
LEASE_TIMEOUT_S, LEASE_CONFIRM_S = 2.0, 1.2  # of a lease call; before the primary is confirmed
REPORT_TIMEOUT_S = 4.0
MAX_REPORT_CALLS = 8
POLL_INTERVAL_S, MIN_POLL_INTERVAL_S = 0.15, 0.02
IDLE_CALL_INTERVAL_S = 1.0  # between calls without free slots: the primary counts the fronts that call
LEASE_RENEWAL_INTERVAL_S = 0.45  # the same while items run; their leases last 1.8 s

ItemKey = tuple[str, str]  # job id and item id


def is_call_due(free_slots: int, item_count: int, since_call_s: float) -> bool:
    """Whether a front calls the primary now.

    Args:
        free_slots: How many more items it could start.
        item_count: Items that are running, or that it has given up and not reported yet.
        since_call_s: The time since its last call.
    """
    if free_slots > 0:
        return True
    interval_s = LEASE_RENEWAL_INTERVAL_S if item_count else IDLE_CALL_INTERVAL_S
    return since_call_s >= interval_s


def pause_after(item_count: int, waited_s: float) -> float:
    """Returns the pause in seconds after a lease call.

    Args:
        item_count: Items in the last response.
        waited_s: How long the call took. After an immediate empty response the front does not call at once.
    """
    return MIN_POLL_INTERVAL_S if item_count else max(MIN_POLL_INTERVAL_S, POLL_INTERVAL_S - waited_s)


class BatchJobRunner:
    """Leases and runs batch items. Owned by the front's process, which runs `run` and `finish`.

    Attributes:
        draining: Whether this front is shutting down and starts no more items.
    """

    def __init__(self, name: str, pool: ServicePool, store: StoreClient) -> None:
        """Leases items under the name `name`, and runs them at the sidecars of a pool."""
        self._name, self._pool, self._store = name, pool, store
        self._dispatcher = Dispatcher(pool)
        self._running: dict[ItemKey, asyncio.Task[None]] = {}
        self._given_up: set[ItemKey] = set()  # ended without a result, not yet reported to the primary
        self.draining = False

    async def run(self) -> None:
        """Leases items while slots are free, and renews leases in any case; never returns."""
        called_at = -IDLE_CALL_INTERVAL_S
        while True:
            free_slots = 0 if self.draining else self._count_free_slots()
            item_count = len(self._running) + len(self._given_up)
            if not is_call_due(free_slots, item_count, time.monotonic() - called_at):
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            called_at = time.monotonic()
            response = await self._lease(free_slots)
            if response is None:
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            self._apply(response)
            await asyncio.sleep(pause_after(len(response.items), time.monotonic() - called_at))

    async def _lease(self, free_slots: int) -> outcomes.LeaseItemsResponse | None:
        """Renews leases and requests more items; None if no primary responds."""
        wait_ms = LEASE_WAIT_MS if free_slots else LEASE_WAIT_MS // 2
        given_up = tuple(self._given_up)
        command = commands.LeaseItemsRequest(self._name, free_slots, tuple(self._running), wait_ms, given_up)
        outcome = await self._store.call(command, LEASE_TIMEOUT_S, confirm_s=LEASE_CONFIRM_S)
        if not isinstance(outcome, outcomes.LeaseItemsResponse):
            return None
        self._given_up.difference_update(given_up)
        return outcome

    def _apply(self, response: outcomes.LeaseItemsResponse) -> None:
        """Cancels the runs whose leases were lost, and starts the newly leased items."""
        for key in response.stop:
            task = self._running.pop(key, None)
            if task is not None:
                task.cancel()
        for leased in response.items:
            self._start(leased)

    def _count_free_slots(self) -> int:
        """How many more items could start now, at the service with the most free slots for them."""
        table = self._pool.table
        if table is None or not self._pool.has_endpoint_list:
            return 0
        services = {
            share.service
            for route in table.configuration.routes
            if route.kind == "batch_queue"
            for share in route.services
        }
        now = time.monotonic()
        sidecars = self._pool.sidecars
        counts = [
            min(
                self._pool.admission(service).free_capacity,
                sidecars.free_slots(service, now).batch,
                sidecars.max_batch_items(service) - len(self._running),
            )
            for service in services
        ]
        return max(0, max(counts, default=0))

    def _start(self, leased: outcomes.LeasedItem) -> None:
        key = (leased.job_id, leased.item.id)
        if key in self._running:
            return
        self._given_up.discard(key)
        task = asyncio.ensure_future(self._run_item(leased))
        self._running[key] = task
        task.add_done_callback(lambda ended: self._ended(key, ended))

    def _ended(self, key: ItemKey, task: asyncio.Task[None]) -> None:
        if self._running.get(key) is task:
            del self._running[key]
            self._given_up.add(key)
        if not task.cancelled() and task.exception() is not None:
            log.error("item_failed job=%s item=%s", *key, exc_info=task.exception())

    async def _run_item(self, leased: outcomes.LeasedItem) -> None:
        table = self._pool.table
        route = table.find(leased.host, leased.item.path) if table is not None else None
        if route is None:
            await asyncio.sleep(POLL_INTERVAL_S)
            return
        service = choose_service(route, leased.item.id.encode())
        report = await make_item_run(leased, route, service).run(self._pool, self._dispatcher)
        if report is not None:
            await self._report(report)

    async def _report(self, report: ItemReport) -> None:
        for _ in range(MAX_REPORT_CALLS):
            outcome = await self._store.call(report, REPORT_TIMEOUT_S)
            if isinstance(outcome, outcomes.Done):
                return
        log.warning("item_report_failed item=%s", report.item)

    async def finish(self, timeout_s: float) -> None:
        """Waits for running items, up to a time-out."""
        tasks = list(self._running.values())
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)
