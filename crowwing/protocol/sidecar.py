"""HTTP of the sidecars: parses requests and health checks, and encodes responses."""

import re
from collections.abc import Iterator
from typing import NamedTuple
from urllib.parse import parse_qs

import httptools

from crowwing.protocol.arrival import Arrival

MAX_BODY_BYTES = 2048
MAX_HEADER_BYTES = 8192
MAX_RESULT_BYTES = 4096
MAX_KEY_BYTES = 255
_NUMBER = re.compile(rb"\d{1,20}(\.\d{1,20})?(e-?\d{1,2})?")  # rejects signs and words such as inf
_ID = re.compile(rb"[0-9a-fA-F]{16}")
_REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 413: "Content Too Large",
    431: "Request Header Fields Too Large", 500: "Internal Server Error", 503: "Service Unavailable",
}  # fmt: skip


class HealthCheck(NamedTuple):
    """A health check; a deep one runs a test job on the worker agent."""

    deep: bool


class BadRequest(NamedTuple):
    """An invalid request, answered with a 4xx; `fatal` if nothing after it can be parsed."""

    status: int
    reason: str
    fatal: bool = False


class _InvalidRequestError(ValueError):
    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class SidecarReader:
    """Incremental parser for one connection; takes bytes split anywhere and returns requests in order."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.parsed: list[Arrival | HealthCheck | BadRequest] = []
        self.closed = self.partial = self.headers_complete = False
        self.header_bytes = 0
        self.on_message_begin()

    def feed(self, view: memoryview) -> list[Arrival | HealthCheck | BadRequest]:
        if self.closed:
            return []
        try:
            if not self.headers_complete:
                self.header_bytes += len(view)
            self.parser.feed_data(view)
            if not self.headers_complete and self.partial and self.header_bytes > MAX_HEADER_BYTES:
                raise _InvalidRequestError(431, "headers over their limit")
        except httptools.HttpParserUpgrade:
            self.closed = True  # answered without the upgrade; nothing after this request is read
        except httptools.HttpParserError as error:
            cause = error.__context__ if isinstance(error.__context__, _InvalidRequestError) else None
            self._fail(cause.status if cause else 400, str(cause or error))
        except _InvalidRequestError as error:
            self._fail(error.status, str(error))
        parsed, self.parsed = self.parsed, []
        return parsed

    def _fail(self, status: int, reason: str) -> None:
        self.closed = True
        self.parsed.append(BadRequest(status, reason, fatal=True))

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        self.url, self.body = b"", bytearray()
        self.headers: dict[bytes, bytes] = {}
        self.partial, self.headers_complete, self.header_bytes = True, False, 0

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if name in self.headers and name.startswith(b"x-"):
            raise _InvalidRequestError(400, "a header given twice")
        if name == b"transfer-encoding":  # no sidecar sends it, and it could hide a second request in a body
            raise _InvalidRequestError(400, "a body that no length frames")
        self.headers[name] = value

    def on_headers_complete(self) -> None:
        self.headers_complete = True
        if (
            len(self.url) > MAX_HEADER_BYTES
            or int(self.headers.get(b"content-length", b"0")) > MAX_BODY_BYTES
        ):
            raise _InvalidRequestError(413, "body over its limit")

    def on_body(self, chunk: bytes) -> None:
        self.body += chunk
        if len(self.body) > MAX_BODY_BYTES:
            raise _InvalidRequestError(413, "body over its limit")

    def on_message_complete(self) -> None:
        self.partial, self.header_bytes = False, 0
        try:
            self.parsed.append(self._parse_request(self.parser.get_method(), self.url.decode("ascii")))
        except _InvalidRequestError as error:
            self.parsed.append(BadRequest(error.status, str(error)))
        except UnicodeDecodeError:
            self.parsed.append(BadRequest(400, "a path that is not ASCII"))
        if not self.parser.should_keep_alive():
            self.closed = True
        self.body = bytearray()

    def _parse_request(self, method: bytes, target: str) -> Arrival | HealthCheck:
        path, _, query = target.partition("?")
        if path == "/ping":
            if method != b"GET":
                raise _InvalidRequestError(405, "a health check is a GET")
            return HealthCheck(deep=parse_qs(query).get("engine") == ["1"])
        if not path.startswith("/call/") or "/" in path[6:] or path == "/call/":
            raise _InvalidRequestError(404, "no such path")
        if method != b"POST":
            raise _InvalidRequestError(405, "a ticket is a POST")
        request_id, time_to_live = self.headers.get(b"x-txn", b""), self.headers.get(b"x-ttl-ms")
        if not _ID.fullmatch(request_id):
            raise _InvalidRequestError(400, "x-txn is not 16 hex digits")
        key = self.headers.get(b"x-txn-key", b"")
        if len(key) > MAX_KEY_BYTES:  # the key is stored for the whole deduplication window
            raise _InvalidRequestError(400, "x-txn-key over its limit")
        arrived = self._integer(b"x-ingress-time", 10**15) * 1000
        rank, kb = self._number(b"x-shed-order"), self._number(b"x-working-set-kb")
        if not 0 <= rank < 1:
            raise _InvalidRequestError(400, "x-shed-order out of its range")
        if not 0 < kb < 2000:
            raise _InvalidRequestError(400, "x-working-set-kb out of its range")
        return Arrival(
            id=request_id.decode(),
            type=path[6:],
            customer=_decode_name(self.headers.get(b"x-merchant", b"")),
            arrived=arrived,
            due=arrived + self._integer(b"x-ttl-ms", 10**9) * 1000 if time_to_live is not None else 0,
            sidecar=self._integer(b"x-router", 10**9),
            kb=kb,
            rank=rank,
            row=self.headers.get(b"x-row", b"").decode("latin-1"),
            key=key.decode("latin-1"),
            body=bytes(self.body),
        )

    def _integer(self, name: bytes, maximum: int) -> int:
        text = self.headers.get(name, b"")
        # isdigit() of bytes accepts ASCII digits only.
        if text.isdigit() and len(text) < 20 and (number := int(text)) <= maximum:
            return number
        raise _InvalidRequestError(400, f"{name.decode()} is no whole number in its range")

    def _number(self, name: bytes) -> float:
        text = self.headers.get(name, b"")
        if not _NUMBER.fullmatch(text):
            raise _InvalidRequestError(400, f"{name.decode()} is no number in its range")
        return float(text)


def _decode_name(value: bytes) -> str:
    """Decodes a name as the settings spell it: UTF-8, or Latin-1 if it is not valid UTF-8."""
    try:
        return value.decode()
    except UnicodeDecodeError:
        return value.decode("latin-1")


def _encode_response(status: int, headers: Iterator[str], body: bytes) -> bytes:
    head = f"HTTP/1.1 {status} {_REASONS[status]}\r\n{''.join(headers)}Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


def _common_headers(spare_capacity: float | None, closes: bool) -> Iterator[str]:
    if spare_capacity is not None:
        yield f"X-Capacity: {spare_capacity:.4f}\r\n"
    if closes:
        yield "Connection: close\r\n"


def encode_completed(result: bytes, spare_capacity: float | None, closes: bool) -> bytes:
    return _encode_response(200, _common_headers(spare_capacity, closes), result)


def encode_rejected(
    retry_after: int,
    give_up: bool,
    spare_capacity: float | None,
    closes: bool,
    with_retry_after: bool = False,
) -> bytes:
    """`retry_after` is in microseconds; `with_retry_after` adds RFC 9110's field, rounded up to seconds."""

    def headers() -> Iterator[str]:
        if retry_after > 0:
            yield f"X-Throttle-Ms: {max(1, retry_after // 1000)}\r\n"
            if with_retry_after:
                yield f"Retry-After: {-(-retry_after // 1_000_000)}\r\n"
        if give_up:
            yield "X-Give-Up: 1\r\n"
        yield from _common_headers(spare_capacity, closes)

    return _encode_response(503, headers(), b"")


def encode_failed(spare_capacity: float | None, closes: bool) -> bytes:
    return _encode_response(500, _common_headers(spare_capacity, closes), b"")


def encode_health(good: bool, spare_capacity: float | None, closes: bool) -> bytes:
    return _encode_response(200 if good else 503, _common_headers(spare_capacity, closes), b"")


def encode_bad_request(status: int, spare_capacity: float | None, closes: bool) -> bytes:
    """Encodes the 4xx response to an invalid request."""
    return _encode_response(status, _common_headers(spare_capacity, closes), b"")
