"""What a replica keeps on disk: log entries, and the terms and views that it is bound to."""

from dataclasses import dataclass

from crowwing.tier.replication.terms import LogPosition, Term, View
from crowwing.tier.wire.codec import message


@message("Entry")
@dataclass(frozen=True)
class LogEntry:
    """One entry of the log."""

    term: Term
    index: int
    payload: bytes


@message("PromiseRecord")
@dataclass(frozen=True)
class PromisedTermRecord:
    """The highest term promised."""

    term: Term


@message("ViewRecord")
@dataclass(frozen=True)
class AcceptedViewRecord:
    """The highest view accepted."""

    view: View


@message("SyncedRecord")
@dataclass(frozen=True)
class SyncedTermRecord:
    """The term whose candidate last made this replica's data equal to its own."""

    term: Term


@message("RangesRecord")
@dataclass(frozen=True)
class RangesRecord:
    """Ranges that replace those of what stood before.

    With what stood before, or further such records of the same position, they are the state there.
    """

    last: LogPosition
    contents: tuple[tuple[int, bytes], ...]


Record = PromisedTermRecord | AcceptedViewRecord | SyncedTermRecord | LogEntry | RangesRecord
