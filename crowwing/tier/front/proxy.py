"""The reverse proxy for client requests: route, admission, dispatch, and relay of the response."""

import asyncio
import contextlib
import hashlib
import logging
import math
import random
import time
from dataclasses import dataclass

from crowwing.tier.configuration import RequestLimits, Route, choose_service
from crowwing.tier.front.admission import AdmissionRequest, rank_of
from crowwing.tier.front.asgi import (
    HTTP_SCOPE,
    ClientRequest,
    Message,
    Receive,
    Scope,
    Send,
    read_body,
    respond_json,
    respond_unavailable,
    response_body,
    response_start,
    wait_disconnect,
)
from crowwing.tier.front.batch_api import BatchApi
from crowwing.tier.front.complete_body import OK_STATUS, is_event_stream, read_complete_body
from crowwing.tier.front.dispatch import Dispatcher, Failed, NotServed, OpenResponse, SidecarRequest
from crowwing.tier.front.errors import (
    BodyTimeoutError,
    BodyTooLargeError,
    ClientDisconnectedError,
    StreamBrokenError,
)
from crowwing.tier.front.prefix_cache import parse_prompt_prefix
from crowwing.tier.front.service_pool import ServicePool
from crowwing.tier.front.upstream import Headers, hop_by_hop
from crowwing.tier.front.whole_numbers import parse_whole_number

log = logging.getLogger("crowwing.proxy")

DEFAULT_DEADLINE_MS = 10_000.0
START_WAIT_S = 0.9  # for the first configuration, while the front starts
START_RETRY_AFTER_S = 0.3  # from a front without a configuration
MIN_RETRY_AFTER_S = 0.05
RETRY_THRESHOLD_FACTOR = 4.0  # latency targets added to retry-after at a priority threshold of 1
RETRY_JITTER_S = 0.3  # keeps rejected clients from retrying all at once
MAX_BODY_BYTES_UNCONFIGURED = 64 * 1024 * 1024
RESPONSE_MARGIN_S = 0.2  # beyond the deadline, before a response is aborted
UNCONFIGURED_LIMITS = RequestLimits.model_validate({"maxBodyBytes": MAX_BODY_BYTES_UNCONFIGURED})
OPTIONAL_WHITESPACE = b" \t"  # around a header value, not part of it (RFC 9110, 5.5)
CLOSE_CONNECTION = [(b"connection", b"close")]


class ResponseBody:
    """Sends the head and body of a response to the client. Created by the proxy for each response."""

    def __init__(self, send: Send) -> None:
        """Sends over the ASGI channel `send`."""
        self._send = send
        self.is_client_blocked = False  # a send waits because the client reads too slowly

    async def start(self, status: int, headers: Headers) -> None:
        """Sends the response head."""
        self.is_client_blocked = True
        await self._send(response_start(status, headers))
        self.is_client_blocked = False

    async def forward(self, chunk: bytes) -> None:
        """Sends a chunk of the body."""
        self.is_client_blocked = True
        await self._send(response_body(chunk, more_body=True))
        self.is_client_blocked = False


@dataclass(frozen=True)
class RoutedRequest:
    """A client request with its route. Times are seconds of the monotonic clock."""

    request: ClientRequest
    route: Route
    service: str
    arrived: float
    deadline: float

    @property
    def request_id(self) -> bytes:
        """The request id; empty if it has none."""
        return self.request.header(b"request-id") or b""

    @property
    def latency_target_s(self) -> float:
        """The latency target of the route: the time to the first event."""
        return self.route.slo_ms / 1000


