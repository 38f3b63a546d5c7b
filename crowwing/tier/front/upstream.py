"""The HTTP client for sidecars, over persistent connections, and the outcome of each attempt.

A response belongs to a request if it carries the request's id; one without an id, or with another, is never
forwarded. A connection is reused only after a complete response without surplus bytes.
"""

import asyncio
import logging
import socket
from collections.abc import AsyncGenerator, AsyncIterable, AsyncIterator
from dataclasses import dataclass
from functools import partial

import h11
import httpcore

from crowwing.tier.front.errors import NoConnectionError, StreamBrokenError
from crowwing.tier.front.load_reports import LoadReport, parse_report
from crowwing.tier.front.sidecar_connections import ConnectionState, IdleConnections, SidecarConnections

log = logging.getLogger("crowwing.upstream")

CONNECT_TIMEOUT_S = 0.6
WRITE_TIMEOUT_S = 2.5
REPORT_TIMEOUT_S = 0.5
TIMEOUTS = {
    "connect": CONNECT_TIMEOUT_S,
    "read": None,  # the deadline of the request applies instead
    "write": WRITE_TIMEOUT_S,
}
RELEASE = "crowwing.release"  # response extension: releases the connection once the response is closed
DRAIN_TIMEOUT_S = 0.2
NEXT_HEAD = b"HTTP/1."  # start of a head; inside another head, it belongs to the next response
IDLE_TIMEOUT_S = 4.0
TCP_USER_TIMEOUT_MS = 1500
HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade")
)
NEVER_DROPPED = frozenset((b"model", b"token-usage", b"prompt-prefix", b"request-id", b"host"))
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
)

NOT_SENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)
HTTP_ERRORS = (
    httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError, httpcore.UnsupportedProtocol,
)  # fmt: skip

Headers = list[tuple[bytes, bytes]]


def hop_by_hop(headers: Headers) -> frozenset[bytes]:
    """Names of hop-by-hop headers, including those listed in the `Connection` header."""
    listed = [value for name, value in headers if name.lower() == b"connection"]
    names = {name.strip().lower() for value in listed for name in value.split(b",")}
    return HOP_BY_HOP | (names - NEVER_DROPPED)


@dataclass(frozen=True)
class ResponseStarted:
    """The sidecar has started to respond to this request."""

    status: int
    headers: Headers
    response: httpcore.Response

    def header(self, name: bytes) -> bytes | None:
        """Returns the value of a header, or None."""
        return next((value for key, value in self.headers if key.lower() == name), None)


@dataclass(frozen=True)
class NotExecuted:
    """The sidecar stated that it did not execute the request, or can't have received it."""

    status: int | None  # of the sidecar's response; None if it was not reached
    reason: str
    no_connection: bool = False  # no connection was available; the sidecar may be healthy
    load: bytes | None = None  # the `Server-Load` header of the response


@dataclass(frozen=True)
class ResponseLost:
    """The request was sent, and its outcome is unknown."""

    reason: str


AttemptOutcome = ResponseStarted | NotExecuted | ResponseLost


