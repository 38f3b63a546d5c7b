"""Records that a replica writes to disk: log entries, ranges, and promised and accepted terms and views."""

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
    """The term whose candidate or primary last synchronized this replica with its data."""

    term: Term


@message("RangesRecord")
@dataclass(frozen=True)
class RangesRecord:
    """Ranges that replace the same ranges of the preceding state.

    Together with the preceding state, or with further such records at the same log position, they make up
    the state at that position.
    """

    last: LogPosition
    contents: tuple[tuple[int, bytes], ...]


Record = PromisedTermRecord | AcceptedViewRecord | SyncedTermRecord | LogEntry | RangesRecord
