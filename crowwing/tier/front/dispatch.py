"""Dispatch of an admitted request to sidecars: its attempts, and the single response stream they yield."""

import asyncio
import logging
import time
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field

from crowwing.tier.configuration import Route
from crowwing.tier.front.attempts import MIN_ERROR_STATUS
from crowwing.tier.front.complete_body import OK_STATUS, read_complete_body
from crowwing.tier.front.errors import StreamBrokenError
from crowwing.tier.front.events import EventSplitter, StreamEvent
from crowwing.tier.front.prefix_cache import PromptBlock
from crowwing.tier.front.service_pool import ServicePool
from crowwing.tier.front.sidecar_state import SidecarState
from crowwing.tier.front.upstream import (
    AttemptOutcome,
    Headers,
    NotExecuted,
    ResponseLost,
    ResponseStarted,
    close_after_answer,
    hop_by_hop,
)

log = logging.getLogger("crowwing.dispatch")

MAX_SENDS = 6  # per client request, including attempts that were not executed
RESPONSE_TIMEOUT_S = 0.6  # without a response head, before an idempotent request is retried elsewhere
EVENT_TIMEOUT_S = 1.0  # between the events of a stream that can be resumed elsewhere
BAD_GATEWAY_STATUS = 502
GATEWAY_TIMEOUT_STATUS = 504
EXPECT_VERSION = b"expect-version"
METHODS_WITH_BODY = ("POST", "PUT", "PATCH")
REPLACED_HEADERS = {b"deadline-ms", b"target-instance", b"content-length", b"last-event-id"}


@dataclass
class SidecarRequest:
    """A request as it is sent to sidecars, and the progress of its attempts.

    Created by the proxy or the batch job runner; the dispatcher updates the progress.
    """

    method: str
    target: bytes
    headers: Headers
    body: bytes
    request_id: bytes
    route: Route
    service: str
    blocks: tuple[PromptBlock, ...]
    deadline: float  # on the monotonic clock
    attempts_left: int  # attempts that may execute the request
    last_event: int | None = None
    retries_errors: bool = False  # whether a 5xx response is retried while attempts are left
    tried: set[str] = field(default_factory=set)  # ids of sidecars already tried

    @property
    def expects_version(self) -> bool:
        """Whether it may run only at sidecars with a certain version of the weights."""
        return any(name.lower() == EXPECT_VERSION for name, _ in self.headers)


@dataclass(frozen=True)
class NotServed:
    """No sidecar has executed the request, and none will."""

    reason: str


@dataclass(frozen=True)
class Failed:
    """The request may have been executed, and there is no response."""

    status: int  # for the client
    reason: str


@dataclass
class OpenResponse:
    """A started response. Its owner calls `Dispatcher.close`, or reads it with `Dispatcher.events`."""

    started: ResponseStarted
    state: SidecarState
    is_closed: bool = False


DispatchResult = OpenResponse | NotServed | Failed


@dataclass
class _Progress:
    """The result of the attempts so far."""

    reason: str = "no sidecar is there"
    may_have_run: bool = False