class SidecarClient:
    """Sends requests to one sidecar. Owned by `SidecarClients`; called by the dispatcher and the poller."""

    def __init__(
        self, address: str, state: ConnectionState | None = None, idle: IdleConnections | None = None
    ) -> None:
        """Connects to `address`, HOST:PORT; shares `state` with routing and `idle` with other clients."""
        self._address = address
        state = state if state is not None else ConnectionState()
        idle = idle if idle is not None else IdleConnections()
        self._connections = SidecarConnections(address, state, idle, IDLE_TIMEOUT_S, CONNECT_TIMEOUT_S)

    async def close(self) -> None:
        """Closes all connections; open responses break."""
        await self._connections.close()

    async def _request(self, method: str, target: bytes, headers: Headers, body: bytes) -> httpcore.Response:
        origin = self._connections.origin
        url = httpcore.URL(scheme=origin.scheme, host=origin.host, port=origin.port, target=target)
        request = httpcore.Request(
            method, url, headers=headers, content=body, extensions={"timeout": TIMEOUTS}
        )
        connection = await self._connections.acquire(SOCKET_OPTIONS)
        try:
            response = await connection.handle_async_request(request)
        except BaseException:
            await self._connections.discard(connection)
            raise
        response.extensions[RELEASE] = partial(self._connections.release, connection)
        return response

    async def report(self) -> LoadReport | None:
        """Requests the sidecar's load report; returns None on an error or time-out."""
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                headers = [(b"Host", self._address.encode())]
                response = await self._request("GET", b"/report", headers, b"")
                return await _read_report(response)
        except (*HTTP_ERRORS, NoConnectionError, TimeoutError) as error:
            log.debug("load report request to %s failed: %s", self._address, error)
            return None

    async def send(
        self, method: str, target: bytes, headers: Headers, body: bytes, request_id: bytes
    ) -> AttemptOutcome:
        """Sends a request and waits for the response head."""
        try:
            response = await self._request(method, target, headers, body)
        except NoConnectionError as error:
            return NotExecuted(None, str(error), no_connection=True)
        except NOT_SENT_ERRORS as error:
            return NotExecuted(None, f"{type(error).__name__}: {error}")
        except HTTP_ERRORS as error:
            return ResponseLost(f"{type(error).__name__}: {error}")
        try:
            return await self._read_outcome(response, request_id)
        except BaseException:
            await _abort(response)
            raise

    async def _read_outcome(self, response: httpcore.Response, request_id: bytes) -> AttemptOutcome:
        headers: Headers = list(response.headers)
        names = {name.lower(): value for name, value in headers}
        if response.status < 200 or not _is_answer_to(response, request_id):
            await _abort(response)
            return ResponseLost("an answer that is not this request's")
        if b"not-executed" in names or response.status == 421:
            await _drain(response)
            load = names.get(b"server-load")
            return NotExecuted(response.status, "the sidecar did not run it", load=load)
        return ResponseStarted(response.status, headers, response)


def _is_answer_to(response: httpcore.Response, request_id: bytes) -> bool:
    """Whether a head is the response to this request, and a single head.

    A surplus response that breaks off inside its head merges with the head of the next response: the result
    has the status of the first one and the id of the second.
    """
    ids = [value for name, value in response.headers if name.lower() == b"request-id"]
    if ids != ([request_id] if request_id else []):
        return False
    reason = response.extensions.get("reason_phrase", b"")
    return not any(NEXT_HEAD in text for text in (reason, *(value for _, value in response.headers)))


async def _read_report(response: httpcore.Response) -> LoadReport | None:
    """Reads a load report. It carries no id, so a connection that delivers anything else is not reused."""
    body = b"".join([chunk async for chunk in _chunks(response)])
    report = parse_report(body)
    if report is None:
        await _abort(response)
        return None
    await close_after_answer(response)
    return report


def _chunks(response: httpcore.Response) -> AsyncIterator[bytes]:
    stream = response.stream
    assert isinstance(stream, AsyncIterable)
    return aiter(stream)


async def _abort(response: httpcore.Response) -> None:
    """Aborts a response by closing its connection."""
    await response.extensions["network_stream"].aclose()
    await _close(response)


async def _close(response: httpcore.Response) -> None:
    """Closes a response and releases its connection."""
    await response.aclose()
    release = response.extensions.get(RELEASE)
    if release is not None:
        await release()


async def close_after_answer(response: httpcore.Response) -> None:
    """Closes a response; its connection is reused only if the response was complete without surplus bytes."""
    stream = response.extensions["network_stream"]
    if _has_surplus(response) or stream.get_extra_info("is_readable"):
        await stream.aclose()
    await _close(response)


def _has_surplus(response: httpcore.Response) -> bool:
    """Whether surplus bytes were read after the response. httpcore does not expose its parser's buffer."""
    connection = getattr(response.stream, "_connection", None)
    state: h11.Connection | None = getattr(connection, "_h11_state", None)
    return state is None or bool(state.trailing_data[0])


async def _drain(response: httpcore.Response) -> None:
    """Reads and discards a short body, so that the connection can be reused."""
    try:
        async with asyncio.timeout(DRAIN_TIMEOUT_S):
            async for _ in _chunks(response):
                pass
    except (*HTTP_ERRORS, TimeoutError):
        pass
    await close_after_answer(response)


async def read_body(started: ResponseStarted) -> AsyncGenerator[bytes, None]:
    """Yields the body as it arrives; raises StreamBrokenError if it ends early.

    A body without a length is complete if the connection was closed regularly, and broken if it was reset.
    """
    try:
        async for chunk in _chunks(started.response):
            yield chunk
    except HTTP_ERRORS as error:
        reason = f"{type(error).__name__}: {error}"
        raise StreamBrokenError(reason) from error
