"""Sets of 64-bit fingerprints whose entries expire after a span, in fixed memory.

All have add(now, fingerprint), take(now, fingerprint) and `size_bytes`. take() says whether the fingerprint
is in the set and removes it if the structure supports that, since one rejection causes one retry at most.
Times are in microseconds and passed in. docs/storm.md compares the structures.
"""

from array import array
from collections import OrderedDict
from math import exp

MASK = (1 << 64) - 1


class DictWindow:
    """An exact set; its memory grows with the traffic up to `capacity` entries."""

    def __init__(self, span: int, capacity: int) -> None:
        self.span, self.capacity = span, capacity
        self.expires_at: OrderedDict[int, int] = OrderedDict()  # bounded by age, take() and the capacity

    def add(self, now: int, fingerprint: int) -> None:
        self.expires_at.pop(fingerprint, None)
        self.expires_at[fingerprint] = now + self.span
        while len(self.expires_at) > self.capacity or next(iter(self.expires_at.values())) <= now:
            self.expires_at.popitem(last=False)

    def take(self, now: int, fingerprint: int) -> bool:
        return self.expires_at.pop(fingerprint, 0) > now

    @property
    def size_bytes(self) -> int:
        # 64 bytes for the boxed fingerprint and time of each entry.
        return self.expires_at.__sizeof__() + 64 * len(self.expires_at)


