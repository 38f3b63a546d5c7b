"""The messages between relays. The argument of the decorator is the name on the wire."""

from dataclasses import dataclass

from crowwing.tier.distribution.documents import Document, DocumentVersion
from crowwing.tier.distribution.sampling import Peer
from crowwing.tier.wire.codec import message

HeartbeatNumber = tuple[
    int, ...
]  # number of the root's term, and sequence number within the term; higher is newer


@message("Attach")
@dataclass(frozen=True)
class AttachRequest:
    """Asks the receiver to become the parent of the sender.

    Attributes:
        host: the address of the sender.
        versions: the versions of the sender's documents.
    """

    host: str
    versions: dict[str, DocumentVersion]


@message("Attached")
@dataclass(frozen=True)
class AttachResponse:
    """Accepts the sender of an `AttachRequest` as a child.

    Attributes:
        documents: the documents that are missing or older at the child.
        heartbeat: the newest heartbeat of the root that the parent has received.
        root: the address of the root; None if the parent does not know it.
        front_count: as in `RootHeartbeat`.
    """

    documents: tuple[Document, ...]
    heartbeat: HeartbeatNumber
    root: str | None
    front_count: int = 0


@message("Redirect")
@dataclass(frozen=True)
class AttachRedirect:
    """Rejects an `AttachRequest`, for lack of capacity or of a connection to the root.

    Attributes:
        hosts: backends to ask instead, which are the children of the sender; empty if it is disconnected.
    """

    hosts: tuple[str, ...]


@message("Detach")
@dataclass(frozen=True)
class DetachNotice:
    """The receiver is not, or no longer, the parent of the sender, and may free its slot."""


@message("Beat")
@dataclass(frozen=True)
class RootHeartbeat:
    """Shows that the root is alive. Each parent forwards it to its children.

    Attributes:
        heartbeat: the number of this heartbeat.
        root: the address of the root; None if the sender does not know it.
        versions: the versions of the sender's documents.
        front_count: the number of fronts that call the root; 0 if it does not know yet.
    """

    heartbeat: HeartbeatNumber
    root: str | None
    versions: dict[str, DocumentVersion]
    front_count: int


@message("Push")
@dataclass(frozen=True)
class DocumentPush:
    """A newer document, sent by a parent to its children or by the initiator of a shuffle to its partner."""

    document: Document


@message("Shuffle")
@dataclass(frozen=True)
class ShuffleRequest:
    """Starts a shuffle, in which two backends exchange peers and compare their documents.

    Attributes:
        peers: a sample of the peers that the sender knows, and the sender itself.
        versions: the versions of the sender's documents.
    """

    peers: tuple[Peer, ...]
    versions: dict[str, DocumentVersion]


@message("Shuffled")
@dataclass(frozen=True)
class ShuffleResponse:
    """The response to a `ShuffleRequest`.

    Attributes:
        peers: a sample of the peers that the responder knows, and the responder itself.
        documents: the documents that are missing or older at the requester.
        versions: the versions of the responder's documents.
    """

    peers: tuple[Peer, ...]
    documents: tuple[Document, ...]
    versions: dict[str, DocumentVersion]


# The messages that `Relay.handle` accepts. Responses are not included: `Connection.call` returns them.
RELAY_MESSAGES = (AttachRequest, DetachNotice, RootHeartbeat, DocumentPush, ShuffleRequest)
