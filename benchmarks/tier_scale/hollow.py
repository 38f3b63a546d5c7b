"""Hollow fronts: each keeps its peers, its place in the relay tree and its documents as a real front does,
and asks for items as often, but serves nobody. Many share a process.

    python -m benchmarks.tier_scale.hollow FIRST COUNT PORT SEED_HOST,...

prints one JSON line for each line that it reads: the counts since the last one.
"""

import asyncio
import json
import sys
import time
from dataclasses import dataclass
from random import Random
from typing import Any

from crowwing.tier.distribution.documents import CONFIGURATION, Document, Documents
from crowwing.tier.distribution.relay import Attach, Beat, Push, Relay, Shuffle
from crowwing.tier.distribution.sampling import Peer
from crowwing.tier.front.lot_runner import LEASE_WAIT_MS
from crowwing.tier.front.store_client import StoreClient
from crowwing.tier.store import commands as c
from crowwing.tier.wire.codec import encode
from crowwing.tier.wire.connection import Connection, Links, serve

ZONES = 18
ROOM = 4


def host_of(number: int) -> str:
    """The loopback address of a hollow front."""
    return f"127.3.{number // 200}.{number % 200 + 1}"


@dataclass
class Received:
    """What came to one member from others: messages, and their bytes without frames."""

    messages: int = 0
    bytes: int = 0

    def add(self, body: object) -> None:
        """Counts one message."""
        self.messages += 1
        self.bytes += len(encode(body))


class CountingLinks(Links):
    """Links that count the answers to calls."""

    received: Received

    async def call(self, host: str, body: object, timeout_s: float) -> Any:  # noqa: ANN401
        """Calls a host; raises CallError."""
        answer = await super().call(host, body, timeout_s)
        self.received.add(answer)
        return answer


class HollowFront:
    """One member."""

    def __init__(self, number: int, port: int, seeds: tuple[str, ...]) -> None:
        self.host, self._port = host_of(number), port
        self.received = Received()
        self._random = Random(number)
        self.documents = Documents()
        self.links = CountingLinks(port, self.handle)
        self.links.received = self.received
        me = Peer(self.host, "front", f"z{number % ZONES}", 0)
        self.relay = Relay(me, seeds, self.documents, self.links, self._random)
        self.store = StoreClient(self.links, lambda: list(seeds))
        self.relay.on_root.append(self.store.moved)
        self.documents.listen(self._took)
        self.version, self.version_at = 0, 0.0
        self.attempts = 0

    def _took(self, document: Document) -> None:
        if document.kind == CONFIGURATION:
            self.version, self.version_at = document.order[0], time.time()

    async def handle(self, connection: Connection, body: Any) -> Any:  # noqa: ANN401
        """Answers other backends."""
        self.received.add(body)
        if isinstance(body, (Attach, Beat, Push, Shuffle)):
            return await self.relay.handle(connection, body)
        return None

    async def _ask_for_items(self) -> None:
        await asyncio.sleep(self._random.random())
        while True:
            self.attempts += 1
            await self.store.call(c.LeaseItems(self.host, ROOM, (), LEASE_WAIT_MS), 2.0, answer_s=1.2)
            await asyncio.sleep(0.02)

    async def run(self) -> None:
        """Runs for good."""
        await serve(self.host, self._port, self.handle)
        await asyncio.gather(self.relay.run_child(), self.relay.run_shuffles(), self._ask_for_items())


def told(members: list[HollowFront], since: float) -> dict[str, Any]:
    """The counts since a moment, a second and member, and how far the newest configuration has come."""
    span = time.monotonic() - since
    figures = {
        "members": len(members),
        "in_touch": sum(member.relay.in_touch for member in members),
        "span_s": span,
        "messages": [member.received.messages / span for member in members],
        "bytes": [member.received.bytes / span for member in members],
        "attempts": sum(member.attempts for member in members) / span / len(members),
        "peers": max(len(member.relay.view.peers()) for member in members),
        "versions": [(member.version, member.version_at) for member in members],
    }
    for member in members:
        member.received.messages = member.received.bytes = member.attempts = 0
    return figures


async def main(first: int, count: int, port: int, seeds: tuple[str, ...]) -> None:
    """Runs members, and answers lines until the input ends."""
    members = [HollowFront(number, port, seeds) for number in range(first, first + count)]
    tasks = [asyncio.ensure_future(member.run()) for member in members]
    since = time.monotonic()
    while await asyncio.to_thread(sys.stdin.readline):
        print(json.dumps(told(members, since)), flush=True)
        since = time.monotonic()
    for task in tasks:
        task.cancel()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), tuple(sys.argv[4].split(","))))
