"""The parent's side of the relay tree: a bounded number of children, which get documents and heartbeats."""

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

FANOUT = 4  # children of one backend


class Children:
    """The backends that this one passes documents and heartbeats on to. Owned by the `Relay`."""

    def __init__(
        self, documents: Documents, tracker: RootTracker, root_role: RootRole, random: Random
    ) -> None:
        """Starts without children.

        Args:
            documents: what children get on attaching.
            tracker: the heartbeat that is passed on.
            root_role: whether this backend is the root.
            random: draws the order of redirects.
        """
        self._documents = documents
        self._tracker = tracker
        self._root_role = root_role
        self._random = random
        self._connections: dict[str, Connection] = {}

    def attach(self, connection: Connection, request: AttachRequest) -> AttachResponse | AttachRedirect:
        """Takes a backend as a child, or redirects it where there is no capacity.

        A backend without a connection to the root takes none, since its children would hear no heartbeats.
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
        """Forgets a child that has another parent now."""
        self._connections = {
            host: child for host, child in self._connections.items() if child is not connection
        }

    def push_document(self, document: Document) -> None:
        """Passes a newer document on."""
        for child in self._connections.values():
            child.notify(DocumentPush(document))

    def send_heartbeats(self) -> None:
        """Passes the newest heartbeat of the root on."""
        heartbeat = RootHeartbeat(
            self._tracker.last_heartbeat,
            self._tracker.root,
            self._documents.versions(),
            self._tracker.front_count,
        )
        for child in self._connections.values():
            child.notify(heartbeat)
