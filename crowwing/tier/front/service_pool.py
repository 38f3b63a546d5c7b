"""The sidecars of all services, and the admission before each service."""

import asyncio
import time

from crowwing.tier.configuration import RoutingTable
from crowwing.tier.front.admission import Admission, AdmissionRequest
from crowwing.tier.front.admission_log import AdmissionLog
from crowwing.tier.front.attempts import AttemptTracker
from crowwing.tier.front.preemption import PreemptibleItems
from crowwing.tier.front.report_polling import ReportPoller
from crowwing.tier.front.routing import Router
from crowwing.tier.front.sidecar_clients import SidecarClients
from crowwing.tier.front.sidecar_table import SidecarTable
from crowwing.tier.platform_list import SidecarList

STEP_INTERVAL_S = 0.05  # between steps of the admission loops
IDLE_STEP_INTERVAL_S = 0.2  # the same while nothing is queued or rejected
STARTUP_POLL_S = 0.02
START_SHARE = 1.0  # of this front's even share of all slots, which the limit starts at


class ServicePool:
    """Everything between a client's request and a sidecar.

    Owned by the front's process, which applies configuration and endpoint lists and runs `run_loops`. The
    proxy and the batch job runner ask it for admission; the dispatcher uses its router, clients and
    attempts.
    """

    def __init__(self) -> None:
        """Neither routes nor sidecars are known."""
        self.has_endpoint_list = False  # whether an endpoint list has come
        self.sidecars = SidecarTable()
        self.router = Router(self.sidecars)
        self.clients = SidecarClients(self.sidecars)
        self.attempts = AttemptTracker(self.sidecars)
        self.reports = ReportPoller(self.sidecars, self.clients)
        self.items = PreemptibleItems()
        self.log = AdmissionLog()
        self._admissions: dict[str, Admission] = {}

    @property
    def table(self) -> RoutingTable | None:
        """The routes, None before the first configuration."""
        return self.clients.routes

    @table.setter
    def table(self, table: RoutingTable) -> None:
        self.clients.routes = table

    def apply_endpoint_list(self, listed: SidecarList) -> None:
        """Takes the platform's list in."""
        self.has_endpoint_list = True
        for gone in self.sidecars.update(listed.sidecars):
            self.clients.remove(gone)
        for service, admission in self._admissions.items():
            self._start(service, admission)

    async def wait_until_known(self, timeout_s: float) -> RoutingTable | None:
        """The routes, once these and the sidecars are known; None where that takes too long."""
        deadline = time.monotonic() + timeout_s
        while (self.table is None or not self.has_endpoint_list) and time.monotonic() < deadline:
            await asyncio.sleep(STARTUP_POLL_S)
        return self.table if self.has_endpoint_list else None

    def admission(self, service: str) -> Admission:
        """The admission before a service, made when first asked for."""
        admission = self._admissions.get(service)
        if admission is None:
            now = time.monotonic()
            slots = self.sidecars.load(service, now).slots
            share = START_SHARE * slots / self.sidecars.assumed_front_count(service)
            admission = self._admissions[service] = Admission(now, share)
        return admission

    async def admit(self, service: str, admission_request: AdmissionRequest, latency_target_s: float) -> bool:
        """Waits until a request may start; cancelling takes it out of the queue.

        Args:
            service: Whose sidecars.
            admission_request: What asks to be started. Once it is, the caller calls `release` at its end.
            latency_target_s: That of its class.

        Returns:
            Whether it starts; False where it is rejected.
        """
        admission = self.admission(service)
        if not admission.arrive(time.monotonic(), admission_request, latency_target_s):
            return False
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        admission_request.decision = future
        self._start(service, admission)
        try:
            return await future
        except asyncio.CancelledError:
            if admission_request.is_started:
                self.release(service)
            else:
                admission.remove(admission_request)
            raise

    def release(self, service: str) -> None:
        """A started request has ended."""
        admission = self.admission(service)
        admission.release()
        self._start(service, admission)

    def _start(self, service: str, admission: Admission) -> None:
        """Rejects what was queued for too long, and starts what there are free slots for."""
        now = time.monotonic()
        for expired in admission.expire(now):
            _decide(expired, False)
        if not admission.queued_count:
            return
        free_slots = self.sidecars.free_slots(service, now)
        started = admission.start(free_slots)
        for admission_request in started:
            _decide(admission_request, True)
        batch_count = sum(admission_request.is_batch_item for admission_request in started)
        self.sidecars.count_started(service, len(started) - batch_count, batch_count)
        self.items.preempt(service, admission.queued_live_count)

    async def run_loops(self) -> None:
        """Moves limits and priority thresholds, expires what is queued, and polls sidecars; never returns."""
        while True:
            await asyncio.sleep(STEP_INTERVAL_S)
            now = time.monotonic()
            self.reports.poll_unresponsive(now)
            await self.clients.maintain(now)
            for service, admission in self._admissions.items():
                if now - admission.last_step_at >= IDLE_STEP_INTERVAL_S or admission.is_under_pressure(now):
                    self._step(service, admission, now)

    def _step(self, service: str, admission: Admission, now: float) -> None:
        load = self.sidecars.load(service, now)
        front_count = self.sidecars.assumed_front_count(service)
        admission.step(now, load, self.sidecars.max_inflight(service, now), front_count)
        if admission.queued_count:
            self._start(service, admission)
        if admission.is_under_pressure(now):
            self.reports.poll_stale(service, now)
        self.log.write(service, admission, now)


def _decide(admission_request: AdmissionRequest, starts: bool) -> None:
    future = admission_request.decision
    if future is not None and not future.done():
        future.set_result(starts)
