"""How many replicas a view has, by how many faults it is to survive at once."""

from dataclasses import dataclass

SMALLEST_FULL_VIEW = 3  # members, also where no fault need be survived


@dataclass(frozen=True)
class ViewLimits:
    """Bounds of a view.

    Attributes:
        min_replicas: members that a view needs, so that one at least outlives the faults.
        max_replicas: members of a full view; store machines beyond them are spares without data.
        min_witnesses: witnesses of which a majority outlives the faults.
    """

    min_replicas: int
    max_replicas: int
    min_witnesses: int

    @classmethod
    def for_faults(cls, faults: int) -> "ViewLimits":
        """The bounds for so many faults at once."""
        group_size = 2 * faults + 1
        return cls(faults + 1, max(group_size, SMALLEST_FULL_VIEW), group_size)
