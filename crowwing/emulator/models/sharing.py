"""Processor sharing, exactly: jobs that advance together at one rate. Pure; the clock is handed in.

All jobs get the same rate at the same time, so one figure, the work done for a job since the start
(`done`), says all: a job that comes in at `done` with work w ends when `done` has grown by w. Between two
changes the rate is constant, or rises in a line while it warms up; both can be inverted, so no ticks are
needed and the same models serve sockets and simulated time. Work is in microseconds at speed 1 on a place
of its own.
"""

import heapq
from collections.abc import Hashable
from itertools import count
from math import ceil, sqrt

NEVER = 1 << 62


class Warming:
    """A speed that rises in a line from `least` to 1 over `span` microseconds from `born`."""

    __slots__ = ("born", "span", "least")

    def __init__(self, born: int, span: int = 0, least: float = 1.0) -> None:
        self.born, self.span, self.least = born, span, least

    def at(self, now: int) -> float:
        if not self.span or now >= self.born + self.span:
            return 1.0
        return self.least + (1 - self.least) * max(0, now - self.born) / self.span

    def between(self, start: int, end: int) -> float:
        """The integral of the speed, in microseconds of full speed."""
        warm = self.born + self.span
        cold_end = min(end, warm)
        area = max(0, end - max(start, warm))
        if cold_end > start:
            area += (cold_end - start) * (self.at(start) + self.at(cold_end)) / 2
        return float(area)

    def when(self, start: int, area: float) -> int:
        """The first whole microsecond by which the integral from `start` has reached `area`."""
        warm = self.born + self.span
        if start >= warm:
            return start + ceil(area)
        cold = self.between(start, warm)
        if area > cold:
            return warm + ceil(area - cold)
        speed, slope = self.at(start), (1 - self.least) / self.span
        if slope == 0:
            return start + ceil(area / speed)
        return start + ceil((sqrt(speed * speed + 2 * slope * area) - speed) / slope)


class Sharing:
    """Jobs on `places`; over `crowd_from` jobs a place, each job a place more costs all `crowd_cost`."""

    def __init__(
        self, now: int, places: float, warming: Warming, crowd_from: float = NEVER, crowd_cost: float = 0.0
    ) -> None:
        self.now, self.places, self.warming = now, places, warming
        self.crowd_from, self.crowd_cost = crowd_from, crowd_cost
        self.speed = 1.0  # of a place; faults change it, 0 stops it
        self.done = 0.0
        self.ends: dict[Hashable, tuple[float, int]] = {}  # job -> at what `done` it ends; emptied by ends
        self.order: list[tuple[float, int, Hashable]] = []  # heap; entries without their job are skipped
        self.serial = count()

    def __len__(self) -> int:
        return len(self.ends)

    def rate(self) -> float:
        """For each job, before warming."""
        here = len(self.ends) / self.places
        if not here:
            return 0.0
        crowd = 1 + self.crowd_cost * max(0.0, here - self.crowd_from)
        return self.speed * min(1.0, 1 / here) / crowd

    def use(self) -> float:
        """Part of the places that is taken."""
        return min(1.0, len(self.ends) / self.places)

    def add(self, now: int, job: Hashable, work: float) -> None:
        self.pass_to(now)
        entry = (self.done + max(0.0, work), next(self.serial))
        self.ends[job] = entry
        heapq.heappush(self.order, (*entry, job))

    def remove(self, now: int, job: Hashable) -> float:
        """Takes a job off; the work that it had left."""
        self.pass_to(now)
        return max(0.0, self.ends.pop(job)[0] - self.done)

    def set_speed(self, now: int, speed: float) -> None:
        self.pass_to(now)
        self.speed = speed

    def pass_to(self, now: int) -> None:
        """Nothing may end before `now`: ask next_at() and take ended() first."""
        if now > self.now:
            self.done += self.rate() * self.warming.between(self.now, now)
            self.now = now

    def next_at(self) -> int:
        """When the next job ends, if nothing changes before."""
        while self.order and self.ends.get(self.order[0][2]) != self.order[0][:2]:
            heapq.heappop(self.order)
        rate = self.rate()
        if not self.order or not rate:
            return NEVER
        return max(self.now, self.warming.when(self.now, max(0.0, self.order[0][0] - self.done) / rate))

    def ended(self, now: int) -> Hashable | None:
        """One job that is over at `now`, or None; call it until None, at each next_at()."""
        if self.next_at() > now:
            return None
        self.pass_to(now)
        job = heapq.heappop(self.order)[2]
        del self.ends[job]
        return job


class Mean:
    """The exact mean of a figure over the last `span` microseconds; it keeps the changes in that span."""

    def __init__(self, now: int, span: int) -> None:
        self.span, self.value, self.area = span, 0.0, 0.0
        self.at = self.first = now
        self.steps: list[tuple[int, float]] = []  # (until, value); the oldest leave as they fall out
        self.head = 0

    def set(self, now: int, value: float) -> None:
        self.pass_to(now)
        self.value = value

    def pass_to(self, now: int) -> None:
        if now > self.at:
            self.area += self.value * (now - self.at)
            self.steps.append((now, self.value))
            self.at = now
        cut = now - self.span
        while self.head < len(self.steps) and self.first < cut:
            until, value = self.steps[self.head]
            end = min(until, cut)
            self.area -= value * (end - self.first)
            self.first = end
            if until > cut:
                break
            self.head += 1
        if self.head > 512:
            del self.steps[: self.head]
            self.head = 0

    def mean(self, now: int) -> float:
        self.pass_to(now)
        return self.area / self.span
