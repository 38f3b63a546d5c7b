"""Framed messages over TCP: calls with an answer, and messages without one, in both directions."""

import asyncio
import contextlib
import itertools
import logging
import socket
import struct
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any

from crowwing.tier.wire.codec import MessageError, decode, encode
from crowwing.tier.wire.network import TCP, Network

log = logging.getLogger("crowwing.wire")

LENGTH = struct.Struct("<I")
MAX_FRAME_BYTES = 64 * 1024 * 1024
REQUEST, RESPONSE, NOTICE, FAILURE = range(4)
UNACKNOWLEDGED_MS = 1500  # bytes that the far side has not acknowledged for so long end the connection
MAX_BUFFERED_BYTES = 32 * 1024 * 1024  # a notice to a peer that reads too slowly is dropped beyond this

Handler = Callable[["Connection", Any], Awaitable[Any]]


@dataclass(frozen=True)
class CallError(Exception):
    """A call brought no answer. `sent` is False only if the far side can't have seen it."""

    reason: str
    sent: bool


def encode_frame(kind: int, number: int, body: object) -> bytes:
    """One frame as it goes over the wire."""
    data = encode((kind, number, body))
    return LENGTH.pack(len(data)) + data


def set_socket_options(writer: asyncio.StreamWriter) -> None:
    """Makes dead peers show: no delay, and a bound on unacknowledged bytes."""
    raw = writer.get_extra_info("socket")
    if raw is None:
        return
    try:
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    except OSError as error:
        log.debug("socket options: %s", error)


class Connection:
    """One connection between two backends."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, handler: Handler | None
    ) -> None:
        self._reader, self._writer, self._handler = reader, writer, handler
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[Any]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.closed = False
        set_socket_options(writer)

    @property
    def remote(self) -> str:
        """The address of the far side."""
        peer = self._writer.get_extra_info("peername")
        return peer[0] if peer else ""

    async def run(self) -> None:
        """Reads until the connection ends; then every open call fails."""
        try:
            while True:
                (length,) = LENGTH.unpack(await self._reader.readexactly(LENGTH.size))
                if length > MAX_FRAME_BYTES:
                    raise MessageError(f"a frame of {length} bytes")
                self._take(decode(await self._reader.readexactly(length)))
        except (asyncio.IncompleteReadError, OSError, MessageError) as error:
            if isinstance(error, MessageError):
                log.warning("connection with %s ended: %s", self.remote, error)
        finally:
            self.close()

    def _take(self, frame: Any) -> None:  # noqa: ANN401
        kind, number, body = frame
        if kind in (RESPONSE, FAILURE):
            future = self._waiting.pop(number, None)
            if future is not None and not future.done():
                if kind == RESPONSE:
                    future.set_result(body)
                else:
                    future.set_exception(CallError(body, True))
        elif self._handler is not None:
            task = asyncio.ensure_future(self._answer(kind, number, body))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _answer(self, kind: int, number: int, body: Any) -> None:  # noqa: ANN401
        assert self._handler is not None
        try:
            result = await self._handler(self, body)
        except asyncio.CancelledError:
            raise
        except Exception as error:  # a defect in one handler ends neither the connection nor the process
            log.exception("handling %s", type(body).__name__)
            self._write(FAILURE, number, str(error))
            return
        if kind == REQUEST:
            self._write(RESPONSE, number, result)

    def _write(self, kind: int, number: int, body: Any) -> None:  # noqa: ANN401
        if not self.closed:
            self._write_frame(encode_frame(kind, number, body))

    def _write_frame(self, frame: bytes) -> None:
        if self.closed:
            return
        try:
            self._writer.write(frame)
        except (RuntimeError, OSError) as error:  # the loop has closed it, and the reader is told later
            log.debug("connection with %s has gone: %s", self.remote, error)
            self.close()

    def notify(self, body: object) -> None:
        """Sends a message that has no answer; it is dropped where the far side reads far too slowly."""
        self.notify_frame(encode_frame(NOTICE, 0, body))

    def notify_frame(self, frame: bytes) -> None:
        """Sends a notice that is encoded already, as `notify` does."""
        if not self.closed and self._writer.transport.get_write_buffer_size() < MAX_BUFFERED_BYTES:
            self._write_frame(frame)

    async def call(self, body: object, timeout_s: float) -> Any:  # noqa: ANN401
        """Sends a request and waits for its answer; raises CallError."""
        if self.closed:
            raise CallError("the connection is closed", False)
        number = next(self._numbers)
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        try:
            self._write(REQUEST, number, body)
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            raise CallError("no answer in time", True) from None
        finally:
            self._waiting.pop(number, None)

    def close(self) -> None:
        """Ends the connection; open calls fail as sent."""
        if self.closed:
            return
        self.closed = True
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(CallError("the connection ended", True))
        for task in list(self._tasks):
            task.cancel()
        self._writer.transport.abort()


async def open_connection(
    host: str, port: int, handler: Handler | None, network: Network = TCP, timeout_s: float = 0.5
) -> Connection:
    """Connects to another backend; raises CallError. The caller runs `run()` as a task of its own."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await network.connect(host, port)
    except (OSError, TimeoutError) as error:
        raise CallError(f"{host}:{port}: {error or 'no connection in time'}", False) from None
    return Connection(reader, writer, handler)


