"""A stub member: the membership logic of a real backend on its own sockets, without the backend around it.

Messages are fed to it as `fleet/adapters/endpoint.py` feeds a real one. Many share a process
(stub_process.py), each with a UDP socket and a TCP port. What it sends, and what real backends send to it, is
delayed, lost or blocked depending on both regions (topology.py). A member that is off answers nothing and its
streams hang, as on a failed machine.
"""

import asyncio
import random
import socket
import time
from typing import TYPE_CHECKING

import orjson

from crowwing.emulator.fleet import member_access
from crowwing.fleet.adapters import full_transfer
from crowwing.fleet.adapters.endpoint import FETCH_TIMEOUT_S, MAX_DATAGRAM_BYTES
from crowwing.fleet.member import Member

if TYPE_CHECKING:
    from crowwing.emulator.fleet.stub_process import StubHost

READS_PER_WAKE = 32  # datagrams read from one socket before the other sockets are served


class Counters:
    """Traffic of one member since its process started."""

    __slots__ = ("sent", "sent_bytes", "read", "read_bytes", "fetches", "served", "stream_bytes", "periods")

    def __init__(self) -> None:
        for name in self.__slots__:
            setattr(self, name, 0)


class CountingWriter:
    """A stream writer that counts the bytes written."""

    def __init__(self, writer: asyncio.StreamWriter, tally: Counters) -> None:
        self.writer, self.tally, self.written = writer, tally, 0

    def write(self, data: bytes) -> None:
        self.written += len(data)
        self.tally.stream_bytes += len(data)
        self.writer.write(data)

    async def drain(self) -> None:
        await self.writer.drain()

    def close(self) -> None:
        self.writer.close()


