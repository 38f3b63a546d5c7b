"""Hybrid logical clock whose timestamps order the updates of all members. Pure.

Source: Kulkarni, Demirbas, Madappa, Avva, Leone, "Logical Physical Clocks" (OPODIS 2014). A timestamp is (µs,
counter, member name) and never behind this member's own clock or any timestamp received, so an update made
after another one was received outranks it whatever the clocks show. The name breaks ties of concurrent
updates.
"""

from typing import NamedTuple

MAX_COUNTER = 1 << 31  # timestamps within one µs; a higher counter is invalid


class Timestamp(NamedTuple):
    time_us: int  # µs, Unix
    counter: int
    member: str


class ClockSkewError(ValueError):
    """A timestamp is further ahead of this member's clock than the settings allow."""


class HybridClock:
    """One member's clock. A timestamp more than `max_drift` µs ahead of the own clock is rejected.

    Otherwise one member with a clock far ahead would outrank all others for hours and expire every entry of
    the fleet. A member whose own clock is far behind rejects everything; its counter `ahead` shows that.
    """

    def __init__(self, me: str, max_drift: int) -> None:
        self.me, self.max_drift = me, max_drift
        self.time_us, self.counter = 0, 0

    def time(self, now: int) -> int:
        """Latest time observed in the fleet, µs. Expiry is judged by it, so that all members expire alike."""
        return max(self.time_us, now)

    def next_timestamp(self, now: int) -> Timestamp:
        """Returns a timestamp above all that were issued or observed."""
        self.time_us, self.counter = (now, 0) if now > self.time_us else (self.time_us, self.counter + 1)
        return Timestamp(self.time_us, self.counter, self.me)

    def observe(self, now: int, time_us: int, counter: int) -> None:
        """Raises ClockSkewError, without a change of state, for a timestamp too far ahead."""
        if time_us > now + self.max_drift or not 0 <= counter < MAX_COUNTER:
            raise ClockSkewError(f"{time_us - now} µs ahead")
        if (time_us, counter) > (self.time_us, self.counter):
            self.time_us, self.counter = time_us, counter
