"""The sidecars of all services, with their connections, and the admission before each service."""

import asyncio
import logging
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from crowwing.tier.configuration import RoutingTable
from crowwing.tier.front.admission import Admission, AdmissionRequest
from crowwing.tier.front.sidecar_connections import IdleConnections, connection_limits
from crowwing.tier.front.sidecars import SidecarState, SidecarTable
from crowwing.tier.front.upstream import (
    AttemptOutcome,
    NotExecuted,
    ResponseLost,
    ResponseStarted,
    SidecarClient,
)
from crowwing.tier.platform_list import SidecarList

log = logging.getLogger("crowwing.pool")

STEP_INTERVAL_S, IDLE_STEP_INTERVAL_S = (
    0.05,
    0.2,
)  # between steps of the loops; while nothing is held, refused or cut
LOG_INTERVAL_S = 1.0
WRONG_SIDECAR = 421  # the status of a sidecar that a request was not meant for
ERROR_STATUS = 500  # from which an answer counts as a failure of its sidecar
STARTUP_POLL_S = 0.02
MAX_PREEMPTED = 3  # items at a time that make room for live requests
START_SHARE = 1.0  # of the even part of all slots, which the limit starts at
DEFAULT_MAX_CONNECTIONS = 64  # connections of a sidecar whose service the configuration does not name
CONNECTION_LIMITS_INTERVAL_S = 0.5  # between looks at how many connections there may be


@dataclass
class Grant:
    """The answer to a ticket: whether it may start."""

    admission_request: AdmissionRequest
    future: "asyncio.Future[bool]" = field(repr=False)


