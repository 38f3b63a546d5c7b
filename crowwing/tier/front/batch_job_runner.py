"""Runs items of lots beside what clients send: leases them, runs them, reports their results."""

import asyncio
import logging
import secrets
import time
from dataclasses import dataclass, field
from typing import Any

from crowwing.tier.configuration import Route, choose_service
from crowwing.tier.front.admission import AdmissionRequest, rank_of
from crowwing.tier.front.dispatch import Dispatcher, OpenResponse, SidecarRequest
from crowwing.tier.front.prefix_cache import parse_prompt_prefix
from crowwing.tier.front.service_pool import ServicePool
from crowwing.tier.front.store_client import StoreClient
from crowwing.tier.front.upstream import Headers, StreamBrokenError, read_body
from crowwing.tier.state.events import COMPLETED, DEAD_LETTER, ItemResult
from crowwing.tier.store import commands

log = logging.getLogger("crowwing.lots")

LEASE_WAIT_MS = 600
QUEUE_TIMEOUT_S = 2.0  # in the front's hold, after which an item goes back
RESUMED_QUEUE_TIMEOUT_S = 10.0  # the same for one that has given way and keeps what it has
RUN_LIMIT_S = 30.0
REPORT_TIMEOUT_S = 4.0
POLL_INTERVAL_S, MIN_POLL_INTERVAL_S = 0.15, 0.02
IDLE_CALL_INTERVAL_S = 1.0  # a front without room calls the primary so often, which counts its callers
LEASE_RENEWAL_INTERVAL_S = 0.45  # the same while it runs items, whose leases last 1.8 s
GONE_STATUS = 422
RUN_ATTEMPTS = 4  # sidecars that one run may go on at
ATTEMPT_BYTES = 6  # drawn by chance, that name an attempt

ItemKey = tuple[str, str]
Report = commands.ReportItemResult | commands.ReportItemFailure


def is_call_due(free_capacity: int, running: int, quiet_s: float) -> bool:
    """Whether a front calls the primary now; `quiet_s` is the time since its last call.

    `running`: the items that it has something to tell of.
    """
    return free_capacity > 0 or quiet_s >= (LEASE_RENEWAL_INTERVAL_S if running else IDLE_CALL_INTERVAL_S)


def pause_after(items: int, waited_s: float) -> float:
    """Seconds until a front looks again; an empty answer that came at once is no reason to ask at once."""
    return MIN_POLL_INTERVAL_S if items else max(MIN_POLL_INTERVAL_S, POLL_INTERVAL_S - waited_s)


