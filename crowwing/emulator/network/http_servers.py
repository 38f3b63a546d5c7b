"""HTTP/1.1 servers for the dependency and the control plane, with one listener per backend."""

import asyncio
from collections.abc import Callable

import httptools
import orjson


class HttpServer(asyncio.Protocol):
    """One connection; `handler(method, path, headers, body, respond)` is called for each request."""

    def __init__(self, handler: Callable[..., Callable[[], None] | None]) -> None:
        self.handler = handler
        self.on_disconnect: Callable[[], None] | None = None  # called if it closes before the response
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def connection_lost(self, _: Exception | None) -> None:
        on_disconnect, self.on_disconnect = self.on_disconnect, None
        if on_disconnect is not None:
            on_disconnect()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.abort()

    def on_message_begin(self) -> None:
        self.url, self.headers, self.body = b"", {}, bytearray()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, part: bytes) -> None:
        self.body += part

    def on_message_complete(self) -> None:
        self.on_disconnect = self.handler(
            self.parser.get_method(), self.url, self.headers, bytes(self.body), self.respond
        )

    def respond(self, status: int, body: bytes = b"", extra: bytes = b"") -> None:
        self.on_disconnect = None
        if not self.transport.is_closing():
            length = b"" if status == 204 else b"Content-Length: %d\r\n" % len(body)
            self.transport.write(b"HTTP/1.1 %d So\r\n%s%s\r\n" % (status, extra, length) + body)


def parse_condition(body: bytes) -> bool | None:
    """Returns whether a health report says ready; None if it is malformed."""
    try:
        condition = orjson.loads(body)["condition"]
    except (ValueError, KeyError, TypeError):
        return None
    return {"Ready": True, "NotReady": False}.get(condition)
