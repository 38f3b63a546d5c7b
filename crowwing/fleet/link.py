"""The fleet on a backend's loop: membership and the state kept together, over UDP and TCP on IPv4.

Loaded only where the operator file has a `fleet` section, so a backend without one imports nothing of it.
Peers are named with their addresses in that file; a datagram from elsewhere, or one that is not whole, is
counted and dropped. One UDP socket carries membership, deltas and digests, and the questions of `crowwing
fleet` (asked.py); the TCP port of the same number gives whole copies (whole.py).
"""

import asyncio
import ipaddress
import random
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace

import orjson

from crowwing.fleet import whole
from crowwing.fleet.asked import Asked
from crowwing.fleet.catchup import CatchUp, Patience
from crowwing.fleet.copies import Copies
from crowwing.fleet.spaces import SPACES
from crowwing.fleet.spread import Pace, Spread
from crowwing.fleet.swim import Membership, Timing

DATAGRAM_MOST = 8192  # bytes; a larger one is no message of ours
FETCH_WITHIN = 10.0  # seconds for a whole copy


class BadFleet(ValueError):
    """One line, with the JSON path of the operator file."""


def address(text: str, path: str) -> tuple[str, int]:
    """`a.b.c.d:port` as a pair; BadFleet where it is none, or not IPv4."""
    host, _, port = text.rpartition(":")
    try:
        if not isinstance(ipaddress.ip_address(host), ipaddress.IPv4Address) or not 0 < int(port) < 65536:
            raise ValueError
    except ValueError:
        raise BadFleet(f"{path}: {text!r} is no IPv4 address with a port") from None
    return host, int(port)


def peers(fleet: SimpleNamespace, me: str) -> dict[str, tuple[str, int]]:
    """Each peer's name and address, checked; BadFleet on the first mistake."""
    found: dict[str, tuple[str, int]] = {}
    mine = address(fleet.listen, "$.fleet.listen")
    for number, peer in enumerate(fleet.peers):
        path = f"$.fleet.peers[{number}]"
        name = peer["name"]  # items of a list stay as decoded, checked against the schema
        if name == me:
            raise BadFleet(f"{path}.name: {me!r} names this backend itself")
        if name in found:
            raise BadFleet(f"{path}.name: {name!r} is named twice")
        found[name] = address(peer["address"], f"{path}.address")
        if found[name] == mine:
            raise BadFleet(f"{path}.address: is this backend's own")
    if fleet.probe_timeout_ms >= fleet.period_ms:
        raise BadFleet("$.fleet.probe_timeout_ms: is not under period_ms")
    return found


def timing(fleet: SimpleNamespace) -> Timing:
    return Timing(
        period=fleet.period_ms * 1000, probe_timeout=fleet.probe_timeout_ms * 1000, indirect=fleet.indirect,
        suspect_periods=fleet.suspect_periods, suspect_most_times=fleet.suspect_most_times,
        revive_every=fleet.revive_every,
    )  # fmt: skip


def patience(fleet: SimpleNamespace) -> Patience:
    return Patience(
        most=fleet.catch_up_most_ms * 1000,
        again=max(100_000, fleet.period_ms * 500),
        away=3 * fleet.period_ms * 1000,
    )


def pace(fleet: SimpleNamespace) -> Pace:
    return Pace(sync_every=fleet.sync_every_ms * 1000, again=max(20_000, fleet.period_ms * 250))


def folder(fleet: SimpleNamespace) -> Path | None:
    """Where snapshots go; BadFleet where none can be written."""
    if not fleet.snapshot_folder:
        return None
    from crowwing.memory import snapshot  # its library only where a folder is named

    place = Path(fleet.snapshot_folder)
    try:
        snapshot.check(place)
    except OSError as wrong:
        raise BadFleet(f"$.fleet.snapshot_folder: {place}: {wrong.strerror}") from None
    return place


