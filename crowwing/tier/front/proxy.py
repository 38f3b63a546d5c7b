"""A client's request from its first byte to its last: route, admission, dispatch, and the answer."""

import asyncio
import contextlib
import hashlib
import logging
import math
import random
import time

from litestar.types import Message, Receive, Scope, Send

from crowwing.tier.configuration import RequestLimits, Route, RoutingTable, choose_service
from crowwing.tier.front.admission import AdmissionRequest, rank_of
from crowwing.tier.front.asgi import (
    BodyTimeoutError,
    BodyTooLargeError,
    ClientDisconnectedError,
    ClientRequest,
    read_body,
    respond_json,
    respond_unavailable,
    wait_disconnect,
)
from crowwing.tier.front.batch_api import BatchApi
from crowwing.tier.front.dispatch import Dispatcher, Failed, NotServed, OpenResponse, SidecarRequest
from crowwing.tier.front.prefix_cache import parse_prompt_prefix
from crowwing.tier.front.service_pool import ServicePool
from crowwing.tier.front.upstream import Headers, StreamBrokenError, hop_by_hop
from crowwing.tier.front.upstream import read_body as read_answer

log = logging.getLogger("crowwing.proxy")

DEFAULT_DEADLINE_MS = 10_000.0
START_WAIT_S = 0.9  # for the first configuration, while this backend starts
MIN_RETRY_AFTER_S = 0.05
RETRY_THRESHOLD_FACTOR, RETRY_SPREAD_S = 4.0, 0.3  # later with the cut, in aims, and not all at once
WITHOUT_CONFIGURATION = RequestLimits(maxBodyBytes=64 * 1024 * 1024)
ANSWER_MARGIN_S = 0.2  # beyond the deadline, after which an answer is broken off


class Answer:
    """The body of an answer on its way to the client."""

    def __init__(self, send: Send) -> None:
        self._send = send
        self.is_client_blocked = False  # which reads too slowly

    async def forward(self, chunk: bytes) -> None:
        """Sends a chunk."""
        self.is_client_blocked = True
        await self._send({"type": "http.response.body", "body": chunk, "more_body": True})
        self.is_client_blocked = False


