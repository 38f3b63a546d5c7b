"""Admission: a request is read, and judged by the threshold, its tenant's share and its repeats."""

from crowwing.contract import IncomingRequest, Repeat, Result, Step
from crowwing.logic.backend_state import BackendState
from crowwing.logic.limits import HEALTH_CHECK_SHARE, UNHEALTHY_ERROR_RATE, WATCH_INTERVAL
from crowwing.logic.request import Request, RequestHandler, RequestState
from crowwing.logic.responder import Responder


class Admission:
    """Reads and judges arrivals. Made by `LoadManager`."""

    def __init__(self, state: BackendState, responder: Responder) -> None:
        """Admits to one backend."""
        self._state = state
        self._responder = responder

    def take(self, now: int, incoming: IncomingRequest, handler: RequestHandler) -> Request:
        """Opens a request that has been read; it is judged by the next turn."""
        state = self._state
        request = self._open(now, incoming, handler)
        span = request.latency_target - incoming.arrived
        state.latencies.record_time_allowed(incoming.class_index, span)
        age = self._count_age(request, incoming)
        is_retry = age > 0 or not incoming.deadline  # where nothing tells, requests are taken to be retried
        state.arrivals.record_arrival(incoming.caller, is_retry, now - incoming.arrived)
        state.table.add(request)
        return request

    def _open(self, now: int, incoming: IncomingRequest, handler: RequestHandler) -> Request:
        facts = self._state.facts
        request_class = facts.types[incoming.class_index]
        request = Request(handler, incoming.id, incoming.class_index, request_class, incoming.size_kb)
        request.rank = incoming.rank * (facts.over_share_credit if incoming.is_likely_retry else 1.0)
        request.tenant = incoming.tenant
        request.arrived = incoming.arrived
        request.repeat_of = incoming.repeat_of
        request.key = incoming.key
        request.write = incoming.write
        request.deadline = max(now, incoming.deadline or incoming.arrived + request_class.outer_limit)
        request.latency_target = min(request.deadline, incoming.arrived + request_class.expected_time)
        return request

    def _count_age(self, request: Request, incoming: IncomingRequest) -> int:
        """How old the request is already, which shortens its latency target or takes away its rank."""
        request_class = request.request_class
        age = 0
        if incoming.deadline:
            span = incoming.deadline - incoming.arrived
            age = self._state.arrivals.age(incoming.class_index, request_class.outer_limit, span)
        if age < request_class.expected_time:
            target = incoming.arrived + request_class.expected_time - age
            request.latency_target = max(incoming.arrived, min(request.deadline, target))
        else:  # its answer earns nothing any more: it runs only where there is room
            request.rank = 0.0
        return age

    def judge(self, now: int, results: list[Result]) -> None:
        """Each arrival of this moment is rejected at once or queued."""
        state = self._state
        for request in state.table.arrivals:
            if request.closed or self._shares_earlier_run(request, now, results):
                continue
            expected_value = state.fairness.expected_value(request.tenant, now)
            request.rank = self.rank_by_value(request, expected_value)
            is_full = state.is_memory_full() or state.table.is_call_queue_full(request)
            if self._is_better_elsewhere(request, now):
                self._responder.reject(request, now, results, elsewhere=True)
            elif request.rank < state.threshold.value or is_full or not self._can_keep(request, now, results):
                self._responder.reject(request, now, results)
            else:
                state.table.move(request, RequestState.QUEUED)
        state.table.arrivals.clear()

    def _is_better_elsewhere(self, request: Request, now: int) -> bool:
        """After the grace of a drain, and while runs fail here."""
        state = self._state
        if state.left_at:
            run_time = 2 * state.latencies.medians[request.class_index] + 2 * WATCH_INTERVAL
            is_too_late = now + run_time > state.stop_at
            return is_too_late or request.arrived > state.left_at + state.facts.grace
        if state.health.is_stalled(now):
            return True
        is_failing = state.health.error_rate > UNHEALTHY_ERROR_RATE
        return is_failing and state.random() > HEALTH_CHECK_SHARE

    def rank_by_value(self, request: Request, part: float) -> float:
        """The rank of a request that expects `part` of its value: above the classes whose value it passes."""
        classes = self._state.facts.types
        lesser = sum(other.credit < part * request.request_class.credit for other in classes)
        return max(request.rank * part, min(request.rank, lesser / len(classes)))

    def _shares_earlier_run(self, request: Request, now: int, results: list[Result]) -> bool:
        """Repeats: what has run is shared, and a keyed request takes the place of its queued attempt."""
        state = self._state
        repeat = request.request_class.repeat
        first = state.table.by_id.get(request.repeat_of)
        if not request.repeat_of or request.repeat_of in state.table.released:
            return False
        if repeat is Repeat.IRREVERSIBLE:
            return False
        if first is not None and first.answered and first.request_class.repeat is Repeat.REDOABLE:
            return False
        if first is not None and self._has_not_begun(first):
            is_queued = first.state == RequestState.QUEUED
            if repeat is Repeat.LABELLED and is_queued and self._can_keep(request, now, results):
                state.entries.expires_at.pop(first.id, None)
                self._responder.reject(first, now, results, elsewhere=False)
            return False
        state.table.move(request, RequestState.SHARING)
        request.has_run = True
        results.append((Step.SHARE, request, 0))
        return True

    @staticmethod
    def _has_not_begun(request: Request) -> bool:
        return request.state in (RequestState.NEW, RequestState.QUEUED) and not request.has_run

    def _can_keep(self, request: Request, now: int, results: list[Result]) -> bool:
        """A keyed request is known by its entry once read; without room for one it may not run."""
        entries = self._state.entries
        request_class = request.request_class
        if request_class.repeat is not Repeat.LABELLED or request.id in entries.expires_at:
            return True
        span = request.arrived + request_class.window - now + WATCH_INTERVAL
        return span <= 0 or entries.keep(request, now, span, results)
