"""Small helpers for ASGI: reading a request, writing whole answers."""

import asyncio
import json
from dataclasses import dataclass

from litestar.types import Receive, Send

Headers = list[tuple[bytes, bytes]]


class ClientDisconnectedError(Exception):
    """The client closed its connection."""


class BodyTooLargeError(Exception):
    """The client sends more than the configuration allows."""


class BodyTimeoutError(Exception):
    """The client has sent nothing of its body for too long."""


@dataclass(frozen=True)
class ClientRequest:
    """A whole request of a client."""

    method: str
    path: str  # as sent, without the query
    query: bytes
    headers: Headers
    body: bytes

    @property
    def target(self) -> bytes:
        """The path and query as sent."""
        return self.path.encode("latin-1") + (b"?" + self.query if self.query else b"")

    def header(self, name: bytes) -> bytes | None:
        """The value of one header, by its name in lower case."""
        return next((value for key, value in self.headers if key == name), None)

    @property
    def host(self) -> str:
        """The `Host` header."""
        return (self.header(b"host") or b"").decode("latin-1")


async def read_body(receive: Receive, max_bytes: int, timeout_s: float) -> bytes:
    """The whole body; raises ClientGone, BodyTooLarge, or BodyTooSlow after `silence_s` without a byte."""
    chunks: list[bytes] = []
    size = 0
    while True:
        try:
            async with asyncio.timeout(timeout_s):
                message = await receive()
        except TimeoutError:
            raise BodyTimeoutError from None
        if message["type"] == "http.disconnect":
            raise ClientDisconnectedError
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > max_bytes:
            raise BodyTooLargeError
        chunks.append(chunk)
        if not message.get("more_body"):
            return b"".join(chunks)


async def wait_disconnect(receive: Receive) -> None:
    """Returns when the client has closed its connection."""
    while (await receive())["type"] != "http.disconnect":
        pass


async def respond(send: Send, status: int, body: bytes, headers: Headers | None = None) -> None:
    """Sends a whole answer."""
    all_headers = [(b"content-length", str(len(body)).encode()), *(headers or [])]
    await send({"type": "http.response.start", "status": status, "headers": all_headers})
    await send({"type": "http.response.body", "body": body})


async def respond_json(send: Send, status: int, value: object, headers: Headers | None = None) -> None:
    """Sends a whole answer in JSON."""
    typed = [(b"content-type", b"application/json"), *(headers or [])]
    await respond(send, status, json.dumps(value).encode(), typed)


async def respond_unavailable(send: Send, reason: str, retry_after_s: float, closes: bool = False) -> None:
    """Promises that the request has not run and never will, and says when to come back."""
    headers = [(b"retry-after", f"{retry_after_s:.3f}".encode())]
    if closes:
        headers.append((b"connection", b"close"))
    await respond_json(send, 503, {"error": reason}, headers)
