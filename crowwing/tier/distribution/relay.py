"""One backend's place in the relay tree, and the shuffles that repair what the tree loses.

The root is the primary of the store machines. Every other backend attaches to a parent, which passes
documents on to a bounded number of children and redirects further ones to these. Heartbeats come from the
root and count up, so a backend whose branch has lost the root, or runs in a circle, sees that they stand
still and attaches anew.
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
    """Keeps this backend's documents as new as the root's.

    The process of a front or of a store machine owns it: it hands in the messages of `RELAY_MESSAGES`, and
    runs `parent.run`, `shuffler.run` and, on store machines, `root_heartbeats.run` as tasks of their own.

    Attributes:
        documents: this backend's documents.
        view: the peers that it knows, and the seeds.
        tracker: what it knows of the root.
    """

    def __init__(
        self,
        me: Peer,
        seeds: tuple[str, ...],
        documents: Documents,
        environment: RelayEnvironment,
        root_role: RootRole = NO_ROOT_ROLE,
    ) -> None:
        """Makes a relay without a parent or children.

        Args:
            me: this backend.
            seeds: addresses that the settings name.
            documents: passed on to children when newer ones come.
            environment: what it uses of its process.
            root_role: what the process's own replica knows of the root, where it has one.
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
        """Handles what another backend sends.

        Args:
            connection: where it came from.
            message: one of `RELAY_MESSAGES`.

        Returns:
            The response to a request; None where there is none.
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
        """Passes a newer heartbeat on; a former parent hears that it is none any more."""
        if connection is not self.parent.connection:
            connection.notify(DetachNotice())
            return
        if self.tracker.record_heartbeat(tuple(message.heartbeat), message.root):
            self.tracker.record_front_count(message.front_count)
            self.children.send_heartbeats()