class StubMember:
    def __init__(self, host: "StubHost", name: str) -> None:
        self.host, self.name, self.address = host, name, host.addresses[name]
        self.region = host.regions[name]
        self.member: Member | None = None  # None: off
        self.incarnation = 0
        self.tally = Counters()
        self.past_periods = 0  # protocol periods of earlier incarnations
        self.socket: socket.socket | None = None
        self.listener: asyncio.Server | None = None
        self.server = member_access.transfer_server(self._missing, host.addresses.__contains__)
        self.wake_timer: asyncio.TimerHandle | None = None
        self.wake_at = 0
        self.fetch_tasks: set[asyncio.Task] = set()
        self.seen_keys: set[str] = set()  # of the watched keys
        self.seen_changes = 0

    async def open(self) -> None:
        """Opens the sockets; OSError if the address cannot be bound."""
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        self.socket.bind(self.address)
        self.host.loop.add_reader(self.socket.fileno(), self._readable)
        self.listener = await asyncio.start_server(
            self._serve, *self.address, limit=full_transfer.MAX_LINE_BYTES
        )

    # Incarnations

    def build(self, now: int) -> None:
        """Starts a new incarnation at `now`, at a random position within its protocol period."""
        self.incarnation += 1
        rng = random.Random(f"{self.host.seed}/{self.name}/{self.incarnation}")
        self.member = self.host.make_member(self.name, now - rng.randrange(self.host.period), rng)
        self.seen_keys.clear()
        self.seen_changes = member_access.changes(self.member)

    def mark_caught_up(self) -> None:
        member_access.mark_caught_up(self.member)

    def on_wake(self) -> None:
        if self.member is not None:
            self.wake_timer = None
            self.member.tick(now_us(), wall_us())
            self.flush()

    def stop(self) -> None:
        """Switches the member off without notifying its peers."""
        if self.member is not None:
            self.past_periods += member_access.periods(self.member)
        self.member = None
        if self.wake_timer is not None:
            self.wake_timer.cancel()
            self.wake_timer = None
        for task in self.fetch_tasks:
            task.cancel()

    def leave(self) -> None:
        if self.member is not None:
            self.member.leave(now_us(), wall_us())
            self.flush()

    def all_periods(self) -> int:
        return self.past_periods + (member_access.periods(self.member) if self.member is not None else 0)

    # Datagrams

    def _readable(self) -> None:
        for _ in range(READS_PER_WAKE):
            try:
                data = self.socket.recv(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:
                continue  # ICMP error from a peer that is down
            if self.member is not None:
                self._on_datagram(data)

    def _on_datagram(self, data: bytes) -> None:
        """Handles a datagram as the link does, after the delay from a real sender's region."""
        host = self.host
        if len(data) > MAX_DATAGRAM_BYTES:
            host.dropped["large"] += 1
            return
        try:
            message = orjson.loads(data)
            sender = message["from"]
            if sender in host.real:
                delay = host.links.delay(host.regions[sender], self.region)
                if delay is not None:
                    host.loop.call_later(delay, self._deliver, self.incarnation, message, len(data))
                return
            if sender not in host.addresses:
                host.dropped["stranger"] += 1
                return
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
            host.dropped["unreadable"] += 1
            return
        self._deliver(self.incarnation, message, len(data))

    def _deliver(self, incarnation: int, message: dict, size: int) -> None:
        if self.member is None or incarnation != self.incarnation:
            return  # off or restarted meanwhile
        self.tally.read += 1
        self.tally.read_bytes += size
        try:
            self.member.receive(now_us(), wall_us(), message)
        except (KeyError, TypeError, ValueError, AttributeError):
            self.host.dropped["unreadable"] += 1
            return
        self.flush()

    def flush(self) -> None:
        """Sends the member's output, starts its fetches and sets its wake-up timer."""
        member, host = self.member, self.host
        for to, message in member.outbox:
            self._send(to, orjson.dumps(message))
        member.outbox.clear()
        for name in member.fetches:
            task = host.loop.create_task(self._fetch(self.incarnation, name))
            self.fetch_tasks.add(task)
            task.add_done_callback(self.fetch_tasks.discard)
        member.fetches.clear()
        for event, fields in member.events:
            host.on_event(self, event, fields)
        member.events.clear()
        if host.watched and self.seen_changes != member_access.changes(member):
            self.seen_changes = member_access.changes(member)
            for key in host.watched.keys() - self.seen_keys:
                if member_access.holds(member, key):
                    self.seen_keys.add(key)
                    host.watched[key].record(self.name)
        now = now_us()
        at = member.wake_at(now)
        if self.wake_timer is not None:
            if at == self.wake_at:
                return
            self.wake_timer.cancel()
        self.wake_at = at
        self.wake_timer = host.loop.call_later(max(0.001, (at - now) / 1e6), self.on_wake)

    def _send(self, to: str, data: bytes) -> None:
        self.tally.sent += 1
        self.tally.sent_bytes += len(data)
        host = self.host
        delay = host.links.delay(self.region, host.regions[to])
        if delay is not None:
            host.loop.call_later(delay, self._transmit, data, host.addresses[to])

    def _transmit(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            self.socket.sendto(data, address)
        except OSError:
            self.host.dropped["refused"] += 1  # ICMP error of an earlier datagram, or a full buffer: lost

    # Full transfers

    def _missing(self, asker: str, asked: dict) -> list:
        return self.member.missing_rows(asker, asked) if self.member is not None else []

    async def _fetch(self, incarnation: int, name: str) -> None:
        rows = None
        self.tally.fetches += 1
        host = self.host
        try:
            delay = host.links.stream_delay(self.region, host.regions[name])
            if delay is None:
                await asyncio.sleep(full_transfer.CONNECT_TIMEOUT_S)
                raise TimeoutError
            if name in host.real:  # a stub member applies the delay itself
                await asyncio.sleep(delay)
            rows = await full_transfer.fetch(
                host.addresses[name], member_access.transfer_request(self.member), FETCH_TIMEOUT_S
            )
        except (OSError, TimeoutError):
            host.dropped["fetch"] += 1
        finally:
            if self.member is not None and incarnation == self.incarnation:
                self.member.fetch_completed(now_us(), wall_us(), name, rows)
                self.flush()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves a full transfer as the real server does, after the delay from the requester's region."""
        host, incarnation = self.host, self.incarnation
        task = asyncio.current_task()
        host.serving.add(task)
        try:
            if self.member is None:
                await asyncio.sleep(full_transfer.SEND_TIMEOUT_S)
                return
            async with asyncio.timeout(full_transfer.REQUEST_TIMEOUT_S):
                line = await reader.readline()
            asker = orjson.loads(line)["from"]
            delay = host.links.stream_delay(host.regions.get(asker, self.region), self.region)
            await asyncio.sleep(full_transfer.SEND_TIMEOUT_S if delay is None else delay)
            if delay is None or self.member is None or incarnation != self.incarnation:
                return
            replay, counted = asyncio.StreamReader(), CountingWriter(writer, self.tally)
            replay.feed_data(line)
            replay.feed_eof()
            self.tally.served += 1
            self.tally.stream_bytes += len(line)
            await self.server._serve(replay, counted)
            host.on_fetch_served(asker, self.name, len(line), counted.written)
        except (OSError, ValueError, KeyError, TypeError, TimeoutError, asyncio.CancelledError):
            host.dropped["served"] += 1  # the requester is gone, or this process ends
        finally:
            host.serving.discard(task)
            writer.close()


def now_us() -> int:
    return time.monotonic_ns() // 1000


def wall_us() -> int:
    return time.time_ns() // 1000