class ServicePool:
    """Everything between an admitted request and its sidecar."""

    def __init__(self) -> None:
        self.sidecars = SidecarTable()
        self.table: RoutingTable | None = None
        self._clients: dict[str, SidecarClient] = {}
        self._admissions: dict[str, Admission] = {}
        self._idle: dict[str, IdleConnections] = {}  # by service
        self._limited_at = -1e9
        self._closing: set[asyncio.Task[None]] = set()
        self._report_tasks: set[asyncio.Task[None]] = set()
        self.listed = False
        self._attempt_count = 0
        self._preempted: dict[str, set[asyncio.Task[Any]]] = {}
        self._item_runs: dict[str, list[asyncio.Task[Any]]] = {}
        self._logged: dict[str, tuple[int, float]] = {}  # refused so far, and when that was said
        self._attempt_outcomes: dict[str, Counter[str]] = {}  # how tries ended since that was last said

    # What is known

    def apply_endpoint_list(self, listed: SidecarList) -> None:
        """Takes the platform's list in."""
        self.listed = True
        for gone in self.sidecars.update(listed.sidecars):
            client = self._clients.pop(gone, None)
            if client is not None:
                self._close_later(client)
        self._start_all()

    async def wait_until_known(self, limit_s: float) -> RoutingTable | None:
        """The routes, once these and the sidecars are known; None where that takes too long."""
        deadline = time.monotonic() + limit_s
        while (self.table is None or not self.listed) and time.monotonic() < deadline:
            await asyncio.sleep(STARTUP_POLL_S)
        return self.table if self.listed else None

    def _close_later(self, client: SidecarClient) -> None:
        async def close() -> None:
            await asyncio.sleep(30)  # answers that are still coming may end
            await client.close()

        task = asyncio.ensure_future(close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    def client(self, state: SidecarState) -> SidecarClient:
        """The connections to a sidecar."""
        client = self._clients.get(state.entry.id)
        if client is None:
            idle = self._idle.setdefault(state.entry.service, IdleConnections())
            self._limit_connections(state.entry.service)
            client = SidecarClient(state.entry.address, state.connections, idle)
            self._clients[state.entry.id] = client
        return client

    def _limit_connections(self, service: str) -> None:
        """Bounds the connections to a service's sidecars by what is known now."""
        configured = self.table.services.get(service) if self.table else None
        accepted = configured.max_conns if configured is not None else DEFAULT_MAX_CONNECTIONS
        states = self.sidecars.of_service(service)
        limits = connection_limits(accepted, len(states), self.sidecars.assumed_front_count(service))
        self._idle[service].most = limits.idle_in_all
        for state in states:
            state.connections.most = limits.open_each

    async def _maintain_connections(self, now: float) -> None:
        """Follows the number of fronts and the configuration, and closes what need not be kept."""
        if now - self._limited_at < CONNECTION_LIMITS_INTERVAL_S:
            return
        self._limited_at = now
        for service, idle in list(self._idle.items()):
            self._limit_connections(service)
            await idle.trim()
            await idle.close_expired()

    def admission(self, service: str) -> Admission:
        """The admission before a service."""
        admission = self._admissions.get(service)
        if admission is None:
            now = time.monotonic()
            slots = self.sidecars.load(service, now).slots
            share = START_SHARE * slots / self.sidecars.assumed_front_count(service)
            admission = self._admissions[service] = Admission(now, share)
        return admission

    # Admission

    async def admit(self, service: str, admission_request: AdmissionRequest, latency_target_s: float) -> bool:
        """Waits until a ticket may start; False where it is refused. Cancelling takes it out of the hold."""
        admission = self.admission(service)
        if not admission.arrive(time.monotonic(), admission_request, latency_target_s):
            return False
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        admission_request.data = future
        self._start(service, admission)
        try:
            return await future
        except asyncio.CancelledError:
            if admission_request.is_started:
                self.ended(service, admission_request)
            else:
                admission.remove(admission_request)
            raise

    def ended(self, service: str, admission_request: AdmissionRequest) -> None:
        """A started ticket has left its sidecar."""
        admission = self.admission(service)
        admission.ended(admission_request)
        self._start(service, admission)

    def _start(self, service: str, admission: Admission) -> None:
        now = time.monotonic()
        for admission_request in admission.expire(now):
            _answer(admission_request, False)
        if not admission.queued_count:
            return
        free_slots = self.sidecars.free_slots(service, now)
        started = admission.start(now, free_slots)
        for admission_request in started:
            _answer(admission_request, True)
        batch = sum(admission_request.is_batch_item for admission_request in started)
        self.sidecars.count_started(service, len(started) - batch, batch)
        self._preempt_items(service, admission.queued_live_count)

    # Items that give way

    def add_item(self, service: str, run: "asyncio.Task[Any]") -> None:
        """A run of an item has begun; it may be cancelled, to go on later from its last event."""
        self._item_runs.setdefault(service, []).append(run)

    def remove_item(self, service: str, run: "asyncio.Task[Any]") -> None:
        """A run of an item has ended."""
        self._preempted.get(service, set()).discard(run)
        runs = self._item_runs.get(service, [])
        if run in runs:
            runs.remove(run)

    def _preempt_items(self, service: str, wanted: int) -> None:
        """Cancels runs of items, the newest first, for live requests that find no place."""
        runs = self._item_runs.get(service)
        preempted = self._preempted.setdefault(service, set())
        while runs and len(preempted) < min(wanted, MAX_PREEMPTED):
            run = runs.pop()
            preempted.add(run)
            run.cancel()

    def _start_all(self) -> None:
        for service, admission in self._admissions.items():
            self._start(service, admission)

    async def run_loops(self) -> None:
        """Steers the limits and cuts, and expires what is held."""
        while True:
            await asyncio.sleep(STEP_INTERVAL_S)
            now = time.monotonic()
            self._check_unresponsive(now)
            await self._maintain_connections(now)
            for service, admission in self._admissions.items():
                if now - admission.last_step_at < IDLE_STEP_INTERVAL_S and not admission.is_under_pressure(
                    now
                ):
                    continue
                load = self.sidecars.load(service, now)
                fronts = self.sidecars.assumed_front_count(service)
                admission.step(now, load, self.sidecars.max_inflight(service, now), fronts)
                if admission.queued_count:
                    self._start(service, admission)
                if admission.is_under_pressure(now):
                    self._request_stale_reports(service, now)
                self._log_changes(service, admission, now)

    def _check_unresponsive(self, now: float) -> None:
        """Asks sidecars that have fallen silent, so that one that speaks again is used again."""
        for state in self.sidecars.unresponsive(now):
            self._request_report(state, now)

    def _request_stale_reports(self, service: str, now: float) -> None:
        """Asks sidecars that have told nothing lately, while work waits or was refused."""
        for state in self.sidecars.with_stale_load(service, now):
            self._request_report(state, now)

    def _request_report(self, state: SidecarState, now: float) -> None:
        state.report_requested_at = now
        task = asyncio.ensure_future(self._read_report(state))
        self._report_tasks.add(task)
        task.add_done_callback(self._report_tasks.discard)

    async def _read_report(self, state: SidecarState) -> None:
        report = await self.client(state).report()
        if report is not None:
            now = time.monotonic()
            self.sidecars.record_load(state, now, report.running, report.waiting, state.entry.slots)
            state.last_byte_at, state.unresponsive = now, False

    def _log_changes(self, service: str, admission: Admission, now: float) -> None:
        """One line a second while anything is refused, cut or near its limit."""
        rejected_count, at = self._logged.get(service, (0, 0.0))
        outcomes = self._attempt_outcomes.get(service, Counter())
        if now - at < LOG_INTERVAL_S or (
            rejected_count == admission.rejected_count and len(outcomes) <= ("answered" in outcomes)
        ):
            return
        self._attempt_outcomes[service] = Counter()
        self._logged[service] = (admission.rejected_count, now)
        load = admission.load
        log.info(
            "%s: refused %d, cut %.2f, limit %.0f of %.0f, inflight %d, held %d, sidecars %.0f+%.0f of %.0f; "
            "tries: %s",
            *(
                service,
                admission.rejected_count - rejected_count,
                admission.priority_threshold,
                admission.limit,
                admission.max_limit,
            ),
            *(admission.inflight, admission.queued_count, load.running, load.waiting, load.slots),
            ", ".join(f"{count} {end}" for end, count in sorted(outcomes.items())) or "none",
        )

    # Sidecars

    def sent(self, state: SidecarState) -> int:
        """A request goes to a sidecar; gives the number of this try."""
        state.inflight += 1
        state.sent_since += 1
        self._attempt_count += 1
        state.unanswered[self._attempt_count] = time.monotonic()
        return self._attempt_count

    def head_came(self, state: SidecarState, number: int) -> None:
        """A try has its head, or has ended without one."""
        state.unanswered.pop(number, None)

    def left(self, state: SidecarState) -> None:
        """A request has left a sidecar."""
        state.inflight -= 1
        state.record_request_end()

    def answered(self, state: SidecarState, opened: ResponseStarted) -> None:
        """A sidecar has begun to answer: it lives, and may tell its load."""
        now = state.last_byte_at = time.monotonic()
        state.succeeded()
        if opened.status >= ERROR_STATUS:
            state.record.failed(now)
        else:
            state.record.answered(now)
        self.record_load_header(state, opened.header(b"server-load"))
        if (opened.header(b"connection") or b"").lower() == b"close" and not state.entry.ready:
            state.leaving = True

    def rejected(self, state: SidecarState, outcome: NotExecuted, expects_version: bool) -> None:
        """A sidecar did not run a request, most often since it is full.

        421 says that it is another one, or that it has other weights where the request expects some.
        """
        now = state.last_byte_at = time.monotonic()
        if outcome.status == WRONG_SIDECAR:
            if not expects_version:
                state.replaced(now)
        elif not self.record_load_header(state, outcome.load):
            slots = state.entry.slots
            self.sidecars.record_load(state, now, slots, slots, slots)

    def record_load_header(self, state: SidecarState, told: bytes | None) -> bool:
        """Takes a `Server-Load` in; whether it could be read."""
        numbers = told.split(b",") if told is not None else []
        if len(numbers) != 3 or not all(number.strip().isdigit() for number in numbers):
            return False
        running, waiting, slots = (float(number) for number in numbers)
        self.sidecars.record_load(state, time.monotonic(), running, waiting, slots)
        return True

    def count(self, service: str, outcome: AttemptOutcome) -> None:
        """Counts how a try ended, for the log."""
        self._attempt_outcomes.setdefault(service, Counter())[describe_outcome(outcome)] += 1


def describe_outcome(outcome: AttemptOutcome) -> str:
    """How a try ended, in a word or two."""
    match outcome:
        case ResponseStarted(status):
            return "answered" if status < ERROR_STATUS else f"error {status}"
        case NotExecuted(status, _, no_connection):
            return (
                "no connection"
                if no_connection
                else "unreachable"
                if status is None
                else f"rejected {status}"
            )
        case ResponseLost():
            return "lost"


def _answer(admission_request: AdmissionRequest, started: bool) -> None:
    future: Any = admission_request.data
    if future is not None and not future.done():
        future.set_result(started)
