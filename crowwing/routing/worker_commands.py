"""Commands to the worker agent. They survive a broken link, and none is done twice by it.

A command is unproven until a sample asked for after it has come back. A new link first reads back all notices
since the last one known; the fence, a sample, says when they are all in. Only then are those unproven
commands sent again that the notices have not made pointless. A launch sent again could cross the end of the
run it began, so that of a ticket which must not run twice is not: its run counts as failed.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from crowwing.contract import Idempotency
from crowwing.protocol import agent
from crowwing.routing.event_recorder import EventRecorder
from crowwing.routing.open_request import OpenRequest
from crowwing.transport.link import Link
from crowwing.transport.pool import BufferPool

GREETING = 5.0  # seconds at least that a later link waits for its greeting; the first one waits for good


class Command(NamedTuple):
    """One command, until a sample proves that it arrived."""

    number: int
    data: bytes
    still: Callable[[], bool]  # whether it has a point
    once: OpenRequest | None  # the ticket, where it launches one that must not run twice
    sent: bool  # it went out, on whatever link


class WorkerCommands:
    """The link to the worker agent, and the commands that are under way. Owned by `Dispatcher`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        pool: BufferPool,
        recorder: EventRecorder,
        hear: Callable[[agent.Notice], None],
        patience: float,
    ) -> None:
        """Connects to `address`; `hear` gets each notice, and `patience` is in seconds."""
        self.loop, self.recorder, self.hear, self.patience = loop, recorder, hear, patience
        self.link = Link(loop, address, pool, self._opened, self._received, self._closed)
        self.reader = agent.AgentReader()
        self.last = 0  # the last notice read
        self.greeted = self.fenced = False  # on this link
        self.issued = self.tag = 0
        self.asked = 0.0  # when the sample that is out was asked for, or the greeting
        self.unproven: deque[Command] = deque()  # emptied by samples
        # Sample out -> the last command before it; emptied by answers and breaks.
        self.tags: dict[str, int] = {}

    # Commands

    def launch(self, request: OpenRequest, _: float = 0) -> None:
        """Starts a run."""
        self.recorder.holds(not request.launched, "launched while its run is on")
        request.launched = True
        request.runs += 1
        once = request if request.handle.cls.idempotency is not Idempotency.IDEMPOTENT else None
        self._issue(agent.launch(request.id, request.type, request.body), self._still_runs(request), once)

    def freeze(self, request: OpenRequest, _: float = 0) -> None:
        """Stops a run."""
        # Asked again and again, it waits for the link but once.
        if self.fenced or request.frozen != request.runs:
            request.frozen = request.runs
            self._issue(agent.freeze(request.id), self._still_runs(request))

    def deliver(self, request: OpenRequest, reply: bytes) -> None:
        """Gives a run the response that it waits for."""
        asks = request.asks
        self._issue(agent.deliver(request.id, reply), lambda: request.launched and request.asks == asks)

    def sample(self) -> bool:
        """Asks for the gauges; whether it could. One is out at a time."""
        ungreeted = self.link.up and not self.greeted
        patience = max(self.patience, GREETING) if ungreeted else self.patience
        if (self.tags or ungreeted) and self.loop.time() - self.asked > patience:
            # Guards against a far side that is gone without a word; one that only paused loses nothing by it.
            self.tags.clear()
            self.asked = self.loop.time()
            self.recorder.event("agent_silent", seconds=patience)
            self.link.drop()
        if not self.fenced or self.tags:
            return False
        self._sample()
        return True

    def exercise(self, tag: str) -> bool:
        """Asks for some work to be done; whether it could."""
        if self.fenced:
            self.link.send(agent.exercise(tag))
        return self.fenced

    @staticmethod
    def _still_runs(request: OpenRequest) -> Callable[[], bool]:
        runs = request.runs
        return lambda: request.launched and request.runs == runs

    def _issue(self, data: bytes, still: Callable[[], bool], once: OpenRequest | None = None) -> None:
        self.issued += 1
        self.unproven.append(Command(self.issued, data, still, once, self.fenced))
        if self.fenced:
            self.link.send(data)

    def _sample(self) -> None:
        self.tag += 1
        self.asked = self.loop.time()
        self.tags[f"s{self.tag}"] = self.issued if self.fenced else 0
        self.link.send(agent.sample(f"s{self.tag}"))

    # The link

    def _opened(self) -> None:
        self.reader = agent.AgentReader()
        self.asked = self.loop.time()
        self.link.send(agent.subscribe(self.last))

    def _closed(self, why: str) -> None:
        self.greeted = self.fenced = False
        self.tags.clear()
        self.recorder.event("agent_lost", why=why, last=self.last)

    def _received(self, view: memoryview) -> None:
        for notice in self.reader.feed(view):
            number = getattr(notice, "number", None)
            if number is not None:
                if number <= self.last:
                    continue  # it was read on an earlier link
                if number > self.last + 1:
                    self.recorder.count("notices_missed", number - self.last - 1)
                self.last = number
            self.hear(notice)

    def greeting(self) -> None:
        """The worker agent has greeted on this link."""
        self.greeted = True
        self._sample()  # the fence

    def sampled(self, tag: str) -> bool:
        """Whether it brings gauges that were asked for."""
        if tag not in self.tags:
            return False
        proven = self.tags.pop(tag)
        while self.unproven and self.unproven[0].number <= proven:
            self.unproven.popleft()
        if not self.fenced:
            self.fenced = True
            self._send_again()
        return True

    def _send_again(self) -> None:
        commands, self.unproven = self.unproven, deque()
        for command in commands:
            if not command.still():
                continue
            if command.once and command.sent:
                self.hear(agent.Ended(0, command.once.id, "ERROR", 0, b""))
                continue
            self.unproven.append(command._replace(sent=True))
            self.link.send(command.data)
        if commands:
            self.recorder.event(
                "agent_resent", commands=len(self.unproven), pointless=len(commands) - len(self.unproven)
            )
