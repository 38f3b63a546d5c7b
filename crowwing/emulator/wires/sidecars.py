"""A sidecar's HTTP/1.1 connections to backends: kept alive, one ticket at a time."""

import asyncio
from collections.abc import Callable

import httptools

CROSSED = 0.05  # seconds in which a ticket that crossed a close is sent once more, on a new connection
CONNECT = 2.0


class Wire(asyncio.Protocol):
    """One connection. `answered(status, headers, body)` or `lost()` is called for what was asked on it."""

    def __init__(self, pool: "Pool") -> None:
        self.pool = pool
        self.asked: tuple[Callable, Callable, bytes, float, bool] | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.served, self.since = 0, pool.loop.time()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def ask(self, data: bytes, answered: Callable, lost: Callable, again: bool = False) -> None:
        self.asked = (answered, lost, data, self.pool.loop.time(), again)
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.started = False
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self.started = True
        if self.parser is None:
            return self.transport.abort()  # an answer that nobody asked for
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.abort()
        return None

    def connection_lost(self, _: Exception | None) -> None:
        self.pool.closed(self)
        asked, self.asked = self.asked, None
        if asked is None:
            return
        answered, lost, data, at, again = asked
        if self.served and not self.started and not again and self.pool.loop.time() - at < CROSSED:
            self.pool.ask(data, answered, lost, lost, lambda: None, again=True)
        else:
            lost()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, part: bytes) -> None:
        self.body += part

    def on_message_complete(self) -> None:
        asked, self.asked = self.asked, None
        status, keeps = self.parser.get_status_code(), self.parser.should_keep_alive()
        self.parser, self.since = None, self.pool.loop.time()
        self.served += 1
        if keeps:
            self.pool.idle.append(self)
        else:
            self.transport.close()
        if asked is not None:
            asked[0](status, self.headers, bytes(self.body))


class Pool:
    """One sidecar's connections to one backend; idle ones are closed after `idle_s`."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: tuple[str, int], idle_s: float) -> None:
        self.loop, self.address, self.idle_s = loop, address, idle_s
        self.idle: list[Wire] = []  # the last used last; emptied by use, age and closes
        self.opening: set[asyncio.Task] = set()

    def ask(
        self, data: bytes, answered: Callable, lost: Callable, unreached: Callable, written: Callable,
        again: bool = False,
    ) -> None:  # fmt: skip
        """`written` is called once the ticket is on a connection, `unreached` where none can be had."""
        while self.idle and not again:
            wire = self.idle.pop()
            if not wire.transport.is_closing():
                written()
                return wire.ask(data, answered, lost)
        task = self.loop.create_task(self._open(data, answered, lost, unreached, written, again))
        self.opening.add(task)
        task.add_done_callback(self.opening.discard)
        return None

    async def _open(
        self,
        data: bytes,
        answered: Callable,
        lost: Callable,
        unreached: Callable,
        written: Callable,
        again: bool,
    ) -> None:
        try:
            async with asyncio.timeout(CONNECT):
                _, wire = await self.loop.create_connection(lambda: Wire(self), *self.address)
        except (OSError, TimeoutError):
            unreached()
            return
        written()
        wire.ask(data, answered, lost, again)

    def closed(self, wire: Wire) -> None:
        if wire in self.idle:
            self.idle.remove(wire)

    def sweep(self) -> None:
        now = self.loop.time()
        for wire in [wire for wire in self.idle if now - wire.since > self.idle_s]:
            self.idle.remove(wire)
            wire.transport.close()