class Proxy:
    """The front's ASGI application."""

    def __init__(self, pool: ServicePool, batch: BatchApi) -> None:
        self._pool, self._batch = pool, batch
        self._dispatcher = Dispatcher(pool)
        self.draining = False
        self.open = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """One request."""
        if scope["type"] != "http":
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
        limits = table.configuration.limits if table is not None else WITHOUT_CONFIGURATION
        max_bytes = limits.max_body_bytes
        closes = [(b"connection", b"close")]
        try:
            body = await read_body(receive, max_bytes, limits.idle_timeout_ms / 1000)
        except BodyTooLargeError:
            await respond_json(send, 413, {"error": f"a body may have {max_bytes} bytes"}, closes)
            return
        except BodyTimeoutError:
            await respond_json(send, 408, {"error": "the body did not come in time"}, closes)
            return
        request = ClientRequest(
            scope["method"],
            scope["raw_path"].decode("latin-1"),
            scope["query_string"],
            scope["headers"],
            body,
        )
        if table is None:
            await respond_unavailable(send, "this backend has no configuration yet", 0.3)
            return
        route = table.find(request.host, request.path)
        if route is None:
            if not await self._batch.serve_without_route(request, send):
                await respond_json(send, 404, {"error": "no route has this host and path"})
        elif route.kind == "batch_queue":
            await self._batch.serve_route(request, route, send)
        else:
            await self._serve_route(request, route, table, arrived, receive, send)

    async def _serve_route(
        self,
        request: ClientRequest,
        route: Route,
        table: RoutingTable,
        arrived: float,
        receive: Receive,
        send: Send,
    ) -> None:
        work = asyncio.ensure_future(self._run(request, route, arrived, send))
        gone = asyncio.ensure_future(wait_disconnect(receive))
        try:
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            gone.cancel()
            if not work.done():
                work.cancel()
        try:
            await work
        except asyncio.CancelledError:
            raise ClientDisconnectedError from None

    async def _run(self, request: ClientRequest, route: Route, arrived: float, send: Send) -> None:
        service = choose_service(route, request.header(b"request-id") or b"")
        deadline_ms = parse_deadline(request.header(b"deadline-ms"))
        deadline = arrived + min(deadline_ms, route.timeout_ms) / 1000
        latency_target_s = route.slo_ms / 1000
        admission_request = AdmissionRequest(
            route.name, rank_of(route.priority, spread(request)), arrived, deadline, False
        )
        if not await self._pool.admit(service, admission_request, latency_target_s):
            await respond_unavailable(
                send, "too much is asked of the sidecars", self._retry_after_s(service, latency_target_s)
            )
            return
        try:
            await self._run_started(request, route, service, deadline, arrived, admission_request, send)
        finally:
            self._pool.release(service)

    def _retry_after_s(self, service: str, latency_target_s: float) -> float:
        """When a refused request may try again, in seconds."""
        priority_threshold = self._pool.admission(service).priority_threshold
        return (
            max(MIN_RETRY_AFTER_S, latency_target_s) * (1 + RETRY_THRESHOLD_FACTOR * priority_threshold)
            + RETRY_SPREAD_S * random.random()
        )

    async def _run_started(
        self, request: ClientRequest, route: Route, service: str, deadline: float, arrived: float,
        admission_request: AdmissionRequest, send: Send,
    ) -> None:  # fmt: skip
        parts = parse_prompt_prefix((request.header(b"prompt-prefix") or b"").decode("latin-1"))
        resumed_at = request.header(b"last-event-id")
        job = SidecarRequest(
            request.method, request.target, request.headers, request.body,
            request.header(b"request-id") or b"", route, service, parts, deadline, route.max_attempts,
            int(resumed_at) if resumed_at is not None and resumed_at.isdigit() else None,
            retries_errors=route.repeatable,
        )  # fmt: skip
        started = await self._dispatcher.open(job)
        if isinstance(started, NotServed):
            await respond_unavailable(send, started.reason, MIN_RETRY_AFTER_S)
        elif isinstance(started, Failed):
            await respond_json(send, started.status, {"error": started.reason})
        else:
            latency_target_s = route.slo_ms / 1000
            self._pool.admission(service).class_queue(route.name, latency_target_s).learn(
                time.monotonic() - arrived
            )
            await self._relay(job, started, send)

    async def _relay(self, job: SidecarRequest, running: OpenResponse, send: Send) -> None:
        opened = running.opened
        streams = job.route.kind == "stream" and opened.status == 200
        headers = forwarded_headers(opened.headers, keeps_length=not (streams and job.route.resumable))
        await send({"type": "http.response.start", "status": opened.status, "headers": headers})
        answer = Answer(send)
        try:  # a client that does not read holds its place at a sidecar no longer either
            async with asyncio.timeout(max(0.0, job.deadline + ANSWER_MARGIN_S - time.monotonic())):
                if streams and job.route.resumable:
                    async with contextlib.aclosing(self._dispatcher.events(job, running)) as events:
                        async for event in events:
                            await answer.forward(event.raw)
                else:
                    await self._relay_body(running, answer)
        except (StreamBrokenError, TimeoutError) as error:
            if not answer.is_client_blocked:
                running.state.record_failure(time.monotonic())
            log.info("an answer of %s broke off: %s", running.state.entry.id, error)
            return  # the server closes the connection, so that the answer does not look complete
        await send({"type": "http.response.body", "body": b""})

    async def _relay_body(self, running: OpenResponse, answer: "Answer") -> None:
        """Passes the body on as it comes."""
        try:
            async for chunk in read_answer(running.opened):
                await answer.forward(chunk)
        finally:
            await self._dispatcher.close(running)


def to_client(send: Send) -> Send:
    """Sends to a client; raises ClientGone where its connection has just gone."""

    async def send_or_gone(message: Message) -> None:
        try:
            await send(message)
        except (RuntimeError, OSError) as error:  # the transport's word for it
            log.debug("a client has gone: %s", error)
            raise ClientDisconnectedError from error

    return send_or_gone


def forwarded_headers(headers: Headers, keeps_length: bool) -> Headers:
    """The headers of a sidecar that its client gets."""
    dropped = hop_by_hop(headers) | (set() if keeps_length else {b"content-length"})
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def spread(request: ClientRequest) -> float:
    """A place from 0 to 1 that its id draws, so that all sizes of a kind are cut alike."""
    key = request.header(b"request-id") or b""
    return int.from_bytes(hashlib.blake2b(key, digest_size=4).digest(), "big") / 2**32


def parse_deadline(told: bytes | None) -> float:
    """How many milliseconds the client waits, a default where it does not say so."""
    try:
        deadline_ms = float(told) if told is not None else DEFAULT_DEADLINE_MS
    except ValueError:
        return DEFAULT_DEADLINE_MS
    return deadline_ms if 0 < deadline_ms < math.inf else DEFAULT_DEADLINE_MS
