"""The connections of a front to its sidecars: which stay open, and how many there may be.

A sidecar accepts a number of connections from all fronts together and resets what is over. So a front keeps
no more idle ones, over all sidecars of a service, than its even share of a part of that number, and opens
none to a sidecar that has just reset a new one. A reset before a byte was sent is distinguished from one
after it: a new connection waits for about a round trip before its first request.
"""

import asyncio
import time
from collections import OrderedDict
from dataclasses import dataclass, field

import httpcore

from crowwing.tier.front.errors import ConnectionsFullError
from crowwing.tier.front.sidecar_stream import SidecarNetwork, SidecarStream

OPEN_SHARE = 0.9  # of the connections that a sidecar accepts, which all fronts together may open
IDLE_SHARE = 0.45  # of them, which all fronts together may keep idle
MIN_OPEN_CONNECTIONS = 2  # connections to one sidecar that a front may have open whatever its share is
MIN_IDLE_CONNECTIONS = 2  # connections that a front may keep idle, over all sidecars of a service
MIN_FULL_BACKOFF_S, MAX_FULL_BACKOFF_S = (
    0.1,
    1.6,
)  # without new connections after a reset of a new one, doubled each time
MIN_CONNECT_DELAY_S, MAX_CONNECT_DELAY_S = 0.002, 0.01  # bounds of the rest before the first request


@dataclass
class ConnectionState:
    """What a front has and knows of the connections to one sidecar. Times are seconds of the steady clock."""

    max_open: int = MIN_OPEN_CONNECTIONS  # that this front may have open
    open_count: int = 0
    idle: list[httpcore.AsyncHTTP11Connection] = field(default_factory=list)  # the one used last at the end
    resets: int = 0  # of new connections, in a row
    full_until: float = 0.0

    def is_available(self, now: float) -> bool:
        """Whether a request would find a connection."""
        return bool(self.idle) or (self.open_count < self.max_open and now >= self.full_until)

    def record_reset(self, now: float) -> None:
        """A new connection was reset before anything was sent on it."""
        self.full_until = now + min(MAX_FULL_BACKOFF_S, MIN_FULL_BACKOFF_S * 2**self.resets)
        self.resets += 1

    def record_accepted(self) -> None:
        """A new connection was accepted."""
        self.resets, self.full_until = 0, 0.0


@dataclass(frozen=True)
class ConnectionLimits:
    """How many connections a front may have to the sidecars of one service."""

    max_open_each: int
    max_idle_total: int


def connection_limits(accepted: int, sidecars: int, fronts: int) -> ConnectionLimits:
    """The share of one of `fronts` in what `sidecars` accept, each `accepted` from all fronts together."""
    max_open_each = max(MIN_OPEN_CONNECTIONS, int(OPEN_SHARE * accepted / max(1, fronts)))
    max_idle_total = max(MIN_IDLE_CONNECTIONS, int(IDLE_SHARE * accepted * sidecars / max(1, fronts)))
    return ConnectionLimits(max_open_each, max_idle_total)


class IdleConnections:
    """The idle connections to all sidecars of a service, the one used last at the end.

    Owned by `SidecarClients`, one for each service.
    """

    def __init__(self, max_idle: int = 1_000_000) -> None:
        """Up to `max_idle` may stay open."""
        self.max_idle = max_idle
        self._idle: OrderedDict[httpcore.AsyncHTTP11Connection, SidecarConnections] = OrderedDict()

    def add(self, connection: httpcore.AsyncHTTP11Connection, owner: "SidecarConnections") -> None:
        """A connection is idle from now on; `trim` closes the one that was idle for longest."""
        self._idle[connection] = owner

    def remove(self, connection: httpcore.AsyncHTTP11Connection) -> None:
        """A connection is in use again, or gone."""
        self._idle.pop(connection, None)

    async def trim(self) -> None:
        """Closes those that were idle for longest, as far as there are more than may stay open."""
        while len(self._idle) > self.max_idle:
            connection, owner = next(iter(self._idle.items()))
            await owner.discard(connection)

    async def close_expired(self) -> None:
        """Closes what has been idle for too long or was ended by its sidecar."""
        for connection, owner in list(self._idle.items()):
            if connection.has_expired():
                await owner.discard(connection)


