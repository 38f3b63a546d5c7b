"""Paced returns: when a caller that is sent away is to come back, so that callers do not return in step.

Pure.

A wheel of slots covers the longest advice there is. Each caller gets one place on it: the first slot, not
before what the module asks for, that has room for what the caller brings, and within it a moment by chance.
A caller that is sent away again before its place comes is told the same place. Where no slot has room, it
is told the longest. The wheel turns with time, which empties slots and places.
"""

from array import array
from random import Random

SLOT = 50_000  # microseconds
FULL = 2.0  # a slot takes so many times the mean share of a slot before it is full


class Returns:
    def __init__(self, now: int, longest: int, chance: Random) -> None:
        """`longest` in microseconds: the longest advice that may be given."""
        self.longest, self.random = longest, chance.random
        self.slots = array("f", bytes(4 * max(1, longest // SLOT)))  # tickets a second that return in each
        self.head = now // SLOT  # the slot of now, counted from the clock's start
        self.places: dict[int, int] = {}  # caller -> when it returns; emptied by that time

    def advise(self, now: int, by: int, brings: float, least: int, left: int, room: float) -> int:
        """For how long the caller is to stay away, in microseconds.

        `brings` and `room` in tickets a second: what the caller sends of late, and what can be taken from all
        that return. `least`: what the module asks for; `left`: for how long an answer is still of use to the
        caller, which no advice outlasts.
        """
        now = self._turn(now)
        most = min(self.longest, left)
        if most <= least or not len(self.slots):
            return max(0, min(least, most))
        place = self.places.get(by, 0)
        if place <= now:
            place = self.places[by] = self._place(now, brings, least, room)
        return min(most, max(least, place - now))

    def _place(self, now: int, brings: float, least: int, room: float) -> int:
        size = len(self.slots)
        full = FULL * max(0.0, room) / size
        for n in range(-(-least // SLOT), size):
            at = (self.head + n) % size
            if self.slots[at] == 0 and room > 0 or self.slots[at] + brings <= full:
                self.slots[at] += brings
                begin = max(now + least, (self.head + n) * SLOT)
                return begin + int(self.random() * SLOT)
        return now + self.longest

    def _turn(self, now: int) -> int:
        """Empties what has passed. A clock that steps back stands still."""
        head, size = now // SLOT, len(self.slots)
        if head > self.head:
            for n in range(min(size, head - self.head)):
                self.slots[(self.head + n) % size] = 0.0
            self.head = head
            self.places = {by: at for by, at in self.places.items() if at > now}
        return max(now, self.head * SLOT)