class BatchJobRunner:
    """The items that this front runs."""

    def __init__(self, name: str, pool: ServicePool, store: StoreClient) -> None:
        self._name, self._pool, self._store = name, pool, store
        self._dispatcher = Dispatcher(pool)
        self._running: dict[ItemKey, asyncio.Task[None]] = {}
        self._given_up: set[ItemKey] = set()  # stopped without a result, which the primary has not heard yet
        self.draining = False

    async def run(self) -> None:
        """Leases items for as long as there is room for them, and is heard by the primary in any case."""
        reported_at = -IDLE_CALL_INTERVAL_S
        while True:
            free_capacity = 0 if self.draining else self._free_slot_count()
            quiet_s = time.monotonic() - reported_at
            told = len(self._running) + len(self._given_up)
            if not is_call_due(free_capacity, told, quiet_s):
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            reported_at = time.monotonic()
            wait_ms = LEASE_WAIT_MS if free_capacity else LEASE_WAIT_MS // 2
            given_up = tuple(self._given_up)
            command = commands.LeaseItemsRequest(
                self._name, free_capacity, tuple(self._running), wait_ms, given_up
            )
            outcome = await self._store.call(command, 2.0, answer_s=1.2)
            if not isinstance(outcome, commands.LeaseItemsResponse):
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            self._given_up.difference_update(given_up)
            for key in outcome.stop:
                task = self._running.pop(key, None)
                if task is not None:
                    task.cancel()
            for leased in outcome.items:
                self._start(leased)
            await asyncio.sleep(pause_after(len(outcome.items), time.monotonic() - reported_at))

    def _free_slot_count(self) -> int:
        table = self._pool.table
        if table is None or not self._pool.listed:
            return 0
        services = {
            share.service
            for route in table.configuration.routes
            if route.kind == "batch_queue"
            for share in route.services
        }
        now = time.monotonic()
        sidecars = self._pool.sidecars
        free_counts = [
            min(
                self._pool.admission(service).free_capacity,
                sidecars.free_slots(service, now).batch,
                sidecars.max_batch_items(service) - len(self._running),
            )
            for service in services
        ]
        return max(0, max(free_counts, default=0))

    def _start(self, leased: commands.LeasedItem) -> None:
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
            log.error("item %s", key, exc_info=task.exception())

    async def _run_item(self, leased: commands.LeasedItem) -> None:
        table = self._pool.table
        route = table.find(leased.host, leased.item.path) if table is not None else None
        if route is None:
            await asyncio.sleep(POLL_INTERVAL_S)
            return
        service = choose_service(route, leased.item.id.encode())
        run = ItemRun(leased, make_job(leased, route, service))
        report = await self._run_until_done(run, route, service)
        if report is not None:
            await self._report(report)

    async def _run_until_done(self, run: "ItemRun", route: Route, service: str) -> Report | None:
        """Runs an item, going on from its last event each time it had to give way to live requests."""
        latency_target_s = (route.completion_slo_ms or route.slo_ms) / 1000
        while True:
            now = time.monotonic()
            waited = min(1.0, run.leased.age_ms / 1000 / latency_target_s)
            rank = rank_of(route.priority, waited)
            queue_timeout_s = RESUMED_QUEUE_TIMEOUT_S if run.data else QUEUE_TIMEOUT_S
            admission_request = AdmissionRequest(route.name, rank, now, now + queue_timeout_s, True)
            if not await self._pool.admit(service, admission_request, latency_target_s):
                return None
            work = asyncio.ensure_future(self._run_started(run))
            self._pool.items.add(service, work)
            try:
                await asyncio.wait({work})
            finally:
                self._pool.items.remove(service, work)
                work.cancel()
                self._pool.release(service)
            if not work.cancelled():
                return work.result()
            run.job.tried.clear()
            if run.job.last_event is None:
                run.data.clear()  # it can only begin anew

    async def _run_started(self, run: "ItemRun") -> Report | None:
        leased, item = run.leased, run.leased.item
        started = await self._dispatcher.open(run.job)
        if not isinstance(started, OpenResponse):
            await asyncio.sleep(POLL_INTERVAL_S)
            return None
        status = started.opened.status
        if status == 200:
            return await self._collect(run, started)
        try:
            async for _ in read_body(started.opened):
                pass
        except StreamBrokenError:
            pass
        finally:
            await self._dispatcher.close(started)
        if status == GONE_STATUS:
            return commands.ReportItemResult(leased.job_id, item.id, ItemResult(item.id, DEAD_LETTER, ""))
        if status == 500:
            return commands.ReportItemFailure(leased.job_id, item.id, secrets.token_hex(ATTEMPT_BYTES))
        return None

    async def _collect(self, run: "ItemRun", started: OpenResponse) -> Report | None:
        leased, item = run.leased, run.leased.item
        events = self._dispatcher.events(run.job, started)
        try:
            async for event in events:
                run.data.append(event.data)
        except StreamBrokenError as error:
            log.info("item %s of lot %s broke off: %s", item.id, leased.job_id, error)
            return None
        finally:
            await events.aclose()
        return commands.ReportItemResult(
            leased.job_id, item.id, ItemResult(item.id, COMPLETED, "\n".join(run.data))
        )

    async def _report(self, report: Report) -> None:
        for _ in range(8):
            outcome: Any = await self._store.call(report, REPORT_TIMEOUT_S)
            if isinstance(outcome, commands.Done):
                return
        log.warning("the result of item %s could not be reported", report.item)

    async def finish(self, limit_s: float) -> None:
        """Waits for what runs, up to a limit."""
        tasks = list(self._running.values())
        if tasks:
            await asyncio.wait(tasks, timeout=limit_s)


@dataclass
class ItemRun:
    """An item on its way: the job, which knows its last event, and the data of all events so far."""

    leased: commands.LeasedItem
    job: SidecarRequest
    data: list[str] = field(default_factory=list)


def make_job(leased: commands.LeasedItem, route: Route, service: str) -> SidecarRequest:
    """An item as a request for its sidecar."""
    item = leased.item
    headers: Headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in item.headers
        if name.lower() not in ("host", "request-id")
    ]
    request_id = item.id.encode("latin-1")
    headers += [(b"Host", leased.host.encode("latin-1")), (b"Request-Id", request_id)]
    prompt = next((value for name, value in item.headers if name.lower() == "prompt-prefix"), "")
    deadline = time.monotonic() + RUN_LIMIT_S
    target = item.path.encode("latin-1")
    parts = parse_prompt_prefix(prompt)
    return SidecarRequest(
        "POST", target, headers, item.body, request_id, route, service, parts, deadline, RUN_ATTEMPTS
    )
