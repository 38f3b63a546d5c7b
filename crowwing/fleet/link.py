"""The fleet's membership on a backend's loop: one UDP socket over IPv4, datagrams of orjson.

Loaded only where the operator file has a `fleet` section, so a backend without one imports nothing of it.
Peers are named with their addresses in that file; a datagram from elsewhere, or one that is not whole, is
counted and dropped. A `{"k": "members"}` datagram is answered with the view of this member: what `crowwing
fleet members` shows.
"""

import asyncio
import ipaddress
import random
import time
from collections import Counter
from collections.abc import Callable
from types import SimpleNamespace

import orjson

from crowwing.fleet.swim import Membership, Timing

DATAGRAM_MOST = 8192  # bytes; a larger one is no message of ours
ASK = "members"


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


def clock(offset_ms: int) -> Callable[[], int]:
    """The member's clock in µs. It only goes forward, so that no step of the system's clock ends a suspicion
    early; an offset given in its settings stands in for a clock that is off."""
    shift = offset_ms * 1000
    return lambda: time.monotonic_ns() // 1000 + shift


class Link(asyncio.DatagramProtocol):
    """Feeds the membership what comes, sends what it asks, and wakes it when it asks."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, fleet: SimpleNamespace, me: str, seed: str, event: Callable
    ) -> None:
        self.loop, self.event = loop, event
        self.addresses = peers(fleet, me)
        self.names = {where: name for name, where in self.addresses.items()}
        self.listen = address(fleet.listen, "$.fleet.listen")
        self.now = clock(fleet.clock_offset_ms)
        chance = random.Random(f"{seed}/fleet")
        self.membership = Membership(me, list(self.addresses), self.now(), chance, timing(fleet))
        self.transport: asyncio.DatagramTransport | None = None
        self.wake: asyncio.TimerHandle | None = None
        self.dropped: Counter[str] = Counter()

    async def open(self) -> None:
        """OSError where the address cannot be had."""
        try:
            await self.loop.create_datagram_endpoint(lambda: self, local_addr=self.listen)
        except OSError as wrong:
            raise OSError(wrong.errno, wrong.strerror, "{}:{} (fleet)".format(*self.listen)) from None
        self.event("fleet_open", listen=f"{self.listen[0]}:{self.listen[1]}", peers=len(self.addresses))
        self._turn()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def close(self) -> None:
        if self.wake is not None:
            self.wake.cancel()
        if self.transport is not None:
            self.transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if len(data) > DATAGRAM_MOST:
            self.dropped["large"] += 1
            return
        try:
            message = orjson.loads(data)
            if message.get("k") == ASK:
                self._answer(addr)
                return
            if self.addresses.get(message["from"]) is None:
                self.dropped["stranger"] += 1
                return
            self.membership.heard(self.now(), message)
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError):
            # Guards against a peer of another version or a stray sender: what was not whole changes nothing.
            self.dropped["unreadable"] += 1
            return
        self._turn()

    def error_received(self, exc: Exception) -> None:
        self.dropped["refused"] += 1  # a peer that is down answers with ICMP; SWIM learns it from silence

    def _answer(self, addr: tuple[str, int]) -> None:
        m = self.membership
        view = {
            "me": m.me, "incarnation": m.incarnation, "health": m.health, "at": self.now(),
            "members": [{"name": n, "state": s, "incarnation": i, "since": t} for n, s, i, t in m.view()],
            "dropped": dict(self.dropped),
        }  # fmt: skip
        if self.transport is not None:
            self.transport.sendto(orjson.dumps(view), addr)

    def _turn(self) -> None:
        membership, now = self.membership, self.now()
        membership.turn(now)
        if self.transport is not None:
            for to, message in membership.outbox:
                self.transport.sendto(orjson.dumps(message), self.addresses[to])
        membership.outbox.clear()
        for name, state, incarnation in membership.changes:
            self.event("member", name=name, state=state, incarnation=incarnation)
        membership.changes.clear()
        if self.wake is not None:
            self.wake.cancel()
        delay = max(0.001, (membership.wake_at() - now) / 1e6)
        self.wake = self.loop.call_later(delay, self._turn)