class ConnectionPool:
    """Connections that this process has opened to others, one for each address, opened when first used."""

    def __init__(self, port: int, handler: Handler | None = None, network: Network = TCP) -> None:
        self._port, self._handler, self._network = port, handler, network
        self._open: dict[str, Connection] = {}
        self._opening: dict[str, asyncio.Task[Connection]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    async def get(self, host: str) -> Connection:
        """The open connection to a host; raises CallError where there can be none."""
        connection = self._open.get(host)
        if connection is not None and not connection.closed:
            return connection
        opening = self._opening.get(host)
        if opening is None:
            opening = asyncio.ensure_future(self._connect(host))
            self._opening[host] = opening
            opening.add_done_callback(lambda task: self._opened(host, task))
        return await asyncio.shield(opening)

    async def _connect(self, host: str) -> Connection:
        connection = await open_connection(host, self._port, self._handler, self._network)
        self._open[host] = connection
        self._keep(asyncio.ensure_future(connection.run()))
        return connection

    def _opened(self, host: str, task: asyncio.Task[Connection]) -> None:
        self._opening.pop(host, None)
        if not task.cancelled():
            task.exception()  # seen here, so that nobody is warned of it

    def _keep(self, task: asyncio.Task[Any]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def call(self, host: str, body: object, timeout_s: float) -> Any:  # noqa: ANN401
        """Calls a host; raises CallError."""
        connection = await self.get(host)
        return await connection.call(body, timeout_s)

    def notify(self, host: str, body: object) -> None:
        """Sends a message without an answer, as far as the host can be reached."""
        self.notify_all((host,), body)

    def notify_all(self, hosts: Iterable[str], body: object) -> None:
        """Sends the same message, encoded once, to several hosts."""
        frame = encode_frame(NOTICE, 0, body)
        for host in hosts:
            connection = self._open.get(host)
            if connection is not None and not connection.closed:
                connection.notify_frame(frame)
            else:
                self._keep(asyncio.ensure_future(self._notify_later(host, frame)))

    async def _notify_later(self, host: str, frame: bytes) -> None:
        try:
            (await self.get(host)).notify_frame(frame)
        except CallError as error:
            log.debug("not sent: %s", error)

    def close(self) -> None:
        """Closes all connections."""
        for connection in self._open.values():
            connection.close()


async def serve(host: str, port: int, handler: Handler, network: Network = TCP) -> Any:  # noqa: ANN401
    """Listens for other backends; gives the listener."""

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.CancelledError):  # the process ends
            await Connection(reader, writer, handler).run()

    return await network.listen(host, port, accept)
