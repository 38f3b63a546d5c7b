"""Reads the platform's list while this machine is the primary, and publishes each change."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from random import Random

from crowwing.tier.distribution.documents import SIDECARS, Document, Documents
from crowwing.tier.platform_list import ListUnreadable, SidecarList
from crowwing.tier.store.node import ReplicaNode
from crowwing.tier.wire.codec import encode

log = logging.getLogger("crowwing.list")

READ_EVERY_S = 0.6

ReadList = Callable[[], Awaitable[SidecarList | ListUnreadable]]


class ListReader:
    """The one reader of the list: the role goes with that of the primary, whose election fills both."""

    def __init__(self, read: ReadList, node: ReplicaNode, documents: Documents, random: Random) -> None:
        self._read_list, self._node, self._documents, self._random = read, node, documents, random
        self._published: SidecarList | None = None
        self._round = -1
        self._number = 0

    async def run(self) -> None:
        """Reads the list again and again."""
        while True:
            if self._node.replica.holds_lease(self._node.clock.monotonic()):
                await self._read()
                await asyncio.sleep(READ_EVERY_S * (0.9 + 0.2 * self._random.random()))
            else:
                await asyncio.sleep(0.05)

    async def _read(self) -> None:
        listed = await self._read_list()
        if isinstance(listed, ListUnreadable):
            log.warning("the platform's list: %s", listed.reason)
            return
        round_number = self._node.replica.promised[0]
        if not self._node.replica.holds_lease(self._node.clock.monotonic()):
            return
        if round_number == self._round and listed == self._published:
            return
        self._number = self._number + 1 if round_number == self._round else 1
        self._round, self._published = round_number, listed
        self._documents.offer(Document(SIDECARS, (round_number, self._number), encode(listed)))
