"""The loop that moves an inflight limit, shared by the backend and the serving tier. Pure; seconds."""

from dataclasses import dataclass

CLIMB_DT_MOST_S = 0.1  # the longest step that the climb counts


@dataclass(frozen=True)
class LimitGains:
    """How strongly the loop answers.

    `climb`: times the idle workers that the limit gains a second while work waits. The other three are the
    PID's, in parts of the unit that `LimitLoop.step` is given.
    """

    climb: float
    proportional: float
    integral: float
    derivative: float


class LimitLoop:
    """Climbs while workers idle and work waits; else a PID in velocity form lowers the limit."""

    def __init__(self, gains: LimitGains) -> None:
        self._gains = gains
        self._last_error = self._error_before = 0.0

    def step(self, limit: float, dt: float, idle: float, waits: bool, error: float, unit: float) -> float:
        """The limit after `dt` seconds, before any bounds.

        `idle` is the number of workers without work, `error` is negative while the workers are crowded.
        """
        gains = self._gains
        if waits and idle > 0:
            limit += gains.climb * idle * min(dt, CLIMB_DT_MOST_S)
        elif error < 0:
            first = error - self._last_error
            second = error - 2 * self._last_error + self._error_before
            limit += unit * (
                gains.proportional * first + gains.integral * error * dt + gains.derivative * second
            )
        self._last_error, self._error_before = error, self._last_error
        return limit
