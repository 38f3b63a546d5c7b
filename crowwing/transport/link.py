"""A link to one address that is kept open: it connects again by itself, and sends in order."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

from crowwing.transport.buffer_pool import BufferPool

CONNECT_TIMEOUT = 1.0  # seconds that one try to connect may take
MIN_RETRY_DELAY, MAX_RETRY_DELAY = 0.02, 0.5  # seconds between tries


class Link:
    """`opened` sends first; a ValueError of `received` closes the link, which then starts anew."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        pool: BufferPool,
        on_open: Callable[[], None],
        on_data: Callable[[memoryview], None],
        on_close: Callable[[str], None],
    ) -> None:
        self.loop, self.address, self.pool = loop, address, pool
        self.on_open, self.on_data, self.on_close = on_open, on_data, on_close
        self.outbox: list[bytes] = []  # emptied by each send, and when the link breaks
        self.pending = asyncio.Event()
        self.sock: socket.socket | None = None
        self.connected = self.received_valid_data = False  # it is there; what it brought could be read
        self.reconnect_now = asyncio.Event()  # the next try to connect need not wait

    async def run(self) -> None:
        delay = MIN_RETRY_DELAY
        while True:
            reason = "closed by the far side"
            sender: asyncio.Task | None = None
            try:
                self.sock = sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                sock.setblocking(False)
                async with asyncio.timeout(CONNECT_TIMEOUT):
                    await self.loop.sock_connect(sock, address := self.address)
                if address != self.address:
                    raise OSError("moved while it was opened")
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.connected, self.received_valid_data = True, False
                self.on_open()
                sender = self.loop.create_task(self._send(sock))
                await self._read(sock)
            except (OSError, ValueError) as error:
                reason = str(error) or type(error).__name__
            except asyncio.CancelledError:
                self.connected = False  # ended by us: no break
                raise
            finally:
                if sender is not None:
                    sender.cancel()
                    await asyncio.gather(sender, return_exceptions=True)
                if self.sock is not None:
                    self.sock.close()
                    self.sock = None
                self.outbox.clear()
                if self.connected:
                    self.connected = False
                    if (
                        self.received_valid_data
                    ):  # one that brings nothing but what cannot be read is not tried in haste
                        delay = MIN_RETRY_DELAY
                    self.on_close(reason)
            with suppress(TimeoutError):
                async with asyncio.timeout(delay):
                    await self.reconnect_now.wait()
            self.reconnect_now.clear()
            delay = min(MAX_RETRY_DELAY, 2 * delay)

    async def _read(self, sock: socket.socket) -> None:
        buffer = self.pool.acquire()
        try:
            with memoryview(buffer) as view:
                while size := await self.loop.sock_recv_into(sock, buffer):
                    self.on_data(view[:size])
                    self.received_valid_data = True
        finally:
            self.pool.release(buffer)

    def set_address(self, address: tuple[str, int]) -> None:
        """Another address from now on."""
        if address != self.address:
            self.address = address
            self.reconnect_now.set()
            self.reconnect()

    def reconnect(self) -> None:
        """Gives this link up; another is opened."""
        if self.connected:
            with suppress(OSError):  # it has just gone by itself
                self.sock.shutdown(socket.SHUT_RDWR)  # the reader sees the end

    def send(self, data: bytes) -> None:
        """Goes out after what was given before; lost if the link is not up."""
        if self.connected:
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
            self.reconnect()
