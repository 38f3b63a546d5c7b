"""What replicas say to each other, and what they keep on disk."""

from dataclasses import dataclass

from crowwing.tier.wire.codec import message

Term = tuple[int, str]  # a round and the replica that opened it; later rounds win
LogPosition = tuple[Term, int]  # of a log entry: the ballot that it was written under and its index

NO_TERM: Term = (-1, "")
FIRST_TERM: Term = (0, "")
LOG_START: LogPosition = (FIRST_TERM, 0)


@message("View")
@dataclass(frozen=True)
class View:
    """Who keeps the data, and who decides failover, from one ballot on."""

    term: Term
    members: tuple[str, ...]
    witnesses: tuple[str, ...]


@message("Entry")
@dataclass(frozen=True)
class LogEntry:
    """One entry of the log."""

    term: Term
    index: int
    payload: bytes


@message("AskPreVote")
@dataclass(frozen=True)
class PreVoteRequest:
    """A member bound to `ballot` asks whether a witness would promise it a higher one."""

    term: Term
    sender: str


@message("PreVote")
@dataclass(frozen=True)
class PreVoteResponse:
    """Whether it would; binds nobody."""

    term: Term
    sender: str
    willing: bool


@message("Prepare")
@dataclass(frozen=True)
class Prepare:
    """A candidate asks a witness not to serve lower ballots.

    `released`: the ballot of a primary that has given up its lease for good, NO_BALLOT where none has. A
    witness that vouches for no later primary need not wait until that lease would have ended.
    """

    term: Term
    sender: str
    released: Term


@message("Promise")
@dataclass(frozen=True)
class Promise:
    """A witness' yes, with the highest view that it has accepted and how far its own data goes.

    `sync_s`: seconds that its disk takes for a write.
    """

    term: Term
    sender: str
    view: View | None
    synced: Term
    last: LogPosition
    sync_s: float


@message("Refuse")
@dataclass(frozen=True)
class Nack:
    """A witness' or member's no to anything sent under `ballot`, with the ballot that it is bound to."""

    term: Term
    sender: str
    promised: Term


@message("Sync")
@dataclass(frozen=True)
class SyncRequest:
    """The data of a candidate or primary: entries that follow `previous`, of a log that ends at `last`.

    Only a receiver whose log reaches `last` holds all that was committed before the ballot.
    """

    term: Term
    sender: str
    previous: LogPosition
    entries: tuple[LogEntry, ...]
    last: LogPosition


@message("Digests")
@dataclass(frozen=True)
class RangeDigests:
    """A digest of each range of the sender's state at `last`, to a replica that its log doesn't reach.

    `restart`: what the receiver has fetched so far can't be completed any more.
    """

    term: Term
    sender: str
    last: LogPosition
    digests: tuple[bytes, ...]
    restart: bool


@message("FetchRanges")
@dataclass(frozen=True)
class RangesRequest:
    """A learner asks for the content of ranges, in this order, as many as one message takes."""

    term: Term
    sender: str
    ranges: tuple[int, ...]


@message("Ranges")
@dataclass(frozen=True)
class RangesResponse:
    """The content of ranges as of `last`, each with its number."""

    term: Term
    sender: str
    last: LogPosition
    contents: tuple[tuple[int, bytes], ...]


@message("FetchEntries")
@dataclass(frozen=True)
class EntriesRequest:
    """A learner has fetched all ranges, and asks for the entries since the first of their positions."""

    term: Term
    sender: str
    positions: tuple[LogPosition, ...]


@message("Synced")
@dataclass(frozen=True)
class SyncResponse:
    """The receiver's data equals the sender's, on disk, up to `last`. `matched` is False if it could not
    follow; `last` may lie before the end of the sender's log, which then sends more.
    """

    term: Term
    sender: str
    last: LogPosition
    matched: bool


@message("Syncing")
@dataclass(frozen=True)
class SyncInProgress:
    """A candidate is still bringing the others to its data: they need not campaign meanwhile."""

    term: Term
    sender: str


@message("Accept")
@dataclass(frozen=True)
class Accept:
    """A candidate asks witnesses to accept a view."""

    sender: str
    view: View


@message("Accepted")
@dataclass(frozen=True)
class Accepted:
    """A witness has the view on disk."""

    term: Term
    sender: str


@message("Append")
@dataclass(frozen=True)
class AppendRequest:
    """New entries from the primary to the other members of its view."""

    term: Term
    sender: str
    entries: tuple[LogEntry, ...]


@message("Appended")
@dataclass(frozen=True)
class AppendResponse:
    """A member has the entries on disk up to `index`."""

    term: Term
    sender: str
    index: int


@message("Heartbeat")
@dataclass(frozen=True)
class Heartbeat:
    """The primary is there."""

    term: Term
    sender: str
    sequence: int
    view: View


@message("HeartbeatReply")
@dataclass(frozen=True)
class HeartbeatResponse:
    """The answer to one heartbeat.

    `whole` is False while the sender's own disk lacks what it promised, or does not answer. `sync_s`: seconds
    that it takes for a write.
    """

    term: Term
    sender: str
    sequence: int
    last: LogPosition
    synced: Term
    recovered: bool
    sync_s: float


@message("Join")
@dataclass(frozen=True)
class JoinRequest:
    """A replica that hears no primary asks to be taken in; a member passes this on to the primary once."""

    sender: str
    forwarded: bool


@message("Learn")
@dataclass(frozen=True)
class RecoveryRequest:
    """A replica without memory asks what has been promised."""

    sender: str


@message("Learned")
@dataclass(frozen=True)
class RecoveryResponse:
    """What a replica with memory has promised and accepted."""

    sender: str
    promised: Term
    view: View | None


@message("Handover")
@dataclass(frozen=True)
class LeadershipTransfer:
    """The primary asks a member to take over; it has given up its lease under this ballot for good."""

    term: Term
    sender: str


# Records on disk.


@message("PromiseRecord")
@dataclass(frozen=True)
class PromisedTermRecord:
    """The highest ballot promised."""

    term: Term


@message("ViewRecord")
@dataclass(frozen=True)
class AcceptedViewRecord:
    """The highest view accepted."""

    view: View


@message("SyncedRecord")
@dataclass(frozen=True)
class SyncedTermRecord:
    """The ballot whose candidate last made this replica's data equal to its own."""

    term: Term


@message("RangesRecord")
@dataclass(frozen=True)
class RangesRecord:
    """Ranges that replace those of what stood before.

    With what stood before, or further such records of the same position, they are the state there.
    """

    last: LogPosition
    contents: tuple[tuple[int, bytes], ...]


Message = (
    PreVoteRequest
    | PreVoteResponse
    | Prepare
    | Promise
    | Nack
    | SyncRequest
    | RangeDigests
    | RangesRequest
    | RangesResponse
    | EntriesRequest
    | SyncResponse
    | SyncInProgress
    | Accept
    | Accepted
    | AppendRequest
    | AppendResponse
    | Heartbeat
    | HeartbeatResponse
    | JoinRequest
    | RecoveryRequest
    | RecoveryResponse
    | LeadershipTransfer
)
Record = PromisedTermRecord | AcceptedViewRecord | SyncedTermRecord | LogEntry | RangesRecord
