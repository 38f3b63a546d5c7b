"""Parts of the feedback loops that the backend and the serving tier share. Pure; times in seconds."""

from collections.abc import Sequence

CUT_NOW, CUT_RISE, CUT_FALL, CUT_IDLE = 0.4, 0.3, 0.15, 0.5  # gains of the cut's loop: at once, and a second
CUT_FROM = 0.6  # the wait, in timeouts, that the cut is steered to
CLIMB_DT_MOST = 0.1  # the longest step that a limit's climb counts
SAMPLES, ENOUGH = 64, 8  # latencies of a class that its P90 is taken from, and before it counts


def step_cut(
    base: float, dt: float, outwait: float, saturated: bool, idle_part: float, most: float
) -> tuple[float, float]:
    """One step of the loop that moves the rank cut: its slow part, and the cut itself.

    `outwait` is the longest wait of a held request in timeouts, `idle_part` the idle part of what does the
    work. The cut rises only while that is saturated, and falls faster while some of it idles.
    """
    over = min(1.0, outwait - CUT_FROM)
    if over > 0 and saturated:
        base = min(most, base + CUT_RISE * dt * over)
    else:
        over = min(over, 0.0)
        base = max(0.0, base + dt * (CUT_FALL * over - CUT_IDLE * max(0.0, idle_part)))
    return base, min(most, base + CUT_NOW * max(0.0, over))


def queue_timeout(ranked: Sequence[float], aim: float, least: float, most: float) -> float:
    """How long a request may be held: a P90 of the ranked latencies, or what that leaves of its time."""
    p90 = ranked[len(ranked) * 9 // 10]
    return max(least, min(p90, aim - p90, most))


class LimitLoop:
    """Moves an inflight limit: up while workers idle and work waits, else down by a PID in velocity form."""

    def __init__(self, climb: float, proportional: float, integral: float, derivative: float) -> None:
        self._gains = climb, proportional, integral, derivative
        self._last_error = self._error_before = 0.0

    def step(self, limit: float, dt: float, idle: float, waits: bool, error: float, unit: float) -> float:
        """The limit after a step, before any bounds; `error` is negative while workers are crowded."""
        climb, proportional, integral, derivative = self._gains
        if waits and idle > 0:
            limit += climb * idle * min(dt, CLIMB_DT_MOST)
        elif error < 0:
            first, second = error - self._last_error, error - 2 * self._last_error + self._error_before
            limit += unit * (proportional * first + integral * error * dt + derivative * second)
        self._last_error, self._error_before = error, self._last_error
        return limit
