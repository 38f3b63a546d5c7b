"""What the dispatcher knows of an open request, beside the module's handle."""

import asyncio
from typing import Protocol

from crowwing.logic.request import Request
from crowwing.protocol.arrival import Arrival


class Caller(Protocol):
    """The way back to whoever waits for a ticket."""

    def completed(self, result: bytes) -> None:
        """It has run: its result."""
        ...

    def rejected(self, retry_after: int, everywhere: bool) -> None:
        """It was rejected: for how many microseconds to stay away, and whether from all backends."""
        ...

    def failed(self) -> None:
        """It has failed."""
        ...


def print_of(arrival: Arrival) -> int:
    """What tells a request from others without its body."""
    return hash((arrival.type, arrival.customer, arrival.sidecar, arrival.kb, arrival.rank, arrival.body))


class OpenRequest:
    """One open ticket: who waits for it, what the farm agent was told, and the call that is out."""

    __slots__ = (
        "answered",
        "asks",
        "body",
        "by",
        "call",
        "callers",
        "content",
        "frozen",
        "handle",
        "id",
        "launched",
        "likeness",
        "print",
        "runs",
        "type",
        "wanted",
        "work",
    )

    def __init__(self, arrival: Arrival, caller: Caller, work: tuple[int, int, str]) -> None:
        """A request that `caller` waits for."""
        self.id, self.type, self.body = arrival.id, arrival.type, arrival.body
        self.print = print_of(arrival)  # tells its like without its body
        self.callers = [caller]  # more than one where the same try came again over another connection
        self.handle: Request | None = None
        self.answered = False
        self.launched = False  # from the launch until the run's end is known
        self.runs = self.frozen = self.asks = 0  # launches so far, the last told to stop, and calls wanted
        self.wanted: bytes | None = None  # the body of the call the run waits for
        self.call: asyncio.Task | None = None
        self.work = work  # what it asks for, the same in its repeats
        self.content = hash(arrival.body)  # the same in them too
        self.likeness = self.by = 0  # what a repeat would share, and who sent it: for the lookout

    def same(self, arrival: Arrival) -> bool:
        """Whether the same try has come again."""
        return self.print == print_of(arrival)
