"""Accepts connections within the budget, and closes those that have been idle for too long."""

import asyncio
import errno
import socket
from collections.abc import Callable
from contextlib import suppress

from crowwing.transport.buffer_pool import BufferPool
from crowwing.transport.connection import Connection, ConnectionHandler

SWEEP_INTERVAL = 0.25  # seconds between looks at idle connections
REQUEST_TIMEOUT = 1.5  # seconds in which a new connection brings something whole, and one that began ends it
PROVEN_IDLE_BONUS = 1.0  # seconds by which one that has brought something may be idle for longer
MAX_ACCEPTS_PER_TURN = 8  # connections accepted, at most, before others of the loop have their turn
NEW_CONNECTION_GRACE = 0.05  # seconds in which one that was just accepted is not ended for its silence
FIRST_REQUEST_GRACE = (
    0.25  # seconds that one's first request may take before it is closed to make room for others
)
ACCEPT_RETRY_DELAY = 0.02  # seconds before another try to accept
BACKLOG = 4096  # beyond it callers would try again only after a second
RESOURCE_ERRORS = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}


class Listener:
    """Owns every accepted connection until its descriptor is gone, which takes it out of the table."""

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
        self.reserve = max(
            1, max_connections // 8
        )  # places made free at once, so that accepting need not wait
        self.connections: set[Connection] = set()
        self.idle_timeout: float | None = None  # seconds that a connection may carry nothing; None: for ever
        self.request_timeout = REQUEST_TIMEOUT
        self.capacity_freed = asyncio.Event()
        self.sock: socket.socket | None = None
        self.pending_accept: asyncio.Future | None = None  # while nobody waits to be accepted
        self.accept_waits = 0  # times that accepting had to wait

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
        """Until close()."""
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
                pass  # no more are there
            except OSError as error:
                if error.errno in RESOURCE_ERRORS:
                    self.accept_waits += 1
                    self._evict_idle()
                await asyncio.sleep(ACCEPT_RETRY_DELAY)  # any other ended with the one that came
            if len(self.connections) > self.max_connections - self.reserve:
                self._evict_idle()

    async def _wait_for_client(self) -> None:
        """Until someone waits to be accepted. Takes nobody yet: who is taken by a call that is given up in
        that moment would be dropped, with what was written."""
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
        """Near the limit the longest idle go, those that brought nothing whole before others.

        Guards against connections by the hundred that say nothing, or that asked once and stay: others would
        wait for theirs. Could do harm where callers need that many: they open theirs again.
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
        """Those whose first request may still be on its way, the newest and few: a flood of silence is none.

        Where all others have brought something lately, the one just accepted would count as the longest idle.
        """
        now = self.loop.time()
        new = [c for c in idle if not c.proven and now - (c.began or c.since) < FIRST_REQUEST_GRACE]
        new.sort(key=lambda c: c.since)
        return set(new[-self.reserve :])

    def _sweep(self) -> None:
        self.loop.call_later(
            SWEEP_INTERVAL, self._sweep
        )  # first: it goes on whatever becomes of one connection
        now = self.loop.time()
        for connection in self.connections:
            if not connection.busy and not connection.closing:
                began = connection.began or (now if connection.proven else connection.since)
                expired = self.idle_timeout is not None and now - connection.since >= self.idle_timeout
                if expired or now - began >= self.request_timeout:
                    connection.close()

    def close_idle(self) -> None:
        """Ends each connection that has carried something and carries nothing now.

        Guards against tickets sent into a drain for as long as their connection stands: callers open theirs
        elsewhere. What lies there unread is still answered. Could do harm where a sidecar does not send again
        what crosses a close.
        """
        for connection in list(self.connections):
            if connection.proven and not (connection.busy or connection.closing or connection.began):
                connection.close()

    def close(self) -> None:
        """Takes no more connections; those there are go on.

        Who waits to be accepted is taken first, beyond the budget if need be: the close would reset them,
        with what they have written.
        """
        if self.sock is None:
            return
        sock, self.sock = self.sock, None
        self.loop.remove_reader(sock)
        with suppress(OSError):  # no more are there, or no descriptor is left for them
            while True:
                self._add(sock.accept()[0])
        sock.close()
        self.capacity_freed.set()
        if self.pending_accept is not None and not self.pending_accept.done():
            self.pending_accept.set_result(None)

    def discard_unread(self) -> None:
        """The last thing before the process ends: what has come since our ends went out is dropped, since the
        end over unread bytes would be a reset."""
        for connection in self.connections:
            connection.discard_unread()

    async def finish(self, until: float) -> None:
        """Ends every connection once nothing is owed on it; returns when all are gone, or at `until`, a time
        of the loop. A new one is given a moment: its request may be on its way."""
        while self.connections and (now := self.loop.time()) < until:
            for connection in list(self.connections):
                if connection.proven or now - connection.since > NEW_CONNECTION_GRACE:
                    connection.close()
            await asyncio.sleep(0.002)
