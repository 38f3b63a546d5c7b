"""One backend's node in the relay tree, and the shuffles that deliver what the tree has lost.

The root is the primary of the store machines. Every other backend attaches to a parent, which forwards
documents to a bounded number of children and redirects any others to those children. The root sends
numbered heartbeats down the tree. A backend whose branch has lost the root, or is part of a cycle, receives
no higher number and attaches to another parent.
"""

from crowwing.tier.distribution.children import Children
from crowwing.tier.distribution.documents import Documents
from crowwing.tier.distribution.environment import RelayEnvironment
from crowwing.tier.distribution.messages import (
    AttachRedirect,
    AttachRequest,
    AttachResponse,
    DetachNotice,
    DocumentPush,
    RootHeartbeat,
    ShuffleRequest,
    ShuffleResponse,
)
from crowwing.tier.distribution.parent import ParentFinder
from crowwing.tier.distribution.root_heartbeats import RootHeartbeats
from crowwing.tier.distribution.root_tracker import RootRole, RootTracker
from crowwing.tier.distribution.sampling import PartialView, Peer
from crowwing.tier.distribution.shuffles import Shuffler
from crowwing.tier.wire.connection import Connection

NO_ROOT_ROLE = RootRole()


class Relay:
    """Keeps this backend's documents as new as those of the root.

    Owned by the process of a front or of a store machine, which passes it the messages of `RELAY_MESSAGES`
    and runs `parent.run`, `shuffler.run` and, on store machines, `root_heartbeats.run` as separate tasks.

    Attributes:
        documents: the documents of this backend.
        view: the known peers and the seeds.
        tracker: what this backend knows about the root.
    """

    def __init__(
        self,
        me: Peer,
        seeds: tuple[str, ...],
        documents: Documents,
        environment: RelayEnvironment,
        root_role: RootRole = NO_ROOT_ROLE,
    ) -> None:
        """Creates a relay without a parent or children.

        Args:
            me: this backend.
            seeds: the addresses of backends in the settings.
            documents: the documents of this backend; newer ones are forwarded to its children.
            environment: the dependencies on the process.
            root_role: what the replica in this process, if there is one, knows about the root.
        """
        self.documents = documents
        self.view = PartialView(me, seeds, environment.random)
        self.tracker = RootTracker(environment.clock)
        self.children = Children(documents, self.tracker, root_role, environment.random)
        self.parent = ParentFinder(self.view, documents, self.tracker, root_role, environment)
        self.root_heartbeats = RootHeartbeats(me.host, root_role, self.tracker, self.children)
        self.shuffler = Shuffler(self.view, documents, environment)
        documents.add_listener(self.children.push_document)

    async def handle(
        self, connection: Connection, message: object
    ) -> AttachResponse | AttachRedirect | ShuffleResponse | None:
        """Handles a message from another backend.

        Args:
            connection: the connection that the message arrived on.
            message: an instance of one of `RELAY_MESSAGES`.

        Returns:
            The response, or None for messages without one.
        """
        match message:
            case AttachRequest():
                return self.children.attach(connection, message)
            case DetachNotice():
                self.children.detach(connection)
            case RootHeartbeat():
                self._on_root_heartbeat(connection, message)
            case DocumentPush(document):
                self.documents.offer(document)
            case ShuffleRequest():
                return self.shuffler.respond(message, connection.remote)
        return None

    def _on_root_heartbeat(self, connection: Connection, message: RootHeartbeat) -> None:
        """Forwards a newer heartbeat to the children; notifies a backend that is no longer the parent."""
        if connection is not self.parent.connection:
            connection.notify(DetachNotice())
            return
        if self.tracker.record_heartbeat(tuple(message.heartbeat), message.root):
            self.tracker.record_front_count(message.front_count)
            self.children.send_heartbeats()
