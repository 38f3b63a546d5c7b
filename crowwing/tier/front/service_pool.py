"""The sidecars of all services, with admission control for each service."""

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

STEP_INTERVAL_S = 0.05  # between adjustments of a service's limit and priority threshold
IDLE_STEP_INTERVAL_S = 0.2  # the same while nothing is queued or rejected
STARTUP_POLL_S = 0.02
START_SHARE = 1.0  # the initial limit is this times the slots divided by the number of fronts


class ServicePool:
    """Admission, routing and connections for the sidecars of all services.

    Owned by the front's process, which applies configuration and endpoint lists and runs `run_loops`. The
    proxy and the batch job runner request admission; the dispatcher uses the router, the clients and the
    attempt tracker.
    """

    def __init__(self) -> None:
        """Starts without routes and sidecars."""
        self.has_endpoint_list = False  # whether an endpoint list was received
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
        """The routing table; None before the first configuration."""
        return self.clients.routes

    @table.setter
    def table(self, table: RoutingTable) -> None:
        self.clients.routes = table

    def apply_endpoint_list(self, listed: SidecarList) -> None:
        """Applies an endpoint list of the platform."""
        self.has_endpoint_list = True
        for gone in self.sidecars.update(listed.sidecars):
            self.clients.remove(gone)
        for service, admission in self._admissions.items():
            self._start(service, admission)

    async def wait_until_known(self, timeout_s: float) -> RoutingTable | None:
        """Waits for the first configuration and endpoint list; None on time-out."""
        deadline = time.monotonic() + timeout_s
        while (self.table is None or not self.has_endpoint_list) and time.monotonic() < deadline:
            await asyncio.sleep(STARTUP_POLL_S)
        return self.table if self.has_endpoint_list else None

    def admission(self, service: str) -> Admission:
        """Returns the admission control of a service, and creates it on first use."""
        admission = self._admissions.get(service)
        if admission is None:
            now = time.monotonic()
            slots = self.sidecars.load(service, now).slots
            share = START_SHARE * slots / self.sidecars.assumed_front_count(service)
            admission = self._admissions[service] = Admission(now, share)
        return admission

    async def admit(self, service: str, admission_request: AdmissionRequest, latency_target_s: float) -> bool:
        """Waits until a request may start. Cancelling the call removes the request from the queue.

        Args:
            service: The service to run it.
            admission_request: The request. If it is admitted, the caller calls `release` when it has ended.
            latency_target_s: The latency target of its class.

        Returns:
            True if the request may start, False if it is rejected.
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
        """Records the end of an admitted request, and starts queued ones."""
        admission = self.admission(service)
        admission.release()
        self._start(service, admission)

    def _start(self, service: str, admission: Admission) -> None:
        """Rejects requests that were queued for too long, and starts queued ones while slots are free."""
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
        """Adjusts limits and priority thresholds, expires queued requests, polls sidecars; never returns."""
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
