"""Polls the platform's list of sidecars while this machine is the primary, and publishes changes."""

import asyncio
import logging
from random import Random

from crowwing.tier.distribution.documents import SIDECARS, Document, Documents
from crowwing.tier.platform_list import ListUnreadable, ReadList, SidecarList
from crowwing.tier.store.node import ReplicaNode
from crowwing.tier.wire.codec import encode

log = logging.getLogger("crowwing.list")

LIST_READ_INTERVAL_S = 0.6
MIN_JITTER, JITTER_SPREAD = 0.9, 0.2  # factors of the interval
ROLE_POLL_INTERVAL_S = 0.05


class ListReader:
    """Reads the platform's list; only the holder of the primary's lease does so.

    The version of a published list is the primary's term and a sequence number within it, so that a later
    primary's lists are newer than all lists of earlier ones.
    """

    def __init__(self, read: ReadList, node: ReplicaNode, documents: Documents, random: Random) -> None:
        """Creates a reader that is idle until `run` is called.

        Args:
            read: Reads the list once.
            node: The replica, for the role and term of this machine.
            documents: Where lists are published.
            random: Source of the jitter between reads.
        """
        self._read_list = read
        self._node = node
        self._documents = documents
        self._random = random
        self._published: SidecarList | None = None
        self._published_term = -1
        self._published_number = 0

    async def run(self) -> None:
        """Reads the list periodically; runs until cancelled."""
        while True:
            if self._node.replica.holds_lease(self._node.clock.monotonic()):
                await self._read()
                jitter = MIN_JITTER + JITTER_SPREAD * self._random.random()
                await asyncio.sleep(LIST_READ_INTERVAL_S * jitter)
            else:
                await asyncio.sleep(ROLE_POLL_INTERVAL_S)

    async def _read(self) -> None:
        listed = await self._read_list()
        if isinstance(listed, ListUnreadable):
            log.warning("list_unreadable reason=%r", listed.reason)
            return
        term_number = self._node.replica.promised[0]
        # The lease may have expired during the read, and a later primary may have published a newer list.
        if not self._node.replica.holds_lease(self._node.clock.monotonic()):
            return
        if term_number == self._published_term and listed == self._published:
            return
        self._published_number = self._published_number + 1 if term_number == self._published_term else 1
        self._published_term = term_number
        self._published = listed
        self._documents.offer(Document(SIDECARS, (term_number, self._published_number), encode(listed)))