class Dispatcher:
    """Sends requests to sidecars. The proxy and the batch job runner own one each."""

    def __init__(self, pool: ServicePool) -> None:
        """Sends requests to the sidecars of a pool."""
        self._pool = pool

    async def open(self, request: SidecarRequest) -> DispatchResult:
        """Sends a request to one sidecar after another until one starts to respond.

        Returns:
            The response, which the caller must close, or the reason why there is none.
        """
        progress = _Progress()
        for _ in range(MAX_SENDS):
            state = self._next_sidecar(request, progress)
            if state is None:
                break
            outcome = await self._send(request, state)
            self._pool.log.count(request.service, outcome)
            if isinstance(outcome, ResponseStarted) and not _is_error_retried(request, outcome):
                return OpenResponse(outcome, state)
            if not await self._can_retry(request, state, outcome, progress):
                break
        if not progress.may_have_run:
            return NotServed(progress.reason)
        is_late = time.monotonic() >= request.deadline
        return Failed(GATEWAY_TIMEOUT_STATUS if is_late else BAD_GATEWAY_STATUS, progress.reason)

    def _next_sidecar(self, request: SidecarRequest, progress: _Progress) -> SidecarState | None:
        now = time.monotonic()
        if now >= request.deadline:
            progress.reason = "the time is up"
            return None
        state = self._pool.router.choose(request.service, request.blocks, now, frozenset(request.tried))
        if state is not None:
            request.tried.add(state.entry.id)
        return state

    async def _can_retry(
        self, request: SidecarRequest, state: SidecarState, outcome: AttemptOutcome, progress: _Progress
    ) -> bool:
        """Records an attempt that gave no usable response; returns whether another one is allowed."""
        match outcome:
            case ResponseStarted(status):
                await self.close(OpenResponse(outcome, state))
                progress.reason = f"status {status}"
                progress.may_have_run = True
                request.attempts_left -= 1
                return True
            case NotExecuted(status, reason, no_connection):
                progress.reason = reason
                if status is not None:
                    self._pool.attempts.not_executed(state, outcome, request.expects_version)
                elif not no_connection:
                    state.record_failure(time.monotonic())
                return True
            case ResponseLost(reason):
                progress.reason = reason
                progress.may_have_run = True
                state.record_failure(time.monotonic())
                request.attempts_left -= 1
                return request.route.is_idempotent and request.attempts_left > 0

    async def _send(self, request: SidecarRequest, state: SidecarState) -> AttemptOutcome:
        client = self._pool.clients.of_sidecar(state)
        left_s = request.deadline - time.monotonic()
        has_another = request.route.is_idempotent and request.attempts_left > 1
        timeout_s = min(left_s, RESPONSE_TIMEOUT_S) if has_another else left_s
        number = self._pool.attempts.sent(state)
        try:
            async with asyncio.timeout(timeout_s):
                headers = _sidecar_headers(request, state, left_s)
                outcome = await client.send(
                    request.method, request.target, headers, request.body, request.request_id
                )
        except TimeoutError:
            outcome = ResponseLost("no answer in time")
        except BaseException:
            self._pool.attempts.ended(state)
            raise
        finally:
            self._pool.attempts.head_ended(state, number)
        if isinstance(outcome, ResponseStarted):
            self._pool.attempts.response_started(state, outcome)
            self._pool.router.record_cached(state, request.blocks)
        else:
            self._pool.attempts.ended(state)
        return outcome

    async def close(self, response: OpenResponse) -> None:
        """Closes a response and aborts it if it has not ended. Further calls do nothing."""
        if response.is_closed:
            return
        response.is_closed = True
        self._pool.attempts.ended(response.state)
        await close_after_answer(response.started.response)

    async def events(
        self, request: SidecarRequest, response: OpenResponse
    ) -> AsyncGenerator[StreamEvent, None]:
        """Yields the complete events of a resumable request.

        If the stream of one sidecar breaks, it is resumed at another one. Closes each response that it reads.

        Raises:
            StreamBrokenError: The stream broke and can't be resumed.
        """
        without_id = False
        while True:
            try:
                async for event in _read_events(request, response):
                    without_id = without_id or (event.has_data and event.id is None)
                    if event.id is not None:
                        request.last_event = event.id
                    yield event
            except (StreamBrokenError, TimeoutError) as error:
                response.state.record_failure(time.monotonic())
                request.attempts_left -= 1
                if without_id or request.attempts_left <= 0 or time.monotonic() >= request.deadline:
                    raise StreamBrokenError(str(error)) from error
            else:
                return
            finally:
                await self.close(response)
            response = await self._resume(request)

    async def _resume(self, request: SidecarRequest) -> OpenResponse:
        """Resumes after the last event at another sidecar; raises StreamBrokenError if none accepts it."""
        resumed = await self.open(request)
        if not isinstance(resumed, OpenResponse):
            raise StreamBrokenError(resumed.reason)
        if resumed.started.status != OK_STATUS:
            await self.close(resumed)
            reason = f"status {resumed.started.status} on going on"
            raise StreamBrokenError(reason)
        return resumed


def _is_error_retried(request: SidecarRequest, started: ResponseStarted) -> bool:
    return started.status >= MIN_ERROR_STATUS and request.retries_errors and request.attempts_left > 1


def _sidecar_headers(request: SidecarRequest, state: SidecarState, left_s: float) -> Headers:
    dropped = REPLACED_HEADERS | hop_by_hop(request.headers)
    headers = [(name, value) for name, value in request.headers if name.lower() not in dropped]
    headers.append((b"Deadline-Ms", str(max(1, int(left_s * 1000))).encode()))
    headers.append((b"Target-Instance", state.entry.id.encode()))
    if request.last_event is not None:
        headers.append((b"Last-Event-Id", str(request.last_event).encode()))
    if request.body or request.method in METHODS_WITH_BODY:
        headers.append((b"Content-Length", str(len(request.body)).encode()))
    return headers


async def _read_events(request: SidecarRequest, response: OpenResponse) -> AsyncGenerator[StreamEvent, None]:
    """Yields the events of one response.

    Raises:
        StreamBrokenError: Event ids are not consecutive, or the response ended early.
        TimeoutError: No chunk came in time.
    """
    splitter = EventSplitter()
    body = read_complete_body(request.route, response.started, response.state)
    async for chunk in with_chunk_timeout(body, request):
        for event in splitter.feed(chunk):
            _check_order(event, request.last_event)
            yield event
    for event in splitter.finish():
        _check_order(event, request.last_event)
        yield event


def _check_order(event: StreamEvent, last_id: int | None) -> None:
    """Raises StreamBrokenError if the id of an event does not follow the last one."""
    if event.id is not None and last_id is not None and event.id != last_id + 1:
        reason = f"event {event.id} after {last_id}"
        raise StreamBrokenError(reason)


async def with_chunk_timeout(
    chunks: AsyncGenerator[bytes, None], request: SidecarRequest
) -> AsyncGenerator[bytes, None]:
    """Yields the chunks; raises TimeoutError at the deadline, or after EVENT_TIMEOUT_S if a retry is left."""
    while True:
        left_s = request.deadline - time.monotonic()
        timeout_s = min(left_s, EVENT_TIMEOUT_S) if request.attempts_left > 1 else left_s
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                chunk = await anext(chunks)
        except StopAsyncIteration:
            return
        yield chunk
