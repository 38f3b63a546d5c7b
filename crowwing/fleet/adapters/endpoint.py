"""The fleet on a backend's loop: membership and the state kept together, over UDP and TCP on IPv4.

Loaded only where the operator file has a `fleet` section, so a backend without one imports nothing of it.
Peers are named with their addresses in that file; a datagram from elsewhere, or one that is not whole, is
counted and dropped. One UDP socket carries membership, deltas and digests, and the questions of `crowwing
fleet` (asked.py); the TCP port of the same number gives whole copies (whole.py).
"""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from types import SimpleNamespace

import orjson

from crowwing.fleet.adapters import full_transfer
from crowwing.fleet.adapters.client_requests import Asked
from crowwing.fleet.adapters.settings import address, folder, manner, peers, places
from crowwing.fleet.member import Member
from crowwing.fleet.membership.cells import Layout
from crowwing.fleet.state.keyspaces import SPACES

DATAGRAM_MOST = 8192  # bytes; a larger one is no message of ours
FETCH_WITHIN = 10.0  # seconds for a whole copy


class Link(asyncio.DatagramProtocol):
    """Feeds the member what comes, does what it asks, and wakes it when it asks. `ready(bool)` is told
    whether this member has caught up."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        fleet: SimpleNamespace,
        me: str,
        seed: str,
        event: Callable,
        ready: Callable[[bool], None],
    ) -> None:
        self.loop, self.event, self.ready = loop, event, ready
        self.addresses = peers(fleet, me)
        self.listen = address(fleet.listen, "$.fleet.listen")
        self.shift = fleet.clock_offset_ms * 1000
        chance = random.Random(f"{seed}/fleet")
        where = places(fleet, me)
        layout = None if where is None else Layout(where, fleet.cell_most)
        self.member = Member(me, list(self.addresses), self.now(), chance, manner(fleet), SPACES, layout)
        self.asked = Asked(self)
        self.server = full_transfer.Server(self.member.missing, self.addresses.__contains__)
        self.disk = None
        if (place := folder(fleet)) is not None:
            from crowwing.fleet.adapters.snapshot_writer import Disk

            self.disk = Disk(place, me, fleet.snapshot_every_ms / 1000, event)
        self.transport: asyncio.DatagramTransport | None = None
        self.wake: asyncio.TimerHandle | None = None
        self.fetching: set[asyncio.Task] = set()  # emptied by each one's end
        self.dropped: Counter[str] = Counter()
        self.sent = self.sent_bytes = self.read = self.read_bytes = 0  # datagrams and their payload
        self.fetches = 0  # whole copies asked for, come or not
        self.written = 0  # changes that are on disk

    def now(self) -> int:
        """µs that only go forward, so that no step of the system's clock ends a suspicion early; an offset in
        settings stands in for a clock that is off."""
        return time.monotonic_ns() // 1000 + self.shift

    def wall(self) -> int:
        """Unix µs, for stamps: the hybrid clock bears its steps."""
        return time.time_ns() // 1000 + self.shift

    async def open(self) -> None:
        """OSError where the address cannot be had."""
        try:
            await self.loop.create_datagram_endpoint(lambda: self, local_addr=self.listen)
            await self.server.open(self.listen)
        except OSError as wrong:
            why = wrong.strerror or str(wrong)  # uvloop tells of UDP in words alone
            raise OSError(wrong.errno, why, "{}:{} (fleet)".format(*self.listen)) from None
        self.event("fleet_open", listen=f"{self.listen[0]}:{self.listen[1]}", peers=len(self.addresses))
        if self.disk is not None:
            rows = self.disk.read()
            kept = len(self.member.merge(self.wall(), rows))
            self.event("snapshot_read", rows=len(rows), kept=kept)
            self.written = self.member.changes()
            self.disk.begin(self.loop, self.wall, self._to_write)
        self.turn()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def close(self) -> None:
        if self.wake is not None:
            self.wake.cancel()
        for task in self.fetching:
            task.cancel()
        self.server.close()
        if self.transport is not None:
            self.transport.close()
        if self.disk is not None:
            self.disk.end(self.wall(), self.member.every())

    def _to_write(self) -> list | None:
        if self.written == self.member.changes():
            return None
        self.written = self.member.changes()
        return self.member.every()

    # What comes

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.read += 1
        self.read_bytes += len(data)
        if len(data) > DATAGRAM_MOST:
            self.dropped["large"] += 1
            return
        try:
            message = orjson.loads(data)
            if isinstance(message["k"], str):
                self.asked.answer(message, lambda told: self._send(orjson.dumps(told), addr))
                return
            if self.addresses.get(message["from"]) is None:
                self.dropped["stranger"] += 1
                return
            self.member.heard(self.now(), self.wall(), message)
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError):
            # Guards against a peer of another version or a stray sender: what was not whole changes nothing.
            self.dropped["unreadable"] += 1
            return
        self._carry_out()

    def error_received(self, exc: Exception) -> None:
        self.dropped["refused"] += 1  # a peer that is down answers with ICMP; SWIM learns it from silence

    # The turn

    def turn(self) -> None:
        self.member.turn(self.now(), self.wall())
        self._carry_out()

    def _carry_out(self) -> None:
        """What the member asks, and when it wants to be woken."""
        member = self.member
        for to, message in member.outbox:
            self._send(orjson.dumps(message), self.addresses[to])
        member.outbox.clear()
        for name in member.fetches:
            task = self.loop.create_task(self._fetch(name))
            self.fetching.add(task)
            task.add_done_callback(self.fetching.discard)
        member.fetches.clear()
        for event, brings in member.events:
            self.event(event, **brings)
            if event in ("caught_up", "catching_up"):
                self.ready(event == "caught_up")
        member.events.clear()
        if self.wake is not None:
            self.wake.cancel()
        now = self.now()
        self.wake = self.loop.call_later(max(0.001, (member.wake_at(now) - now) / 1e6), self.turn)

    def leave(self) -> None:
        """The notice to drain."""
        self.member.leave(self.now(), self.wall())
        self._carry_out()

    def _send(self, data: bytes, where: tuple[str, int]) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.sent += 1
            self.sent_bytes += len(data)
            self.transport.sendto(data, where)

    async def _fetch(self, name: str) -> None:
        rows = None
        self.fetches += 1
        try:
            asked = {"from": self.member.me, **self.member.digests()}
            rows = await full_transfer.fetch(self.addresses[name], asked, FETCH_WITHIN)
        except (OSError, TimeoutError):
            self.dropped["fetch"] += 1
        finally:
            if self.transport is not None and not self.transport.is_closing():
                self.member.fetched(self.now(), self.wall(), name, rows)
                self._carry_out()
