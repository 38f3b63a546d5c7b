"""What runs and when: the queues, their timeouts, the start of work, and the watch over deadlines."""

from crowwing.contract import Repeat, Result, Step
from crowwing.logic.backend_state import BackendState
from crowwing.logic.limits import WATCH_INTERVAL
from crowwing.logic.request import Request, RequestState
from crowwing.logic.responder import Responder

DRAIN_MARGIN = 3 * WATCH_INTERVAL  # before the process is stopped, for the last answers
HALT_RETRY = 5 * WATCH_INTERVAL  # after which a run that did not stop is asked again


class Scheduler:
    """Starts queued work, and answers what its time is up for. Made by `LoadManager`."""

    def __init__(self, state: BackendState, responder: Responder, now: int) -> None:
        """Schedules one backend's work."""
        self._state = state
        self._responder = responder
        self._next_watch_at = now

    def start(self, now: int, results: list[Result]) -> None:
        """Queued requests past their timeout are rejected; what fits is started, highest rank first."""
        state = self._state
        self._reject_overdue(now, results)
        for request in sorted(state.table.queued(), key=lambda request: -request.rank):
            is_full = state.table.counts[RequestState.RUNNING] >= int(state.limiter.limit)
            if is_full or state.limiter.is_crowded(now):
                break
            if self._fits(request):
                self._run(request, now, results)

    def _reject_overdue(self, now: int, results: list[Result]) -> None:
        state = self._state
        is_stalled = state.health.is_stalled(now)
        for queue in state.table.queues:
            for request in queue[:]:
                if is_stalled or now >= state.queue_deadline(request):
                    state.threshold.record_wait(state.wait_in_timeouts(request, now))
                    self._responder.reject(request, now, results)

    def _run(self, request: Request, now: int, results: list[Result]) -> None:
        state = self._state
        facts = state.facts
        is_read = request.key and not request.write
        if facts.fresh_for and is_read and request.request_class.repeat is Repeat.REDOABLE:
            state.entries.keep(request, now, request.deadline - now + facts.fresh_for, results)
        running = state.table.counts[RequestState.RUNNING]
        request.has_run = True
        request.call_time = 0
        request.runs_at_start = max(running, state.limiter.running)
        if not running:
            state.health.progress_at = now
        state.table.move(request, RequestState.RUNNING)
        results.append((Step.RUN, request, 0))

    def _fits(self, request: Request) -> bool:
        """Whether memory and the queue for calls leave room for one more run."""
        state = self._state
        is_in_memory = request.state == RequestState.PAUSED
        more_kb = 0.0 if is_in_memory else request.size_kb * (state.facts.run_factor - 1)
        return not state.table.is_call_queue_full(request) and not state.is_memory_full(more_kb)

    def watch(self, now: int, results: list[Result]) -> None:
        """Deadlines, entries that ran out, calls that left; stopped work that did not stop."""
        if now < self._next_watch_at:
            return
        self._next_watch_at = now + WATCH_INTERVAL // 2
        state = self._state
        early = max(0, 2 * WATCH_INTERVAL - state.facts.answer_slack)
        last_answer_at = state.stop_at - DRAIN_MARGIN if state.left_at else now + 1
        for request in list(state.table.by_id.values()):
            if self._runs_on_though_halted(request, now):
                self._responder.halt(request, now, results)
            elif not request.answered and now >= min(request.deadline - early, last_answer_at):
                self._end_overdue(request, now, results)
        state.entries.expire(now)
        state.calls.expire_abandoned(now)

    @staticmethod
    def _runs_on_though_halted(request: Request, now: int) -> bool:
        is_running = request.answered and request.state == RequestState.RUNNING
        return is_running and 0 < request.halted_at < now - HALT_RETRY

    def _end_overdue(self, request: Request, now: int, results: list[Result]) -> None:
        if request.state in (RequestState.NEW, RequestState.QUEUED) and not request.has_run:
            self._responder.reject(request, now, results)
        else:
            self._responder.fail(request, now, results)
