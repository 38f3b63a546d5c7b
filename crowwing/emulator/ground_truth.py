"""What really happened, kept for every ticket and every try, by those who did it.

Times in Unix microseconds.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Literal

import orjson

Ending = Literal["open", "settled", "dismissed", "forfeited", "lost", "unreached", "turned_down"]


@dataclass(slots=True)
class Attempt:
    """One ticket id on one backend. `cause`: first, client, dismissed, forfeited, lost, unreached, copy."""

    id: str
    ticket: int
    cause: str
    backend: int
    life: int
    sidecar: int
    came: int  # to the machine
    due: int
    written: int = 0  # its last byte
    over: int = 0
    ending: Ending = "open"
    right: bool = True  # the result is that of its run, and what the farm agent was told is what was sent
    away: int = 0
    give_up: bool = False
    runs: list[tuple[int, int, str]] = field(default_factory=list)  # begun, over, how; over 0: still on
    calls: list[tuple[int, int, str]] = field(default_factory=list)


@dataclass(slots=True)
class Request:
    """What one client asked for; its repeats are folded into it."""

    number: int
    kind: int
    customer: int
    credit: float
    born: int
    expected: int  # until when an answer is in time
    over: int = 0  # when the client had its answer, or gave up for good
    ending: str = "open"
    asks: int = 1  # by the client itself
    tries: list[Attempt] = field(default_factory=list)


@dataclass(slots=True)
class Incarnation:
    """One life of one backend. `how`: killed, drained, crashed, fell, stopped (at the end), or running."""

    backend: int
    number: int
    began: int
    notice: int = 0
    ended: int = 0
    how: str = "running"
    code: int | None = None


@dataclass(slots=True)
class GroundTruth:
    began: int = 0  # of the traffic
    requests: list[Request] = field(default_factory=list)
    incarnations: list[Incarnation] = field(default_factory=list)
    failures: list[tuple[int, int | None, str]] = field(
        default_factory=list
    )  # when, backend (None: below), what
    late_loop: list[tuple[int, int]] = field(default_factory=list)  # when, by how much our own loop was late
    below_most: float = 0.0  # the most that what lies below had in hand, in parts of what it falls at

    def attempts(self) -> Iterator[Attempt]:
        for request in self.requests:
            yield from request.tries

    def write(self, path: Path) -> None:
        """One JSON line a ticket with its tries, then the lives."""
        with path.open("wb") as file:
            for request in self.requests:
                file.write(orjson.dumps(request) + b"\n")
            for incarnation in self.incarnations:
                file.write(orjson.dumps({"life": incarnation}) + b"\n")
            file.write(orjson.dumps({"fallen": self.failures, "began": self.began}) + b"\n")
