"""Connection pools of a front for its sidecars, and their limits.

A sidecar accepts a limited number of connections from all fronts together and resets the surplus. So a front
keeps no more idle connections to a service than its even share of IDLE_SHARE of that number, and opens none
to a sidecar that has just reset a new one. A new connection waits for about one round trip before its first
request, so that a reset because of the limit is seen before any byte of the request was sent, and is
distinguished from a reset after that.
"""

import asyncio
import time
from collections import OrderedDict
from dataclasses import dataclass, field

import httpcore

from crowwing.tier.front.errors import ConnectionsFullError
from crowwing.tier.front.sidecar_stream import SidecarNetwork, SidecarStream

OPEN_SHARE = 0.9  # share of the accepted connections that all fronts together may open
IDLE_SHARE = 0.45  # share of the accepted connections that all fronts together may keep idle
MIN_OPEN_CONNECTIONS = 2  # that a front may open to one sidecar, however small its share
MIN_IDLE_CONNECTIONS = 2  # that a front may keep idle to a service, however small its share
MIN_FULL_BACKOFF_S, MAX_FULL_BACKOFF_S = 0.1, 1.6  # after a new connection was reset; doubled each time
MIN_CONNECT_DELAY_S, MAX_CONNECT_DELAY_S = 0.002, 0.01  # bounds of the delay before the first request


@dataclass
class ConnectionState:
    """The connections of a front to one sidecar. Times are seconds of the monotonic clock."""

    max_open: int = MIN_OPEN_CONNECTIONS  # limit of this front
    open_count: int = 0
    idle: list[httpcore.AsyncHTTP11Connection] = field(default_factory=list)  # most recently used last
    resets: int = 0  # of new connections, consecutive
    full_until: float = 0.0

    def is_available(self, now: float) -> bool:
        """Whether a request would get a connection."""
        return bool(self.idle) or (self.open_count < self.max_open and now >= self.full_until)

    def record_reset(self, now: float) -> None:
        """Records that a new connection was reset before anything was sent."""
        self.full_until = now + min(MAX_FULL_BACKOFF_S, MIN_FULL_BACKOFF_S * 2**self.resets)
        self.resets += 1

    def record_accepted(self) -> None:
        """Records that a new connection was accepted."""
        self.resets, self.full_until = 0, 0.0


@dataclass(frozen=True)
class ConnectionLimits:
    """How many connections a front may have to the sidecars of one service."""

    max_open_each: int
    max_idle_total: int


def connection_limits(accepted: int, sidecars: int, fronts: int) -> ConnectionLimits:
    """The limits of one of `fronts`, if each of `sidecars` accepts `accepted` connections in total."""
    max_open_each = max(MIN_OPEN_CONNECTIONS, int(OPEN_SHARE * accepted / max(1, fronts)))
    max_idle_total = max(MIN_IDLE_CONNECTIONS, int(IDLE_SHARE * accepted * sidecars / max(1, fronts)))
    return ConnectionLimits(max_open_each, max_idle_total)


class IdleConnections:
    """The idle connections to all sidecars of a service, most recently used last.

    Owned by `SidecarClients`, one per service.
    """

    def __init__(self, max_idle: int = 1_000_000) -> None:
        """Keeps up to `max_idle` connections open."""
        self.max_idle = max_idle
        self._idle: OrderedDict[httpcore.AsyncHTTP11Connection, SidecarConnections] = OrderedDict()

    def add(self, connection: httpcore.AsyncHTTP11Connection, owner: "SidecarConnections") -> None:
        """Adds a connection that has become idle; the caller then calls `trim`."""
        self._idle[connection] = owner

    def remove(self, connection: httpcore.AsyncHTTP11Connection) -> None:
        """Removes a connection that is in use again or closed."""
        self._idle.pop(connection, None)

    async def trim(self) -> None:
        """Closes the least recently used connections beyond the limit."""
        while len(self._idle) > self.max_idle:
            connection, owner = next(iter(self._idle.items()))
            await owner.discard(connection)

    async def close_expired(self) -> None:
        """Closes connections that were idle for too long or were closed by their sidecar."""
        for connection, owner in list(self._idle.items()):
            if connection.has_expired():
                await owner.discard(connection)


class SidecarConnections:
    """The connection pool of one sidecar. Owned by its `SidecarClient`."""

    def __init__(
        self, address: str, state: ConnectionState, idle: IdleConnections, idle_timeout_s: float,
        connect_timeout_s: float,
    ) -> None:  # fmt: skip
        """Connects to `address`, HOST:PORT; closes connections that were idle for `idle_timeout_s`."""
        host, port = address.rsplit(":", 1)
        self._host, self._port = host, int(port)
        self.origin = httpcore.Origin(b"http", host.encode(), self._port)
        self.state, self._all_idle = state, idle
        self._idle_timeout_s, self._connect_timeout_s = idle_timeout_s, connect_timeout_s
        self._network = SidecarNetwork()
        self._open: set[httpcore.AsyncHTTP11Connection] = set()

    async def acquire(self, options: tuple[tuple[int, int, int], ...]) -> httpcore.AsyncHTTP11Connection:
        """Returns a connection for one request: the most recently used idle one, or a new one.

        Raises NoConnectionError, httpcore.ConnectError or httpcore.ConnectTimeout; nothing was sent then.
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
        """Opens a stream, and waits until a reset by a sidecar at its connection limit would have arrived."""
        began = time.monotonic()
        stream = await self._network.connect_tcp(
            self._host, self._port, self._connect_timeout_s, socket_options=options
        )
        connect_s = time.monotonic() - began
        try:
            await asyncio.sleep(min(MAX_CONNECT_DELAY_S, max(MIN_CONNECT_DELAY_S, connect_s)))
        except BaseException:
            await stream.aclose()
            raise
        if stream.get_extra_info("is_readable"):  # nothing was requested, so it can only have been closed
            await stream.aclose()
            self.state.record_reset(time.monotonic())
            reason = "a new connection was reset"
            raise ConnectionsFullError(reason)
        self.state.record_accepted()
        return stream

    async def release(self, connection: httpcore.AsyncHTTP11Connection) -> None:
        """Releases the connection of a request; it is kept if the response was complete."""
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
        """Closes a connection."""
        self._remove_idle(connection)
        if connection in self._open:
            self._open.remove(connection)
            self.state.open_count -= 1
        await connection.aclose()

    async def close(self) -> None:
        """Closes all connections; open responses break."""
        for connection in list(self._open):
            await self.discard(connection)
