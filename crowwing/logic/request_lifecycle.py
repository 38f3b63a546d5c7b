"""What becomes of an open request on its news: a run that ended, a call, a caller that has gone."""

from crowwing.contract import Halt, Outcome, Repeat, Result
from crowwing.logic.backend_state import BackendState
from crowwing.logic.call_dispatch import CallDispatch
from crowwing.logic.request import Request, RequestState
from crowwing.logic.responder import Responder

MAX_CALL_ATTEMPTS = 3  # of one call
ENDING_STATES = (RequestState.RUNNING, RequestState.AWAITING_CALL, RequestState.CALLING, RequestState.SHARING)
WAITING_STATES = (RequestState.NEW, RequestState.QUEUED, RequestState.PAUSED, RequestState.SHARING)


class RequestLifecycle:
    """The handler of all requests (`request.RequestHandler`). Made by `LoadManager`."""

    def __init__(self, state: BackendState, responder: Responder, call_dispatch: CallDispatch) -> None:
        """Handles one backend's requests."""
        self._state = state
        self._responder = responder
        self._call_dispatch = call_dispatch

    def ended(self, request: Request, now: int, took: int, outcome: Outcome) -> list[Result]:
        """A run or a shared run is over."""
        state, was = self._state, request.state
        if request.closed or was not in ENDING_STATES:
            return []
        state.health.record_progress(now)
        if was == RequestState.CALLING:
            state.calls.abandon(now)
        if outcome is Outcome.STOPPED and not request.answered:  # halted here: it is queued again
            is_frozen = state.facts.halt is Halt.FREEZE
            again = RequestState.PAUSED if is_frozen else RequestState.QUEUED
            state.table.move(request, again, keeps_memory=is_frozen)
            return []
        results: list[Result] = []
        ended_by_itself = outcome in (Outcome.GOOD, Outcome.FAILED)
        if was != RequestState.SHARING and not request.answered and ended_by_itself:
            self.record_run(request, took, outcome is Outcome.GOOD)
            if state.entries.is_kept_while_idempotent(request):
                fresh_for = state.facts.fresh_for if outcome is Outcome.GOOD else 0
                state.entries.keep(request, now, fresh_for, results)
        state.table.close(request)
        return results

    def record_run(self, request: Request, took: int, is_good: bool) -> None:
        """A run has ended by itself. Failed ones are quick: they count as errors, never as latency."""
        state = self._state
        state.health.record_run(is_good)
        if not is_good:
            return
        index = request.class_index
        state.latencies.record_run(index, took)
        run_count = len(state.latencies.runs[index])
        state.limiter.record_run(index, took - request.call_time, request.runs_at_start, run_count)

    def needs_call(self, request: Request, now: int) -> list[Result]:
        """A run needs a call."""
        if request.state == RequestState.RUNNING and not request.answered:
            request.call_requested_at = now
            request.call_attempts = 0
            self._state.health.record_progress(now)
            self._state.table.move(request, RequestState.AWAITING_CALL, keeps_memory=True)
        return []

    def called(self, request: Request, now: int, took: int, outcome: Outcome) -> list[Result]:
        """A call came back."""
        if request.state != RequestState.CALLING:
            return []
        state = self._state
        if outcome is Outcome.UNSURE:
            state.calls.abandon(now)
        state.calls.record_call(took, outcome)
        results: list[Result] = []
        if outcome is Outcome.GOOD:
            request.call_time += now - request.call_requested_at
            state.table.move(request, RequestState.RUNNING, keeps_memory=True)
        elif not request.answered:
            state.table.move(request, RequestState.AWAITING_CALL, keeps_memory=True)
            self._retry_call(request, now, outcome, results)
        return results

    def _retry_call(self, request: Request, now: int, outcome: Outcome, results: list[Result]) -> None:
        request_class = request.request_class
        may_retry = outcome is Outcome.NEVER_RAN or request_class.repeat is Repeat.REDOABLE
        if request_class.credit_without > 0:
            self._call_dispatch.skip(request, now, results)
        elif may_retry and request.call_attempts < MAX_CALL_ATTEMPTS:
            request.call_not_before = now + self._state.calls.usual_latency
        else:
            self._responder.fail(request, now, results)

    def gone(self, request: Request, now: int) -> list[Result]:
        """A caller has given up."""
        if request.closed or request.answered:
            return []
        state = self._state
        request.answered = True
        results: list[Result] = []
        if request.state in WAITING_STATES:
            if not request.has_run:  # a repeat read in this moment may run in its place
                state.table.released.add(request.id)
                state.entries.keep(request, now, 0, results)
            state.table.close(request)
        elif request.state == RequestState.RUNNING and request.request_class.repeat is Repeat.REDOABLE:
            self._responder.halt(request, now, results)
        return results
