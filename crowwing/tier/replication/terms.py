"""Terms, positions in the log, and views: the values that every part of replication compares."""

from dataclasses import dataclass

from crowwing.tier.wire.codec import message

# Plain tuples, since decoded messages hold plain tuples: comparisons are those of tuples.
Term = tuple[int, str]  # a number and the replica that proposed it; higher terms win
LogPosition = tuple[Term, int]  # the term and the index of a log entry

NO_TERM: Term = (-1, "")  # lower than every term
FIRST_TERM: Term = (0, "")  # of the view that the seeds start with
LOG_START: LogPosition = (FIRST_TERM, 0)  # before the first entry


def majority(count: int) -> int:
    """Returns the size of the smallest groups out of `count` of which any two share a replica."""
    return count // 2 + 1


@message("View")
@dataclass(frozen=True)
class View:
    """Who holds the data (members) and who decides failover (witnesses), from one term on."""

    term: Term
    members: tuple[str, ...]
    witnesses: tuple[str, ...]
