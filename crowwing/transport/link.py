"""A connection to one address that reconnects by itself and sends in order."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

from crowwing.transport.buffer_pool import BufferPool

CONNECT_TIMEOUT = 1.0  # seconds for one attempt to connect
MIN_RETRY_DELAY, MAX_RETRY_DELAY = 0.02, 0.5  # seconds between attempts


class Link:
    """`on_open` may send first; a ValueError from `on_data` closes the connection, which is reopened."""

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
        self.outbox: list[bytes] = []  # emptied by each send, and when the connection breaks
        self.pending = asyncio.Event()
        self.sock: socket.socket | None = None
        self.connected = self.received_valid_data = False  # data of this connection could be parsed
        self.reconnect_now = asyncio.Event()  # skips the delay before the next attempt

    async def run(self) -> None:
        delay = MIN_RETRY_DELAY
        while True:
            reason = "closed by the peer"
            sender: asyncio.Task | None = None
            try:
                self.sock = sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                sock.setblocking(False)
                async with asyncio.timeout(CONNECT_TIMEOUT):
                    await self.loop.sock_connect(sock, address := self.address)
                if address != self.address:
                    raise OSError("the address changed while connecting")
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.connected, self.received_valid_data = True, False
                self.on_open()
                sender = self.loop.create_task(self._send(sock))
                await self._read(sock)
            except (OSError, ValueError) as error:
                reason = str(error) or type(error).__name__
            except asyncio.CancelledError:
                self.connected = False  # cancelled by the owner: not a broken connection
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
                    # If nothing could be parsed, the delay keeps growing.
                    if self.received_valid_data:
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
        """Connects to another address from now on."""
        if address != self.address:
            self.address = address
            self.reconnect_now.set()
            self.reconnect()

    def reconnect(self) -> None:
        """Closes the current connection; another one is opened."""
        if self.connected:
            with suppress(OSError):  # it has just closed by itself
                self.sock.shutdown(socket.SHUT_RDWR)  # the reader sees end of stream

    def send(self, data: bytes) -> None:
        """Sends after all data given before; dropped if not connected."""
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
