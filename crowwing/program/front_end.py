"""HTTP front end for the sidecars: passes their requests to the dispatcher, and answers health checks."""

import asyncio
from collections import Counter, deque

from crowwing.protocol import sidecar
from crowwing.protocol.arrival import Arrival
from crowwing.routing.dispatcher import Dispatcher
from crowwing.routing.event_recorder import EventRecorder
from crowwing.routing.open_request import OpenRequest
from crowwing.routing.request_resolver import InvalidRequestError
from crowwing.transport.connection import Connection

# Seconds before a connection is read again after a bad request: added each time, and the maximum.
READ_PAUSE_STEP, MAX_READ_PAUSE = 0.002, 0.02


class FrontEnd:
    """State shared by all connections: what every response carries, and readiness for health checks."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        recorder: EventRecorder,
        deep_checks: bool,
        check_timeout: float,
    ) -> None:
        self.loop, self.recorder, self.deep_checks, self.check_timeout = (
            loop,
            recorder,
            deep_checks,
            check_timeout,
        )
        self.dispatcher: Dispatcher
        self.spare_capacity: float | None = None
        self.retry_after = False  # also send the standard Retry-After header
        self.ready = False  # until the decision module reports it
        self.draining = False
        self.ending = False  # no more requests go to the dispatcher
        self.bad_requests_by_reason: Counter[str] = Counter()  # reset by each `figures` line
        # Deep checks in progress; each ends within the time-out.
        self.pending_checks: set[asyncio.Task] = set()

    def new_connection(self, connection: Connection) -> "SidecarConnection":
        return SidecarConnection(self, connection)


class SidecarConnection:
    """One sidecar connection: one request or health check at a time, answered in order."""

    __slots__ = ("front", "connection", "reader", "waiting", "request", "last")

    def __init__(self, front: FrontEnd, connection: Connection) -> None:
        self.front, self.connection = front, connection
        self.reader = sidecar.SidecarReader()
        # Removed as they are answered.
        self.waiting: deque[Arrival | sidecar.HealthCheck | sidecar.BadRequest] = deque()
        self.request: OpenRequest | None = None
        self.last = False  # the current request is the last on this connection

    # Called by the connection

    def received(self, view: memoryview) -> None:
        try:
            self._received(view)
        except Exception:  # an error ends this connection, not the others
            self.front.recorder.defect("window", self.request.id if self.request else None)
            self.reader.closed = self.connection.deaf = self.last = True
            self.waiting.clear()
            if self.request is None and self.connection.busy:
                self.failed()
            self.connection.close()

    def _received(self, view: memoryview) -> None:
        found = self.reader.feed(view)
        if self.reader.closed:
            self.connection.deaf = True
        if found and (self.connection.busy or len(found) > 1):
            keep = found[:0] if self.connection.busy else found[:1]
            # A second request before the response: not a stream of a sidecar.
            self.reader.closed = self.connection.deaf = True
            found = [*keep, sidecar.BadRequest(400, "a second request before the answer", fatal=True)]
        self.waiting += found
        self.connection.began = (
            (self.connection.began or self.connection.since) if self.reader.partial else 0.0
        )
        self._next()

    def ended(self, broken: bool) -> None:
        """Handles the end of the stream, or our close after an incomplete request."""
        if broken and self.request is not None:
            self.front.dispatcher.caller_gone(self.request, self)
            self._release()
        elif not broken and self.connection.began and not (self.connection.busy or self.reader.closed):
            self.connection.busy = self.reader.closed = self.connection.deaf = True
            self.connection.began = 0.0
            self._send_bad_request(sidecar.BadRequest(400, "ended before it was whole", fatal=True))

    def _next(self) -> None:
        while self.waiting and not self.connection.busy:
            item = self.waiting.popleft()
            self.front.recorder.verify(self.request is None, "one ticket a connection")
            self.connection.busy = True
            self.last = self.reader.closed and not self.waiting
            if isinstance(item, Arrival):
                self._arrive(item)
            elif isinstance(item, sidecar.BadRequest):
                self._send_bad_request(item)
            elif item.deep and self.front.deep_checks and self.front.ready:
                task = self.front.loop.create_task(self._deep_check())
                self.front.pending_checks.add(task)
                task.add_done_callback(self.front.pending_checks.discard)
            else:
                self._send_health(self.front.ready)

    def _arrive(self, arrival: Arrival) -> None:
        if self.front.ending:  # read during the final shutdown: it never runs
            self.front.recorder.count("dismissed_at_the_end")
            self.rejected(0, False)
            return
        try:
            self.request = self.front.dispatcher.arrive(arrival, self)
            self.connection.proven = True
        except InvalidRequestError as error:
            self._send_bad_request(sidecar.BadRequest(400, str(error)))

    async def _deep_check(self) -> None:
        self._send_health(await self.front.dispatcher.health_probe.exercise(self.front.check_timeout))

    # Responses

    def completed(self, result: bytes) -> None:
        self._send(sidecar.encode_completed(result, self.front.spare_capacity, self._closes()))

    def rejected(self, retry_after: int, give_up: bool) -> None:
        with_retry_after = self.front.retry_after
        self._send(
            sidecar.encode_rejected(
                retry_after, give_up, self.front.spare_capacity, self._closes(), with_retry_after
            )
        )

    def failed(self) -> None:
        self._send(sidecar.encode_failed(self.front.spare_capacity, self._closes()))

    def _send_health(self, good: bool) -> None:
        self.connection.proven = True
        self.front.recorder.count("checks_good" if good else "checks_bad")
        self._send(sidecar.encode_health(good, self.front.spare_capacity, self._closes()))

    def _send_bad_request(self, bad: sidecar.BadRequest) -> None:
        self.front.recorder.count("bad_requests")
        self.front.bad_requests_by_reason[f"{bad.status} {bad.reason}"] += 1
        self.last |= bad.fatal
        # Slows a client that keeps sending bad requests; it delays no response, only the next read.
        self.connection.pause = min(MAX_READ_PAUSE, self.connection.pause + READ_PAUSE_STEP)
        self._send(sidecar.encode_bad_request(bad.status, self.front.spare_capacity, self._closes()))

    def _closes(self) -> bool:
        return self.last or self.front.draining or self.connection.closing

    def _send(self, data: bytes) -> None:
        if self.connection.busy:
            closes = self._closes()
            self.connection.send(data)
            if closes:  # the response said so; nothing follows it
                self.waiting.clear()
                self.reader.closed = self.connection.deaf = True
            self._release()
            if closes:
                self.connection.close()
            else:
                self._next()

    def _release(self) -> None:
        self.request = None
        self.connection.release()
