"""The messages between relays. Which name each has on the wire stands in its decorator."""

from dataclasses import dataclass

from crowwing.tier.distribution.documents import Document, DocumentVersion
from crowwing.tier.distribution.sampling import Peer
from crowwing.tier.wire.codec import message

HeartbeatNumber = tuple[
    int, ...
]  # the number of the root's term, and a count within the term; higher is newer


@message("Attach")
@dataclass(frozen=True)
class AttachRequest:
    """A backend asks to become a child.

    Attributes:
        host: its address.
        versions: which documents it has.
    """

    host: str
    versions: dict[str, DocumentVersion]


@message("Attached")
@dataclass(frozen=True)
class AttachResponse:
    """The sender of the request is a child from now on.

    Attributes:
        documents: what it lacked.
        heartbeat: the newest heartbeat of the root that the parent has seen.
        root: the address of the root, None where the parent does not know it.
        front_count: as in `RootHeartbeat`.
    """

    documents: tuple[Document, ...]
    heartbeat: HeartbeatNumber
    root: str | None
    front_count: int = 0


@message("Redirect")
@dataclass(frozen=True)
class AttachRedirect:
    """No capacity for a child, or no connection to the root.

    Attributes:
        hosts: backends to ask instead; empty where none is known.
    """

    hosts: tuple[str, ...]


@message("Detach")
@dataclass(frozen=True)
class DetachNotice:
    """The receiver is not, or no longer, the parent of the sender, and has its capacity back."""


@message("Beat")
@dataclass(frozen=True)
class RootHeartbeat:
    """The root is alive. Each parent sends it on to its children.

    Attributes:
        heartbeat: the number of this heartbeat.
        root: the address of the root.
        versions: which documents the sender has.
        front_count: how many fronts the root hears from, 0 where it does not know yet.
    """

    heartbeat: HeartbeatNumber
    root: str | None
    versions: dict[str, DocumentVersion]
    front_count: int


@message("Push")
@dataclass(frozen=True)
class DocumentPush:
    """A newer document, from a parent or from the partner of a shuffle."""

    document: Document


@message("Shuffle")
@dataclass(frozen=True)
class ShuffleRequest:
    """Two backends exchange peers and compare their documents.

    Attributes:
        peers: some that the sender knows, and itself.
        versions: which documents the sender has.
    """

    peers: tuple[Peer, ...]
    versions: dict[str, DocumentVersion]


@message("Shuffled")
@dataclass(frozen=True)
class ShuffleResponse:
    """The other half of a shuffle.

    Attributes:
        peers: some that the responder knows, and itself.
        documents: what the requester lacked.
        versions: which documents the responder has.
    """

    peers: tuple[Peer, ...]
    documents: tuple[Document, ...]
    versions: dict[str, DocumentVersion]


# What `Relay.handle` takes. Responses are not among them: they come back from the call.
RELAY_MESSAGES = (AttachRequest, DetachNotice, RootHeartbeat, DocumentPush, ShuffleRequest)
