"""What a primary has not brought to the others yet, for the log."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Backlog:
    """How far the others are behind a primary.

    Attributes:
        members: how many replicas commit, the primary among them.
        learners: how many others are being brought up to date.
        lag_bytes: what the member that is farthest behind has not acknowledged.
        uncommitted_bytes: what was proposed and is not committed.
    """

    members: int
    learners: int
    lag_bytes: int
    uncommitted_bytes: int

    def __str__(self) -> str:
        """The fields as they stand in the log."""
        return (
            f"members={self.members} learners={self.learners} "
            f"lag_bytes={self.lag_bytes} uncommitted_bytes={self.uncommitted_bytes}"
        )
