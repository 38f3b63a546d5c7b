"""Byte streams to sidecars: a network backend for httpcore on asyncio, with two additions to httpcore's own.

Bytes that nobody requested are detected, even on an idle connection, which is then not reused. A close is
distinguished from a reset: for a response without a length, a close marks its end and a reset is an error.
"""

import asyncio
import socket
from collections.abc import Iterable
from typing import Any

import httpcore

MAX_UNREAD_BYTES = 64 * 1024  # beyond this, reading from the socket pauses
READ_TIMED_OUT = "no byte in time"
WRITE_TIMED_OUT = "the sidecar does not read"
SocketOption = Any  # the type that httpcore declares


class SidecarStream(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """One connection. Reads bytes as they arrive, so that its state is always known.

    Created by `SidecarNetwork`; asyncio calls the protocol methods, and httpcore the stream methods.
    """

    def __init__(self) -> None:
        """Starts unconnected."""
        self._transport: asyncio.Transport | None = None
        self._unread = bytearray()
        self._ended = False  # closed by the sidecar without a reset
        self._error: Exception | None = None
        self._closed = False
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._reading_paused = False

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Stores the transport of the new connection."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Buffers received bytes, requested or not."""
        self._unread += data
        self._readable.set()
        if len(self._unread) > MAX_UNREAD_BYTES and self._transport is not None:
            self._reading_paused = True
            self._transport.pause_reading()

    def eof_received(self) -> None:
        """Records that the sidecar closed the connection without a reset."""
        self._ended = True
        self._readable.set()

    def connection_lost(self, error: Exception | None) -> None:
        """Records the loss of the connection; an error means a reset or unacknowledged bytes."""
        if not self._ended:
            self._error = error or ConnectionAbortedError("closed here")
        self._closed = True
        self._readable.set()
        self._writable.set()

    def pause_writing(self) -> None:
        """Blocks writes: the sidecar does not read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblocks writes: the sidecar reads again."""
        self._writable.set()

    # httpcore.AsyncNetworkStream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Returns received bytes, none at the end; raises httpcore.ReadError if the connection was reset."""
        try:
            async with asyncio.timeout(timeout):
                await self._readable.wait()
        except TimeoutError as error:
            raise httpcore.ReadTimeout(READ_TIMED_OUT) from error
        if self._unread:
            data = bytes(self._unread[:max_bytes])
            del self._unread[:max_bytes]
            if not self._unread and not self._ended and not self._closed:
                self._readable.clear()
            self._resume_reading()
            return data
        if self._ended:
            return b""
        raise httpcore.ReadError(str(self._error))

    def _resume_reading(self) -> None:
        if self._reading_paused and not self._closed and self._transport is not None:
            self._reading_paused = False
            self._transport.resume_reading()

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Sends bytes; raises httpcore.WriteError if the connection is closed."""
        if not buffer:
            return
        if self._closed or self._transport is None or self._transport.is_closing():
            raise httpcore.WriteError(str(self._error or "the connection is closed"))
        self._transport.write(buffer)
        try:
            async with asyncio.timeout(timeout):
                await self._writable.wait()
        except TimeoutError as error:
            raise httpcore.WriteTimeout(WRITE_TIMED_OUT) from error
        if self._closed:
            raise httpcore.WriteError(str(self._error or "the connection is closed"))

    async def aclose(self) -> None:
        """Aborts the connection; unsent bytes are discarded."""
        if not self._closed and self._transport is not None:
            self._closed = True
            self._transport.abort()

    def get_extra_info(self, info: str) -> Any:  # noqa: ANN401  as httpcore declares it
        """`is_readable`: whether an idle connection has unread bytes or was closed, so it can't be reused."""
        if info == "is_readable":
            return bool(self._unread) or self._ended or self._closed or self._error is not None
        return self._transport.get_extra_info(info) if self._transport is not None else None


class SidecarNetwork(httpcore.AsyncNetworkBackend):
    """Opens connections to sidecars."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[SocketOption] | None = None,
    ) -> SidecarStream:
        """Connects; raises httpcore.ConnectError or httpcore.ConnectTimeout, with no byte sent."""
        del local_address  # required by httpcore's interface; the system chooses the address
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout):
                transport, stream = await loop.create_connection(SidecarStream, host, port)
        except TimeoutError as error:
            raise httpcore.ConnectTimeout(f"{host}:{port}") from error
        except OSError as error:
            reason = f"{host}:{port}: {error}"
            raise httpcore.ConnectError(reason) from error
        raw: socket.socket | None = transport.get_extra_info("socket")
        for option in socket_options or ():
            if raw is not None:
                raw.setsockopt(*option)
        return stream

    async def sleep(self, seconds: float) -> None:
        """Sleeps between httpcore's own retries, which are not used here."""
        await asyncio.sleep(seconds)
