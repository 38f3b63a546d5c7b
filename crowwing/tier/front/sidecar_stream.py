"""The byte streams to sidecars: httpcore's network backend on asyncio, with what its own leaves undone.

An idle connection must show bytes that nobody asked for, also those that came while it was idle, so that it
is not used again; and the end of a connection must be distinguished from its reset, since a response without
a length ends with the one and is broken by the other.
"""

import asyncio
import socket
from collections.abc import Iterable
from typing import Any

import httpcore

MAX_UNREAD_BYTES = 64 * 1024  # beyond which nothing more is read from the sidecar
READ_TIMED_OUT = "no byte in time"
WRITE_TIMED_OUT = "the sidecar does not read"
SocketOption = Any  # as httpcore declares it


class SidecarStream(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """One connection. Reads as bytes come, so that its state is known at any moment.

    Made by `SidecarNetwork`; asyncio calls one half of it and httpcore the other.
    """

    def __init__(self) -> None:
        """Not connected yet."""
        self._transport: asyncio.Transport | None = None
        self._unread = bytearray()
        self._ended = False  # in order
        self._error: Exception | None = None
        self._closed = False
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._reading_paused = False

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """The connection is there."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Bytes have come, asked for or not."""
        self._unread += data
        self._readable.set()
        if len(self._unread) > MAX_UNREAD_BYTES and self._transport is not None:
            self._reading_paused = True
            self._transport.pause_reading()

    def eof_received(self) -> None:
        """The far side has ended the connection in order."""
        self._ended = True
        self._readable.set()

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is gone; with an error, it was reset or its bytes were never acknowledged."""
        if not self._ended:
            self._error = error or ConnectionAbortedError("closed here")
        self._closed = True
        self._readable.set()
        self._writable.set()

    def pause_writing(self) -> None:
        """The far side does not read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """It reads again."""
        self._writable.set()

    # httpcore.AsyncNetworkStream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Bytes as they come, none at the end; raises httpcore.ReadError where the connection was reset."""
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
        """Hands bytes to the connection; raises httpcore.WriteError where it is gone."""
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
        """Ends the connection at once; what was not sent yet is not sent any more."""
        if not self._closed and self._transport is not None:
            self._closed = True
            self._transport.abort()

    def get_extra_info(self, info: str) -> Any:  # noqa: ANN401  as httpcore declares it
        """`is_readable`: whether an idle connection has bytes or an end, and so can't be used again."""
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
        """Connects; raises httpcore.ConnectError or ConnectTimeout, with no byte sent."""
        del local_address  # a parameter of httpcore's interface: the system chooses it
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
        """Waits between httpcore's own retries, which are not used here."""
        await asyncio.sleep(seconds)
