"""Commands to the worker agent, which survive a broken connection without being carried out twice.

A command is unacknowledged until a sample requested after it has come back. A new connection first reads all
notices after the last one known; a sample as a barrier shows when they are complete. Only then are the
unacknowledged commands sent again that are still needed after these notices. A repeated launch could cross
the end of the run it started. So a request that must not run twice is not launched again: its run counts as
failed.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from crowwing.contract import Idempotency
from crowwing.protocol import worker_agent
from crowwing.routing.event_recorder import EventRecorder
from crowwing.routing.open_request import OpenRequest
from crowwing.transport.buffer_pool import BufferPool
from crowwing.transport.link import Link

GREETING_TIMEOUT = 5.0  # seconds; minimum for a later connection, the first one waits without limit


class Command(NamedTuple):
    """A command that no sample has acknowledged yet."""

    number: int
    data: bytes
    is_needed: Callable[[], bool]  # whether it still has an effect
    non_idempotent: OpenRequest | None  # the request, if it must not run twice
    sent: bool  # sent on this or an earlier connection


class WorkerCommands:
    """The connection to the worker agent and the unacknowledged commands. Owned by `Dispatcher`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        pool: BufferPool,
        recorder: EventRecorder,
        on_notice: Callable[[worker_agent.Notice], None],
        timeout: float,
    ) -> None:
        """Connects to `address`; `on_notice` gets each notice, and `timeout` is in seconds."""
        self.loop, self.recorder, self.on_notice, self.timeout = loop, recorder, on_notice, timeout
        self.link = Link(loop, address, pool, self._on_open, self._on_data, self._on_close)
        self.reader = worker_agent.AgentReader()
        self.last_notice = 0  # number of the last notice read
        self.greeted = self.synchronized = False  # on this connection
        self.last_command = self.last_sample = 0
        self.requested_at = 0.0  # when the pending sample or greeting was requested
        self.unacknowledged: deque[Command] = deque()  # removed by samples
        # Pending sample -> the last command before it; removed when it comes back or the connection breaks.
        self.pending_samples: dict[str, int] = {}

    # Commands

    def launch(self, request: OpenRequest, _: float = 0) -> None:
        """Starts a run."""
        self.recorder.verify(not request.launched, "launched while its run is on")
        request.launched = True
        request.runs += 1
        non_idempotent = request if request.handle.cls.idempotency is not Idempotency.IDEMPOTENT else None
        self._issue(
            worker_agent.launch(request.id, request.type, request.body),
            self._still_running(request),
            non_idempotent,
        )

    def freeze(self, request: OpenRequest, _: float = 0) -> None:
        """Stops a run."""
        # If the connection is down, a repeated stop is queued only once.
        if self.synchronized or request.frozen != request.runs:
            request.frozen = request.runs
            self._issue(worker_agent.freeze(request.id), self._still_running(request))

    def deliver(self, request: OpenRequest, reply: bytes) -> None:
        """Gives a run the response that it waits for."""
        asks = request.asks
        self._issue(
            worker_agent.deliver(request.id, reply), lambda: request.launched and request.asks == asks
        )

    def sample(self) -> bool:
        """Requests the gauges, unless a sample is pending; returns whether it was sent."""
        ungreeted = self.link.connected and not self.greeted
        timeout = max(self.timeout, GREETING_TIMEOUT) if ungreeted else self.timeout
        if (self.pending_samples or ungreeted) and self.loop.time() - self.requested_at > timeout:
            # The agent may be gone without closing the connection. One that only paused loses nothing by
            # this.
            self.pending_samples.clear()
            self.requested_at = self.loop.time()
            self.recorder.event("agent_silent", seconds=timeout)
            self.link.reconnect()
        if not self.synchronized or self.pending_samples:
            return False
        self._sample()
        return True

    def exercise(self, tag: str) -> bool:
        """Requests a piece of work as a health probe; returns whether it was sent."""
        if self.synchronized:
            self.link.send(worker_agent.exercise(tag))
        return self.synchronized

    @staticmethod
    def _still_running(request: OpenRequest) -> Callable[[], bool]:
        runs = request.runs
        return lambda: request.launched and request.runs == runs

    def _issue(
        self, data: bytes, is_needed: Callable[[], bool], non_idempotent: OpenRequest | None = None
    ) -> None:
        self.last_command += 1
        self.unacknowledged.append(
            Command(self.last_command, data, is_needed, non_idempotent, self.synchronized)
        )
        if self.synchronized:
            self.link.send(data)

    def _sample(self) -> None:
        self.last_sample += 1
        self.requested_at = self.loop.time()
        self.pending_samples[f"s{self.last_sample}"] = self.last_command if self.synchronized else 0
        self.link.send(worker_agent.sample(f"s{self.last_sample}"))

    # The connection

    def _on_open(self) -> None:
        self.reader = worker_agent.AgentReader()
        self.requested_at = self.loop.time()
        self.link.send(worker_agent.subscribe(self.last_notice))

    def _on_close(self, why: str) -> None:
        self.greeted = self.synchronized = False
        self.pending_samples.clear()
        self.recorder.event("agent_lost", why=why, last=self.last_notice)

    def _on_data(self, view: memoryview) -> None:
        for notice in self.reader.feed(view):
            number = getattr(notice, "number", None)
            if number is not None:
                if number <= self.last_notice:
                    continue  # read on an earlier connection
                if number > self.last_notice + 1:
                    self.recorder.count("notices_missed", number - self.last_notice - 1)
                self.last_notice = number
            self.on_notice(notice)

    def on_greeting(self) -> None:
        """Handles the worker agent's greeting on this connection."""
        self.greeted = True
        self._sample()  # the barrier

    def on_sample(self, tag: str) -> bool:
        """Handles a sample; returns whether it was requested on this connection."""
        if tag not in self.pending_samples:
            return False
        acknowledged = self.pending_samples.pop(tag)
        while self.unacknowledged and self.unacknowledged[0].number <= acknowledged:
            self.unacknowledged.popleft()
        if not self.synchronized:
            self.synchronized = True
            self._resend()
        return True

    def _resend(self) -> None:
        commands, self.unacknowledged = self.unacknowledged, deque()
        for command in commands:
            if not command.is_needed():
                continue
            if command.non_idempotent and command.sent:
                self.on_notice(worker_agent.RunEnded(0, command.non_idempotent.id, "ERROR", 0, b""))
                continue
            self.unacknowledged.append(command._replace(sent=True))
            self.link.send(command.data)
        if commands:
            self.recorder.event(
                "agent_resent",
                commands=len(self.unacknowledged),
                pointless=len(commands) - len(self.unacknowledged),
            )