class BloomWindow:
    """Rotating Bloom filters with one 64-bit word per fingerprint; take() removes nothing."""

    GENERATIONS, BITS = 4, 4

    def __init__(self, span: int, capacity: int) -> None:
        self.rotation_span = span // (self.GENERATIONS - 1)
        self.words = max(64, capacity // 6)
        self.generations = [array("Q", bytes(8 * self.words)) for _ in range(self.GENERATIONS)]
        self.rotated_at = 0

    def _rotate(self, now: int) -> None:
        """Replaces the oldest generation after each `rotation_span`."""
        if now - self.rotated_at >= self.rotation_span:
            steps = min(self.GENERATIONS, (now - self.rotated_at) // self.rotation_span)
            for _ in range(steps):
                self.generations.insert(0, array("Q", bytes(8 * self.words)))
                self.generations.pop()
            self.rotated_at = now

    def _mask(self, fingerprint: int) -> int:
        mask = 0
        for n in range(self.BITS):
            mask |= 1 << (fingerprint >> 6 * n + 40 & 63)
        return mask

    def add(self, now: int, fingerprint: int) -> None:
        self._rotate(now)
        self.generations[0][fingerprint % self.words] |= self._mask(fingerprint)

    def take(self, now: int, fingerprint: int) -> bool:
        self._rotate(now)
        mask, word = self._mask(fingerprint), fingerprint % self.words
        return any(generation[word] & mask == mask for generation in self.generations)

    @property
    def size_bytes(self) -> int:
        return sum(generation.itemsize * len(generation) for generation in self.generations)


class CuckooWindow:
    """A cuckoo filter whose slots store the epoch in which they were written.

    The span has 64 epochs. A slot has 32 bits: 24 of the fingerprint and 8 of its epoch; an expired one
    counts as free. Since the 8 bits wrap around, a part of the table is swept of expired slots in each epoch.
    If both buckets of a fingerprint are full, it replaces their oldest entry, which is lost before its time.
    """

    BUCKET_SIZE, EPOCHS = 4, 64

    def __init__(self, span: int, capacity: int) -> None:
        self.epoch_span = max(1, span // self.EPOCHS)
        buckets = 1
        while buckets * self.BUCKET_SIZE * 0.9 < capacity:
            buckets *= 2
        self.mask = buckets - 1
        self.slots = array("I", bytes(4 * self.BUCKET_SIZE * buckets))  # 0 is a free slot
        self.epoch = self.sweep_position = 0  # the table is swept up to this slot

    def _advance(self, now: int) -> int:
        """Returns the current epoch as slots store it, and sweeps the whole table once per span.

        Without the sweep, an expired slot would count as new again each time its 8 bits wrap around.
        """
        epoch = now // self.epoch_span
        elapsed, size = epoch - self.epoch, len(self.slots)
        if elapsed > self.EPOCHS:
            self.slots = array("I", bytes(4 * size))
        elif elapsed > 0:
            for n in range(self.sweep_position, self.sweep_position + elapsed * -(-size // self.EPOCHS)):
                if self._age(epoch % 256, self.slots[n % size]) > self.EPOCHS:
                    self.slots[n % size] = 0
            self.sweep_position = (self.sweep_position + elapsed * -(-size // self.EPOCHS)) % size
        self.epoch = max(self.epoch, epoch)
        return self.epoch % 256

    def _candidates(self, fingerprint: int) -> tuple[int, int, int]:
        tag = fingerprint >> 40 or 1
        first = fingerprint & self.mask
        return tag, first, first ^ (tag * 0x5BD1E995 & self.mask)

    def _age(self, stamp: int, slot: int) -> int:
        """The age of a slot in epochs; it has expired if that is over EPOCHS."""
        return (stamp - (slot & 0xFF)) % 256 if slot else 256

    def add(self, now: int, fingerprint: int) -> None:
        stamp, slots = self._advance(now), self.slots
        tag, first, second = self._candidates(fingerprint)
        oldest_age, oldest_slot = -1, 0
        for bucket in (first, second):
            for n in range(bucket * self.BUCKET_SIZE, bucket * self.BUCKET_SIZE + self.BUCKET_SIZE):
                age = self._age(stamp, slots[n])
                if age > self.EPOCHS:
                    slots[n] = tag << 8 | stamp
                    return
                if age > oldest_age:
                    oldest_age, oldest_slot = age, n
        slots[oldest_slot] = tag << 8 | stamp

    def take(self, now: int, fingerprint: int) -> bool:
        stamp, slots = self._advance(now), self.slots
        tag, first, second = self._candidates(fingerprint)
        for bucket in (first, second):
            for n in range(bucket * self.BUCKET_SIZE, bucket * self.BUCKET_SIZE + self.BUCKET_SIZE):
                slot = slots[n]
                if slot >> 8 == tag and self._age(stamp, slot) <= self.EPOCHS:
                    slots[n] = 0
                    return True
        return False

    @property
    def size_bytes(self) -> int:
        return self.slots.itemsize * len(self.slots)


class CountWindow:
    """A count-min sketch with decaying counts; a fingerprint is in it while its minimum count is over 0.5."""

    ROWS, THRESHOLD = 3, 0.5

    def __init__(self, span: int, capacity: int) -> None:
        self.decay = 0.7 / span  # a count of 1 falls below 0.5 after the span
        self.width = max(64, 2 * capacity)
        self.rows = [array("f", bytes(4 * self.width)) for _ in range(self.ROWS)]
        self.reference = 0

    def _scale(self, now: int) -> float:
        """The weight of a count added now, relative to one added at `reference`.

        Weighting new counts instead of decaying the old ones costs nothing per entry; `reference` is moved
        before the counts overflow.
        """
        if (now - self.reference) * self.decay > 30:
            factor = exp(-min(600.0, (now - self.reference) * self.decay))
            for row in self.rows:
                row[:] = array("f", [value * factor for value in row])
            self.reference = now
        return exp((now - self.reference) * self.decay)

    def _columns(self, fingerprint: int) -> list[int]:
        return [(fingerprint >> 20 * n) % self.width for n in range(self.ROWS)]

    def add(self, now: int, fingerprint: int) -> None:
        scale = self._scale(now)
        for row, column in zip(self.rows, self._columns(fingerprint), strict=True):
            row[column] += scale

    def take(self, now: int, fingerprint: int) -> bool:
        scale, columns = self._scale(now), self._columns(fingerprint)
        if min(row[column] for row, column in zip(self.rows, columns, strict=True)) / scale <= self.THRESHOLD:
            return False
        for row, column in zip(self.rows, columns, strict=True):
            row[column] = max(0.0, row[column] - scale)
        return True

    @property
    def size_bytes(self) -> int:
        return sum(row.itemsize * len(row) for row in self.rows)
