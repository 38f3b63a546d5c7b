"""Requests to sidecars, over kept connections, and how each try ended."""

import asyncio
import json
import logging
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass

import httpx

from crowwing.tier.plain_http import NO_CERTIFICATES

log = logging.getLogger("crowwing.upstream")

CONNECT_TIMEOUT_S = 0.6
WRITE_TIMEOUT_S = 2.5
REPORT_LIMIT_S = 0.5
TIMEOUTS = {
    "connect": CONNECT_TIMEOUT_S,
    "read": None,  # the request's own deadline holds
    "write": WRITE_TIMEOUT_S,
    "pool": CONNECT_TIMEOUT_S,
}
KEEP_IDLE_S = 4.0
UNACKNOWLEDGED_MS = 1500
HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade")
)
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
)

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True)
class Opened:
    """The sidecar has begun to answer this very request."""

    status: int
    headers: Headers
    response: httpx.Response
    framed: bool  # whether the end of the body will show

    def header(self, name: bytes) -> bytes | None:
        """The value of one header."""
        return next((value for key, value in self.headers if key.lower() == name), None)


@dataclass(frozen=True)
class NotRun:
    """The sidecar says that it did not run the request, or it can't have read it."""

    status: int | None  # the sidecar's own, None where it was not reached
    reason: str


@dataclass(frozen=True)
class MayHaveRun:
    """The request was sent, and what became of it is not known."""

    reason: str


@dataclass(frozen=True)
class Report:
    """A sidecar's load as it stood a moment ago."""

    running: float
    waiting: float


class StreamBroken(Exception):
    """The body ended before its end."""


Outcome = Opened | NotRun | MayHaveRun


class SidecarClient:
    """Connections to one sidecar."""

    def __init__(self, address: str, most_connections: int) -> None:
        self._address = address
        limits = httpx.Limits(
            max_connections=most_connections,
            max_keepalive_connections=most_connections,
            keepalive_expiry=KEEP_IDLE_S,
        )
        self._transport = httpx.AsyncHTTPTransport(
            verify=NO_CERTIFICATES,
            limits=limits,
            socket_options=SOCKET_OPTIONS,
            trust_env=False,
            http2=False,
            retries=0,
        )

    async def close(self) -> None:
        """Closes all connections; open answers break."""
        await self._transport.aclose()

    async def report(self) -> Report | None:
        """What the sidecar says of its load; None where it says nothing in time."""
        request = httpx.Request("GET", f"http://{self._address}/report")
        request.extensions["timeout"] = TIMEOUTS
        try:
            async with asyncio.timeout(REPORT_LIMIT_S):
                response = await self._transport.handle_async_request(request)
                told = json.loads(await response.aread())
            return Report(float(told["running"]), float(told["waiting"]))
        except (httpx.HTTPError, TimeoutError, ValueError, KeyError, TypeError) as error:
            log.debug("no report from %s: %s", self._address, error)
            return None

    async def send(
        self, method: str, target: bytes, headers: Headers, body: bytes, request_id: bytes
    ) -> Outcome:
        """Sends one request and waits for the head of its answer."""
        request = httpx.Request(method, f"http://{self._address}/", headers=headers, content=body or None)
        request.extensions["target"] = target
        request.extensions["timeout"] = TIMEOUTS
        try:
            response = await self._transport.handle_async_request(request)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            return NotRun(None, f"{type(error).__name__}: {error}")
        except httpx.HTTPError as error:
            return MayHaveRun(f"{type(error).__name__}: {error}")
        return await self._opened(response, request_id)

    async def _opened(self, response: httpx.Response, request_id: bytes) -> Outcome:
        headers: Headers = [(name, value) for name, value in response.headers.raw]
        names = {name.lower(): value for name, value in headers}
        if names.get(b"request-id", request_id) != request_id:
            await response.aclose()
            return MayHaveRun("an answer to another request")
        if b"not-executed" in names or response.status_code == 421:
            await _drain(response)
            return NotRun(response.status_code, "the sidecar did not run it")
        framed = b"content-length" in names or b"chunked" in names.get(b"transfer-encoding", b"").lower()
        return Opened(response.status_code, headers, response, framed)


async def _drain(response: httpx.Response) -> None:
    """Reads a short body, so that its connection can be used again."""
    try:
        async with asyncio.timeout(0.2):
            async for _ in response.stream:  # type: ignore[union-attr]
                pass
    except (httpx.HTTPError, TimeoutError):
        pass
    await response.aclose()


async def read_body(opened: Opened) -> AsyncIterator[bytes]:
    """The body as it comes; raises StreamBroken where it ends before its end."""
    try:
        async for chunk in opened.response.stream:  # type: ignore[union-attr]
            yield chunk
    except httpx.HTTPError as error:
        raise StreamBroken(f"{type(error).__name__}: {error}") from error
    if not opened.framed:
        raise StreamBroken("its length was not told")
