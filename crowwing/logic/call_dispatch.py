"""Calls to the service below: which are sent, and for how long they are waited for."""

from crowwing.contract import Repeat, Result, Step
from crowwing.logic.backend_state import BackendState
from crowwing.logic.call_budget import MAX_PATIENCE, MIN_PATIENCE
from crowwing.logic.limits import WATCH_INTERVAL
from crowwing.logic.request import Request, RequestState
from crowwing.logic.responder import Responder

MIN_CALL_TIME = 1000  # microseconds
PATIENCE_FOR_OPTIONAL = 4  # usual latencies that a request waits for a call that it can go without


class CallDispatch:
    """Sends calls within this backend's share and what the service below takes. Made by `LoadManager`."""

    def __init__(self, state: BackendState, responder: Responder) -> None:
        """Sends one backend's calls."""
        self._state = state
        self._responder = responder

    def send(self, now: int, results: list[Result]) -> None:
        """Sends the calls that may go out now, highest rank first."""
        state = self._state
        ready = [
            request
            for request in state.table.awaiting_call
            if not request.answered and now >= request.call_not_before
        ]
        for request in sorted(ready, key=lambda request: -request.rank):
            left = self._time_left(request, now)
            spare = state.calls.spare(now)
            can_skip = request.request_class.credit_without > 0
            if left <= 0 and request.request_class.credit_without == 0:
                self._responder.fail(request, now, results)
            elif self._has_budget(spare):
                if state.limiter.is_crowded(now):
                    break
                self._call(request, now, left, spare, results)
            elif can_skip and (self._has_waited_long(request, now) or left <= 0):
                self.skip(request, now, results)

    def _time_left(self, request: Request, now: int) -> int:
        """The time for a call that leaves the rest of its run in time."""
        rest = self._state.latencies.medians[request.class_index] // 2
        is_in_time = now + rest < request.latency_target
        return (request.latency_target if is_in_time else request.deadline) - rest - now

    def _has_budget(self, spare: float) -> bool:
        state = self._state
        calls = state.calls
        if not state.facts.calls_share:
            return True
        # Given up sooner, a call would linger below.
        shortest = min(MIN_PATIENCE * calls.median_latency(), (calls.burst - state.facts.lingers) / 2)
        return calls.calls_out() < int(calls.call_room) and spare > shortest

    def _has_waited_long(self, request: Request, now: int) -> bool:
        return now - request.call_requested_at > PATIENCE_FOR_OPTIONAL * self._state.calls.usual_latency

    def _call(self, request: Request, now: int, left: int, spare: float, results: list[Result]) -> None:
        state = self._state
        span: float = min(max(left, WATCH_INTERVAL), request.deadline - now)
        if state.facts.calls_share:
            usual = state.calls.median_latency()
            is_idempotent = request.request_class.repeat is Repeat.REDOABLE
            part = left / 2 if is_idempotent else left  # the other half is for another attempt
            patience = min(MAX_PATIENCE * usual, max(MIN_PATIENCE * usual, part))
            span = round(min(span, spare, max(WATCH_INTERVAL, patience)))
        request.call_attempts += 1
        request.call_requested_at = now
        request.call_deadline = now + int(span)
        state.table.move(request, RequestState.CALLING, keeps_memory=True)
        results.append((Step.CALL, request, max(MIN_CALL_TIME, span)))

    def skip(self, request: Request, now: int, results: list[Result]) -> None:
        """The run goes on without its call, where the cores have room."""
        state = self._state
        if not state.limiter.is_crowded(now):
            state.table.move(request, RequestState.RUNNING, keeps_memory=True)
            request.call_time += now - request.call_requested_at
            results.append((Step.GO_ON, request, 0))
