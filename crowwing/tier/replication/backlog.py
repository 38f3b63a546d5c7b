"""The replication lag of a view, for the log."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Backlog:
    """The replication lag behind a primary.

    Attributes:
        members: number of members of the view, including the primary.
        learners: number of replicas that are catching up.
        lag_bytes: payload bytes that the slowest member has not acknowledged.
        uncommitted_bytes: payload bytes that were proposed and are not committed.
    """

    members: int
    learners: int
    lag_bytes: int
    uncommitted_bytes: int

    def __str__(self) -> str:
        """The fields as written to the log."""
        return (
            f"members={self.members} learners={self.learners} "
            f"lag_bytes={self.lag_bytes} uncommitted_bytes={self.uncommitted_bytes}"
        )
