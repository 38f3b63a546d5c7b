"""What the speakers of a cell say of other cells, and what its members make of it. Pure.

Each speaker keeps one entry a zone with the cells there that it cannot reach: `reach/speaker/region/zone`,
the parts of the zone by their bits, "" for all of it. So a region cut off is one short entry a zone, whatever
the members there. A member holds a cell out of reach where most of those say so who speak for its cell, as it
sees them: one speaker that is deaf, slow or cut off convinces nobody, and the words of one that is dead
or speaks no longer do not count.

In a partition each side says it of the other. Who was away has nothing to believe until it has caught up.
"""

from collections import Counter
from collections.abc import Sequence

from crowwing.fleet.membership.cells import Layout, covers
from crowwing.fleet.state.copies import Copies

LIFE = 600_000_000  # µs; said again after half of it, while it holds
SETTLE = 1_000_000  # µs from a change to its telling: of many cells that go or come, few tellings
GAP = 5_000_000  # µs between two tellings of one zone


class Verdicts:
    def __init__(self, me: str, layout: Layout, copies: Copies, now: int) -> None:
        self.me, self.layout, self.copies = me, layout, copies
        self.own = layout.cell_of[me]
        self.zones: dict[str, list[str]] = {}
        for cell in layout.rosters:
            if cell != self.own:
                self.zones.setdefault(layout.zone_of(cell), []).append(cell)
        self.tell_at: dict[str, int] = {}  # a zone whose verdict changed; emptied by the telling
        self.told_at: dict[str, int] = {}  # one a zone
        self.looked: tuple[frozenset[str], int] = frozenset(), now  # the last verdict, and when to look again
        self.seen: tuple = ()
        self.cells: frozenset[str] = frozenset()

    def tell(self, now: int, out: frozenset[str]) -> list[tuple[str, list[str]]]:
        """A speaker's: keys and values to put now. `now` only goes forward."""
        if out == self.looked[0] and not self.tell_at and now < self.looked[1]:
            return []
        self.looked = out, now + LIFE // 4
        said = []
        for zone, cells in self.zones.items():
            gone = [cell.removeprefix(zone) for cell in cells if cell in out]
            value = [""] if len(gone) == len(cells) else sorted(gone)
            key = f"reach/{self.me}/{zone[:-1]}"
            standing = self.copies.look(key) or []
            old = bool(value) and now - self.told_at.get(zone, now) >= LIFE // 2
            if standing == value and not old:
                self.tell_at.pop(zone, None)
                continue
            due = self.tell_at.setdefault(zone, max(now + SETTLE, self.told_at.get(zone, now - GAP) + GAP))
            if now >= due:
                del self.tell_at[zone]
                self.told_at[zone] = now
                said.append((key, value))
        return said

    def wake_at(self) -> int | None:
        return min(self.tell_at.values(), default=None)

    def out(self, speakers: Sequence[str]) -> frozenset[str]:
        """The cells out of reach, by most of the words of these speakers."""
        if self.seen == (self.copies.version, speakers):
            return self.cells
        self.seen = self.copies.version, speakers
        votes: Counter[str] = Counter()
        for speaker in speakers:
            for zone, cells in self.zones.items():
                words = self.copies.look(f"reach/{speaker}/{zone[:-1]}")
                if words and isinstance(words, list):
                    told = [f"{zone}{word}" for word in words if isinstance(word, str)]
                    votes.update(cell for cell in cells if any(covers(word, cell) for word in told))
        self.cells = frozenset(cell for cell, count in votes.items() if 2 * count > len(speakers))
        return self.cells
