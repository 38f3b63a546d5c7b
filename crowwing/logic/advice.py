"""What callers are told beyond single answers: health, spare capacity, and idle connections."""

from crowwing.contract import Result, Signal, Step
from crowwing.logic.backend_state import BackendState
from crowwing.logic.limits import HEALTH_CHECK_SHARE

JAMMED, CLEARED = 0.6, 0.3  # unread time, in the time requests come with: leave the list, come back
QUEUE_SHARE = 0.3  # queued requests a core that callers are let send
SIGNAL_CHANGE = 0.05  # of the spare capacity, under which it is not told anew
RETURNING_SHARE = 0.5  # of requests whose caller was here lately, under which idle connections close early
BUSY_CORES = 0.8
EARLY_CLOSE_DIVISOR, FINAL_CLOSE_DIVISOR = 3, 60  # of the longest idle time: cores idle; nobody comes again


class Advice:
    """Owner of what was told last. Made by `LoadManager`.

    Attributes:
        is_ready: whether health checks are answered good.
    """

    def __init__(self, state: BackendState) -> None:
        """Told nothing so far."""
        self._state = state
        self.is_ready = True
        self._told_capacity = -1.0
        self._idle_limit = state.facts.idle_most

    def tell_health(self, now: int, results: list[Result]) -> None:
        """Answers health checks bad while requests lie unread for too long, or runs fail.

        Guards against a backlog that requests leave too old to run: no answer, so no advice, in time; only
        the list is. Should also cover pauses and floods. Could do harm where all leave it in step.
        """
        state = self._state
        limit = (JAMMED if self.is_ready else CLEARED) * min(state.latencies.time_allowed)
        is_jammed = state.arrivals.unread > limit or state.health.is_unhealthy(now)
        if is_jammed == self.is_ready and not state.left_at:
            self.is_ready = not is_jammed
            results.append((Step.READY if self.is_ready else Step.UNREADY, None, 0))

    def tell_capacity(self, now: int, results: list[Result]) -> None:
        """Tells the spare capacity where it moved."""
        state = self._state
        signal = state.facts.signal
        value = self._capacity(now, signal)
        is_change = abs(value - self._told_capacity) > SIGNAL_CHANGE * max(value, self._told_capacity)
        if signal is not Signal.NONE and is_change:
            self._told_capacity = value
            results.append((Step.FREE_VALUE, None, value))

    def _capacity(self, now: int, signal: Signal) -> float:
        state = self._state
        if signal is Signal.FLOOR:
            return 1.0 if state.left_at else state.threshold.value
        room = self._room(now)
        if signal is Signal.WEIGHT:
            return 0.0 if state.left_at else min(1.0, room / max(1, len(state.table.by_id)))
        return self.allowance(0.0 if state.left_at else room)

    def _room(self, now: int) -> float:
        """Requests that may be here at once."""
        state = self._state
        limiter = state.limiter
        share = HEALTH_CHECK_SHARE if state.health.is_unhealthy(now) else 1
        queue = (QUEUE_SHARE - state.threshold.value) * state.facts.cores
        room = (limiter.limit + queue) * limiter.speed(now) * share
        return room + state.call_slots()

    def allowance(self, room: float) -> float:
        """What each caller may have here so that all fill the room, the heaviest giving way first."""
        arrivals = self._state.arrivals
        # What lies unread, by Little's law.
        here = len(self._state.table.by_id) + arrivals.read_rate * arrivals.unread / 1e6
        parts = sorted(arrivals.weights.values())
        scale = here / max(1e-9, sum(parts))
        for count, part in enumerate(parts):
            if part * scale * (len(parts) - count) >= room:
                return room / (len(parts) - count)
            room -= part * scale
        return max(parts, default=0.0) * scale + room

    def tell_idle_limit(self, results: list[Result]) -> None:
        """Tells after which time connections that carry nothing are closed.

        Guards against a table full of callers that don't come back: it costs capacity, and others find no
        room. Should also cover restarts. Where what is rejected is retried it stays full while cores are,
        since who finds no room costs no reading; that it is not, only rejections can show. Could do harm
        where opening a connection costs as much as a run.
        """
        state = self._state
        divisor = 1 if state.limiter.core_use > BUSY_CORES else EARLY_CLOSE_DIVISOR
        if state.arrivals.returning_share > RETURNING_SHARE:
            divisor = 1
        elif state.arrivals.is_rejection_final():
            divisor = FINAL_CLOSE_DIVISOR
        limit = state.facts.idle_most // divisor
        if limit != self._idle_limit:
            self._idle_limit = limit
            results.append((Step.IDLE, None, limit))
