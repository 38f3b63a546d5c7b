"""The dispatcher's state of an open request, beside the decision module's handle."""

import asyncio
from typing import Protocol

from crowwing.logic.request import Request
from crowwing.protocol.arrival import Arrival


class Caller(Protocol):
    """Receives the answer to a request."""

    def completed(self, result: bytes) -> None:
        """The request has run, with this result."""
        ...

    def rejected(self, retry_after: int, everywhere: bool) -> None:
        """The request was rejected.

        `retry_after` is in microseconds; `everywhere` says whether all backends should be avoided.
        """
        ...

    def failed(self) -> None:
        """The request failed; it may have run."""
        ...


def print_of(arrival: Arrival) -> int:
    """A hash that identifies a request's content without keeping its body."""
    return hash((arrival.type, arrival.customer, arrival.sidecar, arrival.kb, arrival.rank, arrival.body))


class OpenRequest:
    """One open request: its callers, the state of its run, and the call in progress."""

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
        """`work` is the key of its piece of work; see `retry_table.work_of`."""
        self.id, self.type, self.body = arrival.id, arrival.type, arrival.body
        self.print = print_of(arrival)  # to recognize the same attempt once the body is dropped
        self.callers = [caller]  # several if the same attempt came over another connection
        self.handle: Request | None = None
        self.answered = False
        self.launched = False  # from the launch until the end of the run is known
        self.runs = self.frozen = self.asks = 0  # launches; the last launch told to stop; calls requested
        self.wanted: bytes | None = None  # body of the call that the run waits for
        self.call: asyncio.Task | None = None
        self.work = work  # the same in its retries
        self.content = hash(arrival.body)  # the same in its retries
        self.likeness = self.by = 0  # fingerprint and sending sidecar, for the storm monitor

    def same(self, arrival: Arrival) -> bool:
        """Whether `arrival` is the same attempt again."""
        return self.print == print_of(arrival)
