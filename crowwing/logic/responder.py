"""Final answers: rejections with advice, errors, and the end of work that nobody waits for."""

from crowwing.contract import Halt, Repeat, Result, Step
from crowwing.logic.backend_state import BackendState
from crowwing.logic.limits import HIGH_REJECTION_RATE
from crowwing.logic.request import Request, RequestState

MIN_BACKOFF_SHARE, BACKOFF_GAIN = 0.2, 2.0  # of the longest advice: least, and with the threshold
NEARLY_BUSY = 0.9  # core use from which a full queue for calls is no sign of idle cores


class Responder:
    """Answers requests. Made by `LoadManager`; the parts that decide call it."""

    def __init__(self, state: BackendState) -> None:
        """Answers for one backend."""
        self._state = state

    def reject(
        self, request: Request, now: int, results: list[Result], elsewhere: bool | None = None
    ) -> None:
        """A final no, with advice: how long to stay away, and whether another backend may do better.

        Args:
            request: the request; one that may have run fails in place of it.
            now: the present time.
            results: where the steps go.
            elsewhere: whether another backend is to be tried; None leaves it to how much is rejected here.
        """
        state = self._state
        if request.has_run and request.request_class.repeat is not Repeat.REDOABLE:
            return self.fail(request, now, results)
        if request.state == RequestState.PAUSED:
            return self.fail(request, now, results)
        state.entries.keep(request, now, 0, results)
        state.arrivals.record_rejection()
        is_local = bool(elsewhere) or state.health.is_unhealthy(now) or state.left_at > 0
        backoff = self._backoff_share(request, is_local)
        if elsewhere is None:  # the fewer are rejected here, the likelier others have room
            is_local |= state.random() > state.arrivals.rejection_rate / HIGH_REJECTION_RATE
        step = Step.DISMISS if is_local else Step.DISMISS_ALL
        results.append((step, request, round(state.facts.stay_away_most * backoff)))
        request.answered = True
        state.table.released.add(request.id)
        return state.table.close(request)

    def _backoff_share(self, request: Request, is_local: bool) -> float:
        """How long to stay away, as a part of the longest advice."""
        state = self._state
        if is_local:
            return 1.0
        if state.limiter.core_use < NEARLY_BUSY and state.table.is_call_queue_full(request):
            return 0.0  # no reason to stay away: other classes have room
        return min(1.0, MIN_BACKOFF_SHARE + BACKOFF_GAIN * state.threshold.value)

    def fail(self, request: Request, now: int, results: list[Result]) -> None:
        """A final error for what may have run; its work is stopped where that can be done."""
        results.append((Step.FORFEIT, request, 0))
        request.answered = True
        if request.state == RequestState.RUNNING:
            self.halt(request, now, results)
        elif request.state not in (RequestState.AWAITING_CALL, RequestState.CALLING):
            self._state.table.close(request)

    def halt(self, request: Request, now: int, results: list[Result]) -> None:
        """Asks for the end of a run, where runs can be stopped."""
        if self._state.facts.halt is not Halt.NONE:
            request.halted_at = now
            results.append((Step.HALT, request, 0))
