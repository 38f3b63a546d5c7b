"""Votes of a cell's speakers on which other cells are unreachable, and their count by its members. Pure.

Each speaker keeps one entry, `reach/speaker`, with the cells it cannot reach. It is a list in which one
prefix stands for an entire zone or region. If the list is long, as while a partition is still being detected,
it is replaced by one bit per cell in the settings, which only members with the same settings can decode. A
member considers a cell unreachable if a majority of the speakers of its own cell, as it sees them, say so. So
one slow or partitioned speaker, or one that receives nothing, has no effect, and votes of members that died
or no longer speak do not count.

In a partition each side votes the other unreachable. A member that was away has no votes until it has caught
up.
"""

from collections import Counter
from collections.abc import Sequence

from crowwing.fleet.membership.cells import CellLayout, covers
from crowwing.fleet.state.replica import Replica

VOTE_LIFETIME = 600_000_000  # µs; a vote that still holds is renewed after half of it
# µs. A partition is detected cell by cell over some seconds, so votes against cells are published rarely;
# that a cell is reachable again is published soon.
STABILIZATION_DELAY, MIN_INTERVAL_OUT, MIN_INTERVAL_BACK = 1_000_000, 8_000_000, 2_000_000
MAX_PREFIX_LIST_BYTES = 120  # a longer list is encoded as bits


class ReachabilityVotes:
    def __init__(self, me: str, layout: CellLayout, replica: Replica, now: int) -> None:
        self.me, self.layout, self.replica = me, layout, replica
        self.own_cell = layout.cell_of[me]
        self.other_cells = [cell for cell in layout.cells if cell != self.own_cell]
        self.publish_at: int | None = None  # when to publish a changed vote; None: published
        self.published_at = now - MIN_INTERVAL_OUT
        # The last vote, and when to check it again.
        self.last_check: tuple[frozenset[str], int] = frozenset(), now
        self.counted_version: tuple = ()
        self.unreachable: frozenset[str] = frozenset()

    def due_votes(self, now: int, out: frozenset[str]) -> list[tuple[str, list[str] | dict[str, str]]]:
        """For a speaker: key and value to put now, if any. `now` is monotonic."""
        if out == self.last_check[0] and self.publish_at is None and now < self.last_check[1]:
            return []
        self.last_check = out, now + VOTE_LIFETIME // 4
        key, prefixes = f"reach/{self.me}", self._encode(out)
        published = self.replica.get(key) or []
        stale = bool(prefixes) and now - self.published_at >= VOTE_LIFETIME // 2
        if published == prefixes and not stale:
            self.publish_at = None
            return []
        came_back = not out.issuperset(self._decode(published))
        due = max(
            now + STABILIZATION_DELAY,
            self.published_at + (MIN_INTERVAL_BACK if came_back else MIN_INTERVAL_OUT),
        )
        # Earlier if a cell came back meanwhile; other changes do not delay it.
        self.publish_at = due if self.publish_at is None else min(self.publish_at, due)
        if now < self.publish_at:
            return []
        self.publish_at, self.published_at = None, now
        return [(key, prefixes)]

    def _encode(self, out: frozenset[str]) -> list[str] | dict[str, str]:
        prefixes = self.layout.compact(out)
        if sum(len(prefix.encode()) + 3 for prefix in prefixes) <= MAX_PREFIX_LIST_BYTES:
            return prefixes
        bits = sum(1 << number for number, cell in enumerate(self.layout.cells) if cell in out)
        return {"of": self.layout.digest, "bits": f"{bits:x}"}

    def _decode(self, vote: object) -> list[str]:
        """The cells of a vote; none if it cannot be decoded here."""
        if isinstance(vote, dict) and vote.get("of") == self.layout.digest:
            try:
                bits = int(str(vote.get("bits")), 16)
            except ValueError:
                return []
            cells = self.layout.cells
            return [cells[n] for n in range(len(cells)) if bits >> n & 1 and cells[n] != self.own_cell]
        prefixes = [prefix for prefix in vote if isinstance(prefix, str)] if isinstance(vote, list) else []
        return [cell for cell in self.other_cells if any(covers(prefix, cell) for prefix in prefixes)]

    def wake_at(self) -> int | None:
        return self.publish_at

    def unreachable_cells(self, speakers: Sequence[str]) -> frozenset[str]:
        """Cells that a majority of these speakers cannot reach."""
        if self.counted_version == (self.replica.version, speakers):
            return self.unreachable
        self.counted_version = self.replica.version, speakers
        votes: Counter[str] = Counter()
        for speaker in speakers:
            votes.update(self._decode(self.replica.get(f"reach/{speaker}")))
        self.unreachable = frozenset(cell for cell, count in votes.items() if 2 * count > len(speakers))
        return self.unreachable
