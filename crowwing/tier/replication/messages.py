"""What replicas say to each other, and what they keep on disk."""

from dataclasses import dataclass

from crowwing.tier.wire.codec import message

Ballot = tuple[int, str]  # a round and the replica that opened it; later rounds win
Position = tuple[Ballot, int]  # of a log entry: the ballot that it was written under and its index

NO_BALLOT: Ballot = (-1, "")
FIRST_BALLOT: Ballot = (0, "")
START: Position = (FIRST_BALLOT, 0)


@message("View")
@dataclass(frozen=True)
class View:
    """Who keeps the data, and who decides failover, from one ballot on."""

    ballot: Ballot
    members: tuple[str, ...]
    witnesses: tuple[str, ...]


@message("Entry")
@dataclass(frozen=True)
class Entry:
    """One entry of the log."""

    ballot: Ballot
    index: int
    payload: bytes


@message("AskPreVote")
@dataclass(frozen=True)
class AskPreVote:
    """A member bound to `ballot` asks whether a witness would promise it a higher one."""

    ballot: Ballot
    sender: str


@message("PreVote")
@dataclass(frozen=True)
class PreVote:
    """Whether it would; binds nobody."""

    ballot: Ballot
    sender: str
    willing: bool


@message("Prepare")
@dataclass(frozen=True)
class Prepare:
    """A candidate asks a witness not to serve lower ballots.

    `released`: the ballot of a primary that has given up its lease for good, NO_BALLOT where none has. A
    witness that vouches for no later primary need not wait until that lease would have ended.
    """

    ballot: Ballot
    sender: str
    released: Ballot


@message("Promise")
@dataclass(frozen=True)
class Promise:
    """A witness' yes, with the highest view that it has accepted and how far its own data goes.

    `sync_s`: seconds that its disk takes for a write.
    """

    ballot: Ballot
    sender: str
    view: View | None
    synced: Ballot
    last: Position
    sync_s: float


@message("Refuse")
@dataclass(frozen=True)
class Refuse:
    """A witness' or member's no to anything sent under `ballot`, with the ballot that it is bound to."""

    ballot: Ballot
    sender: str
    promised: Ballot


@message("Sync")
@dataclass(frozen=True)
class Sync:
    """The data of a candidate or primary: entries that follow `previous`, of a log that ends at `last`.

    Only a receiver whose log reaches `last` holds all that was committed before the ballot.
    """

    ballot: Ballot
    sender: str
    previous: Position
    entries: tuple[Entry, ...]
    last: Position


@message("Digests")
@dataclass(frozen=True)
class Digests:
    """A digest of each range of the sender's state at `last`, to a replica that its log doesn't reach.

    `restart`: what the receiver has fetched so far can't be completed any more.
    """

    ballot: Ballot
    sender: str
    last: Position
    digests: tuple[bytes, ...]
    restart: bool


@message("FetchRanges")
@dataclass(frozen=True)
class FetchRanges:
    """A learner asks for the content of ranges, in this order, as many as one message takes."""

    ballot: Ballot
    sender: str
    ranges: tuple[int, ...]


@message("Ranges")
@dataclass(frozen=True)
class Ranges:
    """The content of ranges as of `last`, each with its number."""

    ballot: Ballot
    sender: str
    last: Position
    contents: tuple[tuple[int, bytes], ...]


@message("FetchEntries")
@dataclass(frozen=True)
class FetchEntries:
    """A learner has fetched all ranges, and asks for the entries since the first of their positions."""

    ballot: Ballot
    sender: str
    positions: tuple[Position, ...]


@message("Synced")
@dataclass(frozen=True)
class Synced:
    """The receiver's data equals the sender's, on disk, up to `last`. `matched` is False if it could not
    follow; `last` may lie before the end of the sender's log, which then sends more.
    """

    ballot: Ballot
    sender: str
    last: Position
    matched: bool


@message("Syncing")
@dataclass(frozen=True)
class Syncing:
    """A candidate is still bringing the others to its data: they need not campaign meanwhile."""

    ballot: Ballot
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

    ballot: Ballot
    sender: str


@message("Append")
@dataclass(frozen=True)
class Append:
    """New entries from the primary to the other members of its view."""

    ballot: Ballot
    sender: str
    entries: tuple[Entry, ...]


@message("Appended")
@dataclass(frozen=True)
class Appended:
    """A member has the entries on disk up to `index`."""

    ballot: Ballot
    sender: str
    index: int


@message("Heartbeat")
@dataclass(frozen=True)
class Heartbeat:
    """The primary is there."""

    ballot: Ballot
    sender: str
    round: int
    view: View


@message("HeartbeatReply")
@dataclass(frozen=True)
class HeartbeatReply:
    """The answer to one heartbeat.

    `whole` is False while the sender's own disk lacks what it promised, or does not answer. `sync_s`: seconds
    that it takes for a write.
    """

    ballot: Ballot
    sender: str
    round: int
    last: Position
    synced: Ballot
    whole: bool
    sync_s: float


@message("Join")
@dataclass(frozen=True)
class Join:
    """A replica that hears no primary asks to be taken in; a member passes this on to the primary once."""

    sender: str
    forwarded: bool


@message("Learn")
@dataclass(frozen=True)
class Learn:
    """A replica without memory asks what has been promised."""

    sender: str


@message("Learned")
@dataclass(frozen=True)
class Learned:
    """What a replica with memory has promised and accepted."""

    sender: str
    promised: Ballot
    view: View | None


@message("Handover")
@dataclass(frozen=True)
class Handover:
    """The primary asks a member to take over; it has given up its lease under this ballot for good."""

    ballot: Ballot
    sender: str


# Records on disk.


@message("PromiseRecord")
@dataclass(frozen=True)
class PromiseRecord:
    """The highest ballot promised."""

    ballot: Ballot


@message("ViewRecord")
@dataclass(frozen=True)
class ViewRecord:
    """The highest view accepted."""

    view: View


@message("SyncedRecord")
@dataclass(frozen=True)
class SyncedRecord:
    """The ballot whose candidate last made this replica's data equal to its own."""

    ballot: Ballot


@message("RangesRecord")
@dataclass(frozen=True)
class RangesRecord:
    """Ranges that replace those of what stood before.

    With what stood before, or further such records of the same position, they are the state there.
    """

    last: Position
    contents: tuple[tuple[int, bytes], ...]


Message = (
    AskPreVote
    | PreVote
    | Prepare
    | Promise
    | Refuse
    | Sync
    | Digests
    | FetchRanges
    | Ranges
    | FetchEntries
    | Synced
    | Syncing
    | Accept
    | Accepted
    | Append
    | Appended
    | Heartbeat
    | HeartbeatReply
    | Join
    | Learn
    | Learned
    | Handover
)
Record = PromiseRecord | ViewRecord | SyncedRecord | Entry | RangesRecord
