"""Compares the fingerprint windows: bytes, false retries, missed retries, time per request. Writes Markdown.

    python -m benchmarks.windows > docs/measurements/windows.md

Each covers 10 s of traffic in which a share of requests is rejected and retried within 2 s; the libraries'
structures don't expire entries, so they are rotated in two generations, each for the full span.
"""

import random
import statistics
import time
from collections.abc import Callable

from probables import BloomFilter, CountMinSketch, CuckooFilter

from crowwing.storm.fingerprint_windows import BloomWindow, CountWindow, CuckooWindow, DictWindow

SECOND_US = 1_000_000
SPAN_US, MAX_PRINTS, DURATION_S = 10 * SECOND_US, 4000, 60
SEEDS = range(5)


class RotatedFilter:
    """A library's filter in two generations; entries stay until the rotation."""

    def __init__(self, make: Callable[[], object], size: Callable[[object], int]) -> None:
        self.make, self.size, self.rotated_at = make, size, 0
        self.current, self.previous = make(), make()

    def _rotate(self, now: int) -> None:
        if now - self.rotated_at >= SPAN_US:
            self.current, self.previous, self.rotated_at = self.make(), self.current, now

    def add(self, now: int, fingerprint: int) -> None:
        self._rotate(now)
        self.current.add(str(fingerprint))

    def take(self, now: int, fingerprint: int) -> bool:
        self._rotate(now)
        return bool(self.current.check(str(fingerprint)) or self.previous.check(str(fingerprint)))

    @property
    def size_bytes(self) -> int:
        return self.size(self.current) + self.size(self.previous)


def library_bloom() -> RotatedFilter:
    return RotatedFilter(
        lambda: BloomFilter(est_elements=MAX_PRINTS, false_positive_rate=0.005), lambda f: f.bloom_length
    )


def library_cuckoo() -> RotatedFilter:
    def make() -> CuckooFilter:
        return CuckooFilter(capacity=MAX_PRINTS // 3, bucket_size=4, finger_size=3, auto_expand=True)

    return RotatedFilter(make, lambda f: 3 * f.capacity * f.bucket_size)


def library_count() -> RotatedFilter:
    return RotatedFilter(
        lambda: CountMinSketch(width=2 * MAX_PRINTS, depth=3), lambda f: 4 * f.width * f.depth
    )


WINDOW_TYPES: dict[str, Callable[[], object]] = {
    "dict, ordered by age (plain)": lambda: DictWindow(SPAN_US, MAX_PRINTS),
    "rotating Bloom, one word a print": lambda: BloomWindow(SPAN_US, MAX_PRINTS),
    "cuckoo with ages": lambda: CuckooWindow(SPAN_US, MAX_PRINTS),
    "count-min that fades": lambda: CountWindow(SPAN_US, MAX_PRINTS),
    "pyprobables Bloom, rotated": library_bloom,
    "pyprobables cuckoo, rotated": library_cuckoo,
    "pyprobables count-min, rotated": library_count,
}


def measure(make: Callable[[], object], seed: int, rate: int) -> tuple[float, float, float, int]:
    """Share of first attempts taken for retries, share of missed retries, µs per request, bytes."""
    rng, window = random.Random(seed), make()
    arrivals: list[tuple[int, int, bool]] = []
    for n in range(rate * DURATION_S):
        at = n * SECOND_US // rate
        key = rng.getrandbits(64)
        arrivals.append((at, key, False))
        if rng.random() < 0.3:
            arrivals.append((at + rng.randrange(SECOND_US // 10, 2 * SECOND_US), key, True))
    arrivals.sort()
    false_retries = missed = first_attempts = retries = 0
    began = time.perf_counter()
    for at, key, is_retry in arrivals:
        seen = window.take(at, key)
        if is_retry:
            retries, missed = retries + 1, missed + (not seen)
        else:
            first_attempts, false_retries = first_attempts + 1, false_retries + seen
            window.add(at, key)
    took = time.perf_counter() - began
    return false_retries / first_attempts, missed / retries, took / len(arrivals) * 1e6, window.size_bytes


def main() -> None:
    print("# Windows of prints, weighed\n")
    print("Made by `python -m benchmarks.windows`: simulated traffic, five seeds, mean and range.")
    print(f"Each is asked to hold {MAX_PRINTS} prints over 10 s; 0.3 of tickets come back within 2 s.\n")
    for rate, description in (
        (200, "2,000 in the window: half full"),
        (600, "6,000 in it: over what was asked for"),
    ):
        print(f"## {rate} tickets turned away a second ({description})\n")
        print("| structure | bytes | bytes a print | false repeats | repeats not seen | us a ticket |")
        print("| --- | --- | --- | --- | --- | --- |")
        for name, make in WINDOW_TYPES.items():
            rows = [measure(make, seed, rate) for seed in SEEDS]
            false_retries, missed, took, size = zip(*rows, strict=True)
            mean_bytes = statistics.mean(size)
            cells = [f"{mean_bytes:,.0f}", f"{mean_bytes / min(MAX_PRINTS, rate * 10):.1f}"]
            for share in (false_retries, missed):
                cells.append(f"{statistics.mean(share):.3%} ({min(share):.3%} to {max(share):.3%})")
            cells.append(f"{statistics.mean(took):.2f} ({min(took):.2f} to {max(took):.2f})")
            print(f"| {name} | {' | '.join(cells)} |")
        print()


if __name__ == "__main__":
    main()
