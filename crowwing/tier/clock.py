"""The clocks of a process, handed to whatever needs one so that simulated runs can hand in their own."""

import time
from collections.abc import Callable
from dataclasses import dataclass


def _system_ms() -> int:
    return time.time_ns() // 1_000_000


@dataclass(frozen=True)
class Clock:
    """Two clocks of one process.

    Attributes:
        monotonic: seconds since some moment; it only goes forward.
        now_ms: the time of day in milliseconds, which other machines' clocks agree with only roughly, and
            which may jump.
    """

    monotonic: Callable[[], float] = time.monotonic
    now_ms: Callable[[], int] = _system_ms


SYSTEM_CLOCK = Clock()
