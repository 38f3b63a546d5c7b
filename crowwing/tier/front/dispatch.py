"""Runs one admitted request or item at sidecars: choice, tries, and the one stream that comes out of them."""

import asyncio
import logging
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from crowwing.tier.configuration import Route
from crowwing.tier.front.attempts import MIN_ERROR_STATUS
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
    StreamBrokenError,
    close_after_answer,
    hop_by_hop,
    read_body,
)

log = logging.getLogger("crowwing.dispatch")

MAX_SENDS = 6  # of one try of a client, counting those that did not run
RESPONSE_TIMEOUT_S = 0.6  # without a byte, after which a repeatable request is tried elsewhere
EVENT_TIMEOUT_S = 1.0  # between the events of one that can go on elsewhere
EXPECT_VERSION = b"expect-version"
DROPPED = {b"deadline-ms", b"target-instance", b"content-length", b"last-event-id"}


@dataclass
class SidecarRequest:
    """What is to be run."""

    method: str
    target: bytes
    headers: Headers
    body: bytes
    request_id: bytes
    route: Route
    service: str
    blocks: tuple[PromptBlock, ...]
    deadline: float  # on the steady clock
    attempts_left: int
    last_event: int | None = None
    retries_errors: bool = False  # an answer of 5xx is taken as a failed run where another is allowed
    tried: set[str] = field(default_factory=set)

    @property
    def expects_version(self) -> bool:
        """Whether it is only for sidecars with certain weights."""
        return any(name.lower() == EXPECT_VERSION for name, _ in self.headers)


@dataclass(frozen=True)
class NotServed:
    """Nothing has run and nothing will."""

    reason: str


@dataclass(frozen=True)
class Failed:
    """It may have run, and there is no answer."""

    status: int
    reason: str


@dataclass
class OpenResponse:
    """A sidecar answers; `release` when done with it."""

    opened: ResponseStarted
    state: SidecarState