class SidecarConnections:
    """The connections to one sidecar. Owned by its `SidecarClient`."""

    def __init__(
        self, address: str, state: ConnectionState, idle: IdleConnections, idle_timeout_s: float,
        connect_timeout_s: float,
    ) -> None:  # fmt: skip
        """Connects to `address`, HOST:PORT; an idle connection stays open for `idle_timeout_s`."""
        host, port = address.rsplit(":", 1)
        self._host, self._port = host, int(port)
        self.origin = httpcore.Origin(b"http", host.encode(), self._port)
        self.state, self._all_idle = state, idle
        self._idle_timeout_s, self._connect_timeout_s = idle_timeout_s, connect_timeout_s
        self._network = SidecarNetwork()
        self._open: set[httpcore.AsyncHTTP11Connection] = set()

    async def acquire(self, options: tuple[tuple[int, int, int], ...]) -> httpcore.AsyncHTTP11Connection:
        """A connection for one request, the one used last where some are idle.

        Raises NoConnection, and httpcore.ConnectError or ConnectTimeout, with nothing sent.
        """
        while self.state.idle:
            connection = self.state.idle[-1]
            if not connection.has_expired():
                self._remove_idle(connection)
                return connection
            await self.discard(connection)
        return await self._connect(options)

    async def _connect(self, options: tuple[tuple[int, int, int], ...]) -> httpcore.AsyncHTTP11Connection:
        if self.state.open_count >= self.state.max_open or time.monotonic() < self.state.full_until:
            reason = f"{self.state.open_count} of {self.state.max_open} are open"
            raise ConnectionsFullError(reason)
        self.state.open_count += 1
        try:
            stream = await self._open_stream(options)
        except BaseException:
            self.state.open_count -= 1
            raise
        connection = httpcore.AsyncHTTP11Connection(self.origin, stream, self._idle_timeout_s)
        self._open.add(connection)
        return connection

    async def _open_stream(self, options: tuple[tuple[int, int, int], ...]) -> SidecarStream:
        """A new stream that has outlived the moment in which one too many would be reset."""
        began = time.monotonic()
        stream = await self._network.connect_tcp(
            self._host, self._port, self._connect_timeout_s, socket_options=options
        )
        took = time.monotonic() - began
        try:
            await asyncio.sleep(min(MAX_CONNECT_DELAY_S, max(MIN_CONNECT_DELAY_S, took)))
        except BaseException:
            await stream.aclose()
            raise
        if stream.get_extra_info("is_readable"):  # nothing was asked, so this is its end
            await stream.aclose()
            self.state.record_reset(time.monotonic())
            reason = "a new connection was reset"
            raise ConnectionsFullError(reason)
        self.state.record_accepted()
        return stream

    async def release(self, connection: httpcore.AsyncHTTP11Connection) -> None:
        """A request has ended; its connection stays open where the response was complete."""
        if connection not in self._open or connection in self.state.idle:
            return
        if connection.is_idle() and not connection.has_expired():
            self.state.idle.append(connection)
            self._all_idle.add(connection, self)
            await self._all_idle.trim()
        else:
            await self.discard(connection)

    def _remove_idle(self, connection: httpcore.AsyncHTTP11Connection) -> None:
        if connection in self.state.idle:
            self.state.idle.remove(connection)
        self._all_idle.remove(connection)

    async def discard(self, connection: httpcore.AsyncHTTP11Connection) -> None:
        """Ends a connection."""
        self._remove_idle(connection)
        if connection in self._open:
            self._open.remove(connection)
            self.state.open_count -= 1
        await connection.aclose()

    async def close(self) -> None:
        """Ends all; open responses break."""
        for connection in list(self._open):
            await self.discard(connection)
