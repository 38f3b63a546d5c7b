"""The clocks of a process, handed to whatever needs one so that simulated runs can hand in their own."""

import time
from collections.abc import Callable
from dataclasses import dataclass


def _system_ms() -> int:
    return time.time_ns() // 1_000_000


@dataclass(frozen=True)
class Clock:
    """`monotonic` only goes forward, in seconds. `now_ms` is the time of day in milliseconds, which other
    machines' clocks agree with only roughly, and which may jump.
    """

    monotonic: Callable[[], float] = time.monotonic
    now_ms: Callable[[], int] = _system_ms


SYSTEM_CLOCK = Clock()
