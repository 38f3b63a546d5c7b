"""Terms, log positions and views: the values that all replication code compares."""

from dataclasses import dataclass

from crowwing.tier.wire.codec import message

# Plain tuples, because decoded messages hold plain tuples; compared as tuples.
Term = tuple[int, str]  # a number and the replica that proposed it; the higher term wins
LogPosition = tuple[Term, int]  # the term and the index of a log entry

NO_TERM: Term = (-1, "")  # lower than every term
FIRST_TERM: Term = (0, "")  # of the view that the seeds start with
LOG_START: LogPosition = (FIRST_TERM, 0)  # before the first entry


def majority(count: int) -> int:
    """Returns the size of a majority quorum of `count` replicas: any two such quorums share a replica."""
    return count // 2 + 1


@message("View")
@dataclass(frozen=True)
class View:
    """The replicas that hold the data (members) and that decide failover (witnesses), as of a term."""

    term: Term
    members: tuple[str, ...]
    witnesses: tuple[str, ...]
