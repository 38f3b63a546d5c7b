"""The time of day, which other machines' clocks agree with only roughly."""

import time


def now_ms() -> int:
    """The time of day in milliseconds."""
    return time.time_ns() // 1_000_000
