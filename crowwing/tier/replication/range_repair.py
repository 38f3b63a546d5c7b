"""How far a learner has come with a repair by range digests."""

from dataclasses import dataclass, field

from crowwing.tier.replication.messages import SyncRequest
from crowwing.tier.replication.terms import LogPosition


@dataclass
class RangeRepair:
    """The ranges that a learner still wants, and those that it has fetched, in memory until the end.

    Attributes:
        start: the position that the ranges which did not differ stand for.
        wanted: numbers of the ranges that are still to be fetched.
        contents: the ranges that were fetched.
        positions: the position that each of these stands for.
    """

    start: LogPosition
    pending: list[int]
    contents: dict[int, bytes] = field(default_factory=dict)
    positions: dict[int, LogPosition] = field(default_factory=dict)

    def fetched_index(self, number: int) -> int:
        """Returns the index of the last entry that a range holds already."""
        return self.positions.get(number, self.start)[1]

    def is_completed_by(self, request: SyncRequest) -> bool:
        """Whether these entries reach from the first digests to the newest range that was fetched."""
        if self.pending or request.previous != self.start:
            return False
        newest = max((position[1] for position in self.positions.values()), default=self.start[1])
        return request.previous[1] + len(request.entries) >= newest