class Proxy:
    """The front's ASGI application. Owned by the front's process; the HTTP server calls it for each request.

    Attributes:
        draining: Whether this front is shutting down.
        open: The number of open requests.
    """

    def __init__(self, pool: ServicePool, batch: BatchApi) -> None:
        """Serves routes with the sidecars of a pool, and batch jobs with the batch API."""
        self._pool, self._batch = pool, batch
        self._dispatcher = Dispatcher(pool)
        self.draining = False
        self.open = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serves one request."""
        if scope["type"] != HTTP_SCOPE:
            return
        self.open += 1
        try:
            await self._serve(scope, receive, to_client(send))
        except ClientDisconnectedError:
            pass
        finally:
            self.open -= 1

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        arrived = time.monotonic()
        table = await self._pool.wait_until_known(START_WAIT_S)
        limits = table.configuration.limits if table is not None else UNCONFIGURED_LIMITS
        request = await _read_request(scope, receive, send, limits)
        if request is None:
            return
        if table is None:
            await respond_unavailable(send, "this backend has no configuration yet", START_RETRY_AFTER_S)
            return
        route = table.find(request.host, request.path)
        if route is None:
            if not await self._batch.serve_without_route(request, send):
                await respond_json(send, 404, {"error": "no route has this host and path"})
        elif route.kind == "batch_queue":
            await self._batch.serve_route(request, send)
        else:
            service = choose_service(route, request.header(b"request-id") or b"")
            deadline_ms = parse_deadline(request.header(b"deadline-ms"))
            deadline = arrived + min(deadline_ms, route.timeout_ms) / 1000
            routed = RoutedRequest(request, route, service, arrived, deadline)
            await self._run_while_connected(routed, receive, send)

    async def _run_while_connected(self, routed: RoutedRequest, receive: Receive, send: Send) -> None:
        """Serves a request, and cancels it when the client closes the connection."""
        work = asyncio.ensure_future(self._run(routed, send))
        disconnect = asyncio.ensure_future(wait_disconnect(receive))
        try:
            await asyncio.wait({work, disconnect}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            disconnect.cancel()
            if not work.done():
                work.cancel()
        try:
            await work
        except asyncio.CancelledError as error:
            raise ClientDisconnectedError from error

    async def _run(self, routed: RoutedRequest, send: Send) -> None:
        rank = rank_of(routed.route.priority, hash_fraction(routed.request_id))
        admission_request = AdmissionRequest(
            routed.route.name, rank, routed.arrived, routed.deadline, is_batch_item=False
        )
        if not await self._pool.admit(routed.service, admission_request, routed.latency_target_s):
            await respond_unavailable(send, "too much is asked of the sidecars", self._retry_after_s(routed))
            return
        try:
            await self._run_admitted(routed, send)
        finally:
            self._pool.release(routed.service)

    def _retry_after_s(self, routed: RoutedRequest) -> float:
        """Seconds after which a rejected request may be retried."""
        threshold = self._pool.admission(routed.service).priority_threshold
        base_s = max(MIN_RETRY_AFTER_S, routed.latency_target_s)
        return base_s * (1 + RETRY_THRESHOLD_FACTOR * threshold) + RETRY_JITTER_S * random.random()

    async def _run_admitted(self, routed: RoutedRequest, send: Send) -> None:
        sidecar_request = _make_sidecar_request(routed)
        result = await self._dispatcher.open(sidecar_request)
        match result:
            case NotServed(reason):
                await respond_unavailable(send, reason, MIN_RETRY_AFTER_S)
            case Failed(status, reason):
                await respond_json(send, status, {"error": reason})
            case OpenResponse():
                admission = self._pool.admission(routed.service)
                queue = admission.class_queue(routed.route.name, routed.latency_target_s)
                queue.record_latency(time.monotonic() - routed.arrived)
                await self._relay(sidecar_request, result, send)

    async def _relay(self, sidecar_request: SidecarRequest, response: OpenResponse, send: Send) -> None:
        """Relays a response to the client."""
        started = response.started
        route = sidecar_request.route
        is_stream = is_event_stream(route, started)
        is_ok = started.status == OK_STATUS
        is_resumable = is_stream and is_ok and route.kind == "stream" and route.resumable
        # without a length, so that the client can tell a stream that ends early
        headers = forwarded_headers(started.headers, keeps_length=not is_stream)
        body = ResponseBody(send)
        timeout_s = max(0.0, sidecar_request.deadline + RESPONSE_MARGIN_S - time.monotonic())
        try:  # so that a client that does not read can't hold a sidecar slot for longer
            async with asyncio.timeout(timeout_s):
                await body.start(started.status, headers)
                if is_resumable:
                    await self._relay_events(sidecar_request, response, body)
                else:
                    await self._relay_body(route, response, body)
        except (StreamBrokenError, TimeoutError) as error:
            if not body.is_client_blocked:
                response.state.record_failure(time.monotonic())
            log.info("response_broken sidecar=%s reason=%s", response.state.entry.id, error)
            return  # the server closes the connection, so that the response is not taken as complete
        finally:  # also if the client disconnected before the head was sent
            await self._dispatcher.close(response)
        await send(response_body(b""))

    async def _relay_events(
        self, sidecar_request: SidecarRequest, response: OpenResponse, body: ResponseBody
    ) -> None:
        async with contextlib.aclosing(self._dispatcher.events(sidecar_request, response)) as events:
            async for event in events:
                await body.forward(event.raw)

    async def _relay_body(self, route: Route, response: OpenResponse, body: ResponseBody) -> None:
        """Relays the body as it arrives."""
        async for chunk in read_complete_body(route, response.started, response.state):
            await body.forward(chunk)


async def _read_request(
    scope: Scope, receive: Receive, send: Send, limits: RequestLimits
) -> ClientRequest | None:
    """Reads the complete request; returns None if it was invalid and an error response was sent."""
    max_bytes = limits.max_body_bytes
    try:
        body = await read_body(receive, max_bytes, limits.idle_timeout_ms / 1000)
    except BodyTooLargeError:
        await respond_json(send, 413, {"error": f"a body may have {max_bytes} bytes"}, CLOSE_CONNECTION)
        return None
    except BodyTimeoutError:
        await respond_json(send, 408, {"error": "the body did not come in time"}, CLOSE_CONNECTION)
        return None
    headers = [(name, value.strip(OPTIONAL_WHITESPACE)) for name, value in scope["headers"]]
    if sum(name == b"host" for name, _ in headers) > 1:
        await respond_json(send, 400, {"error": "Host: there are several"}, CLOSE_CONNECTION)
        return None
    path = scope["raw_path"].decode("latin-1")
    return ClientRequest(scope["method"], path, scope["query_string"], headers, body)


def _make_sidecar_request(routed: RoutedRequest) -> SidecarRequest:
    request = routed.request
    prompt_prefix = (request.header(b"prompt-prefix") or b"").decode("latin-1")
    resumed_at = request.header(b"last-event-id")
    return SidecarRequest(
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=request.body,
        request_id=routed.request_id,
        route=routed.route,
        service=routed.service,
        blocks=parse_prompt_prefix(prompt_prefix),
        deadline=routed.deadline,
        attempts_left=routed.route.max_attempts,
        last_event=parse_whole_number(resumed_at) if resumed_at is not None else None,
        retries_errors=routed.route.is_idempotent,
    )


def to_client(send: Send) -> Send:
    """Wraps `send` to raise ClientDisconnectedError if the client's connection is gone."""

    async def send_or_raise(message: Message) -> None:
        try:
            await send(message)
        except (RuntimeError, OSError) as error:  # raised by the HTTP server
            log.debug("client_disconnected reason=%s", error)
            raise ClientDisconnectedError from error

    return send_or_raise


def forwarded_headers(headers: Headers, keeps_length: bool) -> Headers:
    """The headers of a sidecar's response that are forwarded to the client."""
    dropped = hop_by_hop(headers) | (frozenset() if keeps_length else {b"content-length"})
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def hash_fraction(request_id: bytes) -> float:
    """Hashes a request id to a number from 0 to 1, so that rejection is independent of the request's size."""
    return int.from_bytes(hashlib.blake2b(request_id, digest_size=4).digest(), "big") / 2**32


def parse_deadline(header: bytes | None) -> float:
    """Parses a `Deadline-Ms` header.

    Returns:
        How many milliseconds the client waits; DEFAULT_DEADLINE_MS if the header is missing or invalid.
    """
    try:
        deadline_ms = float(header) if header is not None else DEFAULT_DEADLINE_MS
    except ValueError:
        return DEFAULT_DEADLINE_MS
    return deadline_ms if 0 < deadline_ms < math.inf else DEFAULT_DEADLINE_MS
