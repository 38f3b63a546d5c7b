"""Weighs the windows of prints: bytes, false repeats, forgotten repeats, time a ticket. Writes Markdown.

    python -m benchmarks.windows > docs/measurements/windows.md

Each holds 10 s of traffic in which a share of tickets is turned away and comes back within 2 s; the
libraries' structures, which have no time of their own, are rotated by hand (two generations, each for the
whole span).
"""

import random
import statistics
import time
from collections.abc import Callable

from probables import BloomFilter, CountMinSketch, CuckooFilter

from crowwing.storm.fingerprint_windows import BloomWindow, CountWindow, CuckooWindow, DictWindow

S = 1_000_000
SPAN, MOST, SECONDS = 10 * S, 4000, 60
SEEDS = range(5)


class Rotated:
    """A library's structure in two generations; what it cannot take out stays until it rotates."""

    def __init__(self, make: Callable[[], object], size: Callable[[object], int]) -> None:
        self.make, self.size, self.turned = make, size, 0
        self.now, self.before = make(), make()

    def _turn(self, now: int) -> None:
        if now - self.turned >= SPAN:
            self.now, self.before, self.turned = self.make(), self.now, now

    def add(self, now: int, print_: int) -> None:
        self._turn(now)
        self.now.add(str(print_))

    def take(self, now: int, print_: int) -> bool:
        self._turn(now)
        return bool(self.now.check(str(print_)) or self.before.check(str(print_)))

    @property
    def size_bytes(self) -> int:
        return self.size(self.now) + self.size(self.before)


def library_bloom() -> Rotated:
    return Rotated(
        lambda: BloomFilter(est_elements=MOST, false_positive_rate=0.005), lambda f: f.bloom_length
    )


def library_cuckoo() -> Rotated:
    def make() -> CuckooFilter:
        return CuckooFilter(capacity=MOST // 3, bucket_size=4, finger_size=3, auto_expand=True)

    return Rotated(make, lambda f: 3 * f.capacity * f.bucket_size)


def library_count() -> Rotated:
    return Rotated(lambda: CountMinSketch(width=2 * MOST, depth=3), lambda f: 4 * f.width * f.depth)


KINDS: dict[str, Callable[[], object]] = {
    "dict, ordered by age (plain)": lambda: DictWindow(SPAN, MOST),
    "rotating Bloom, one word a print": lambda: BloomWindow(SPAN, MOST),
    "cuckoo with ages": lambda: CuckooWindow(SPAN, MOST),
    "count-min that fades": lambda: CountWindow(SPAN, MOST),
    "pyprobables Bloom, rotated": library_bloom,
    "pyprobables cuckoo, rotated": library_cuckoo,
    "pyprobables count-min, rotated": library_count,
}


def play(make: Callable[[], object], seed: int, rate: int) -> tuple[float, float, float, int]:
    """Share of first tries taken for repeats, of repeats not seen, microseconds a ticket, bytes."""
    chance, window = random.Random(seed), make()
    come: list[tuple[int, int, bool]] = []
    for n in range(rate * SECONDS):
        at = n * S // rate
        key = chance.getrandbits(64)
        come.append((at, key, False))
        if chance.random() < 0.3:
            come.append((at + chance.randrange(S // 10, 2 * S), key, True))
    come.sort()
    wrong = missed = firsts = repeats = 0
    began = time.perf_counter()
    for at, key, again in come:
        seen = window.take(at, key)
        if again:
            repeats, missed = repeats + 1, missed + (not seen)
        else:
            firsts, wrong = firsts + 1, wrong + seen
            window.add(at, key)
    took = time.perf_counter() - began
    return wrong / firsts, missed / repeats, took / len(come) * 1e6, window.size_bytes


def main() -> None:
    print("# Windows of prints, weighed\n")
    print("Made by `python -m benchmarks.windows`: simulated traffic, five seeds, mean and range.")
    print(f"Each is asked to hold {MOST} prints over 10 s; 0.3 of tickets come back within 2 s.\n")
    for rate, note in (
        (200, "2,000 in the window: half full"),
        (600, "6,000 in it: over what was asked for"),
    ):
        print(f"## {rate} tickets turned away a second ({note})\n")
        print("| structure | bytes | bytes a print | false repeats | repeats not seen | us a ticket |")
        print("| --- | --- | --- | --- | --- | --- |")
        for name, make in KINDS.items():
            rows = [play(make, seed, rate) for seed in SEEDS]
            wrong, missed, took, size = zip(*rows, strict=True)
            held = statistics.mean(size)
            cells = [f"{held:,.0f}", f"{held / min(MOST, rate * 10):.1f}"]
            for share in (wrong, missed):
                cells.append(f"{statistics.mean(share):.3%} ({min(share):.3%} to {max(share):.3%})")
            cells.append(f"{statistics.mean(took):.2f} ({min(took):.2f} to {max(took):.2f})")
            print(f"| {name} | {' | '.join(cells)} |")
        print()


if __name__ == "__main__":
    main()
