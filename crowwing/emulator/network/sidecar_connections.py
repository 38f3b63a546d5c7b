"""A sidecar's HTTP/1.1 connections to backends: kept alive, one request at a time."""

import asyncio
from collections.abc import Callable

import httptools

RESEND_WINDOW_S = 0.05  # a request that crossed a close within this time is resent once on a new connection
CONNECT_TIMEOUT_S = 2.0


class SidecarConnection(asyncio.Protocol):
    """One connection; each request ends with `on_reply(status, headers, body)` or `on_lost()`."""

    def __init__(self, pool: "Pool") -> None:
        self.pool = pool
        self.pending: tuple[Callable, Callable, bytes, float, bool] | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.served, self.idle_since = 0, pool.loop.time()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def send(self, data: bytes, on_reply: Callable, on_lost: Callable, resend: bool = False) -> None:
        self.pending = (on_reply, on_lost, data, self.pool.loop.time(), resend)
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.started = False
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self.started = True
        if self.parser is None:
            return self.transport.abort()  # a response without a request
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.abort()
        return None

    def connection_lost(self, _: Exception | None) -> None:
        self.pool.closed(self)
        pending, self.pending = self.pending, None
        if pending is None:
            return
        on_reply, on_lost, data, at, resend = pending
        if self.served and not self.started and not resend and self.pool.loop.time() - at < RESEND_WINDOW_S:
            self.pool.send(data, on_reply, on_lost, on_lost, lambda: None, resend=True)
        else:
            on_lost()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, part: bytes) -> None:
        self.body += part

    def on_message_complete(self) -> None:
        pending, self.pending = self.pending, None
        status, keeps = self.parser.get_status_code(), self.parser.should_keep_alive()
        self.parser, self.idle_since = None, self.pool.loop.time()
        self.served += 1
        if keeps:
            self.pool.idle.append(self)
        else:
            self.transport.close()
        if pending is not None:
            pending[0](status, self.headers, bytes(self.body))


class Pool:
    """One sidecar's connections to one backend; idle ones are closed after `idle_s`."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: tuple[str, int], idle_s: float) -> None:
        self.loop, self.address, self.idle_s = loop, address, idle_s
        self.idle: list[SidecarConnection] = []  # most recently used last
        self.opening: set[asyncio.Task] = set()

    def send(
        self, data: bytes, on_reply: Callable, on_lost: Callable, on_unreached: Callable, on_sent: Callable,
        resend: bool = False,
    ) -> None:  # fmt: skip
        """Calls `on_sent` once the request is written, `on_unreached` if no connection can be opened."""
        while self.idle and not resend:
            connection = self.idle.pop()
            if not connection.transport.is_closing():
                on_sent()
                return connection.send(data, on_reply, on_lost)
        task = self.loop.create_task(self._open(data, on_reply, on_lost, on_unreached, on_sent, resend))
        self.opening.add(task)
        task.add_done_callback(self.opening.discard)
        return None

    async def _open(
        self,
        data: bytes,
        on_reply: Callable,
        on_lost: Callable,
        on_unreached: Callable,
        on_sent: Callable,
        resend: bool,
    ) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self.loop.create_connection(
                    lambda: SidecarConnection(self), *self.address
                )
        except (OSError, TimeoutError):
            on_unreached()
            return
        on_sent()
        connection.send(data, on_reply, on_lost, resend)

    def closed(self, connection: SidecarConnection) -> None:
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self) -> None:
        now = self.loop.time()
        for connection in [
            connection for connection in self.idle if now - connection.idle_since > self.idle_s
        ]:
            self.idle.remove(connection)
            connection.transport.close()
