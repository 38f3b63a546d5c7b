"""The coordinator: one backend's decisions, in the order in which a moment is worked through."""

from random import Random

from crowwing.contract import IncomingRequest, Premises, Result, Step
from crowwing.logic.admission import Admission
from crowwing.logic.advice import Advice
from crowwing.logic.backend_state import BackendState
from crowwing.logic.call_dispatch import CallDispatch
from crowwing.logic.limits import IDLE_WATCH_INTERVAL, WATCH_INTERVAL
from crowwing.logic.request import Request
from crowwing.logic.request_lifecycle import RequestLifecycle
from crowwing.logic.responder import Responder
from crowwing.logic.scheduler import Scheduler

SATURATED_CORE_USE = 0.9  # from which the cores count as busy


class LoadManager:
    """Decides for one backend: what it takes, runs and turns away.

    Attributes:
        state: all that it knows, by part.
        admission, scheduler, call_dispatch, advice, responder, lifecycle: who decides on what.
    """

    def __init__(self, facts: Premises, now: int, random: Random) -> None:
        """A backend that starts now, in microseconds of its clock."""
        self.state = BackendState(facts, now, random)
        self.responder = Responder(self.state)
        self.admission = Admission(self.state, self.responder)
        self.scheduler = Scheduler(self.state, self.responder, now)
        self.call_dispatch = CallDispatch(self.state, self.responder)
        self.lifecycle = RequestLifecycle(self.state, self.responder, self.call_dispatch)
        self.advice = Advice(self.state)
        self._stepped_at = now
        self._wake_at = now

    def begin(self, now: int) -> list[Result]:
        """The backend has started."""
        del now  # as all news has it
        return [(Step.READY, None, 0)]

    def take(self, now: int, incoming: IncomingRequest) -> Request:
        """A request has been read; the next turn judges it."""
        return self.admission.take(now, incoming, self.lifecycle)

    def wake(self, now: int, gauges: dict[str, float]) -> list[Result]:
        """The time of the last WAKE is up.

        Args:
            now: the present time.
            gauges: what the worker measures, by name.
        """
        state = self.state
        passed = now - self._stepped_at
        state.limiter.read_gauges(gauges, passed)
        if state.limiter.running < state.facts.cores / 2:
            state.arrivals.fade_unread(passed)
        self.step_loops(now)
        results: list[Result] = []
        self.advice.tell_health(now, results)
        self.advice.tell_capacity(now, results)
        self.advice.tell_idle_limit(results)
        return results

    def step_loops(self, now: int) -> None:
        """One step of the feedback loops: call budget, inflight limit, priority threshold."""
        state = self.state
        elapsed_s = (now - self._stepped_at) / 1e6
        self._stepped_at = now
        state.calls.spend(elapsed_s)
        state.arrivals.fade_callers(now)
        is_stuck = state.limiter.step(now, elapsed_s, state.health.error_rate)
        waits = [state.wait_in_timeouts(request, now) for request in state.table.queued()]
        is_saturated = state.limiter.core_use > SATURATED_CORE_USE and is_stuck
        idle_share = state.limiter.idle_cores() / state.facts.cores
        state.threshold.step(elapsed_s, waits, is_saturated, idle_share)

    def leave(self, now: int, stop_at: int) -> list[Result]:
        """The notice to leave: the process is stopped at `stop_at`."""
        self.state.left_at = now
        self.state.stop_at = stop_at
        results: list[Result] = [(Step.UNREADY, None, 0)]
        self.advice.tell_capacity(now, results)
        return results

    def turn(self, now: int) -> list[Result]:
        """Everything that happened now is known: judge arrivals, queues and calls, and start what fits."""
        results: list[Result] = []
        self.scheduler.watch(now, results)
        self.admission.judge(now, results)
        self.scheduler.start(now, results)
        self.call_dispatch.send(now, results)
        self.state.table.released.clear()
        self._ask_wake(now, results)
        return results

    def _ask_wake(self, now: int, results: list[Result]) -> None:
        """Wakes soon while a request is open, seldom while none is; one asked for can't be taken back."""
        span = WATCH_INTERVAL if self.state.table.by_id else IDLE_WATCH_INTERVAL
        if not now < self._wake_at <= now + span:
            self._wake_at = now + span
            results.append((Step.WAKE, None, span))

    def abandon(self, request: Request) -> None:
        """Lets go of a request whose handling failed outside."""
        request.answered = True
        self.state.table.close(request)

    def allot(self, calls: float, shares: list[float]) -> None:
        """What this backend has of the fleet's pace of calls and of each tenant's share, in even parts."""
        self.state.calls.allot(calls)
        self.state.fairness.even_parts = shares

    def adopt(self, now: int, learned: tuple[tuple[int, int], ...], limit: float, call_latency: int) -> None:
        """What others have learned, as a start; nothing that was measured here is touched.

        Args:
            now: the present time.
            learned: queue timeout and median of each class, in microseconds.
            limit: their inflight limit.
            call_latency: their usual latency of calls, in microseconds.
        """
        state = self.state
        state.latencies.adopt(learned)
        if not any(state.latencies.runs):
            state.limiter.adopt(now, limit)
        state.calls.adopt(call_latency)
