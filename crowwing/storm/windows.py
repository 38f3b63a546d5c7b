"""Sets of 64-bit prints that forget after a span, in fixed memory. Pure; the clock is handed in.

All have add(now, print), take(now, print) (whether it is there; where the structure can, it is taken out,
since one turning away begets one repeat) and `held_bytes`. docs/storm.md weighs them against each other.
"""

from array import array
from collections import OrderedDict
from math import exp

MASK = (1 << 64) - 1


class DictWindow:
    """The plain one: exact, in memory that follows the traffic up to `most` entries."""

    def __init__(self, span: int, most: int) -> None:
        self.span, self.most = span, most
        self.until: OrderedDict[int, int] = OrderedDict()  # emptied by age, take() and the bound

    def add(self, now: int, print_: int) -> None:
        self.until.pop(print_, None)
        self.until[print_] = now + self.span
        while len(self.until) > self.most or next(iter(self.until.values())) <= now:
            self.until.popitem(last=False)

    def take(self, now: int, print_: int) -> bool:
        return self.until.pop(print_, 0) > now

    @property
    def held_bytes(self) -> int:
        return self.until.__sizeof__() + 64 * len(self.until)  # the boxed print and time of each


class BloomWindow:
    """Rotating Bloom filters, each print in one 64-bit word of its generation; nothing can be taken out."""

    GENERATIONS, BITS = 4, 4

    def __init__(self, span: int, most: int) -> None:
        self.part = span // (self.GENERATIONS - 1)
        self.words = max(64, most // 6)
        self.rings = [array("Q", bytes(8 * self.words)) for _ in range(self.GENERATIONS)]
        self.turned = 0

    def _turn(self, now: int) -> None:
        """The oldest generation is emptied once a part of the span has passed."""
        if now - self.turned >= self.part:
            steps = min(self.GENERATIONS, (now - self.turned) // self.part)
            for _ in range(steps):
                self.rings.insert(0, array("Q", bytes(8 * self.words)))
                self.rings.pop()
            self.turned = now

    def _mask(self, print_: int) -> int:
        mask = 0
        for n in range(self.BITS):
            mask |= 1 << (print_ >> 6 * n + 40 & 63)
        return mask

    def add(self, now: int, print_: int) -> None:
        self._turn(now)
        self.rings[0][print_ % self.words] |= self._mask(print_)

    def take(self, now: int, print_: int) -> bool:
        self._turn(now)
        mask, at = self._mask(print_), print_ % self.words
        return any(ring[at] & mask == mask for ring in self.rings)

    @property
    def held_bytes(self) -> int:
        return sum(ring.itemsize * len(ring) for ring in self.rings)


class CuckooWindow:
    """A cuckoo filter whose slots carry the part of the span they were written in.

    A slot is 32 bits: 24 of the print, 8 of its time. One that is too old counts as free. Since 8 bits of
    time come round again, a part of the table is swept with each part of the span that passes. Where both
    buckets of a print are full, the oldest of them makes room: it is forgotten early.
    """

    SLOTS, PARTS = 4, 64

    def __init__(self, span: int, most: int) -> None:
        self.part = max(1, span // self.PARTS)
        buckets = 1
        while buckets * self.SLOTS * 0.9 < most:
            buckets *= 2
        self.mask = buckets - 1
        self.slots = array("I", bytes(4 * self.SLOTS * buckets))  # 0: free
        self.at = self.swept = 0  # the part of the span that now is in, and up to where the table is swept

    def _turn(self, now: int) -> int:
        """The time of now, as slots carry it. Within one span the whole table is swept of what is too old.

        Guards against slots that, left alone, would count as young again each time 8 bits have come round.
        """
        part = now // self.part
        passed, size = part - self.at, len(self.slots)
        if passed > self.PARTS:
            self.slots = array("I", bytes(4 * size))
        elif passed > 0:
            for n in range(self.swept, self.swept + passed * -(-size // self.PARTS)):
                if self._age(part % 256, self.slots[n % size]) > self.PARTS:
                    self.slots[n % size] = 0
            self.swept = (self.swept + passed * -(-size // self.PARTS)) % size
        self.at = max(self.at, part)
        return self.at % 256

    def _places(self, print_: int) -> tuple[int, int, int]:
        tag = print_ >> 40 or 1
        first = print_ & self.mask
        return tag, first, first ^ (tag * 0x5BD1E995 & self.mask)

    def _age(self, epoch: int, slot: int) -> int:
        """In parts of the span; more than PARTS is too old."""
        return (epoch - (slot & 0xFF)) % 256 if slot else 256

    def add(self, now: int, print_: int) -> None:
        epoch, slots = self._turn(now), self.slots
        tag, first, second = self._places(print_)
        oldest, at = -1, 0
        for bucket in (first, second):
            for n in range(bucket * self.SLOTS, bucket * self.SLOTS + self.SLOTS):
                age = self._age(epoch, slots[n])
                if age > self.PARTS:
                    slots[n] = tag << 8 | epoch
                    return
                if age > oldest:
                    oldest, at = age, n
        slots[at] = tag << 8 | epoch

    def take(self, now: int, print_: int) -> bool:
        epoch, slots = self._turn(now), self.slots
        tag, first, second = self._places(print_)
        for bucket in (first, second):
            for n in range(bucket * self.SLOTS, bucket * self.SLOTS + self.SLOTS):
                slot = slots[n]
                if slot >> 8 == tag and self._age(epoch, slot) <= self.PARTS:
                    slots[n] = 0
                    return True
        return False

    @property
    def held_bytes(self) -> int:
        return self.slots.itemsize * len(self.slots)


class CountWindow:
    """A count-min sketch whose counts fade: a print is there while its least count is over a half."""

    ROWS, KEEPS = 3, 0.5

    def __init__(self, span: int, most: int) -> None:
        self.fade = 0.7 / span  # a count of one falls under a half after the span
        self.width = max(64, 2 * most)
        self.rows = [array("f", bytes(4 * self.width)) for _ in range(self.ROWS)]
        self.base = 0

    def _scale(self, now: int) -> float:
        """Counts are kept as of `base`, so that fading costs nothing; it is moved before they overflow."""
        if (now - self.base) * self.fade > 30:
            down = exp(-min(600.0, (now - self.base) * self.fade))
            for row in self.rows:
                row[:] = array("f", [value * down for value in row])
            self.base = now
        return exp((now - self.base) * self.fade)

    def _at(self, print_: int) -> list[int]:
        return [(print_ >> 20 * n) % self.width for n in range(self.ROWS)]

    def add(self, now: int, print_: int) -> None:
        scale = self._scale(now)
        for row, at in zip(self.rows, self._at(print_), strict=True):
            row[at] += scale

    def take(self, now: int, print_: int) -> bool:
        scale, at = self._scale(now), self._at(print_)
        if min(row[n] for row, n in zip(self.rows, at, strict=True)) / scale <= self.KEEPS:
            return False
        for row, n in zip(self.rows, at, strict=True):
            row[n] = max(0.0, row[n] - scale)
        return True

    @property
    def held_bytes(self) -> int:
        return sum(row.itemsize * len(row) for row in self.rows)
