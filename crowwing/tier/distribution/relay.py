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
from crowwing.tier.wire.connection import CallError, Connection, Links

log = logging.getLogger("crowwing.relay")

FANOUT = 4
BEAT_S = 0.25
LOST_S = 0.9  # without a new beat of the root
SHUFFLE_S = 0.5
CALL_S = 0.5
MAX_REDIRECTS = 6


@message("Attach")
@dataclass(frozen=True)
class AttachRequest:
    """A backend asks to become a child; it tells what it holds."""

    host: str
    orders: dict[str, DocumentVersion]


@message("Attached")
@dataclass(frozen=True)
class AttachResponse:
    """It is a child now; `fronts` as in Beat."""

    documents: tuple[Document, ...]
    beat: DocumentVersion
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

    beat: DocumentVersion
    root: str | None
    orders: dict[str, DocumentVersion]
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
    orders: dict[str, DocumentVersion]


@message("Shuffled")
@dataclass(frozen=True)
class ShuffleResponse:
    """The answer to a shuffle, with what the other lacked and what the answering one holds."""

    peers: tuple[Peer, ...]
    documents: tuple[Document, ...]
    orders: dict[str, DocumentVersion]


class Relay:
    """Keeps this backend's documents as new as the root's."""

    def __init__(
        self,
        me: Peer,
        seeds: tuple[str, ...],
        documents: Documents,
        links: Links,
        random: Random,
        clock: Clock = SYSTEM_CLOCK,
    ) -> None:
        self.me, self.seeds, self._links, self._random = me, seeds, links, random
        self._clock = clock
        self.documents = documents
        self.view = PartialView(me, random)
        self.root_order: Callable[[], int | None] = lambda: None  # the ballot's round, at the root itself
        self.root_hint: Callable[[], str | None] = lambda: None
        self.count_fronts: Callable[[], int] = lambda: 0  # at the root itself
        self.fronts = 0  # as a root has counted them last; 0 before any has
        self._children: dict[str, Connection] = {}
        self._parent: Connection | None = None
        self._beat: DocumentVersion = (-1, 0)
        self._beat_at = self._clock.monotonic()
        self.root: str | None = None
        self._beat_soon = asyncio.Event()
        self.on_root: list[Callable[[str], None]] = []
        documents.listen(self._pass_on)

    @property
    def is_root(self) -> bool:
        """Whether this backend is the primary of the store machines."""
        return self.root_order() is not None

    @property
    def in_touch(self) -> bool:
        """Whether the root's beats arrive."""
        return self._clock.monotonic() - self._beat_at < LOST_S

    @property
    def seconds_out_of_touch(self) -> float:
        """How long ago the root's last beat came."""
        return self._clock.monotonic() - self._beat_at

    async def handle(self, connection: Connection, body: Any) -> Any:  # noqa: ANN401
        """Answers what other backends send of the messages above."""
        match body:
            case AttachRequest():
                return self._attach(connection, body)
            case RootHeartbeat():
                self._take_beat(connection, body)
            case DocumentPush(document):
                self.documents.offer(document)
            case ShuffleRequest():
                self.view.add(body.peers)
                return ShuffleResponse(
                    self.view.sample(connection.remote),
                    self.documents.newer_than(body.orders),
                    self.documents.orders(),
                )
        return None

    # Parent

    def _attach(self, connection: Connection, ask: AttachRequest) -> AttachResponse | AttachRedirect:
        self._children = {host: child for host, child in self._children.items() if not child.closed}
        if not self.is_root and not self.in_touch:
            return AttachRedirect(())
        if len(self._children) >= FANOUT and ask.host not in self._children:
            return AttachRedirect(tuple(self._random.sample(list(self._children), FANOUT)))
        self._children[ask.host] = connection
        return AttachResponse(self.documents.newer_than(ask.orders), self._beat, self.root, self.fronts)

    def _pass_on(self, document: Document) -> None:
        for child in self._children.values():
            child.notify(DocumentPush(document))

    def _take_beat(self, connection: Connection, beat: RootHeartbeat) -> None:
        if connection is not self._parent:
            return
        if self._advance(tuple(beat.beat), beat.root):
            self._note_fronts(beat.fronts)
            self._send_beats()

    def _note_fronts(self, counted: int) -> None:
        """Takes a count in; a root that does not know yet leaves the former one's in force."""
        if counted > 0:
            self.fronts = counted

    def _advance(self, beat: DocumentVersion, root: str | None) -> bool:
        """Notes a beat of the root; False where it is no newer one."""
        if beat <= self._beat:
            return False
        self._beat, self._beat_at = beat, self._clock.monotonic()
        if root is not None and root != self.root:
            self.root = root
            for listener in self.on_root:
                listener(root)
        return True

    def _send_beats(self) -> None:
        orders = self.documents.orders()
        for child in self._children.values():
            child.notify(RootHeartbeat(self._beat, self.root, orders, self.fronts))

    def became_root(self) -> None:
        """This backend is the root from now on: its beat goes out at once."""
        self._beat_soon.set()

    async def run_root(self) -> None:
        """Sends beats for as long as this backend is the root."""
        while True:
            try:
                async with asyncio.timeout(BEAT_S):
                    await self._beat_soon.wait()
            except TimeoutError:
                pass
            self._beat_soon.clear()
            order = self.root_order()
            if order is not None:
                number = self._beat[1] + 1 if self._beat[0] == order else 1
                self._advance((order, number), self.me.host)
                self._note_fronts(self.count_fronts())
                self._send_beats()

    # Child

    async def run_child(self) -> None:
        """Keeps a parent."""
        while True:
            if not self.is_root and (self._parent is None or self._parent.closed or not self.in_touch):
                await self._find_parent()
            await asyncio.sleep(0.1 + 0.1 * self._random.random())

    async def _find_parent(self) -> None:
        hint = self.root_hint()
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
            connection = await self._links.get(host)
            answer = await connection.call(AttachRequest(self.me.host, self.documents.orders()), CALL_S)
        except CallError as error:
            log.debug("no parent at %s: %s", host, error.reason)
            return False
        if isinstance(answer, AttachResponse):
            for document in answer.documents:
                self.documents.offer(document)
            self._parent = connection
            self._note_fronts(answer.fronts)
            self._advance(tuple(answer.beat), answer.root)
            log.info("relay parent is %s", host)
            return self.in_touch
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
            connection = await self._links.get(host)
            answer = await connection.call(ShuffleRequest(sample, self.documents.orders()), CALL_S)
        except CallError:
            self.view.remove(host)
            return
        self.view.add(answer.peers)
        for document in answer.documents:
            self.documents.offer(document)
        lacking = self.documents.newer_than(answer.orders)
        for document in lacking:
            connection.notify(DocumentPush(document))
