"""One accepted connection: reads into a pooled buffer, sends in order, and closes without losing data.

The write side is shut down in the same step that finds no unread bytes and no pending response, after the
reader has passed on all that it took. So no request is read after the shutdown, and one that came before is
answered. After the shutdown incoming bytes are read and discarded: closing a socket with unread bytes sends
a reset, which can destroy responses in flight.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from crowwing.transport.buffer_pool import BufferPool

MAX_DISCARDED_BYTES = 1 << 18  # bytes discarded without a response before the connection is closed
LINGER_TIME = 0.1  # seconds from shutdown to close; clients resend a request that crosses it within 50 ms
MAX_DISCARD_READS = 32  # reads that discard unread bytes before the final close
SEND_TIMEOUT = 5.0  # seconds after which a response that the peer does not read is abandoned


class ConnectionHandler(Protocol):
    """Receives the data of a connection."""

    def received(self, view: memoryview) -> None: ...

    def ended(self, broken: bool) -> None: ...


class Connection:
    """`busy`: a request is in progress, so it stays open; `since`: time of the last data in or out.

    `began`: when the incomplete request started; `proven`: it has sent a complete request; `deaf`: incoming
    data is discarded; `pause`: seconds to wait before the next read; `closing`: it closes once no response is
    pending; `shut`: the write side is shut down.
    """

    __slots__ = (
        "loop", "sock", "pool", "user", "busy", "since", "began", "proven", "deaf", "pause",
        "outbox", "sender", "task", "closing", "shut", "buffer", "done", "lingers",
    )  # fmt: skip

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket, pool: BufferPool) -> None:
        self.loop, self.sock, self.pool = loop, sock, pool
        self.busy = self.closing = self.shut = self.proven = self.deaf = False
        self.since = loop.time()
        self.began = self.pause = 0.0
        self.outbox: deque[bytes] = deque()  # data that the sender task has still to send
        self.sender: asyncio.Task | None = None
        self.done: asyncio.Event | None = None  # set once no response is pending, after the peer has closed
        self.lingers: asyncio.TimerHandle | None = None
        self.buffer = pool.acquire()
        self.buffer[0] = 0
        self.user: ConnectionHandler
        self.task: asyncio.Task

    def start(self, user: ConnectionHandler, on_closed: Callable[["Connection"], None]) -> None:
        self.user = user
        self.task = self.loop.create_task(self._run())
        self.task.add_done_callback(lambda _: self._on_task_done(on_closed))

    def _on_task_done(self, on_closed: Callable[["Connection"], None]) -> None:
        """Releases everything, also if the task was cancelled before it ran."""
        self.closing = self.shut = self.deaf = True
        if self.lingers is not None:
            self.lingers.cancel()
        if self.sender is not None:
            self.sender.cancel()
        self.discard_unread()
        self.sock.close()
        self.pool.release(self.buffer)
        on_closed(self)

    async def _run(self) -> None:
        broken = await self._read()
        with suppress(OSError):
            self.user.ended(broken)
            if not broken:
                await self._finish()

    async def _read(self) -> bool:
        """Reads until the peer closes, even after our shutdown; returns whether the connection broke."""
        discarded = 0
        try:
            with memoryview(self.buffer) as view:
                while discarded < MAX_DISCARDED_BYTES and (
                    size := await self.loop.sock_recv_into(self.sock, self.buffer)
                ):
                    if self.deaf:
                        discarded += size
                        self.buffer[0] = 0
                        if self.closing:
                            self._shut_down_writes()
                        continue
                    self.since = self.loop.time()
                    self.user.received(view[:size])
                    self.buffer[0] = 0  # the data has been passed on
                    if self.closing:
                        self._shut_down_writes()
                    if self.pause and not self.closing:
                        await asyncio.sleep(self.pause)
            return False
        except OSError:
            return True

    async def _finish(self) -> None:
        """The peer sends no more, or too much: sends pending responses and shuts down the write side."""
        self.closing, self.done = True, asyncio.Event()
        self._finish_if_idle()
        await self.done.wait()
        if not self.shut:
            self.sock.shutdown(socket.SHUT_WR)

    def _finish_if_idle(self) -> None:
        if self.busy or self.sender is not None:
            return
        if self.done is not None:
            self.done.set()
        elif self.closing:
            self._shut_down_writes()

    def _shut_down_writes(self) -> None:
        """Shuts down the write side if no response is pending and no received byte is unread."""
        if self.shut or self.done is not None or self.busy or self.sender is not None:
            return
        if not self.deaf:
            # No request begins with a zero byte, so a nonzero first byte means data that the reader has not
            # passed on yet. The reader calls this method again afterwards, also after it reads unread bytes.
            if self.buffer[0] or self._has_unread():
                return
            if self.began:  # an incomplete request: it is answered with an error first
                self.user.ended(False)
                if self.shut or self.busy or self.sender is not None:
                    return
        linger = self.proven or self.deaf  # one that never sent a request is just closed
        self.shut = self.deaf = True
        with suppress(OSError):  # the peer closed first
            self.sock.shutdown(socket.SHUT_WR)
        self.lingers = self.loop.call_later(LINGER_TIME if linger else 0, self.task.cancel)

    def _has_unread(self) -> bool:
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:  # nothing to read, or the connection is broken
            return False

    def discard_unread(self) -> None:
        with suppress(OSError):
            for _ in range(MAX_DISCARD_READS):
                if not self.sock.recv_into(self.buffer):
                    break

    def send(self, data: bytes) -> None:
        self.since = self.loop.time()
        if self.sender is None:
            # The socket nearly always takes all at once, which needs no task.
            try:
                data = data[self.sock.send(data) :]
            except BlockingIOError:
                pass
            except OSError:
                self.close()
                return
        if data:
            self.outbox.append(data)
            if self.sender is None:
                self.sender = self.loop.create_task(self._send())

    async def _send(self) -> None:
        try:
            while self.outbox:
                async with asyncio.timeout(SEND_TIMEOUT):
                    await self.loop.sock_sendall(self.sock, self.outbox.popleft())
        except (OSError, TimeoutError):
            self.outbox.clear()
            self.close()
        finally:
            self.sender = None
            self._finish_if_idle()

    def release(self) -> None:
        """Marks it as having no request in progress."""
        self.busy = False
        self._finish_if_idle()

    def close(self) -> None:
        """Closes it once pending responses are sent. First reads what has arrived: it may hold a request."""
        self.closing = True
        self._shut_down_writes()

    def end(self) -> None:
        """Called at process exit once the reader has passed on its data: reads the rest and closes."""
        self.closing = True
        if not (self.deaf or self.shut or self.done is not None):
            with suppress(OSError), memoryview(self.buffer) as view:
                for _ in range(MAX_DISCARD_READS):
                    if self.deaf or not (size := self.sock.recv_into(self.buffer)):
                        break
                    self.user.received(view[:size])
            self.buffer[0] = 0
        self._shut_down_writes()
