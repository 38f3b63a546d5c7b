"""Messages between replicas."""

from dataclasses import dataclass

from crowwing.tier.replication.records import LogEntry
from crowwing.tier.replication.terms import LogPosition, Term, View
from crowwing.tier.wire.codec import message


@message("AskPreVote")
@dataclass(frozen=True)
class PreVoteRequest:
    """A member that has promised `term` asks whether a witness would promise it a higher one."""

    term: Term
    sender: str


@message("PreVote")
@dataclass(frozen=True)
class PreVoteResponse:
    """Whether the witness would promise a higher term; this is not binding."""

    term: Term
    sender: str
    willing: bool


@message("Prepare")
@dataclass(frozen=True)
class Prepare:
    """Phase 1: a candidate asks a witness to promise that it accepts no lower term.

    `released`: the term of a primary that has permanently released its lease, NO_TERM if none has. A
    witness that has acknowledged no later primary need not wait for that lease to expire.
    """

    term: Term
    sender: str
    released: Term


@message("Promise")
@dataclass(frozen=True)
class Promise:
    """The positive response to Prepare: the highest accepted view, the synced term and the end of the log.

    `sync_s`: seconds that a write takes on the sender's disk.
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
    """The negative response to any message sent under `term`, with the term that the sender has promised."""

    term: Term
    sender: str
    promised: Term


@message("Sync")
@dataclass(frozen=True)
class SyncRequest:
    """Log entries of a candidate or primary that follow `previous`, in a log that ends at `last`.

    Only a receiver whose log reaches `last` holds every entry committed before the term.
    """

    term: Term
    sender: str
    previous: LogPosition
    entries: tuple[LogEntry, ...]
    last: LogPosition


@message("Digests")
@dataclass(frozen=True)
class RangeDigests:
    """A digest of each range of the sender's state at `last`, for a replica behind the base of its log.

    `restart`: the ranges that the receiver has fetched so far can no longer be completed.
    """

    term: Term
    sender: str
    last: LogPosition
    digests: tuple[bytes, ...]
    restart: bool


@message("FetchRanges")
@dataclass(frozen=True)
class RangesRequest:
    """A learner requests the content of ranges, in this order; the response holds as many as fit."""

    term: Term
    sender: str
    ranges: tuple[int, ...]


@message("Ranges")
@dataclass(frozen=True)
class RangesResponse:
    """The content of ranges as of log position `last`, each with its range number."""

    term: Term
    sender: str
    last: LogPosition
    contents: tuple[tuple[int, bytes], ...]


@message("FetchEntries")
@dataclass(frozen=True)
class EntriesRequest:
    """A learner has fetched all ranges and requests the entries after the lowest of their positions."""

    term: Term
    sender: str
    positions: tuple[LogPosition, ...]


@message("Synced")
@dataclass(frozen=True)
class SyncResponse:
    """The sender's data equals that of the requester up to `last`, and is on disk.

    `matched` is False if the requested entries did not match the sender's log. `last` may be below the end
    of the requester's log; the requester then sends more.
    """

    term: Term
    sender: str
    last: LogPosition
    matched: bool


@message("Syncing")
@dataclass(frozen=True)
class SyncInProgress:
    """A candidate is still synchronizing members with its data; receivers reset their election timers."""

    term: Term
    sender: str


@message("Accept")
@dataclass(frozen=True)
class Accept:
    """Phase 2: a candidate asks witnesses to accept a view."""

    sender: str
    view: View


@message("Accepted")
@dataclass(frozen=True)
class Accepted:
    """A witness has accepted the view and has it on disk."""

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
    """The primary is alive; a majority of responses to one `sequence` renews its lease."""

    term: Term
    sender: str
    sequence: int
    view: View


@message("HeartbeatReply")
@dataclass(frozen=True)
class HeartbeatResponse:
    """The response to one heartbeat.

    `recovered` is False while the sender's disk has stalled, or while the sender, having lost its disk, does
    not know what it promised. `sync_s`: seconds that a write takes on the sender's disk.
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
    """A replica without a primary asks to become a member; forwarded to the primary at most once."""

    sender: str
    forwarded: bool


@message("Learn")
@dataclass(frozen=True)
class RecoveryRequest:
    """A replica that has lost its disk asks which term and view others have promised and accepted."""

    sender: str


@message("Learned")
@dataclass(frozen=True)
class RecoveryResponse:
    """The highest term that the sender has promised, and the highest view that it has accepted."""

    sender: str
    promised: Term
    view: View | None


@message("Handover")
@dataclass(frozen=True)
class LeadershipTransfer:
    """The primary asks a member to take over; it has permanently released its lease of this term."""

    term: Term
    sender: str


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
