"""The parent's side of the relay tree: sends documents and heartbeats to a bounded number of children."""

from random import Random

from crowwing.tier.distribution.documents import Document, Documents
from crowwing.tier.distribution.messages import (
    AttachRedirect,
    AttachRequest,
    AttachResponse,
    DocumentPush,
    RootHeartbeat,
)
from crowwing.tier.distribution.root_tracker import RootRole, RootTracker
from crowwing.tier.wire.connection import Connection

FANOUT = 4  # maximum number of children of one backend


class Children:
    """The backends to which this one forwards documents and heartbeats. Owned by `Relay`."""

    def __init__(
        self, documents: Documents, tracker: RootTracker, root_role: RootRole, random: Random
    ) -> None:
        """Starts without children.

        Args:
            documents: the documents that a child receives on attaching.
            tracker: provides the heartbeat to forward.
            root_role: tells whether this backend is the root.
            random: shuffles the hosts of a redirect.
        """
        self._documents = documents
        self._tracker = tracker
        self._root_role = root_role
        self._random = random
        self._connections: dict[str, Connection] = {}

    def attach(self, connection: Connection, request: AttachRequest) -> AttachResponse | AttachRedirect:
        """Accepts a backend as a child, or redirects it if there is no capacity.

        A backend that is disconnected from the root accepts no children, since they would get no heartbeats.
        """
        self._connections = {host: child for host, child in self._connections.items() if not child.is_closed}
        if not self._root_role.is_root and not self._tracker.is_connected:
            return AttachRedirect(())
        if len(self._connections) >= FANOUT and request.host not in self._connections:
            return AttachRedirect(tuple(self._random.sample(list(self._connections), FANOUT)))
        self._connections[request.host] = connection
        return AttachResponse(
            self._documents.newer_than(request.versions),
            self._tracker.last_heartbeat,
            self._tracker.root,
            self._tracker.front_count,
        )

    def detach(self, connection: Connection) -> None:
        """Removes a child that now has another parent."""
        self._connections = {
            host: child for host, child in self._connections.items() if child is not connection
        }

    def push_document(self, document: Document) -> None:
        """Sends a newer document to all children."""
        for child in self._connections.values():
            child.notify(DocumentPush(document))

    def send_heartbeats(self) -> None:
        """Sends the newest heartbeat of the root to all children."""
        heartbeat = RootHeartbeat(
            self._tracker.last_heartbeat,
            self._tracker.root,
            self._documents.versions(),
            self._tracker.front_count,
        )
        for child in self._connections.values():
            child.notify(heartbeat)
