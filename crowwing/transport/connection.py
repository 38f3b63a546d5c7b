"""One accepted connection: reads into a pooled buffer, sends in order, and cuts nothing off.

Our end is sent in one go with the look that finds nothing unread and nothing owed, and by then the reader has
handed on all that it took: no request is read behind our end, and one that lies there before it is answered.
From our end on what comes is read and dropped: a close over unread bytes is a reset and takes answers along.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from crowwing.transport.buffer_pool import BufferPool

MAX_DISCARDED_BYTES = 1 << 18  # bytes read and dropped of what has no answer any more
LINGER_TIME = 0.1  # seconds between our end and the descriptor's: what crosses it is sent anew within 50 ms
MAX_DISCARD_READS = 32  # buffers of unread bytes that are dropped at the last close
SEND_TIMEOUT = 5.0  # seconds after which an answer that the far side does not read is given up


class ConnectionHandler(Protocol):
    """What stands behind a connection."""

    def received(self, view: memoryview) -> None: ...

    def ended(self, broken: bool) -> None: ...


class Connection:
    """`busy` keeps it open; `since`: when it last carried something; `began`: what is half read.

    `proven`: it has brought something whole; `deaf`: what comes is dropped; `pause`: before the next read;
    `closing`: it ends once nothing is owed; `shut`: our end has gone out.
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
        self.outbox: deque[bytes] = deque()  # emptied by the sender
        self.sender: asyncio.Task | None = None
        self.done: asyncio.Event | None = None  # set once nothing is owed, where the far side has ended
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
        """Also where it was ended before it began to live."""
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
        """Until the far side ends it; whether it broke. Our own end does not end the reading."""
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
                    self.buffer[0] = 0  # all that was taken is handed on
                    if self.closing:
                        self._shut_down_writes()
                    if self.pause and not self.closing:
                        await asyncio.sleep(self.pause)
            return False
        except OSError:
            return True

    async def _finish(self) -> None:
        """The far side sends no more (or too much): sends what is owed, and ends ours."""
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
        """Ends our side where nothing is owed. What has come in by now is read first: a ticket may be."""
        if self.shut or self.done is not None or self.busy or self.sender is not None:
            return
        if not self.deaf:
            # No request begins with a zero: the first byte tells whether the reader has taken something that
            # it has not handed on yet. It comes by here once it has, as it does with what is still unread.
            if self.buffer[0] or self._has_unread():
                return
            if self.began:  # half a request: its sender is told, and we come by here again
                self.user.ended(False)
                if self.shut or self.busy or self.sender is not None:
                    return
        linger = self.proven or self.deaf  # a silent one is owed no more than the close
        self.shut = self.deaf = True
        with suppress(OSError):  # the far side was faster
            self.sock.shutdown(socket.SHUT_WR)
        self.lingers = self.loop.call_later(LINGER_TIME if linger else 0, self.task.cancel)

    def _has_unread(self) -> bool:
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:  # nothing is there, or nothing can come any more
            return False

    def discard_unread(self) -> None:
        with suppress(OSError):
            for _ in range(MAX_DISCARD_READS):
                if not self.sock.recv_into(self.buffer):
                    break

    def send(self, data: bytes) -> None:
        self.since = self.loop.time()
        if self.sender is None:
            # What the socket takes at once, nearly always all, needs no task.
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
        """Nothing is open on it any more."""
        self.busy = False
        self._finish_if_idle()

    def close(self) -> None:
        """Ends it once what is owed has gone out. What has come in by now is still read: a ticket may be."""
        self.closing = True
        self._shut_down_writes()

    def end(self) -> None:
        """At the process's end, when the reader has handed on what it took: reads what is there, and ends."""
        self.closing = True
        if not (self.deaf or self.shut or self.done is not None):
            with suppress(OSError), memoryview(self.buffer) as view:
                for _ in range(MAX_DISCARD_READS):
                    if self.deaf or not (size := self.sock.recv_into(self.buffer)):
                        break
                    self.user.received(view[:size])
            self.buffer[0] = 0
        self._shut_down_writes()
