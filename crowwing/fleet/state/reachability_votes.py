"""What the speakers of a cell say of other cells, and what its members make of it. Pure.

Each speaker keeps one entry with the cells that it cannot reach, `reach/speaker`: a whole zone or region in
one word, or, where those are many (while a cut is still being seen), a bit a cell of this copy of the
settings, which only members with the same copy can read. A member holds a cell out of reach where most of
those say so who speak for its cell, as it sees them: one speaker that is deaf, slow or cut off convinces
nobody, and the words of one that is dead or speaks no longer do not count.

In a partition each side says it of the other. Who was away has nothing to believe until it has caught up.
"""

from collections import Counter
from collections.abc import Sequence

from crowwing.fleet.membership.cells import Layout, covers
from crowwing.fleet.state.replica import Copies

LIFE = 600_000_000  # µs; said again after half of it, while it holds
# µs. A cut is seen cell by cell for some seconds, so it is told in few tellings; what came back, soon.
SETTLE, GAP_OUT, GAP_BACK = 1_000_000, 8_000_000, 2_000_000
WORDS_MOST = 120  # bytes; more is told by bits


class Verdicts:
    def __init__(self, me: str, layout: Layout, copies: Copies, now: int) -> None:
        self.me, self.layout, self.copies = me, layout, copies
        self.own = layout.cell_of[me]
        self.others = [cell for cell in layout.cells if cell != self.own]
        self.tell_at: int | None = None  # where the verdict changed; None: it stands as it was told
        self.told_at = now - GAP_OUT
        self.looked: tuple[frozenset[str], int] = frozenset(), now  # the last verdict, and when to look again
        self.seen: tuple = ()
        self.cells: frozenset[str] = frozenset()

    def tell(self, now: int, out: frozenset[str]) -> list[tuple[str, list[str] | dict[str, str]]]:
        """A speaker's: key and value to put now, if any. `now` only goes forward."""
        if out == self.looked[0] and self.tell_at is None and now < self.looked[1]:
            return []
        self.looked = out, now + LIFE // 4
        key, words = f"reach/{self.me}", self._said(out)
        standing = self.copies.look(key) or []
        old = bool(words) and now - self.told_at >= LIFE // 2
        if standing == words and not old:
            self.tell_at = None
            return []
        back = not out.issuperset(self._meant(standing))
        due = max(now + SETTLE, self.told_at + (GAP_BACK if back else GAP_OUT))
        # Sooner where something came back meanwhile; what else changes does not put it off.
        self.tell_at = due if self.tell_at is None else min(self.tell_at, due)
        if now < self.tell_at:
            return []
        self.tell_at, self.told_at = None, now
        return [(key, words)]

    def _said(self, out: frozenset[str]) -> list[str] | dict[str, str]:
        words = self.layout.short(out)
        if sum(len(word.encode()) + 3 for word in words) <= WORDS_MOST:
            return words
        bits = sum(1 << number for number, cell in enumerate(self.layout.cells) if cell in out)
        return {"of": self.layout.digest, "bits": f"{bits:x}"}

    def _meant(self, said: object) -> list[str]:
        """The cells that a speaker means; none where that cannot be read here."""
        if isinstance(said, dict) and said.get("of") == self.layout.digest:
            try:
                bits = int(str(said.get("bits")), 16)
            except ValueError:
                return []
            cells = self.layout.cells
            return [cells[n] for n in range(len(cells)) if bits >> n & 1 and cells[n] != self.own]
        told = [word for word in said if isinstance(word, str)] if isinstance(said, list) else []
        return [cell for cell in self.others if any(covers(word, cell) for word in told)]

    def wake_at(self) -> int | None:
        return self.tell_at

    def out(self, speakers: Sequence[str]) -> frozenset[str]:
        """The cells out of reach, by most of the words of these speakers."""
        if self.seen == (self.copies.version, speakers):
            return self.cells
        self.seen = self.copies.version, speakers
        votes: Counter[str] = Counter()
        for speaker in speakers:
            votes.update(self._meant(self.copies.look(f"reach/{speaker}")))
        self.cells = frozenset(cell for cell, count in votes.items() if 2 * count > len(speakers))
        return self.cells
