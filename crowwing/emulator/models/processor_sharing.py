"""Exact processor sharing: jobs that advance together at one rate. Free of I/O; time is passed in.

All jobs get the same rate at the same time, so one number, the work done for a job since the start
(`work_done`), is enough: a job added at `work_done` with work w ends when `work_done` has grown by w. Between
two changes the rate is constant, or rises linearly during warm-up; both can be inverted, so no ticks are
needed and the same models serve sockets and simulated time. Work is in microseconds at speed 1 on a slot
of its own.
"""

import heapq
from collections.abc import Hashable
from itertools import count
from math import ceil, sqrt

NEVER = 1 << 62


class WarmUp:
    """A speed that rises linearly from `least` to 1 over `span` microseconds from `born`."""

    __slots__ = ("born", "span", "least")

    def __init__(self, born: int, span: int = 0, least: float = 1.0) -> None:
        self.born, self.span, self.least = born, span, least

    def at(self, now: int) -> float:
        if not self.span or now >= self.born + self.span:
            return 1.0
        return self.least + (1 - self.least) * max(0, now - self.born) / self.span

    def integral(self, start: int, end: int) -> float:
        """Returns the integral of the speed, in microseconds at full speed."""
        warm_at = self.born + self.span
        cold_end = min(end, warm_at)
        area = max(0, end - max(start, warm_at))
        if cold_end > start:
            area += (cold_end - start) * (self.at(start) + self.at(cold_end)) / 2
        return float(area)

    def time_to_reach(self, start: int, area: float) -> int:
        """Returns the first whole microsecond by which the integral from `start` has reached `area`."""
        warm_at = self.born + self.span
        if start >= warm_at:
            return start + ceil(area)
        cold = self.integral(start, warm_at)
        if area > cold:
            return warm_at + ceil(area - cold)
        speed, slope = self.at(start), (1 - self.least) / self.span
        if slope == 0:
            return start + ceil(area / speed)
        return start + ceil((sqrt(speed * speed + 2 * slope * area) - speed) / slope)


class ProcessorSharing:
    """Jobs that share `slots`.

    Above `crowd_from` jobs per slot, each further job per slot slows all of them by `crowd_cost`.
    """

    def __init__(
        self, now: int, slots: float, warm_up: WarmUp, crowd_from: float = NEVER, crowd_cost: float = 0.0
    ) -> None:
        self.now, self.slots, self.warm_up = now, slots, warm_up
        self.crowd_from, self.crowd_cost = crowd_from, crowd_cost
        self.speed = 1.0  # of one slot; faults change it, 0 stops all jobs
        self.work_done = 0.0
        self.ends: dict[Hashable, tuple[float, int]] = {}  # job -> value of `work_done` at which it ends
        self.heap: list[tuple[float, int, Hashable]] = []  # entries of removed jobs are skipped
        self.serial = count()

    def __len__(self) -> int:
        return len(self.ends)

    def rate(self) -> float:
        """Returns the rate of each job, before the warm-up factor."""
        load = len(self.ends) / self.slots
        if not load:
            return 0.0
        slowdown = 1 + self.crowd_cost * max(0.0, load - self.crowd_from)
        return self.speed * min(1.0, 1 / load) / slowdown

    def utilization(self) -> float:
        """Returns the part of the slots that is in use."""
        return min(1.0, len(self.ends) / self.slots)

    def add(self, now: int, job: Hashable, work: float) -> None:
        self.advance_to(now)
        entry = (self.work_done + max(0.0, work), next(self.serial))
        self.ends[job] = entry
        heapq.heappush(self.heap, (*entry, job))

    def remove(self, now: int, job: Hashable) -> float:
        """Removes a job and returns its remaining work."""
        self.advance_to(now)
        return max(0.0, self.ends.pop(job)[0] - self.work_done)

    def set_speed(self, now: int, speed: float) -> None:
        self.advance_to(now)
        self.speed = speed

    def advance_to(self, now: int) -> None:
        """Advances the clock; no job may end before `now`, so drain ended() at each next_at() first."""
        if now > self.now:
            self.work_done += self.rate() * self.warm_up.integral(self.now, now)
            self.now = now

    def next_at(self) -> int:
        """Returns when the next job ends, if nothing changes before."""
        while self.heap and self.ends.get(self.heap[0][2]) != self.heap[0][:2]:
            heapq.heappop(self.heap)
        rate = self.rate()
        if not self.heap or not rate:
            return NEVER
        return max(
            self.now, self.warm_up.time_to_reach(self.now, max(0.0, self.heap[0][0] - self.work_done) / rate)
        )

    def ended(self, now: int) -> Hashable | None:
        """Takes one job that has ended by `now`, or None; call it until None at each next_at()."""
        if self.next_at() > now:
            return None
        self.advance_to(now)
        job = heapq.heappop(self.heap)[2]
        del self.ends[job]
        return job


class SlidingMean:
    """Exact mean of a value over the last `span` microseconds; keeps the changes within that span."""

    def __init__(self, now: int, span: int) -> None:
        self.span, self.value, self.area = span, 0.0, 0.0
        self.at = self.first = now
        self.steps: list[tuple[int, float]] = []  # (until, value), oldest first
        self.head = 0

    def set(self, now: int, value: float) -> None:
        self.advance_to(now)
        self.value = value

    def advance_to(self, now: int) -> None:
        if now > self.at:
            self.area += self.value * (now - self.at)
            self.steps.append((now, self.value))
            self.at = now
        window_start = now - self.span
        while self.head < len(self.steps) and self.first < window_start:
            until, value = self.steps[self.head]
            end = min(until, window_start)
            self.area -= value * (end - self.first)
            self.first = end
            if until > window_start:
                break
            self.head += 1
        if self.head > 512:
            del self.steps[: self.head]
            self.head = 0

    def mean(self, now: int) -> float:
        self.advance_to(now)
        return self.area / self.span
