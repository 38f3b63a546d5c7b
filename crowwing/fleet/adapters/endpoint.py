"""A fleet member on a backend's event loop: membership and replicated state over UDP and TCP on IPv4.

Loaded only if the operator file has a `fleet` section, so that a backend without one imports nothing of it.
Peers and their addresses are named in that file; a datagram from an unknown sender or a malformed one is
counted and dropped. One UDP socket carries membership messages, deltas, digests and the requests of `crowwing
fleet` (client_requests.py); the TCP port of the same number serves full transfers (full_transfer.py).
"""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from types import SimpleNamespace

import orjson

from crowwing.fleet.adapters import full_transfer
from crowwing.fleet.adapters.client_requests import ClientRequests
from crowwing.fleet.adapters.settings import address, folder, locations, member_settings, peers
from crowwing.fleet.member import Member
from crowwing.fleet.membership.cells import CellLayout
from crowwing.fleet.state.keyspaces import KEYSPACES

MAX_DATAGRAM_BYTES = 8192  # larger datagrams are dropped
FETCH_TIMEOUT_S = 10.0  # for a full transfer


class FleetEndpoint(asyncio.DatagramProtocol):
    """Passes input to the member, sends its output, and wakes it when it asks for that. `ready(bool)` is
    called when the member has caught up or has fallen behind."""

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
        self.clock_offset = fleet.clock_offset_ms * 1000
        rng = random.Random(f"{seed}/fleet")
        member_locations = locations(fleet, me)
        layout = None if member_locations is None else CellLayout(member_locations, fleet.cell_most)
        self.member = Member(
            me, list(self.addresses), self.now(), rng, member_settings(fleet), KEYSPACES, layout
        )
        self.client_requests = ClientRequests(self)
        self.transfer_server = full_transfer.Server(self.member.missing_rows, self.addresses.__contains__)
        self.snapshot_writer = None
        if (folder_path := folder(fleet)) is not None:
            from crowwing.fleet.adapters.snapshot_writer import SnapshotWriter

            self.snapshot_writer = SnapshotWriter(folder_path, me, fleet.snapshot_every_ms / 1000, event)
        self.transport: asyncio.DatagramTransport | None = None
        self.wake_up_timer: asyncio.TimerHandle | None = None
        self.fetching: set[asyncio.Task] = set()  # removed at their end
        self.dropped: Counter[str] = Counter()
        self.sent = self.sent_bytes = self.read = self.read_bytes = 0  # datagrams and their payload
        self.fetches = 0  # full transfers requested, successful or not
        self.written_changes = 0  # changes in the last snapshot

    def now(self) -> int:
        """Monotonic µs, so that no step of the system clock ends a suspicion early; `clock_offset_ms` in the
        settings simulates a wrong clock."""
        return time.monotonic_ns() // 1000 + self.clock_offset

    def wall(self) -> int:
        """Unix µs, for timestamps: the hybrid clock tolerates its steps."""
        return time.time_ns() // 1000 + self.clock_offset

    async def open(self) -> None:
        """OSError if the address cannot be bound."""
        try:
            await self.loop.create_datagram_endpoint(lambda: self, local_addr=self.listen)
            await self.transfer_server.open(self.listen)
        except OSError as error:
            why = error.strerror or str(error)  # for UDP, uvloop sets the message only
            raise OSError(error.errno, why, "{}:{} (fleet)".format(*self.listen)) from None
        self.event("fleet_open", listen=f"{self.listen[0]}:{self.listen[1]}", peers=len(self.addresses))
        if self.snapshot_writer is not None:
            rows = self.snapshot_writer.read()
            kept = len(self.member.merge(self.wall(), rows))
            self.event("snapshot_read", rows=len(rows), kept=kept)
            self.written_changes = self.member.changes()
            self.snapshot_writer.start(self.loop, self.wall, self._to_write)
        self.tick()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def close(self) -> None:
        if self.wake_up_timer is not None:
            self.wake_up_timer.cancel()
        for task in self.fetching:
            task.cancel()
        self.transfer_server.close()
        if self.transport is not None:
            self.transport.close()
        if self.snapshot_writer is not None:
            self.snapshot_writer.close(self.wall(), self.member.all_rows())

    def _to_write(self) -> list | None:
        if self.written_changes == self.member.changes():
            return None
        self.written_changes = self.member.changes()
        return self.member.all_rows()

    # Input

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.read += 1
        self.read_bytes += len(data)
        if len(data) > MAX_DATAGRAM_BYTES:
            self.dropped["large"] += 1
            return
        try:
            message = orjson.loads(data)
            if isinstance(message["k"], str):
                self.client_requests.answer(
                    message, lambda response: self._send(orjson.dumps(response), addr)
                )
                return
            if self.addresses.get(message["from"]) is None:
                self.dropped["stranger"] += 1
                return
            self.member.receive(self.now(), self.wall(), message)
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError):
            # From a peer of another version or a stray sender; a malformed message changes nothing.
            self.dropped["unreadable"] += 1
            return
        self._process_output()

    def error_received(self, exc: Exception) -> None:
        self.dropped["refused"] += 1  # ICMP from a peer that is down; SWIM finds out by time-out

    # Output

    def tick(self) -> None:
        self.member.tick(self.now(), self.wall())
        self._process_output()

    def _process_output(self) -> None:
        """Sends the output of the member and schedules its next wake-up."""
        member = self.member
        for to, message in member.outbox:
            self._send(orjson.dumps(message), self.addresses[to])
        member.outbox.clear()
        for name in member.fetches:
            task = self.loop.create_task(self._fetch(name))
            self.fetching.add(task)
            task.add_done_callback(self.fetching.discard)
        member.fetches.clear()
        for event, fields in member.events:
            self.event(event, **fields)
            if event in ("caught_up", "catching_up"):
                self.ready(event == "caught_up")
        member.events.clear()
        if self.wake_up_timer is not None:
            self.wake_up_timer.cancel()
        now = self.now()
        self.wake_up_timer = self.loop.call_later(max(0.001, (member.wake_at(now) - now) / 1e6), self.tick)

    def leave(self) -> None:
        """Drains the member."""
        self.member.leave(self.now(), self.wall())
        self._process_output()

    def _send(self, data: bytes, destination: tuple[str, int]) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.sent += 1
            self.sent_bytes += len(data)
            self.transport.sendto(data, destination)

    async def _fetch(self, name: str) -> None:
        rows = None
        self.fetches += 1
        try:
            request = {"from": self.member.me, **self.member.digests()}
            rows = await full_transfer.fetch(self.addresses[name], request, FETCH_TIMEOUT_S)
        except (OSError, TimeoutError):
            self.dropped["fetch"] += 1
        finally:
            if self.transport is not None and not self.transport.is_closing():
                self.member.fetch_completed(self.now(), self.wall(), name, rows)
                self._process_output()
