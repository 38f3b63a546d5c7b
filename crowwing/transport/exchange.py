"""Kept-alive connections on which one asks and one answers at a time."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any, Protocol

from crowwing.transport.pool import BufferPool


class Reader(Protocol):
    """Turns bytes into one reply; `end` is the far side's end of stream."""

    reusable: bool

    def feed(self, view: memoryview) -> Any: ...  # noqa: ANN401

    def end(self) -> Any: ...  # noqa: ANN401


class NeverSent(Exception):
    """No connection came about, so nothing was sent."""


class Broken(Exception):
    """The exchange broke off; the far side may have seen it."""


class Spoilt(Broken):
    """What came back is no reply: the far side has seen it, and is done with it."""


class Exchanges:
    """Connections to one address, or to none; an idle one closes after half of `idle` to `idle` seconds."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int] | None,
        pool: BufferPool,
        reader: Callable[[], Reader],
        idle: float,
        most: int,
    ) -> None:
        self.loop, self.address, self.pool, self.reader = loop, address, pool, reader
        self.idle, self.most = idle, most
        self.spare: dict[socket.socket, float] = {}  # idle since; emptied by use and age, the last used first
        self.sweeping: asyncio.TimerHandle | None = None
        self.open = 0

    @property
    def host(self) -> str:
        return f"{self.address[0]}:{self.address[1]}" if self.address else ""

    def move(self, address: tuple[str, int] | None) -> None:
        """From now on to another address; what is out ends where it is."""
        if address != self.address:
            self.address = address
            self.close()

    async def ask(self, data: bytes, limit: float) -> Any:  # noqa: ANN401
        """The reply, within `limit` seconds. Cancelling gives it up, as running out of time does."""
        sock, reusable, address = self._take(), False, self.address
        try:
            async with asyncio.timeout(limit):
                if sock is None:
                    sock = await self._connect()
                buffer = self.pool.borrow()
                try:
                    reply, reusable = await self._exchange(sock, data, buffer)
                finally:
                    self.pool.give_back(buffer)
        except TimeoutError:
            if sock is None:
                raise NeverSent("no connection in time") from None
            raise Broken("no reply in time") from None
        except OSError as wrong:
            raise Broken(str(wrong) or type(wrong).__name__) from None
        except ValueError as wrong:
            raise Spoilt(str(wrong)) from None
        finally:
            if sock is not None:
                self._put(sock) if reusable and address == self.address else self._close(sock)
        return reply

    async def _exchange(self, sock: socket.socket, data: bytes, buffer: bytearray) -> tuple[Any, bool]:
        await self.loop.sock_sendall(sock, data)
        reader, reply = self.reader(), None
        with memoryview(buffer) as view:
            while reply is None:
                size = await self.loop.sock_recv_into(sock, buffer)
                reply = reader.feed(view[:size]) if size else reader.end()
                if reply is None and not size:
                    raise ConnectionError("ended before a whole reply")
        return reply, reader.reusable and size > 0

    async def _connect(self) -> socket.socket:
        if self.address is None:
            raise NeverSent("there is nothing to connect to")
        if self.open >= self.most:
            raise NeverSent("no descriptor is left for it")
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as wrong:
            raise NeverSent(str(wrong)) from None
        self.open += 1
        try:
            sock.setblocking(False)
            await self.loop.sock_connect(sock, self.address)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as wrong:
            self._close(sock)
            raise NeverSent(str(wrong)) from None
        except BaseException:
            self._close(sock)
            raise
        return sock

    def _take(self) -> socket.socket | None:
        """One that is still there. Nothing is owed on it: whatever has come, its end too, ends it."""
        while self.spare:
            sock, _ = self.spare.popitem()
            try:
                sock.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                return sock
            except OSError:
                pass
            self._close(sock)
        return None

    def _put(self, sock: socket.socket) -> None:
        self.spare[sock] = self.loop.time()
        if self.sweeping is None:
            self.sweeping = self.loop.call_later(self.idle, self._sweep)

    def _sweep(self) -> None:
        """Closes what has been idle for too long, and comes again for the others."""
        now, self.sweeping = self.loop.time(), None
        for sock in [sock for sock, since in self.spare.items() if now - since >= self.idle / 2]:
            del self.spare[sock]
            self._close(sock)
        if self.spare:
            self.sweeping = self.loop.call_later(self.idle / 2, self._sweep)

    def _close(self, sock: socket.socket) -> None:
        self.open -= 1
        sock.close()

    def close(self) -> None:
        for sock in self.spare:
            self._close(sock)
        self.spare.clear()
