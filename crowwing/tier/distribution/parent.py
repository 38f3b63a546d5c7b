"""The child's side of the relay tree: finds a parent, and a new one when the parent is lost."""

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
CHECK_INTERVAL_S = 0.1  # between checks of the parent, plus random jitter of up to the same length
MAX_SEARCH_BACKOFF_S = 0.8  # failed searches back off exponentially from CHECK_INTERVAL_S up to this
MAX_PEER_CANDIDATES = 3  # peers tried in one search, besides the probable root and the seeds
MAX_REDIRECTS = 6  # per candidate, each one level down; six full levels hold 5,461 backends


class ParentFinder:
    """Keeps this backend attached to a parent. Owned by `Relay`.

    Attributes:
        connection: the connection to the parent, which may be closed; None before the first parent.
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
            documents: receives the newer documents of the parent.
            tracker: tells whether the root's heartbeats arrive.
            root_role: tells whether this backend is the root, which needs no parent, and names the probable
                root, which others try first.
            environment: provides connections to other backends and randomness.
        """
        self.connection: Connection | None = None
        self._view = view
        self._documents = documents
        self._tracker = tracker
        self._root_role = root_role
        self._connections = environment.connections
        self._random = environment.random

    async def run(self) -> None:
        """Searches for a parent whenever there is none or its branch has lost the root; runs forever."""
        pause_s = CHECK_INTERVAL_S
        while True:
            if self._is_root_or_attached() or await self._find_parent():
                pause_s = CHECK_INTERVAL_S
            else:
                pause_s = min(MAX_SEARCH_BACKOFF_S, 2 * pause_s)
            await asyncio.sleep(pause_s + pause_s * self._random.random())

    def _is_root_or_attached(self) -> bool:
        return self._root_role.is_root or self._is_attached()

    def _is_attached(self) -> bool:
        is_open = self.connection is not None and not self.connection.is_closed
        return is_open and self._tracker.is_connected

    async def _find_parent(self) -> bool:
        """Tries the probable root, the seeds and some peers; returns False if none of them accepted."""
        for host in self._candidates():
            if await self._attach_via(host) or self._root_role.is_root:
                return True
        return False

    def _candidates(self) -> list[str]:
        """Returns the backends that a search tries, in this order."""
        probable_root = self._root_role.probable_root()
        seeds = self._random.sample(self._view.seeds, len(self._view.seeds))
        known = [peer.host for peer in self._view.peers()]
        peers = self._random.sample(known, min(MAX_PEER_CANDIDATES, len(known)))
        hosts = dict.fromkeys((probable_root, *seeds, *peers))
        return [host for host in hosts if host is not None and host != self._view.me.host]

    async def _attach_via(self, host: str) -> bool:
        """Asks a backend to be the parent, following redirects; returns whether a connected one accepted."""
        for _ in range(1 + MAX_REDIRECTS):
            response = await self._request_attach(host)
            if isinstance(response, AttachResponse):
                return self._tracker.is_connected
            children = response.hosts if isinstance(response, AttachRedirect) else ()
            others = [child for child in children if child != self._view.me.host]
            if not others:
                return False
            host = self._random.choice(others)
        return False

    async def _request_attach(self, host: str) -> AttachResponse | AttachRedirect | None:
        """Asks one backend, which becomes the parent if it accepts; returns None if the call fails."""
        try:
            connection = await self._connections.get(host)
            request = AttachRequest(self._view.me.host, self._documents.versions())
            response: AttachResponse | AttachRedirect = await connection.call(request, ATTACH_TIMEOUT_S)
        except CallError as error:
            log.debug("attach_failed host=%s error=%s", host, error)
            return None
        if isinstance(response, AttachResponse):
            self._accept(connection, response)
            log.info("attached parent=%s", host)
        return response

    def _accept(self, connection: Connection, response: AttachResponse) -> None:
        for document in response.documents:
            self._documents.offer(document)
        self.connection = connection
        self._tracker.record_front_count(response.front_count)
        self._tracker.record_heartbeat(tuple(response.heartbeat), response.root)
