"""ASGI helpers: reading the body of a client request, and sending complete responses."""

import asyncio
import json
from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass
from typing import Any, TypeAlias

from crowwing.tier.front.errors import BodyTimeoutError, BodyTooLargeError, ClientDisconnectedError

# Types of the ASGI specification, version 3.0.
Scope: TypeAlias = MutableMapping[str, Any]
Message: TypeAlias = MutableMapping[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[Message]]
Send: TypeAlias = Callable[[Message], Awaitable[None]]
HTTP_SCOPE = "http"  # scope type of an HTTP request

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True)
class ClientRequest:
    """A complete client request."""

    method: str
    path: str  # as sent, without the query
    query: bytes
    headers: Headers
    body: bytes

    @property
    def target(self) -> bytes:
        """The path and query, as sent."""
        return self.path.encode("latin-1") + (b"?" + self.query if self.query else b"")

    def header(self, name: bytes) -> bytes | None:
        """Returns the value of a header, by its name in lower case, or None."""
        return next((value for key, value in self.headers if key == name), None)

    @property
    def host(self) -> str:
        """The `Host` header."""
        return (self.header(b"host") or b"").decode("latin-1")


async def read_body(receive: Receive, max_bytes: int, timeout_s: float) -> bytes:
    """Reads the complete body of a request.

    Args:
        receive: The ASGI receive channel of the client.
        max_bytes: The maximum size of the body.
        timeout_s: The maximum time between two chunks.

    Raises:
        ClientDisconnectedError: The client closed its connection.
        BodyTooLargeError: The body has more than `max_bytes`.
        BodyTimeoutError: Nothing was received for `timeout_s`.
    """
    chunks: list[bytes] = []
    size = 0
    while True:
        try:
            async with asyncio.timeout(timeout_s):
                message = await receive()
        except TimeoutError as error:
            raise BodyTimeoutError from error
        if message["type"] != "http.request":
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


def response_start(status: int, headers: Headers) -> Message:
    """The ASGI message that starts a response."""
    return {"type": "http.response.start", "status": status, "headers": headers}


def response_body(body: bytes, more_body: bool = False) -> Message:
    """The ASGI message with a chunk of the response body, by default the last one."""
    return {"type": "http.response.body", "body": body, "more_body": more_body}


async def respond(send: Send, status: int, body: bytes, headers: Headers | None = None) -> None:
    """Sends a complete response."""
    all_headers = [(b"content-length", str(len(body)).encode()), *(headers or [])]
    await send(response_start(status, all_headers))
    await send(response_body(body))


async def respond_json(send: Send, status: int, value: object, headers: Headers | None = None) -> None:
    """Sends a complete JSON response."""
    typed = [(b"content-type", b"application/json"), *(headers or [])]
    await respond(send, status, json.dumps(value).encode(), typed)


async def respond_unavailable(send: Send, reason: str, retry_after_s: float) -> None:
    """Sends a 503 with Retry-After: the request was not executed and will not be; the client may retry."""
    headers = [(b"retry-after", f"{retry_after_s:.3f}".encode())]
    await respond_json(send, 503, {"error": reason}, headers)
