"""Kept-alive connections on which one asks and one answers at a time."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any, Protocol

from crowwing.transport.buffer_pool import BufferPool


class ReplyReader(Protocol):
    """Turns bytes into one reply; `end` is the far side's end of stream."""

    reusable: bool

    def feed(self, view: memoryview) -> Any: ...  # noqa: ANN401

    def end(self) -> Any: ...  # noqa: ANN401


class NotSentError(Exception):
    """No connection came about, so nothing was sent."""


class ExchangeError(Exception):
    """The exchange broke off; the far side may have seen it."""


class InvalidReplyError(ExchangeError):
    """What came back is no reply: the far side has seen it, and is done with it."""


class ConnectionPool:
    """Connections to one address, or to none; an idle one closes after half of `idle` to `idle` seconds."""

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
        self.idle_connections: dict[
            socket.socket, float
        ] = {}  # idle since; emptied by use and age, the last used first
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.open = 0

    @property
    def host(self) -> str:
        return f"{self.address[0]}:{self.address[1]}" if self.address else ""

    def set_address(self, address: tuple[str, int] | None) -> None:
        """From now on to another address; what is out ends where it is."""
        if address != self.address:
            self.address = address
            self.close()

    async def request(self, data: bytes, limit: float) -> Any:  # noqa: ANN401
        """The reply, within `limit` seconds. Cancelling gives it up, as running out of time does."""
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
                raise NotSentError("no connection in time") from None
            raise ExchangeError("no reply in time") from None
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
                    raise ConnectionError("ended before a whole reply")
        return reply, reader.reusable and size > 0

    async def _connect(self) -> socket.socket:
        if self.address is None:
            raise NotSentError("there is nothing to connect to")
        if self.open >= self.max_open:
            raise NotSentError("no descriptor is left for it")
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
        """One that is still there. Nothing is owed on it: whatever has come, its end too, ends it."""
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
        """Closes what has been idle for too long, and comes again for the others."""
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
