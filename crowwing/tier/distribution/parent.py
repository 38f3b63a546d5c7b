"""The child's side of the relay tree: finding a parent, and another one after that is lost."""

import asyncio
import logging

from crowwing.tier.distribution.documents import Documents
from crowwing.tier.distribution.environment import RelayEnvironment
from crowwing.tier.distribution.messages import AttachRedirect, AttachRequest, AttachResponse
from crowwing.tier.distribution.root_tracker import RootRole, RootTracker
from crowwing.tier.distribution.sampling import PartialView
from crowwing.tier.wire.connection import Connection
from crowwing.tier.wire.errors import CallError

log = logging.getLogger("crowwing.relay")

ATTACH_TIMEOUT_S = 0.5
CHECK_INTERVAL_S = 0.1  # between two looks at the parent, and at most as much again by chance
MAX_REDIRECTS = 6
REDIRECT_COST = 2  # of MAX_REDIRECTS for each one: three in a row are followed


class ParentFinder:
    """Keeps this backend attached to a parent. Owned by the `Relay`.

    Attributes:
        connection: the connection to the parent, None before there is one. It may have ended since.
    """

    def __init__(
        self,
        view: PartialView,
        documents: Documents,
        tracker: RootTracker,
        root_role: RootRole,
        environment: RelayEnvironment,
    ) -> None:
        """Starts without a parent.

        Args:
            view: the backends to try.
            documents: gets what the parent has that is newer.
            tracker: tells whether the root's heartbeats arrive.
            root_role: the root needs no parent; others try the probable root first.
            environment: how other backends are reached, and random numbers.
        """
        self.connection: Connection | None = None
        self._view = view
        self._documents = documents
        self._tracker = tracker
        self._root_role = root_role
        self._connections = environment.connections
        self._random = environment.random

    async def run(self) -> None:
        """Attaches anew whenever there is no parent, or its branch has lost the root; runs for ever."""
        while True:
            if not self._root_role.is_root and not self._is_attached():
                await self._find()
            await asyncio.sleep(CHECK_INTERVAL_S + CHECK_INTERVAL_S * self._random.random())

    def _is_attached(self) -> bool:
        is_open = self.connection is not None and not self.connection.is_closed
        return is_open and self._tracker.is_connected

    async def _find(self) -> None:
        """Tries the probable root, the seeds, and the peers in a random order, until one accepts."""
        peers = [peer.host for peer in self._view.peers()]
        self._random.shuffle(peers)
        candidates = (self._root_role.probable_root(), *self._view.seeds, *peers)
        for host in dict.fromkeys(candidates):
            if host is None or host == self._view.me.host:
                continue
            if await self._attach(host, MAX_REDIRECTS):
                return

    async def _attach(self, host: str, redirects: int) -> bool:
        """Asks a backend to be the parent, and those that it redirects to."""
        try:
            connection = await self._connections.get(host)
            request = AttachRequest(self._view.me.host, self._documents.versions())
            response = await connection.call(request, ATTACH_TIMEOUT_S)
        except CallError as error:
            log.debug("attach_failed host=%s error=%s", host, error)
            return False
        if isinstance(response, AttachResponse):
            self._accept(connection, response)
            log.info("attached parent=%s", host)
            return self._tracker.is_connected
        if isinstance(response, AttachRedirect) and redirects > 0:
            for other in response.hosts:
                if other == self._view.me.host:
                    continue
                if await self._attach(other, redirects - REDIRECT_COST):
                    return True
        return False

    def _accept(self, connection: Connection, response: AttachResponse) -> None:
        for document in response.documents:
            self._documents.offer(document)
        self.connection = connection
        self._tracker.record_front_count(response.front_count)
        self._tracker.record_heartbeat(tuple(response.heartbeat), response.root)
