"""Ground truth of an emulation: each request and attempt, recorded by the emulated parties themselves.

Times are in Unix microseconds.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Literal

import orjson

Ending = Literal["open", "settled", "dismissed", "forfeited", "lost", "unreached", "turned_down"]


@dataclass(slots=True)
class Attempt:
    """One attempt of a request at one backend, under an id of its own.

    `cause` is one of first, client, dismissed, forfeited, lost, unreached, copy.
    """

    id: str
    ticket: int
    cause: str
    backend: int
    life: int
    sidecar: int
    came: int  # arrival at the machine
    due: int
    written: int = 0  # when its last byte was sent to the backend
    over: int = 0
    ending: Ending = "open"
    right: bool = True  # the result belongs to its run, and the worker agent received what was sent
    away: int = 0
    give_up: bool = False
    runs: list[tuple[int, int, str]] = field(default_factory=list)  # begin, end (0: still running), outcome
    calls: list[tuple[int, int, str]] = field(default_factory=list)


@dataclass(slots=True)
class Request:
    """One request of a client, including the client's own retries."""

    number: int
    kind: int
    customer: int
    credit: float
    born: int
    expected: int  # latest time of an answer that counts as in time
    over: int = 0  # when the client got its answer or gave up
    ending: str = "open"
    asks: int = 1  # times that the client itself has sent it
    tries: list[Attempt] = field(default_factory=list)


@dataclass(slots=True)
class Incarnation:
    """One incarnation of a backend.

    `how` is one of killed, drained, crashed, fell, stopped (at the end of the run), running.
    """

    backend: int
    number: int
    began: int
    notice: int = 0
    ended: int = 0
    how: str = "running"
    code: int | None = None


@dataclass(slots=True)
class GroundTruth:
    began: int = 0  # start of the traffic
    requests: list[Request] = field(default_factory=list)
    incarnations: list[Incarnation] = field(default_factory=list)
    failures: list[tuple[int, int | None, str]] = field(
        default_factory=list
    )  # time, backend (None: the dependency), cause
    late_loop: list[tuple[int, int]] = field(default_factory=list)  # time and lateness of each tick
    below_most: float = 0.0  # peak load of the dependency as a fraction of the load at which it fails

    def attempts(self) -> Iterator[Attempt]:
        for request in self.requests:
            yield from request.tries

    def write(self, path: Path) -> None:
        """Writes one JSON line per request with its attempts, then one per incarnation."""
        with path.open("wb") as file:
            for request in self.requests:
                file.write(orjson.dumps(request) + b"\n")
            for incarnation in self.incarnations:
                file.write(orjson.dumps({"life": incarnation}) + b"\n")
            file.write(orjson.dumps({"fallen": self.failures, "began": self.began}) + b"\n")
