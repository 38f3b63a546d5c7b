"""One hollow member: the pure decider of a real backend, fed from a socket as `fleet/adapters/endpoint.py` feeds it,
without the backend around it.

Many share a process (hollow.py), each with a UDP socket and a TCP port of its own. What it sends, and what
real backends send it, is delayed, lost or cut as its region and theirs say (places.py). A member that is off
answers nothing and its streams hang, as on a machine that is gone.
"""

import asyncio
import random
import socket
import time
from typing import TYPE_CHECKING

import orjson

from crowwing.emulator.fleet import member_access
from crowwing.fleet.member import Member
from crowwing.fleet.adapters import full_transfer
from crowwing.fleet.adapters.endpoint import FETCH_TIMEOUT_S, MAX_DATAGRAM_BYTES

if TYPE_CHECKING:
    from crowwing.emulator.fleet.stub_process import Host

AT_ONCE = 32  # datagrams read from one socket before the others have their turn


class Tally:
    """What one member sent, read and asked for, since its process began."""

    __slots__ = ("sent", "sent_bytes", "read", "read_bytes", "fetches", "served", "stream_bytes", "periods")

    def __init__(self) -> None:
        for name in self.__slots__:
            setattr(self, name, 0)


class Counted:
    """A stream's writer that counts."""

    def __init__(self, writer: asyncio.StreamWriter, tally: Tally) -> None:
        self.writer, self.tally, self.written = writer, tally, 0

    def write(self, data: bytes) -> None:
        self.written += len(data)
        self.tally.stream_bytes += len(data)
        self.writer.write(data)

    async def drain(self) -> None:
        await self.writer.drain()

    def close(self) -> None:
        self.writer.close()


