"""A backend's part of a fleet in simulated time: recorded inputs go in, the datagrams that it sends come out.

It runs the code that a backend runs on sockets (`FleetEndpoint`). Only the event loop, the clock, the socket
and the stream of a full transfer are replaced, so that the same inputs give the same bytes in every run.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import AbstractContextManager
from dataclasses import dataclass, field
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

import orjson

from crowwing.fleet.adapters import endpoint as link_module
from crowwing.fleet.adapters import full_transfer
from crowwing.fleet.adapters.endpoint import FleetEndpoint
from crowwing.settings import operator_file

WALL_START_US = 1_700_000_000_000_000
Address = tuple[str, int]
Fetch = Callable[[Address, dict[str, Any], float], Awaitable[list[Any]]]


class UnknownStepError(ValueError):
    """A recorded step of an unknown kind."""


@dataclass
class Clock:
    """Simulated time, in microseconds since the start."""

    now_us: int = 1_000_000

    def patched(self) -> AbstractContextManager[object]:
        """Makes every endpoint read this clock."""
        times = SimpleNamespace(
            monotonic_ns=lambda: self.now_us * 1000, time_ns=lambda: (WALL_START_US + self.now_us) * 1000
        )
        return mock.patch.object(link_module, "time", times)


class SimulatedLoop:
    """The part of an event loop that an endpoint uses: one timer, and tasks that the caller runs."""

    def __init__(self) -> None:
        self.delay_s: float | None = None
        self.pending: list[Coroutine[Any, Any, None]] = []

    def call_later(self, delay_s: float, _: Callable[[], None]) -> SimpleNamespace:
        self.delay_s = delay_s
        return SimpleNamespace(cancel=lambda: None)

    def create_task(self, coroutine: Coroutine[Any, Any, None]) -> mock.Mock:
        self.pending.append(coroutine)
        return mock.Mock()

    def run_pending(self) -> None:
        """Runs the tasks, none of which waits for anything: their streams are replaced."""
        while self.pending:
            asyncio.run(_awaited(self.pending.pop(0)))


async def _awaited(coroutine: Coroutine[Any, Any, None]) -> None:
    await coroutine


@dataclass
class Transport:
    """Collects what is sent."""

    sent: list[tuple[bytes, Address]] = field(default_factory=list)

    def is_closing(self) -> bool:
        return False

    def sendto(self, data: bytes, where: Address) -> None:
        self.sent.append((data, where))


class Backend:
    """One member, its endpoint, and the datagrams sent last."""

    def __init__(self, name: str, fleet: dict[str, Any], clock: Clock, folder: Path) -> None:
        path = folder / f"{name}.json"
        path.write_bytes(orjson.dumps({"version": 1, "fleet": fleet}))
        self.name, self.clock = name, clock
        self.loop, self.transport = SimulatedLoop(), Transport()
        self.ready: list[bool] = []
        with clock.patched():
            self.link = FleetEndpoint(
                cast(asyncio.AbstractEventLoop, self.loop),
                operator_file.read(path).fleet,
                name,
                "seed",
                lambda *_, **__: None,
                self.ready.append,
            )
        self.link.connection_made(cast(asyncio.DatagramTransport, self.transport))

    def apply(self, step: list[Any], fetch: Fetch) -> list[list[Any]]:
        """Gives the endpoint one input; returns the datagrams that it sends."""
        with self.clock.patched(), mock.patch.object(full_transfer, "fetch", fetch):
            self._apply(*step)
            self.loop.run_pending()
        sent, self.transport.sent = self.transport.sent, []
        return [[data.decode(), list(where)] for data, where in sent]

    def _apply(self, kind: str, *values: Any) -> None:  # noqa: ANN401  the values of a recorded step
        member = self.link.member
        if kind == "datagram":
            text, where = values
            self.link.datagram_received(text.encode(), tuple(where))
        elif kind == "timer":
            self.link.tick()
        elif kind == "put":
            key, value, life_us = values
            member.dissemination_of(key).put(self.link.wall(), key, value, life_us)
            self.link.tick()
        elif kind == "load":
            use, want = values
            member.loans.tick(self.link.now(), member.membership.alive(), use, want)
            self.link.tick()
        elif kind == "leave":
            self.link.leave()
        else:
            raise UnknownStepError(kind)
