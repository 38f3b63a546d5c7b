"""Schedules when rejected callers are to retry, so that they don't retry in step.

A ring of time slots covers the longest permitted delay. Each caller gets one retry time: a random moment in
the first slot that has capacity for the caller's rate and that the minimum delay allows, which is set by the
decision module. A caller that is rejected again before its retry time gets the same time. If no slot has
capacity, it gets the longest delay. Slots and retry times that have passed are cleared. The code does no
I/O; the random source is passed in.
"""

from array import array
from random import Random

SLOT_US = 50_000
FULL_SHARE = 2.0  # a slot is full at this multiple of its even share of the capacity


class RetryScheduler:
    def __init__(self, now: int, max_delay: int, rng: Random) -> None:
        """`max_delay` in microseconds: the longest delay that may be advised."""
        self.max_delay, self.random = max_delay, rng.random
        # Retries expected in each slot, in requests per second.
        self.slot_rates = array("f", bytes(4 * max(1, max_delay // SLOT_US)))
        self.current_slot = now // SLOT_US  # counted from the clock's zero
        self.retry_times: dict[int, int] = {}  # by caller; removed once they have passed

    def advise(
        self, now: int, caller: int, caller_rate: float, min_delay: int, remaining: int, capacity: float
    ) -> int:
        """The delay in microseconds until the caller is to retry.

        `caller_rate` and `capacity` are in requests per second: the caller's recent rate, and the rate at
        which retries of all callers can be served. `min_delay` is what the decision module asks for;
        `remaining` is the time left until the caller's deadline, which the delay never exceeds.
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
        """Clears slots and retry times that have passed. A clock that steps back is treated as stopped."""
        slot, size = now // SLOT_US, len(self.slot_rates)
        if slot > self.current_slot:
            for offset in range(min(size, slot - self.current_slot)):
                self.slot_rates[(self.current_slot + offset) % size] = 0.0
            self.current_slot = slot
            self.retry_times = {caller: time for caller, time in self.retry_times.items() if time > now}
        return max(now, self.current_slot * SLOT_US)
