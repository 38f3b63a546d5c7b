"""One backend's place in the relay tree, kept up by itself, and the shuffles that mend what the tree loses.

The root is the primary of the store machines. Every other backend attaches to a parent that passes documents
on to a bounded number of children and sends a full asker to one of these. Beats come from the root and count
up, so a backend whose branch has lost the root, or runs in a circle, sees that they stand still and attaches
anew.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from crowwing.tier.clock import SYSTEM_CLOCK, Clock
from crowwing.tier.distribution.documents import Document, Documents, DocumentVersion
from crowwing.tier.distribution.sampling import PartialView, Peer
from crowwing.tier.wire.codec import message
from crowwing.tier.wire.connection import Connection
from crowwing.tier.wire.connection_pool import ConnectionPool
from crowwing.tier.wire.errors import CallError

log = logging.getLogger("crowwing.relay")

FANOUT = 4
ROOT_HEARTBEAT_INTERVAL_S = 0.25
LOST_S = 0.9  # without a new beat of the root
SHUFFLE_S = 0.5
CALL_S = 0.5
MAX_REDIRECTS = 6


@message("Attach")
@dataclass(frozen=True)
class AttachRequest:
    """A backend asks to become a child; it tells what it holds."""

    host: str
    versions: dict[str, DocumentVersion]


@message("Attached")
@dataclass(frozen=True)
class AttachResponse:
    """It is a child now; `fronts` as in Beat."""

    documents: tuple[Document, ...]
    heartbeat: DocumentVersion
    root: str | None
    fronts: int = 0


@message("Redirect")
@dataclass(frozen=True)
class AttachRedirect:
    """There is no room, or no connection to the root; these may have some."""

    hosts: tuple[str, ...]


@message("Beat")
@dataclass(frozen=True)
class RootHeartbeat:
    """The root is there: its ballot's round and a number that counts up, with what is the newest.

    `fronts`: how many fronts the root hears from, 0 where it does not know.
    """

    heartbeat: DocumentVersion
    root: str | None
    versions: dict[str, DocumentVersion]
    fronts: int


@message("Push")
@dataclass(frozen=True)
class DocumentPush:
    """A document on its way down."""

    document: Document


@message("Shuffle")
@dataclass(frozen=True)
class ShuffleRequest:
    """Two backends exchange peers and compare what they hold."""

    peers: tuple[Peer, ...]
    versions: dict[str, DocumentVersion]


@message("Shuffled")
@dataclass(frozen=True)
class ShuffleResponse:
    """The answer to a shuffle, with what the other lacked and what the answering one holds."""

    peers: tuple[Peer, ...]
    documents: tuple[Document, ...]
    versions: dict[str, DocumentVersion]


class Relay:
    """Keeps this backend's documents as new as the root's."""

    def __init__(
        self,
        me: Peer,
        seeds: tuple[str, ...],
        documents: Documents,
        connections: ConnectionPool,
        random: Random,
        clock: Clock = SYSTEM_CLOCK,
    ) -> None:
        self.me, self.seeds, self._connections, self._random = me, seeds, connections, random
        self._clock = clock
        self.documents = documents
        self.view = PartialView(me, random)
        self.root_term_number: Callable[[], int | None] = lambda: (
            None
        )  # the term's number, at the root itself
        self.probable_root: Callable[[], str | None] = lambda: None
        self.count_fronts: Callable[[], int] = lambda: 0  # at the root itself
        self.fronts = 0  # as a root has counted them last; 0 before any has
        self._children: dict[str, Connection] = {}
        self._parent: Connection | None = None
        self._last_heartbeat: DocumentVersion = (-1, 0)
        self._heartbeat_at = self._clock.monotonic()
        self.root: str | None = None
        self._heartbeat_due = asyncio.Event()
        self.on_root: list[Callable[[str], None]] = []
        documents.listen(self._pass_on)

    @property
    def is_root(self) -> bool:
        """Whether this backend is the primary of the store machines."""
        return self.root_term_number() is not None

    @property
    def is_connected(self) -> bool:
        """Whether the root's beats arrive."""
        return self._clock.monotonic() - self._heartbeat_at < LOST_S

    @property
    def seconds_disconnected(self) -> float:
        """How long ago the root's last beat came."""
        return self._clock.monotonic() - self._heartbeat_at

    async def handle(self, connection: Connection, body: Any) -> Any:  # noqa: ANN401
        """Answers what other backends send of the messages above."""
        match body:
            case AttachRequest():
                return self._attach(connection, body)
            case RootHeartbeat():
                self._on_root_heartbeat(connection, body)
            case DocumentPush(document):
                self.documents.offer(document)
            case ShuffleRequest():
                self.view.add(body.peers)
                return ShuffleResponse(
                    self.view.sample(connection.remote),
                    self.documents.newer_than(body.versions),
                    self.documents.versions(),
                )
        return None

    # Parent

    def _attach(self, connection: Connection, ask: AttachRequest) -> AttachResponse | AttachRedirect:
        self._children = {host: child for host, child in self._children.items() if not child.is_closed}
        if not self.is_root and not self.is_connected:
            return AttachRedirect(())
        if len(self._children) >= FANOUT and ask.host not in self._children:
            return AttachRedirect(tuple(self._random.sample(list(self._children), FANOUT)))
        self._children[ask.host] = connection
        return AttachResponse(
            self.documents.newer_than(ask.versions), self._last_heartbeat, self.root, self.fronts
        )

    def _pass_on(self, document: Document) -> None:
        for child in self._children.values():
            child.notify(DocumentPush(document))

    def _on_root_heartbeat(self, connection: Connection, heartbeat: RootHeartbeat) -> None:
        if connection is not self._parent:
            return
        if self._advance(tuple(heartbeat.heartbeat), heartbeat.root):
            self._note_fronts(heartbeat.fronts)
            self._send_heartbeats()

    def _note_fronts(self, counted: int) -> None:
        """Takes a count in; a root that does not know yet leaves the former one's in force."""
        if counted > 0:
            self.fronts = counted

    def _advance(self, heartbeat: DocumentVersion, root: str | None) -> bool:
        """Notes a beat of the root; False where it is no newer one."""
        if heartbeat <= self._last_heartbeat:
            return False
        self._last_heartbeat, self._heartbeat_at = heartbeat, self._clock.monotonic()
        if root is not None and root != self.root:
            self.root = root
            for listener in self.on_root:
                listener(root)
        return True

    def _send_heartbeats(self) -> None:
        versions = self.documents.versions()
        for child in self._children.values():
            child.notify(RootHeartbeat(self._last_heartbeat, self.root, versions, self.fronts))

    def on_became_root(self) -> None:
        """This backend is the root from now on: its beat goes out at once."""
        self._heartbeat_due.set()

    async def run_root(self) -> None:
        """Sends beats for as long as this backend is the root."""
        while True:
            try:
                async with asyncio.timeout(ROOT_HEARTBEAT_INTERVAL_S):
                    await self._heartbeat_due.wait()
            except TimeoutError:
                pass
            self._heartbeat_due.clear()
            version = self.root_term_number()
            if version is not None:
                number = self._last_heartbeat[1] + 1 if self._last_heartbeat[0] == version else 1
                self._advance((version, number), self.me.host)
                self._note_fronts(self.count_fronts())
                self._send_heartbeats()

    # Child

    async def run_child(self) -> None:
        """Keeps a parent."""
        while True:
            if not self.is_root and (self._parent is None or self._parent.is_closed or not self.is_connected):
                await self._find_parent()
            await asyncio.sleep(0.1 + 0.1 * self._random.random())

    async def _find_parent(self) -> None:
        hint = self.probable_root()
        peers = [peer.host for peer in self.view.peers()]
        self._random.shuffle(peers)
        candidates = [
            host for host in (hint, *self.seeds, *peers) if host is not None and host != self.me.host
        ]
        for host in dict.fromkeys(candidates):
            if await self._try_parent(host, MAX_REDIRECTS):
                return

    async def _try_parent(self, host: str, redirects: int) -> bool:
        try:
            connection = await self._connections.get(host)
            answer = await connection.call(AttachRequest(self.me.host, self.documents.versions()), CALL_S)
        except CallError as error:
            log.debug("no parent at %s: %s", host, error.reason)
            return False
        if isinstance(answer, AttachResponse):
            for document in answer.documents:
                self.documents.offer(document)
            self._parent = connection
            self._note_fronts(answer.fronts)
            self._advance(tuple(answer.heartbeat), answer.root)
            log.info("relay parent is %s", host)
            return self.is_connected
        if isinstance(answer, AttachRedirect) and redirects > 0:
            for other in answer.hosts:
                if other != self.me.host and await self._try_parent(other, redirects - 2):
                    return True
        return False

    # Shuffles

    async def run_shuffles(self) -> None:
        """Shuffles with one peer after another, which also carries what the tree has lost."""
        while True:
            await asyncio.sleep(SHUFFLE_S * (0.8 + 0.4 * self._random.random()))
            partner, sample = self.view.start_shuffle()
            host = partner.host if partner else self._random.choice(self.seeds) if self.seeds else None
            if host is not None and host != self.me.host:
                await self._shuffle(host, sample or (self.me,))

    async def _shuffle(self, host: str, sample: tuple[Peer, ...]) -> None:
        try:
            connection = await self._connections.get(host)
            answer = await connection.call(ShuffleRequest(sample, self.documents.versions()), CALL_S)
        except CallError:
            self.view.remove(host)
            return
        self.view.add(answer.peers)
        for document in answer.documents:
            self.documents.offer(document)
        lacking = self.documents.newer_than(answer.versions)
        for document in lacking:
            connection.notify(DocumentPush(document))
