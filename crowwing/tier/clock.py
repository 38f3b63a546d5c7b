"""The clocks of a process, injected wherever time is read so that simulations can replace them."""

import time
from collections.abc import Callable
from dataclasses import dataclass


def _system_ms() -> int:
    return time.time_ns() // 1_000_000


@dataclass(frozen=True)
class Clock:
    """The monotonic and the wall clock of a process.

    Attributes:
        monotonic: seconds since an arbitrary point; never goes backward.
        now_ms: the wall-clock time in milliseconds; only roughly the same on other machines, and may jump.
    """

    monotonic: Callable[[], float] = time.monotonic
    now_ms: Callable[[], int] = _system_ms


SYSTEM_CLOCK = Clock()
