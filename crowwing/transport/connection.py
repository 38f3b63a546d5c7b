"""One accepted connection: reads into a pooled buffer, sends in order, and cuts nothing off."""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from crowwing.transport.pool import BufferPool

DROPPED_MOST = 1 << 18  # bytes read and dropped of what has no answer any more
LINGER = 0.1  # seconds between our end and the descriptor's: what crosses it is sent anew within 50 ms
STUCK_SEND = 5.0  # seconds after which an answer that the far side does not read is given up


class User(Protocol):
    """What stands behind a connection."""

    def received(self, view: memoryview) -> None: ...

    def ended(self, broken: bool) -> None: ...


class Connection:
    """`busy` keeps it open; `since`: when it last carried something; `began`: what is half read.

    `proven`: it has brought something whole; `deaf`: what comes is dropped; `pause`: before the next read.
    """

    __slots__ = (
        "loop", "sock", "pool", "user", "busy", "since", "began", "proven", "deaf", "pause",
        "outbox", "sender", "task", "closing", "done",
    )  # fmt: skip

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket, pool: BufferPool) -> None:
        self.loop, self.sock, self.pool = loop, sock, pool
        self.busy = self.closing = self.proven = self.deaf = False
        self.since = loop.time()
        self.began = self.pause = 0.0
        self.outbox: deque[bytes] = deque()  # emptied by the sender
        self.sender: asyncio.Task | None = None
        self.done: asyncio.Event | None = None  # set once nothing is owed, when someone waits for that
        self.user: User
        self.task: asyncio.Task

    def start(self, user: User, over: Callable[["Connection"], None]) -> None:
        self.user = user
        self.task = self.loop.create_task(self._live())
        self.task.add_done_callback(lambda _: over(self))

    async def _live(self) -> None:
        buffer = self.pool.borrow()
        broken = await self._read(buffer)
        try:
            self.user.ended(broken)
            if not broken:
                await self._finish()
        except OSError:
            pass
        finally:
            self.closing = True
            if self.sender is not None:
                self.sender.cancel()
            self.sock.close()
            self.pool.give_back(buffer)

    async def _read(self, buffer: bytearray) -> bool:
        """Until either side ends it; whether it broke."""
        dropped = 0
        try:
            with memoryview(buffer) as view:
                while dropped < DROPPED_MOST and (size := await self.loop.sock_recv_into(self.sock, buffer)):
                    if self.deaf:
                        dropped += size
                        continue
                    self.since = self.loop.time()
                    self.user.received(view[:size])
                    if self.pause:
                        await asyncio.sleep(self.pause)
            return False
        except OSError:
            return True

    async def _finish(self) -> None:
        """Sends what is owed and says that no more comes; what crosses that has its time to turn back."""
        ours, self.closing = self.closing, True
        self.done = asyncio.Event()
        self._settle()
        await self.done.wait()
        self.sock.shutdown(socket.SHUT_WR)
        if ours and (self.proven or self.deaf):  # a silent one is owed no more than the close
            await asyncio.sleep(LINGER)

    def _settle(self) -> None:
        if self.done is not None and not self.busy and self.sender is None:
            self.done.set()

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
                async with asyncio.timeout(STUCK_SEND):
                    await self.loop.sock_sendall(self.sock, self.outbox.popleft())
        except (OSError, TimeoutError):
            self.outbox.clear()
            self.close()
        finally:
            self.sender = None
            self._settle()

    def free(self) -> None:
        """Nothing is open on it any more."""
        self.busy = False
        self._settle()

    def close(self) -> None:
        """Ends it once what is owed has gone out. What has come in by now is still read: a ticket may be."""
        if not self.closing:
            self.closing = True
            with suppress(OSError):  # the far side was faster
                self.sock.shutdown(socket.SHUT_RD)  # the read ends behind what is there
