"""Size limits of a view, by the number of simultaneous faults that it tolerates."""

from dataclasses import dataclass

SMALLEST_FULL_VIEW = 3  # members, even if no fault need be tolerated


@dataclass(frozen=True)
class ViewLimits:
    """Size limits of a view.

    Attributes:
        min_replicas: minimum number of members, so that at least one survives the faults.
        max_replicas: members of a full view; further store machines are spares without current data.
        min_witnesses: minimum number of witnesses, so that a majority survives the faults.
    """

    min_replicas: int
    max_replicas: int
    min_witnesses: int

    @classmethod
    def for_faults(cls, faults: int) -> "ViewLimits":
        """The limits for a number of simultaneous faults."""
        group_size = 2 * faults + 1
        return cls(faults + 1, max(group_size, SMALLEST_FULL_VIEW), group_size)
