"""Prints of what each member turned away of late, told to the others: a repeat that comes to another backend
is known there too. Pure.

A member tells at most `PRINTS` a look, drawn by chance from all that it turned away since the last, under
keys of a ring of its own (`turned/member/place`); so what the fleet keeps and sends of it is bounded
whatever the storm. In a partition each side knows its own; what a member missed is gone with its life of
seconds.
"""

import random
from collections.abc import Iterable

from crowwing.fleet.state.hybrid_clock import Stamp
from crowwing.fleet.state.replica import Entry

PRINTS = 20  # 64-bit numbers that fit one entry
RING = 16  # places of one member
SAMPLE = 400  # kept until the next look, of all that were turned away


class Turned:
    def __init__(self, me: str, chance: random.Random) -> None:
        self.me, self.chance = me, chance
        self.fresh: list[int] = []  # a fair sample since the last telling, which empties it
        self.count = self.place = 0
        self.seen: dict[str, Stamp] = {}  # one a place of each member in the ring; emptied with the entries

    def add(self, print_: int) -> None:
        """One turned away here (reservoir sampling)."""
        self.count += 1
        if len(self.fresh) < SAMPLE:
            self.fresh.append(print_)
        elif (place := self.chance.randrange(self.count)) < SAMPLE:
            self.fresh[place] = print_

    def tell(self) -> tuple[str, list[int]] | None:
        """Key and value to put now; None where nothing was turned away."""
        if not self.fresh:
            return None
        told = self.chance.sample(self.fresh, min(PRINTS, len(self.fresh)))
        self.fresh, self.count = [], 0
        self.place = (self.place + 1) % RING
        return f"turned/{self.me}/{self.place}", told

    def heard(self, entries: Iterable[tuple[str, Entry]]) -> list[int]:
        """Of all entries under `turned/`, the prints of others that are new since the last look."""
        prints: list[int] = []
        now: dict[str, Stamp] = {}
        for key, entry in entries:
            now[key] = entry.stamp
            if key.split("/")[1] == self.me or self.seen.get(key) == entry.stamp:
                continue
            if isinstance(entry.value, list):
                prints += [one for one in entry.value[:PRINTS] if type(one) is int and 0 <= one < 1 << 64]
        self.seen = now
        return prints
