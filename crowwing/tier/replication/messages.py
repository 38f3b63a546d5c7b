"""Messages between replicas."""

from dataclasses import dataclass

from crowwing.tier.replication.records import LogEntry
from crowwing.tier.replication.terms import LogPosition, Term, View
from crowwing.tier.wire.codec import message


@message("AskPreVote")
@dataclass(frozen=True)
class PreVoteRequest:
    """A member bound to `term` asks whether a witness would promise it a higher one."""

    term: Term
    sender: str


@message("PreVote")
@dataclass(frozen=True)
class PreVoteResponse:
    """Whether the witness would promise a higher term; binds nobody."""

    term: Term
    sender: str
    willing: bool


@message("Prepare")
@dataclass(frozen=True)
class Prepare:
    """Phase 1: a candidate asks a witness to serve no lower term from now on.

    `released`: the term of a primary that has given up its lease for good, NO_TERM where none has. A
    witness that has answered no later primary need not wait until that lease would have ended.
    """

    term: Term
    sender: str
    released: Term


@message("Promise")
@dataclass(frozen=True)
class Promise:
    """The positive response to Prepare: the highest view accepted, and how far the sender's data goes.

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
    """The negative response to anything sent under `term`, with the term that the sender is bound to."""

    term: Term
    sender: str
    promised: Term


@message("Sync")
@dataclass(frozen=True)
class SyncRequest:
    """The data of a candidate or primary: entries that follow `previous`, of a log that ends at `last`.

    Only a receiver whose log reaches `last` holds all that was committed before the term.
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
    """The data of the response's sender equals that of the request's, on disk, up to `last`.

    `matched` is False where the entries did not follow its log. `last` may lie before the end of the other
    log, whose owner then sends more.
    """

    term: Term
    sender: str
    last: LogPosition
    matched: bool


@message("Syncing")
@dataclass(frozen=True)
class SyncInProgress:
    """A candidate is still synchronizing the others with its data: they need not campaign meanwhile."""

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
    """The primary is alive; a majority of responses to one `sequence` renews its lease."""

    term: Term
    sender: str
    sequence: int
    view: View


@message("HeartbeatReply")
@dataclass(frozen=True)
class HeartbeatResponse:
    """The answer to one heartbeat.

    `recovered` is False while the sender's own disk lacks what it promised, or does not answer. `sync_s`:
    seconds that its disk takes for a write.
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
    """A replica that hears no primary asks to become a member; forwarded to the primary at most once."""

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
    """The primary asks a member to take over; it has given up its lease under this term for good."""

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
