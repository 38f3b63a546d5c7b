"""Parts of the feedback loops that the backend and the serving tier share. Pure; times in seconds."""

from collections.abc import Sequence

GAIN, RISE, FALL, IDLE_FALL = 0.4, 0.3, 0.15, 0.5  # threshold: proportional gain, three a second
TARGET_WAIT = 0.6  # the longest wait, in queue time-outs, that the threshold is steered to
MAX_CLIMB_DT = 0.1  # seconds; a limit climbs no further in a longer step
SAMPLES, MIN_SAMPLES = 64, 8  # latencies a class keeps, and those it needs for a P90 of its own


def step_threshold(
    base: float, dt: float, wait: float, saturated: bool, idle_ratio: float, maximum: float
) -> tuple[float, float]:
    """One step of the priority threshold by the longest wait: its integral part, and the threshold.

    `wait` is in queue time-outs. The threshold rises only while saturated, and falls faster by `idle_ratio`.
    """
    over = min(1.0, wait - TARGET_WAIT)
    if over > 0 and saturated:
        base = min(maximum, base + RISE * dt * over)
    else:
        over = min(over, 0.0)
        base = max(0.0, base + dt * (FALL * over - IDLE_FALL * max(0.0, idle_ratio)))
    return base, min(maximum, base + GAIN * max(0.0, over))


def queue_timeout(ranked: Sequence[float], budget: float, minimum: float, maximum: float) -> float:
    """How long a request may be queued: the P90 of the ranked latencies, or what that leaves of its time."""
    p90 = ranked[len(ranked) * 9 // 10]
    return max(minimum, min(p90, budget - p90, maximum))


class LimitController:
    """Adapts a concurrency limit: up while workers idle and requests wait, else a PID in velocity form."""

    def __init__(self, climb: float, proportional: float, integral: float, derivative: float) -> None:
        self._gains = climb, proportional, integral, derivative
        self._last_error = self._error_before = 0.0

    def step(self, limit: float, dt: float, idle: float, waits: bool, error: float, unit: float) -> float:
        """The limit after a step, before any bounds; `error` is negative while workers are crowded."""
        climb, proportional, integral, derivative = self._gains
        if waits and idle > 0:
            limit += climb * idle * min(dt, MAX_CLIMB_DT)
        elif error < 0:
            first, second = error - self._last_error, error - 2 * self._last_error + self._error_before
            limit += unit * (proportional * first + integral * error * dt + derivative * second)
        self._last_error, self._error_before = error, self._last_error
        return limit
