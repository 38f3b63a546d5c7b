"""Keep-alive connections to one address, with one request at a time on each."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any, Protocol

from crowwing.transport.buffer_pool import BufferPool


class ReplyReader(Protocol):
    """Parses one reply; `end` is called at end of stream."""

    reusable: bool

    def feed(self, view: memoryview) -> Any: ...  # noqa: ANN401

    def end(self) -> Any: ...  # noqa: ANN401


class NotSentError(Exception):
    """No connection was established, so nothing was sent."""


class ExchangeError(Exception):
    """The exchange failed; the peer may have received the request."""


class InvalidReplyError(ExchangeError):
    """The answer is not a valid reply: the peer has received the request and finished with it."""


class ConnectionPool:
    """Closes an idle connection after `idle_timeout` / 2 to `idle_timeout` seconds; `address` may be None."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int] | None,
        pool: BufferPool,
        new_reader: Callable[[], ReplyReader],
        idle_timeout: float,
        max_open: int,
    ) -> None:
        self.loop, self.address, self.pool, self.new_reader = loop, address, pool, new_reader
        self.idle_timeout, self.max_open = idle_timeout, max_open
        self.idle_connections: dict[socket.socket, float] = {}  # -> idle since; the last used is reused first
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.open = 0

    @property
    def host(self) -> str:
        return f"{self.address[0]}:{self.address[1]}" if self.address else ""

    def set_address(self, address: tuple[str, int] | None) -> None:
        """Sends new requests to another address; those in progress finish at the old one."""
        if address != self.address:
            self.address = address
            self.close()

    async def request(self, data: bytes, limit: float) -> Any:  # noqa: ANN401
        """Returns the reply; `limit` is in seconds. Cancelling closes the connection, as a time-out does."""
        sock, reusable, address = self._take_idle(), False, self.address
        try:
            async with asyncio.timeout(limit):
                if sock is None:
                    sock = await self._connect()
                buffer = self.pool.acquire()
                try:
                    reply, reusable = await self._exchange(sock, data, buffer)
                finally:
                    self.pool.release(buffer)
        except TimeoutError:
            if sock is None:
                raise NotSentError("connecting timed out") from None
            raise ExchangeError("the reply timed out") from None
        except OSError as error:
            raise ExchangeError(str(error) or type(error).__name__) from None
        except ValueError as error:
            raise InvalidReplyError(str(error)) from None
        finally:
            if sock is not None:
                self._put_idle(sock) if reusable and address == self.address else self._close(sock)
        return reply

    async def _exchange(self, sock: socket.socket, data: bytes, buffer: bytearray) -> tuple[Any, bool]:
        await self.loop.sock_sendall(sock, data)
        reader, reply = self.new_reader(), None
        with memoryview(buffer) as view:
            while reply is None:
                size = await self.loop.sock_recv_into(sock, buffer)
                reply = reader.feed(view[:size]) if size else reader.end()
                if reply is None and not size:
                    raise ConnectionError("connection closed before the reply was complete")
        return reply, reader.reusable and size > 0

    async def _connect(self) -> socket.socket:
        if self.address is None:
            raise NotSentError("no address is configured")
        if self.open >= self.max_open:
            raise NotSentError("all connections of the pool are in use")
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            raise NotSentError(str(error)) from None
        self.open += 1
        try:
            sock.setblocking(False)
            await self.loop.sock_connect(sock, self.address)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            self._close(sock)
            raise NotSentError(str(error)) from None
        except BaseException:
            self._close(sock)
            raise
        return sock

    def _take_idle(self) -> socket.socket | None:
        """An open idle connection; one that was closed or has received data is not reused."""
        while self.idle_connections:
            sock, _ = self.idle_connections.popitem()
            try:
                sock.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                return sock
            except OSError:
                pass
            self._close(sock)
        return None

    def _put_idle(self, sock: socket.socket) -> None:
        self.idle_connections[sock] = self.loop.time()
        if self.sweep_timer is None:
            self.sweep_timer = self.loop.call_later(self.idle_timeout, self._sweep)

    def _sweep(self) -> None:
        """Closes connections that were idle for too long, and schedules itself for the others."""
        now, self.sweep_timer = self.loop.time(), None
        for sock in [
            sock for sock, since in self.idle_connections.items() if now - since >= self.idle_timeout / 2
        ]:
            del self.idle_connections[sock]
            self._close(sock)
        if self.idle_connections:
            self.sweep_timer = self.loop.call_later(self.idle_timeout / 2, self._sweep)

    def _close(self, sock: socket.socket) -> None:
        self.open -= 1
        sock.close()

    def close(self) -> None:
        for sock in self.idle_connections:
            self._close(sock)
        self.idle_connections.clear()
