"""Accepts connections up to a limit, and closes those that have been idle for too long."""

import asyncio
import errno
import socket
from collections.abc import Callable
from contextlib import suppress

from crowwing.transport.buffer_pool import BufferPool
from crowwing.transport.connection import Connection, ConnectionHandler

SWEEP_INTERVAL = 0.25  # seconds between checks for idle connections
REQUEST_TIMEOUT = 1.5  # seconds for a new connection to begin a request, and for a begun one to be complete
PROVEN_IDLE_BONUS = 1.0  # seconds by which eviction counts a connection with a complete request as less idle
MAX_ACCEPTS_PER_TURN = 8  # connections accepted before other tasks of the loop run
NEW_CONNECTION_GRACE = 0.05  # seconds in which a new connection is not closed for being idle
FIRST_REQUEST_GRACE = 0.25  # seconds in which a new connection is not evicted in favor of others
ACCEPT_RETRY_DELAY = 0.02  # seconds before accepting again after an error
BACKLOG = 4096  # a client that finds it full retries only after a second
RESOURCE_ERRORS = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}


class Listener:
    """Owns every accepted connection; one leaves `connections` when its descriptor is closed."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        pool: BufferPool,
        max_connections: int,
        new_handler: Callable[[Connection], ConnectionHandler],
    ) -> None:
        self.loop, self.pool, self.max_connections, self.new_handler = (
            loop,
            pool,
            max_connections,
            new_handler,
        )
        # Connections that are kept free, so that accepting need not wait.
        self.reserve = max(1, max_connections // 8)
        self.connections: set[Connection] = set()
        self.idle_timeout: float | None = None  # seconds; None: no limit
        self.request_timeout = REQUEST_TIMEOUT
        self.capacity_freed = asyncio.Event()
        self.sock: socket.socket | None = None
        self.pending_accept: asyncio.Future | None = None  # done once a client waits to be accepted
        self.accept_waits = 0  # how often accepting had to wait

    def open(self, host: str, port: int) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host, port))
            sock.listen(BACKLOG)
            sock.setblocking(False)
        except OSError:
            sock.close()
            raise
        self.sock = sock
        self._sweep()

    async def accept(self) -> None:
        """Accepts until close()."""
        while self.sock is not None:
            while len(self.connections) >= self.max_connections:
                self.accept_waits += 1
                self._evict_idle()
                self.capacity_freed.clear()
                await self.capacity_freed.wait()
            await self._wait_for_client()
            try:
                for _ in range(min(MAX_ACCEPTS_PER_TURN, self.max_connections - len(self.connections))):
                    if self.sock is not None:
                        self._add(self.sock.accept()[0])
            except BlockingIOError:
                pass  # no more clients wait
            except OSError as error:
                if error.errno in RESOURCE_ERRORS:
                    self.accept_waits += 1
                    self._evict_idle()
                await asyncio.sleep(ACCEPT_RETRY_DELAY)  # any other error concerns one client only
            if len(self.connections) > self.max_connections - self.reserve:
                self._evict_idle()

    async def _wait_for_client(self) -> None:
        """Waits for a client without accepting it: if the task were cancelled during an accept call, the
        accepted connection would be lost with the data sent on it."""
        if self.sock is None:
            return
        self.pending_accept = pending_accept = self.loop.create_future()
        self.loop.add_reader(self.sock, lambda: pending_accept.done() or pending_accept.set_result(None))
        try:
            await pending_accept
        finally:
            if self.sock is not None:
                self.loop.remove_reader(self.sock)

    def _add(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(self.loop, sock, self.pool)
        self.connections.add(connection)
        connection.start(self.new_handler(connection), self._on_closed)

    def _on_closed(self, connection: Connection) -> None:
        self.connections.discard(connection)
        self.capacity_freed.set()

    def _evict_idle(self) -> None:
        """Closes the longest idle connections if few are free, first those without a complete request.

        Otherwise hundreds of connections that send nothing, or nothing after one request, would keep other
        clients waiting. The cost: clients that really need that many connections must reopen them.
        """
        if (
            len(self.connections) - sum(c.closing for c in self.connections)
            > self.max_connections - self.reserve
        ):
            idle = [c for c in self.connections if not c.busy and not c.closing]
            awaiting = self._awaiting_first_request(idle)
            idle.sort(key=lambda c: (c in awaiting, c.since + PROVEN_IDLE_BONUS * c.proven))
            for connection in idle[: self.reserve]:
                connection.close()

    def _awaiting_first_request(self, idle: list[Connection]) -> set[Connection]:
        """New connections whose first request may be in flight.

        Limited to the newest few, so that a flood of connections that send nothing is not spared.
        Without this, a connection just accepted would count as the longest idle if all others have recently
        sent a request.
        """
        now = self.loop.time()
        new = [c for c in idle if not c.proven and now - (c.began or c.since) < FIRST_REQUEST_GRACE]
        new.sort(key=lambda c: c.since)
        return set(new[-self.reserve :])

    def _sweep(self) -> None:
        # Schedules the next sweep first, so that sweeps continue even if closing one connection fails.
        self.loop.call_later(SWEEP_INTERVAL, self._sweep)
        now = self.loop.time()
        for connection in self.connections:
            if not connection.busy and not connection.closing:
                began = connection.began or (now if connection.proven else connection.since)
                expired = self.idle_timeout is not None and now - connection.since >= self.idle_timeout
                if expired or now - began >= self.request_timeout:
                    connection.close()

    def close_idle(self) -> None:
        """Closes each connection that has carried a request and carries none now.

        Otherwise sidecars would send requests to a draining backend for as long as their connections stay
        open. Requests already received are still answered. A request that crosses the close is
        lost unless the sidecar sends it again.
        """
        for connection in list(self.connections):
            if connection.proven and not (connection.busy or connection.closing or connection.began):
                connection.close()

    def close(self) -> None:
        """Stops listening; accepted connections stay open.

        Clients in the backlog are accepted first, beyond the limit if necessary: closing the socket would
        reset them and lose what they have sent.
        """
        if self.sock is None:
            return
        sock, self.sock = self.sock, None
        self.loop.remove_reader(sock)
        with suppress(OSError):  # no more clients wait, or no descriptor is left for them
            while True:
                self._add(sock.accept()[0])
        sock.close()
        self.capacity_freed.set()
        if self.pending_accept is not None and not self.pending_accept.done():
            self.pending_accept.set_result(None)

    def discard_unread(self) -> None:
        """Called last before the process exits: discards data received after the shutdown, since closing
        sockets with unread data would reset them."""
        for connection in self.connections:
            connection.discard_unread()

    async def finish(self, until: float) -> None:
        """Closes every connection once it has no pending response; returns when all are closed, or at `until`
        (loop time). A new connection gets NEW_CONNECTION_GRACE: its request may be in flight."""
        while self.connections and (now := self.loop.time()) < until:
            for connection in list(self.connections):
                if connection.proven or now - connection.since > NEW_CONNECTION_GRACE:
                    connection.close()
            await asyncio.sleep(0.002)
