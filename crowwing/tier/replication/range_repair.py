"""The progress of a learner's repair by range digests."""

from dataclasses import dataclass, field

from crowwing.tier.replication.messages import SyncRequest
from crowwing.tier.replication.terms import LogPosition


@dataclass
class RangeRepair:
    """The ranges that a learner has yet to fetch, and those that it has buffered until the repair completes.

    Attributes:
        start: the log position of the digests, and so of the ranges that did not differ.
        pending: numbers of the ranges that are yet to be fetched.
        contents: the fetched ranges, by number.
        positions: the log position of each fetched range.
    """

    start: LogPosition
    pending: list[int]
    contents: dict[int, bytes] = field(default_factory=dict)
    positions: dict[int, LogPosition] = field(default_factory=dict)

    def fetched_index(self, number: int) -> int:
        """Returns the index up to which entries are already included in a range."""
        return self.positions.get(number, self.start)[1]

    def is_completed_by(self, request: SyncRequest) -> bool:
        """Whether these entries cover the log from the digests to the newest fetched range."""
        if self.pending or request.previous != self.start:
            return False
        newest = max((position[1] for position in self.positions.values()), default=self.start[1])
        return request.previous[1] + len(request.entries) >= newest
