"""The sidecars' HTTP in front of the desk: one window a connection."""

import asyncio
from collections import Counter, deque

from crowwing.protocol import sidecar
from crowwing.protocol.arrival import Arrival
from crowwing.routing.dispatcher import Dispatcher
from crowwing.routing.event_recorder import EventRecorder
from crowwing.routing.open_request import OpenRequest
from crowwing.routing.request_resolver import InvalidRequestError
from crowwing.transport.connection import Connection

# Seconds before one that was turned down is read again: more each time, and at most.
PAUSE, PAUSE_MOST = 0.002, 0.02


class Front:
    """What every answer carries, and the answer to health checks."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, recorder: EventRecorder, deep_checks: bool, bound: float
    ) -> None:
        self.loop, self.recorder, self.deep_checks, self.bound = loop, recorder, deep_checks, bound
        self.dispatcher: Dispatcher
        self.free_value: float | None = None
        self.retry_after = False  # advice also goes out in this standard field
        self.good = False  # until the module says so
        self.draining = False
        self.ending = False  # nothing more is handed to the desk
        self.turned_down: Counter[str] = Counter()  # by reason; emptied by each line of figures
        self.checks: set[asyncio.Task] = set()  # deep checks out; each ends within the bound

    def window(self, connection: Connection) -> "Window":
        return Window(self, connection)


class Window:
    """One sidecar connection: one ticket or check at a time, answered in order."""

    __slots__ = ("front", "connection", "reader", "waiting", "request", "last")

    def __init__(self, front: Front, connection: Connection) -> None:
        self.front, self.connection = front, connection
        self.reader = sidecar.SidecarReader()
        self.waiting: deque[Arrival | sidecar.Check | sidecar.Bad] = deque()  # emptied by answers
        self.request: OpenRequest | None = None
        self.last = False  # the one being answered is the last here

    # From the connection

    def received(self, view: memoryview) -> None:
        try:
            self._received(view)
        except Exception:  # a defect costs this connection, not the others
            self.front.recorder.defect("window", self.request.id if self.request else None)
            self.reader.dead = self.connection.deaf = self.last = True
            self.waiting.clear()
            if self.request is None and self.connection.busy:
                self.failed()
            self.connection.close()

    def _received(self, view: memoryview) -> None:
        found = self.reader.feed(view)
        if self.reader.dead:
            self.connection.deaf = True
        if found and (self.connection.busy or len(found) > 1):
            keep = found[:0] if self.connection.busy else found[:1]
            self.reader.dead = self.connection.deaf = (
                True  # a second one before the answer: the stream is not one of ours
            )
            found = [*keep, sidecar.Bad(400, "a second request before the answer", fatal=True)]
        self.waiting += found
        self.connection.began = (
            (self.connection.began or self.connection.since) if self.reader.partial else 0.0
        )
        self._next()

    def ended(self, broken: bool) -> None:
        """The far side's end, or ours behind what is there."""
        if broken and self.request is not None:
            self.front.dispatcher.caller_gone(self.request, self)
            self._free()
        elif not broken and self.connection.began and not (self.connection.busy or self.reader.dead):
            self.connection.busy = self.reader.dead = self.connection.deaf = True
            self.connection.began = 0.0
            self._turn_down(sidecar.Bad(400, "ended before it was whole", fatal=True))

    def _next(self) -> None:
        while self.waiting and not self.connection.busy:
            asked = self.waiting.popleft()
            self.front.recorder.verify(self.request is None, "one ticket a connection")
            self.connection.busy = True
            self.last = self.reader.dead and not self.waiting
            if isinstance(asked, Arrival):
                self._arrive(asked)
            elif isinstance(asked, sidecar.Bad):
                self._turn_down(asked)
            elif asked.deep and self.front.deep_checks and self.front.good:
                task = self.front.loop.create_task(self._exercise())
                self.front.checks.add(task)
                task.add_done_callback(self.front.checks.discard)
            else:
                self._checked(self.front.good)

    def _arrive(self, arrival: Arrival) -> None:
        if self.front.ending:  # read with the last bytes of all: it never runs
            self.front.recorder.count("dismissed_at_the_end")
            self.rejected(0, False)
            return
        try:
            self.request = self.front.dispatcher.arrive(arrival, self)
            self.connection.proven = True
        except InvalidRequestError as wrong:
            self._turn_down(sidecar.Bad(400, str(wrong)))

    async def _exercise(self) -> None:
        self._checked(await self.front.dispatcher.health_probe.exercise(self.front.bound))

    # Answers

    def completed(self, result: bytes) -> None:
        self._send(sidecar.settled(result, self.front.free_value, self._closes()))

    def rejected(self, away: int, nowhere_else: bool) -> None:
        standard = self.front.retry_after
        self._send(sidecar.dismissed(away, nowhere_else, self.front.free_value, self._closes(), standard))

    def failed(self) -> None:
        self._send(sidecar.forfeited(self.front.free_value, self._closes()))

    def _checked(self, good: bool) -> None:
        self.connection.proven = True
        self.front.recorder.count("checks_good" if good else "checks_bad")
        self._send(sidecar.checked(good, self.front.free_value, self._closes()))

    def _turn_down(self, bad: sidecar.Bad) -> None:
        self.front.recorder.count("bad_requests")
        self.front.turned_down[f"{bad.status} {bad.why}"] += 1
        self.last |= bad.fatal
        # Guards against the same again at full speed. Delays no answer, only the reading of what comes after.
        self.connection.pause = min(PAUSE_MOST, self.connection.pause + PAUSE)
        self._send(sidecar.turned_down(bad.status, self.front.free_value, self._closes()))

    def _closes(self) -> bool:
        return self.last or self.front.draining or self.connection.closing

    def _send(self, data: bytes) -> None:
        if self.connection.busy:
            closes = self._closes()
            self.connection.send(data)
            if closes:  # as the answer said, nothing comes behind it
                self.waiting.clear()
                self.reader.dead = self.connection.deaf = True
            self._free()
            if closes:
                self.connection.close()
            else:
                self._next()

    def _free(self) -> None:
        self.request = None
        self.connection.free()