class Hollow:
    def __init__(self, host: "Host", name: str) -> None:
        self.host, self.name, self.where = host, name, host.addresses[name]
        self.region = host.regions[name]
        self.member: Member | None = None  # None: off
        self.life = 0
        self.tally = Tally()
        self.ended_periods = 0  # of lives that are over
        self.socket: socket.socket | None = None
        self.listener: asyncio.Server | None = None
        self.server = member_access.server(self._missing, host.addresses.__contains__)
        self.wake: asyncio.TimerHandle | None = None
        self.wake_at = 0
        self.fetching: set[asyncio.Task] = set()  # emptied by each one's end
        self.held: set[str] = set()  # of the keys that are watched
        self.seen_changes = 0

    async def open(self) -> None:
        """OSError where the address cannot be had."""
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        self.socket.bind(self.where)
        self.host.loop.add_reader(self.socket.fileno(), self._readable)
        self.listener = await asyncio.start_server(self._serve, *self.where, limit=full_transfer.MAX_LINE_BYTES)

    # Its lives

    def build(self, now: int) -> None:
        """A new life that begins at `now`; its first period began up to one before, by chance."""
        self.life += 1
        chance = random.Random(f"{self.host.seed}/{self.name}/{self.life}")
        self.member = self.host.make(self.name, now - chance.randrange(self.host.period), chance)
        self.held.clear()
        self.seen_changes = member_access.changes(self.member)

    def warm(self) -> None:
        member_access.warm(self.member)

    def turn(self) -> None:
        if self.member is not None:
            self.wake = None
            self.member.tick(now_us(), wall_us())
            self.carry_out()

    def off(self) -> None:
        """Gone without a word."""
        if self.member is not None:
            self.ended_periods += member_access.periods(self.member)
        self.member = None
        if self.wake is not None:
            self.wake.cancel()
            self.wake = None
        for task in self.fetching:
            task.cancel()

    def leave(self) -> None:
        if self.member is not None:
            self.member.leave(now_us(), wall_us())
            self.carry_out()

    def all_periods(self) -> int:
        return self.ended_periods + (member_access.periods(self.member) if self.member is not None else 0)

    # Datagrams

    def _readable(self) -> None:
        for _ in range(AT_ONCE):
            try:
                data = self.socket.recv(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:
                continue  # a peer that is down answers with ICMP
            if self.member is not None:
                self._came(data)

    def _came(self, data: bytes) -> None:
        """What the link does, after the way from a real member's region."""
        host = self.host
        if len(data) > MAX_DATAGRAM_BYTES:
            host.dropped["large"] += 1
            return
        try:
            message = orjson.loads(data)
            sender = message["from"]
            if sender in host.real:
                delay = host.between.delay(host.regions[sender], self.region)
                if delay is not None:
                    host.loop.call_later(delay, self._hear, self.life, message, len(data))
                return
            if sender not in host.addresses:
                host.dropped["stranger"] += 1
                return
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
            host.dropped["unreadable"] += 1
            return
        self._hear(self.life, message, len(data))

    def _hear(self, life: int, message: dict, size: int) -> None:
        if self.member is None or life != self.life:
            return  # off, or another life by now
        self.tally.read += 1
        self.tally.read_bytes += size
        try:
            self.member.receive(now_us(), wall_us(), message)
        except (KeyError, TypeError, ValueError, AttributeError):
            self.host.dropped["unreadable"] += 1
            return
        self.carry_out()

    def carry_out(self) -> None:
        """What the member asks, and when it wants to be woken."""
        member, host = self.member, self.host
        for to, message in member.outbox:
            self._send(to, orjson.dumps(message))
        member.outbox.clear()
        for name in member.fetches:
            task = host.loop.create_task(self._fetch(self.life, name))
            self.fetching.add(task)
            task.add_done_callback(self.fetching.discard)
        member.fetches.clear()
        for event, brings in member.events:
            host.happened(self, event, brings)
        member.events.clear()
        if host.watched and self.seen_changes != member_access.changes(member):
            self.seen_changes = member_access.changes(member)
            for key in host.watched.keys() - self.held:
                if member_access.holds(member, key):
                    self.held.add(key)
                    host.watched[key].saw(self.name)
        now = now_us()
        at = member.wake_at(now)
        if self.wake is not None:
            if at == self.wake_at:
                return
            self.wake.cancel()
        self.wake_at = at
        self.wake = host.loop.call_later(max(0.001, (at - now) / 1e6), self.turn)

    def _send(self, to: str, data: bytes) -> None:
        self.tally.sent += 1
        self.tally.sent_bytes += len(data)
        host = self.host
        delay = host.between.delay(self.region, host.regions[to])
        if delay is not None:
            host.loop.call_later(delay, self._out, data, host.addresses[to])

    def _out(self, data: bytes, where: tuple[str, int]) -> None:
        try:
            self.socket.sendto(data, where)
        except OSError:
            self.host.dropped["refused"] += 1  # ICMP of an earlier one, or a full buffer: lost, as on a wire

    # Whole copies

    def _missing(self, asker: str, asked: dict) -> list:
        return self.member.missing_rows(asker, asked) if self.member is not None else []

    async def _fetch(self, life: int, name: str) -> None:
        rows = None
        self.tally.fetches += 1
        host = self.host
        try:
            way = host.between.stream(self.region, host.regions[name])
            if way is None:
                await asyncio.sleep(full_transfer.CONNECT_TIMEOUT_S)
                raise TimeoutError
            if name in host.real:  # a hollow one sees to it itself
                await asyncio.sleep(way)
            rows = await full_transfer.fetch(host.addresses[name], member_access.question(self.member), FETCH_TIMEOUT_S)
        except (OSError, TimeoutError):
            host.dropped["fetch"] += 1
        finally:
            if self.member is not None and life == self.life:
                self.member.fetch_completed(now_us(), wall_us(), name, rows)
                self.carry_out()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """The real server's way, after the way from the asker's region."""
        host, life = self.host, self.life
        task = asyncio.current_task()
        host.serving.add(task)
        try:
            if self.member is None:
                await asyncio.sleep(full_transfer.SEND_TIMEOUT_S)
                return
            async with asyncio.timeout(full_transfer.REQUEST_TIMEOUT_S):
                line = await reader.readline()
            asker = orjson.loads(line)["from"]
            way = host.between.stream(host.regions.get(asker, self.region), self.region)
            await asyncio.sleep(full_transfer.SEND_TIMEOUT_S if way is None else way)
            if way is None or self.member is None or life != self.life:
                return
            again, counted = asyncio.StreamReader(), Counted(writer, self.tally)
            again.feed_data(line)
            again.feed_eof()
            self.tally.served += 1
            self.tally.stream_bytes += len(line)
            await self.server._serve(again, counted)
            host.asked_by(asker, self.name, len(line), counted.written)
        except (OSError, ValueError, KeyError, TypeError, TimeoutError, asyncio.CancelledError):
            host.dropped["served"] += 1  # the asker is gone, or this process ends
        finally:
            host.serving.discard(task)
            writer.close()


def now_us() -> int:
    return time.monotonic_ns() // 1000


def wall_us() -> int:
    return time.time_ns() // 1000
