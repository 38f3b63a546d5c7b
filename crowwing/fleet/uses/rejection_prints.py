"""Shares among members the prints (fingerprints) of recently rejected requests. Pure.

So a backend also recognises the repeat of a request that another one rejected.

Each publication has at most `MAX_PRINTS`, a random sample of all that the member rejected since the last
publication. It overwrites the oldest key of the member's ring (`turned/member/slot`), so the fleet stores and
sends a bounded amount in any storm. In a partition each side knows only its own prints; those that a
member missed expire within seconds.
"""

import random
from collections.abc import Iterable

from crowwing.fleet.state.hybrid_clock import Timestamp
from crowwing.fleet.state.replica import Entry

MAX_PRINTS = 20  # 64-bit numbers; they fit one entry
RING_SLOTS = 16  # keys of one member
SAMPLE_SIZE = 400  # of all rejected requests since the last publication


class RejectionPrints:
    def __init__(self, me: str, rng: random.Random) -> None:
        self.me, self.rng = me, rng
        self.sample: list[int] = []  # uniform sample since the last publication
        self.seen_count = self.slot = 0
        self.known_timestamps: dict[str, Timestamp] = {}  # by key; bounded by the entries

    def add(self, print_: int) -> None:
        """Adds the print of a request rejected here (reservoir sampling)."""
        self.seen_count += 1
        if len(self.sample) < SAMPLE_SIZE:
            self.sample.append(print_)
        elif (slot := self.rng.randrange(self.seen_count)) < SAMPLE_SIZE:
            self.sample[slot] = print_

    def next_entry(self) -> tuple[str, list[int]] | None:
        """Key and value to publish now; None if nothing was rejected."""
        if not self.sample:
            return None
        chosen = self.rng.sample(self.sample, min(MAX_PRINTS, len(self.sample)))
        self.sample, self.seen_count = [], 0
        self.slot = (self.slot + 1) % RING_SLOTS
        return f"turned/{self.me}/{self.slot}", chosen

    def new_prints(self, entries: Iterable[tuple[str, Entry]]) -> list[int]:
        """From all entries under `turned/`: prints of other members that are new since the last call."""
        prints: list[int] = []
        now: dict[str, Timestamp] = {}
        for key, entry in entries:
            now[key] = entry.timestamp
            if key.split("/")[1] == self.me or self.known_timestamps.get(key) == entry.timestamp:
                continue
            if isinstance(entry.value, list):
                prints += [one for one in entry.value[:MAX_PRINTS] if type(one) is int and 0 <= one < 1 << 64]
        self.known_timestamps = now
        return prints