class Link(asyncio.DatagramProtocol):
    """Feeds the pure parts what comes, sends what they ask, and wakes them when they ask. `ready(bool)` is
    told whether this member has caught up."""

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
        now, chance = self.now(), random.Random(f"{seed}/fleet")
        self.membership = Membership(me, list(self.addresses), now, chance, timing(fleet))
        self.copies = Copies(me, SPACES, fleet.clock_drift_most_ms * 1000)
        self.spread = Spread(me, list(self.addresses), self.copies, now, chance, pace(fleet))
        self.catch_up = CatchUp(len(self.addresses) + 1, now, patience(fleet))
        self.asked = Asked(self)
        self.server = whole.Server(self.spread.missing, self.addresses.__contains__)
        self.disk = None
        if (place := folder(fleet)) is not None:
            from crowwing.fleet.disk import Disk

            self.disk = Disk(place, me, fleet.snapshot_every_ms / 1000, event)
        self.transport: asyncio.DatagramTransport | None = None
        self.wake: asyncio.TimerHandle | None = None
        self.fetching: dict[str, asyncio.Task] = {}  # by member; emptied by each one's end
        self.dropped: Counter[str] = Counter()
        self.sent_bytes = 0
        self.was_ready = False
        self.unwritten = False

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
            raise OSError(wrong.errno, wrong.strerror, "{}:{} (fleet)".format(*self.listen)) from None
        self.event("fleet_open", listen=f"{self.listen[0]}:{self.listen[1]}", peers=len(self.addresses))
        if self.disk is not None:
            rows = self.disk.read()
            kept = len(self.copies.merge(self.wall(), rows))
            self.event("snapshot_read", rows=len(rows), kept=kept)
            self.copies.fresh.clear()
            self.disk.begin(self.loop, self.wall, self._to_write)
        self.turn()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def close(self) -> None:
        if self.wake is not None:
            self.wake.cancel()
        for task in self.fetching.values():
            task.cancel()
        self.server.close()
        if self.transport is not None:
            self.transport.close()
        if self.disk is not None:
            self.disk.end(self.wall(), list(self.copies.every()))

    def _to_write(self) -> list | None:
        if not self.unwritten:
            return None
        self.unwritten = False
        return list(self.copies.every())

    # What comes

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
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
            self._heard(message)
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError):
            # Guards against a peer of another version or a stray sender: what was not whole changes nothing.
            self.dropped["unreadable"] += 1
            return
        self.turn()

    def _heard(self, message: dict) -> None:
        if message["k"] >= 10:
            self.spread.heard(self.wall(), message)
            return
        self.membership.heard(self.now(), message)
        self.spread.rode(self.wall(), message.get("rows", ()))
        self.catch_up.reaches(self.now(), len(self.membership.alive()))
        if message.get("whole"):
            self.catch_up.heard_whole(self.now())

    def error_received(self, exc: Exception) -> None:
        self.dropped["refused"] += 1  # a peer that is down answers with ICMP; SWIM learns it from silence

    # The turn

    def turn(self) -> None:
        now, alive = self.now(), self.membership.alive()
        self.membership.turn(now)
        self.spread.turn(self.wall(), alive)
        self.catch_up.reaches(now, len(alive))
        for name in self.catch_up.fetch(now, alive):
            self._fetch(name)
        while self.spread.far:
            self._fetch(self.spread.far.pop())
        self._send_all()
        for name, state, incarnation in self.membership.changes:
            self.event("member", name=name, state=state, incarnation=incarnation)
        self.membership.changes.clear()
        if self.copies.fresh:
            self.unwritten = True
            self.copies.fresh.clear()
        self._tell_ready()
        self._sleep(now)

    def _send_all(self) -> None:
        whole_here = self.catch_up.whole
        for to, message in self.membership.outbox:
            if rows := self.spread.ride():
                message["rows"] = rows
            if whole_here:
                message["whole"] = 1
            self._send(orjson.dumps(message), self.addresses[to])
        self.membership.outbox.clear()
        for to, message in self.spread.outbox:
            self._send(orjson.dumps(message), self.addresses[to])
        self.spread.outbox.clear()

    def _send(self, data: bytes, where: tuple[str, int]) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.sent_bytes += len(data)
            self.transport.sendto(data, where)

    def _tell_ready(self) -> None:
        if self.catch_up.ready == self.was_ready:
            return
        self.was_ready = self.catch_up.ready
        if self.was_ready:
            took, good = self.catch_up.took[-1]
            self.event(
                "caught_up", took_ms=round(took / 1000, 1), whole=good, entries=len(self.copies.entries)
            )
        else:
            self.event("catching_up")
        self.ready(self.was_ready)

    def _sleep(self, now: int) -> None:
        moments = [self.membership.wake_at(), self.spread.wake_at() - self.wall() + now]
        if (catching := self.catch_up.wake_at(now)) is not None:
            moments.append(catching)
        if self.wake is not None:
            self.wake.cancel()
        self.wake = self.loop.call_later(max(0.001, (min(moments) - now) / 1e6), self.turn)

    # Whole copies

    def _fetch(self, name: str) -> None:
        if name not in self.fetching:
            self.fetching[name] = self.loop.create_task(self._fetch_from(name))

    async def _fetch_from(self, name: str) -> None:
        good = False
        try:
            rows = await whole.fetch(
                self.addresses[name], self.membership.me, list(self.copies.leaves), FETCH_WITHIN
            )
            news = self.spread.took(self.wall(), rows)
            good = True
            self.event("fetched", name=name, rows=len(rows), news=news)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.dropped["fetch"] += 1
        finally:
            self.fetching.pop(name, None)
            self.catch_up.fetched(self.now(), name, good)
            if self.transport is not None and not self.transport.is_closing():
                self.turn()
