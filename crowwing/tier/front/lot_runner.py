"""Runs items of lots beside what clients send: leases them, runs them, reports their results."""

import asyncio
import logging
import time
from typing import Any

from crowwing.tier.configuration import Route, RoutingTable
from crowwing.tier.front.admission import Ticket, rank_of
from crowwing.tier.front.dispatch import Dispatcher, Job, Running
from crowwing.tier.front.service_pool import ServicePool
from crowwing.tier.front.sidecars import parse_prompt
from crowwing.tier.front.store_client import StoreClient
from crowwing.tier.front.upstream import Headers, StreamBroken, read_body
from crowwing.tier.state.events import COMPLETED, DEAD_LETTER, Result
from crowwing.tier.store import commands as c

log = logging.getLogger("crowwing.lots")

MOST_RUNNING = 24
LEASE_WAIT_MS = 600
HOLD_S = 2.0  # in the front's hold, after which an item goes back
RUN_LIMIT_S = 30.0
REPORT_LIMIT_S = 4.0
PAUSE_S = 0.15
GONE_STATUS = 422
RUN_ATTEMPTS = 4  # sidecars that one run may go on at

ItemKey = tuple[str, str]


class LotRunner:
    """The items that this front runs."""

    def __init__(self, name: str, pool: ServicePool, store: StoreClient) -> None:
        self._name, self._pool, self._store = name, pool, store
        self._dispatcher = Dispatcher(pool)
        self._running: dict[ItemKey, asyncio.Task[None]] = {}
        self.draining = False

    async def run(self) -> None:
        """Leases items for as long as there is room for them."""
        while True:
            room = 0 if self.draining else self._room()
            if not room and not self._running:
                await asyncio.sleep(PAUSE_S)
                continue
            wait_ms = LEASE_WAIT_MS if room else LEASE_WAIT_MS // 2
            command = c.LeaseItems(self._name, room, tuple(self._running), wait_ms)
            outcome = await self._store.call(command, 2.0, answer_s=1.2)
            if not isinstance(outcome, c.ItemsLeased):
                await asyncio.sleep(PAUSE_S)
                continue
            for key in outcome.stop:
                task = self._running.pop(key, None)
                if task is not None:
                    task.cancel()
            for leased in outcome.items:
                self._start(leased)
            await asyncio.sleep(0.02)

    def _room(self) -> int:
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
        rooms = [
            min(self._pool.admission(service).room, self._pool.sidecars.places(service, now).patient)
            for service in services
        ]
        return max(0, min(max(rooms, default=0), MOST_RUNNING - len(self._running)))

    def _start(self, leased: c.LeasedItem) -> None:
        key = (leased.lot, leased.item.id)
        if key in self._running:
            return
        task = asyncio.ensure_future(self._run_item(leased))
        self._running[key] = task
        task.add_done_callback(lambda ended: self._ended(key, ended))

    def _ended(self, key: ItemKey, task: asyncio.Task[None]) -> None:
        if self._running.get(key) is task:
            del self._running[key]
        if not task.cancelled() and task.exception() is not None:
            log.error("item %s", key, exc_info=task.exception())

    async def _run_item(self, leased: c.LeasedItem) -> None:
        table = self._pool.table
        route = table.find(leased.host, leased.item.path) if table is not None else None
        if route is None:
            await asyncio.sleep(PAUSE_S)
            return
        now = time.monotonic()
        service = route.services[0].service
        aim_s = (route.completion_slo_ms or route.slo_ms) / 1000
        waited = min(1.0, leased.age_ms / 1000 / aim_s)
        ticket = Ticket(route.name, rank_of(route.priority, waited), now, now + HOLD_S, True)
        if not await self._pool.admit(service, ticket, aim_s):
            return
        try:
            result = await self._run_started(leased, route, service)
        finally:
            self._pool.ended(service, ticket)
        if result is not None:
            await self._report(result)

    async def _run_started(self, leased: c.LeasedItem, route: Route, service: str) -> c.ReportItem | None:
        item = leased.item
        headers: Headers = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in item.headers]
        names = {name.lower() for name, _ in headers}
        headers = [(name, value) for name, value in headers if name.lower() not in (b"host", b"request-id")]
        headers += [(b"Host", leased.host.encode("latin-1")), (b"Request-Id", item.id.encode("latin-1"))]
        prompt = next((value for name, value in item.headers if name.lower() == "prompt-prefix"), "")
        del names
        job = Job(
            "POST", item.path.encode("latin-1"), headers, item.body, item.id.encode("latin-1"),
            route, service, parse_prompt(prompt), time.monotonic() + RUN_LIMIT_S, RUN_ATTEMPTS,
        )  # fmt: skip
        started = await self._dispatcher.open(job)
        if not isinstance(started, Running):
            await asyncio.sleep(PAUSE_S)
            return None
        status = started.opened.status
        if status == 200:
            return await self._collect(leased, job, started)
        try:
            async for _ in read_body(started.opened):
                pass
        except StreamBroken:
            pass
        finally:
            await self._dispatcher.close(started)
        if status == GONE_STATUS:
            return c.ReportItem(leased.lot, item.id, Result(item.id, DEAD_LETTER, ""))
        if status == 500:
            return c.ReportItem(leased.lot, item.id, None)
        return None

    async def _collect(self, leased: c.LeasedItem, job: Job, started: Running) -> c.ReportItem | None:
        data: list[str] = []
        try:
            async for event in self._dispatcher.events(job, started):
                data.append(event.data)
        except StreamBroken as error:
            log.info("item %s of lot %s broke off: %s", leased.item.id, leased.lot, error)
            return None
        return c.ReportItem(leased.lot, leased.item.id, Result(leased.item.id, COMPLETED, "\n".join(data)))

    async def _report(self, report: c.ReportItem) -> None:
        for _ in range(8):
            outcome: Any = await self._store.call(report, REPORT_LIMIT_S)
            if isinstance(outcome, c.Done):
                return
        log.warning("the result of item %s could not be reported", report.item)

    async def finish(self, limit_s: float) -> None:
        """Waits for what runs, up to a limit."""
        tasks = list(self._running.values())
        if tasks:
            await asyncio.wait(tasks, timeout=limit_s)


def table_routes(table: RoutingTable) -> list[Route]:
    """All routes of lots."""
    return [route for route in table.configuration.routes if route.kind == "batch_queue"]
