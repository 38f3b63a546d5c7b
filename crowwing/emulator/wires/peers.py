"""The back end and the control plane as HTTP/1.1 servers, one listener a backend that speaks with them."""

import asyncio
from collections.abc import Callable

import httptools
import orjson


class Server(asyncio.Protocol):
    """One connection; `heard(method, path, headers, body, answer)` is called for each request."""

    def __init__(self, heard: Callable[..., Callable[[], None] | None]) -> None:
        self.heard = heard
        self.gone: Callable[[], None] | None = None  # told when the connection goes before the answer
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def connection_lost(self, _: Exception | None) -> None:
        gone, self.gone = self.gone, None
        if gone is not None:
            gone()

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
        self.gone = self.heard(
            self.parser.get_method(), self.url, self.headers, bytes(self.body), self.answer
        )

    def answer(self, status: int, body: bytes = b"", extra: bytes = b"") -> None:
        self.gone = None
        if not self.transport.is_closing():
            length = b"" if status == 204 else b"Content-Length: %d\r\n" % len(body)
            self.transport.write(b"HTTP/1.1 %d So\r\n%s%s\r\n" % (status, extra, length) + body)


def condition(body: bytes) -> bool | None:
    """Whether a report says ready; None for what is no report."""
    try:
        told = orjson.loads(body)["condition"]
    except (ValueError, KeyError, TypeError):
        return None
    return {"Ready": True, "NotReady": False}.get(told)