class Dispatcher:
    """Sends jobs to sidecars."""

    def __init__(self, pool: ServicePool) -> None:
        self._pool = pool

    async def open(self, job: SidecarRequest) -> OpenResponse | NotServed | Failed:
        """Sends a job until a sidecar begins to answer it."""
        reason = "no sidecar is there"
        may_have_run = False
        for _ in range(MAX_SENDS):
            now = time.monotonic()
            if now >= job.deadline:
                reason = "the time is up"
                break
            state = self._pool.router.choose(job.service, job.blocks, now, frozenset(job.tried))
            if state is None:
                break
            job.tried.add(state.entry.id)
            outcome = await self._send(job, state)
            self._pool.log.count(job.service, outcome)
            if isinstance(outcome, ResponseStarted):
                running = OpenResponse(outcome, state)
                if not self._is_tried_again(job, outcome):
                    return running
                await self.close(running)
                reason, may_have_run = f"status {outcome.status}", True
                job.attempts_left -= 1
                continue
            reason = outcome.reason
            if isinstance(outcome, NotExecuted):
                if outcome.status is not None:
                    self._pool.attempts.not_executed(state, outcome, job.expects_version)
                elif not outcome.no_connection:
                    state.record_failure(time.monotonic())
                continue
            state.record_failure(time.monotonic())
            may_have_run = True
            job.attempts_left -= 1
            if not job.route.repeatable or job.attempts_left <= 0:
                break
        if may_have_run:
            return Failed(504 if time.monotonic() >= job.deadline else 502, reason)
        return NotServed(reason)

    @staticmethod
    def _is_tried_again(job: SidecarRequest, opened: ResponseStarted) -> bool:
        return opened.status >= MIN_ERROR_STATUS and job.retries_errors and job.attempts_left > 1

    async def _send(self, job: SidecarRequest, state: SidecarState) -> AttemptOutcome:
        client = self._pool.clients.of_sidecar(state)
        left = job.deadline - time.monotonic()
        another = job.route.repeatable and job.attempts_left > 1
        limit = min(left, RESPONSE_TIMEOUT_S) if another else left
        number = self._pool.attempts.sent(state)
        try:
            async with asyncio.timeout(limit):
                headers = self._headers(job, state, left)
                outcome = await client.send(job.method, job.target, headers, job.body, job.request_id)
        except TimeoutError:
            outcome = ResponseLost("no answer in time")
        except BaseException:
            self._pool.attempts.ended(state)
            raise
        finally:
            self._pool.attempts.head_ended(state, number)
        if isinstance(outcome, ResponseStarted):
            self._pool.attempts.response_started(state, outcome)
            self._pool.router.record_cached(state, job.blocks)
        else:
            self._pool.attempts.ended(state)
        return outcome

    @staticmethod
    def _headers(job: SidecarRequest, state: SidecarState, left_s: float) -> Headers:
        dropped = DROPPED | hop_by_hop(job.headers)
        headers = [(name, value) for name, value in job.headers if name.lower() not in dropped]
        headers.append((b"Deadline-Ms", str(max(1, int(left_s * 1000))).encode()))
        headers.append((b"Target-Instance", state.entry.id.encode()))
        if job.last_event is not None:
            headers.append((b"Last-Event-Id", str(job.last_event).encode()))
        if job.body or job.method in ("POST", "PUT", "PATCH"):
            headers.append((b"Content-Length", str(len(job.body)).encode()))
        return headers

    async def close(self, running: OpenResponse) -> None:
        """Done with an answer; one that has not ended is broken off."""
        self._pool.attempts.ended(running.state)
        await close_after_answer(running.opened.response)

    async def events(self, job: SidecarRequest, running: OpenResponse) -> AsyncIterator[StreamEvent]:
        """The whole events of a resumable job, taken up elsewhere where a sidecar breaks off.

        Raises StreamBroken where it can't be gone on with. Closes what it opens.
        """
        without_id = False
        while True:
            splitter = EventSplitter()
            try:
                async for event in self._one_run(job, running, splitter):
                    without_id = without_id or event.id is None
                    if event.id is not None:
                        job.last_event = event.id
                    yield event
                return
            except (StreamBrokenError, TimeoutError) as error:
                running.state.record_failure(time.monotonic())
                job.attempts_left -= 1
                if without_id or job.attempts_left <= 0 or time.monotonic() >= job.deadline:
                    raise StreamBrokenError(str(error)) from error
            finally:
                await self.close(running)
            resumed = await self.open(job)
            if not isinstance(resumed, OpenResponse):
                raise StreamBrokenError(resumed.reason)
            if resumed.opened.status != 200:
                await self.close(resumed)
                raise StreamBrokenError(f"status {resumed.opened.status} on going on")
            running = resumed

    async def _one_run(
        self, job: SidecarRequest, running: OpenResponse, splitter: EventSplitter
    ) -> AsyncIterator[StreamEvent]:
        after = job.last_event
        async for chunk in with_chunk_timeout(read_body(running.opened), job):
            for event in splitter.feed(chunk):
                if event.id is not None and after is not None and event.id != after + 1:
                    raise StreamBrokenError(f"event {event.id} after {after}")
                after = event.id if event.id is not None else after
                yield event
        if splitter.rest.strip():
            raise StreamBrokenError("it ended inside an event")


async def with_chunk_timeout(chunks: AsyncIterator[bytes], job: SidecarRequest) -> AsyncIterator[bytes]:
    """The chunks; raises TimeoutError where none comes for long although another sidecar could go on."""
    while True:
        left = job.deadline - time.monotonic()
        limit = min(left, EVENT_TIMEOUT_S) if job.attempts_left > 1 else left
        try:
            async with asyncio.timeout(max(0.0, limit)):
                chunk = await anext(chunks)
        except StopAsyncIteration:
            return
        yield chunk
