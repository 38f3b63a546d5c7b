"""A link to one address that is kept open: it connects again by itself, and sends in order."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

from crowwing.transport.pool import BufferPool

CONNECT = 1.0  # seconds that one try to connect may take
RETRY_FIRST, RETRY_MOST = 0.02, 0.5  # seconds between tries


class Link:
    """`opened` sends first; a ValueError of `received` closes the link, which then starts anew."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        pool: BufferPool,
        opened: Callable[[], None],
        received: Callable[[memoryview], None],
        closed: Callable[[str], None],
    ) -> None:
        self.loop, self.address, self.pool = loop, address, pool
        self.opened, self.received, self.closed = opened, received, closed
        self.outbox: list[bytes] = []  # emptied by each send, and when the link breaks
        self.pending = asyncio.Event()
        self.sock: socket.socket | None = None
        self.up = self.sound = False  # it is there; what it brought could be read
        self.hurry = asyncio.Event()  # the next try to connect need not wait

    async def run(self) -> None:
        delay = RETRY_FIRST
        while True:
            why = "closed by the far side"
            sender: asyncio.Task | None = None
            try:
                self.sock = sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                sock.setblocking(False)
                async with asyncio.timeout(CONNECT):
                    await self.loop.sock_connect(sock, address := self.address)
                if address != self.address:
                    raise OSError("moved while it was opened")
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.up, self.sound = True, False
                self.opened()
                sender = self.loop.create_task(self._send(sock))
                await self._read(sock)
            except (OSError, ValueError) as wrong:
                why = str(wrong) or type(wrong).__name__
            except asyncio.CancelledError:
                self.up = False  # ended by us: no break
                raise
            finally:
                if sender is not None:
                    sender.cancel()
                    await asyncio.gather(sender, return_exceptions=True)
                if self.sock is not None:
                    self.sock.close()
                    self.sock = None
                self.outbox.clear()
                if self.up:
                    self.up = False
                    if self.sound:  # one that brings nothing but what cannot be read is not tried in haste
                        delay = RETRY_FIRST
                    self.closed(why)
            with suppress(TimeoutError):
                async with asyncio.timeout(delay):
                    await self.hurry.wait()
            self.hurry.clear()
            delay = min(RETRY_MOST, 2 * delay)

    async def _read(self, sock: socket.socket) -> None:
        buffer = self.pool.borrow()
        try:
            with memoryview(buffer) as view:
                while size := await self.loop.sock_recv_into(sock, buffer):
                    self.received(view[:size])
                    self.sound = True
        finally:
            self.pool.give_back(buffer)

    def move(self, address: tuple[str, int]) -> None:
        """Another address from now on."""
        if address != self.address:
            self.address = address
            self.hurry.set()
            self.drop()

    def drop(self) -> None:
        """Gives this link up; another is opened."""
        if self.up:
            with suppress(OSError):  # it has just gone by itself
                self.sock.shutdown(socket.SHUT_RDWR)  # the reader sees the end

    def send(self, data: bytes) -> None:
        """Goes out after what was given before; lost if the link is not up."""
        if self.up:
            self.outbox.append(data)
            self.pending.set()

    async def _send(self, sock: socket.socket) -> None:
        try:
            while True:
                await self.pending.wait()
                self.pending.clear()
                data = b"".join(self.outbox)
                self.outbox.clear()
                if data:
                    await self.loop.sock_sendall(sock, data)
        except OSError:
            self.drop()
