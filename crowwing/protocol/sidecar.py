"""Sidecar HTTP: what comes in as tickets and health checks, and the answers that go back."""

import re
from collections.abc import Iterator
from typing import NamedTuple
from urllib.parse import parse_qs

import httptools

from crowwing.protocol.arrival import Arrival

BODY_MOST = 2048
HEAD_MOST = 8192
RESULT_MOST = 4096
KEY_MOST = 255
_NUMBER = re.compile(rb"\d{1,20}(\.\d{1,20})?(e-?\d{1,2})?")  # no sign, no word such as inf
_ID = re.compile(rb"[0-9a-fA-F]{16}")
_REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 413: "Content Too Large",
    431: "Request Header Fields Too Large", 500: "Internal Server Error", 503: "Service Unavailable",
}  # fmt: skip


class Check(NamedTuple):
    """A health check; a deep one asks whether work gets done."""

    deep: bool


class Bad(NamedTuple):
    """What is answered with a 4xx; `fatal` where the stream cannot be trusted any further."""

    status: int
    why: str
    fatal: bool = False


class _Wrong(ValueError):
    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class SidecarReader:
    """Takes the bytes of one connection in any pieces and gives what was asked, in order."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.found: list[Arrival | Check | Bad] = []
        self.dead = self.partial = self.whole_head = False
        self.head = 0
        self.on_message_begin()

    def feed(self, view: memoryview) -> list[Arrival | Check | Bad]:
        if self.dead:
            return []
        try:
            if not self.whole_head:
                self.head += len(view)
            self.parser.feed_data(view)
            if not self.whole_head and self.partial and self.head > HEAD_MOST:
                raise _Wrong(431, "headers over their limit")
        except httptools.HttpParserUpgrade:
            self.dead = True  # it is answered as what it is otherwise, and the last
        except httptools.HttpParserError as wrong:
            cause = wrong.__context__ if isinstance(wrong.__context__, _Wrong) else None
            self._fail(cause.status if cause else 400, str(cause or wrong))
        except _Wrong as wrong:
            self._fail(wrong.status, str(wrong))
        found, self.found = self.found, []
        return found

    def _fail(self, status: int, why: str) -> None:
        self.dead = True
        self.found.append(Bad(status, why, fatal=True))

    # httptools calls these

    def on_message_begin(self) -> None:
        self.url, self.body = b"", bytearray()
        self.headers: dict[bytes, bytes] = {}
        self.partial, self.whole_head, self.head = True, False, 0

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if name in self.headers and name.startswith(b"x-"):
            raise _Wrong(400, "a header given twice")
        if name == b"transfer-encoding":  # no sidecar sends one, and it can hide a second request in a body
            raise _Wrong(400, "a body that no length frames")
        self.headers[name] = value

    def on_headers_complete(self) -> None:
        self.whole_head = True
        if len(self.url) > HEAD_MOST or int(self.headers.get(b"content-length", b"0")) > BODY_MOST:
            raise _Wrong(413, "body over its limit")

    def on_body(self, part: bytes) -> None:
        self.body += part
        if len(self.body) > BODY_MOST:
            raise _Wrong(413, "body over its limit")

    def on_message_complete(self) -> None:
        self.partial, self.head = False, 0
        try:
            self.found.append(self._value(self.parser.get_method(), self.url.decode("ascii")))
        except _Wrong as wrong:
            self.found.append(Bad(wrong.status, str(wrong)))
        except UnicodeDecodeError:
            self.found.append(Bad(400, "a path that is not ASCII"))
        if not self.parser.should_keep_alive():
            self.dead = True
        self.body = bytearray()

    def _value(self, method: bytes, target: str) -> Arrival | Check:
        path, _, query = target.partition("?")
        if path == "/ping":
            if method != b"GET":
                raise _Wrong(405, "a health check is a GET")
            return Check(deep=parse_qs(query).get("engine") == ["1"])
        if not path.startswith("/call/") or "/" in path[6:] or path == "/call/":
            raise _Wrong(404, "no such path")
        if method != b"POST":
            raise _Wrong(405, "a ticket is a POST")
        ident, patience = self.headers.get(b"x-txn", b""), self.headers.get(b"x-ttl-ms")
        if not _ID.fullmatch(ident):
            raise _Wrong(400, "x-txn is not 16 hex digits")
        key = self.headers.get(b"x-txn-key", b"")
        if len(key) > KEY_MOST:  # it is kept for as long as its window
            raise _Wrong(400, "x-txn-key over its limit")
        arrived = self._whole(b"x-ingress-time", 10**15) * 1000
        rank, kb = self._number(b"x-shed-order"), self._number(b"x-working-set-kb")
        if not 0 <= rank < 1:
            raise _Wrong(400, "x-shed-order out of its range")
        if not 0 < kb < 2000:
            raise _Wrong(400, "x-working-set-kb out of its range")
        return Arrival(
            id=ident.decode(),
            type=path[6:],
            customer=_text(self.headers.get(b"x-merchant", b"")),
            arrived=arrived,
            due=arrived + self._whole(b"x-ttl-ms", 10**9) * 1000 if patience is not None else 0,
            sidecar=self._whole(b"x-router", 10**9),
            kb=kb,
            rank=rank,
            row=self.headers.get(b"x-row", b"").decode("latin-1"),
            key=key.decode("latin-1"),
            body=bytes(self.body),
        )

    def _whole(self, name: bytes, most: int) -> int:
        text = self.headers.get(name, b"")
        if text.isdigit() and len(text) < 20 and (number := int(text)) <= most:  # bytes: ASCII digits only
            return number
        raise _Wrong(400, f"{name.decode()} is no whole number in its range")

    def _number(self, name: bytes) -> float:
        text = self.headers.get(name, b"")
        if not _NUMBER.fullmatch(text):
            raise _Wrong(400, f"{name.decode()} is no number in its range")
        return float(text)


def _text(value: bytes) -> str:
    """A name as the settings write it: UTF-8, or one byte a letter where it is none."""
    try:
        return value.decode()
    except UnicodeDecodeError:
        return value.decode("latin-1")


def _answer(status: int, headers: Iterator[str], body: bytes) -> bytes:
    head = f"HTTP/1.1 {status} {_REASONS[status]}\r\n{''.join(headers)}Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


def _common(free_value: float | None, closes: bool) -> Iterator[str]:
    if free_value is not None:
        yield f"X-Capacity: {free_value:.4f}\r\n"
    if closes:
        yield "Connection: close\r\n"


def settled(result: bytes, free_value: float | None, closes: bool) -> bytes:
    return _answer(200, _common(free_value, closes), result)


def dismissed(
    away: int, nowhere_else: bool, free_value: float | None, closes: bool, retry_after: bool = False
) -> bytes:
    """`away` in microseconds: how long to stay away; `retry_after`: also in RFC 9110's field, seconds up."""

    def headers() -> Iterator[str]:
        if away > 0:
            yield f"X-Throttle-Ms: {max(1, away // 1000)}\r\n"
            if retry_after:
                yield f"Retry-After: {-(-away // 1_000_000)}\r\n"
        if nowhere_else:
            yield "X-Give-Up: 1\r\n"
        yield from _common(free_value, closes)

    return _answer(503, headers(), b"")


def forfeited(free_value: float | None, closes: bool) -> bytes:
    return _answer(500, _common(free_value, closes), b"")


def checked(good: bool, free_value: float | None, closes: bool) -> bytes:
    return _answer(200 if good else 503, _common(free_value, closes), b"")


def turned_down(status: int, free_value: float | None, closes: bool) -> bytes:
    """The 4xx for what is no ticket."""
    return _answer(status, _common(free_value, closes), b"")
