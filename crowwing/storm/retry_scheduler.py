"""Paced returns: when a caller that is sent away is to come back, so that callers do not return in step.

Pure.

A wheel of slots covers the longest advice there is. Each caller gets one place on it: the first slot, not
before what the module asks for, that has room for what the caller brings, and within it a moment by chance.
A caller that is sent away again before its place comes is told the same place. Where no slot has room, it
is told the longest. The wheel turns with time, which empties slots and places.
"""

from array import array
from random import Random

SLOT_US = 50_000  # microseconds
FULL_SHARE = 2.0  # a slot takes so many times the mean share of a slot before it is full


class RetryScheduler:
    def __init__(self, now: int, max_delay: int, rng: Random) -> None:
        """`longest` in microseconds: the longest advice that may be given."""
        self.max_delay, self.random = max_delay, rng.random
        self.slot_rates = array(
            "f", bytes(4 * max(1, max_delay // SLOT_US))
        )  # tickets a second that return in each
        self.current_slot = now // SLOT_US  # the slot of now, counted from the clock's start
        self.retry_times: dict[int, int] = {}  # caller -> when it returns; emptied by that time

    def advise(
        self, now: int, caller: int, caller_rate: float, min_delay: int, remaining: int, capacity: float
    ) -> int:
        """For how long the caller is to stay away, in microseconds.

        `brings` and `room` in tickets a second: what the caller sends of late, and what can be taken from all
        that return. `least`: what the module asks for; `left`: for how long an answer is still of use to the
        caller, which no advice outlasts.
        """
        now = self._advance(now)
        max_allowed = min(self.max_delay, remaining)
        if max_allowed <= min_delay or not len(self.slot_rates):
            return max(0, min(min_delay, max_allowed))
        retry_at = self.retry_times.get(caller, 0)
        if retry_at <= now:
            retry_at = self.retry_times[caller] = self._schedule(now, caller_rate, min_delay, capacity)
        return min(max_allowed, max(min_delay, retry_at - now))

    def _schedule(self, now: int, caller_rate: float, min_delay: int, capacity: float) -> int:
        size = len(self.slot_rates)
        slot_limit = FULL_SHARE * max(0.0, capacity) / size
        for offset in range(-(-min_delay // SLOT_US), size):
            slot = (self.current_slot + offset) % size
            if (
                self.slot_rates[slot] == 0
                and capacity > 0
                or self.slot_rates[slot] + caller_rate <= slot_limit
            ):
                self.slot_rates[slot] += caller_rate
                earliest = max(now + min_delay, (self.current_slot + offset) * SLOT_US)
                return earliest + int(self.random() * SLOT_US)
        return now + self.max_delay

    def _advance(self, now: int) -> int:
        """Empties what has passed. A clock that steps back stands still."""
        slot, size = now // SLOT_US, len(self.slot_rates)
        if slot > self.current_slot:
            for offset in range(min(size, slot - self.current_slot)):
                self.slot_rates[(self.current_slot + offset) % size] = 0.0
            self.current_slot = slot
            self.retry_times = {caller: time for caller, time in self.retry_times.items() if time > now}
        return max(now, self.current_slot * SLOT_US)
