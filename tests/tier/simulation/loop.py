"""An event loop on simulated time, shared by all machines of a run.

The code under test is asyncio code, so its own loop is what has to be simulated; simpy would need a second
scheduler on top of it. Callbacks run in the context of the process incarnation that scheduled them. An
ended incarnation runs none of them; a paused one runs them later in the same order.
"""

import asyncio
import contextvars
import heapq
from asyncio import events
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, TypeVarTuple

Arguments = TypeVarTuple("Arguments")

MAX_TASKS = 2000  # tasks held before completed ones are released
QUOTA_PERIOD_S = 0.1  # period of a quota of processor time


@dataclass(eq=False)
class Incarnation:
    """One incarnation of a machine's process, from its start until its end."""

    host: str
    number: int
    context: contextvars.Context
    ended: bool = False
    frozen_until: float = 0.0
    quota: float = 1.0  # share of each quota period in which it runs
    deferred: list[events.Handle] = field(default_factory=list)
    tasks: list[asyncio.Task[Any]] = field(default_factory=list)  # so that none is collected mid-run

    def keep(self, task: asyncio.Task[Any]) -> None:
        """Holds a reference to a task until it has ended."""
        self.tasks.append(task)
        if len(self.tasks) > MAX_TASKS:
            self.tasks = [one for one in self.tasks if not one.done()]

    def runs_at(self, now: float) -> float:
        """The earliest time from `now` on at which it runs."""
        at = max(now, self.frozen_until)
        into = at % QUOTA_PERIOD_S
        if self.quota < 1.0 and into > QUOTA_PERIOD_S * self.quota:
            at += QUOTA_PERIOD_S - into + 1e-6
        return at


CURRENT_INCARNATION: contextvars.ContextVar[Incarnation | None] = contextvars.ContextVar(
    "incarnation", default=None
)


def new_incarnation(host: str, number: int) -> Incarnation:
    """A new incarnation with a context of its own."""
    context = contextvars.Context()
    incarnation = Incarnation(host, number, context)
    context.run(CURRENT_INCARNATION.set, incarnation)
    return incarnation


class _IncarnationHandle(events.Handle):
    __slots__ = ()

    def _run(self) -> None:
        if _may_run(self):
            super()._run()


class _IncarnationTimerHandle(events.TimerHandle):
    __slots__ = ()
    _scheduled: bool  # of the base class

    def _run(self) -> None:
        if _may_run(self):
            super()._run()


def _may_run(handle: Any) -> bool:  # noqa: ANN401
    incarnation = handle._context.get(CURRENT_INCARNATION)
    if incarnation is None:
        return True
    if incarnation.ended:
        return False
    loop = handle._loop
    if incarnation.runs_at(loop.time()) > loop.time() or (incarnation.deferred and not loop.resuming):
        loop.defer(incarnation, handle)
        return False
    return True


class NothingScheduledError(RuntimeError):
    """The run waits for an event that never occurs."""


class _NoSelector:
    """A selector that advances the simulated time to the next timer instead of waiting for sockets."""

    def __init__(self, loop: "SimulatedLoop") -> None:
        self._loop = loop

    def select(self, timeout: float | None) -> list[Any]:
        """Moves the clock."""
        if timeout is None:
            raise NothingScheduledError
        if timeout > 0:
            self._loop.jump()
        return []

    def close(self) -> None:
        """Nothing is open."""


class SimulatedLoop(asyncio.BaseEventLoop):
    """Runs callbacks in the order of their simulated times."""

    _scheduled: list[Any]  # of the base class
    _ready: deque[events.Handle]

    def __init__(self) -> None:
        super().__init__()
        self._now = 0.0
        self._selector = _NoSelector(self)
        self.resuming = False
        self.on_exception: Callable[[dict[str, Any]], None] = lambda _: None
        self.set_exception_handler(lambda _, context: self.on_exception(context))
        self.set_task_factory(self._make_task)

    def __del__(self) -> None:
        """Does nothing: no resources are open."""

    @staticmethod
    def _make_task(loop: Any, work: Any, context: Any = None) -> asyncio.Task[Any]:  # noqa: ANN401
        """Holds references to an incarnation's tasks until the run ends, so that none is collected."""
        task = asyncio.Task(work, loop=loop, context=context)
        task._log_destroy_pending = False  # type: ignore[attr-defined]
        incarnation = CURRENT_INCARNATION.get() if context is None else context.get(CURRENT_INCARNATION)
        if incarnation is not None:
            incarnation.keep(task)
        return task

    def time(self) -> float:
        """Simulated seconds since the start."""
        return self._now

    def jump(self) -> None:
        """Advances the time to the next timer."""
        self._now = max(self._now, self._scheduled[0]._when)

    def call_at(
        self,
        when: float,
        callback: Callable[[*Arguments], object],
        *args: *Arguments,
        context: contextvars.Context | None = None,
    ) -> events.TimerHandle:
        """Calls back at a simulated time."""
        timer = _IncarnationTimerHandle(when, callback, args, self, context)
        heapq.heappush(self._scheduled, timer)
        timer._scheduled = True
        return timer

    def _call_soon(self, callback: Any, args: Any, context: Any) -> events.Handle:  # noqa: ANN401
        handle = _IncarnationHandle(callback, args, self, context)
        self._ready.append(handle)
        return handle

    def defer(self, incarnation: Incarnation, handle: events.Handle) -> None:
        """Defers a callback until its machine runs again."""
        if not incarnation.deferred:
            at = incarnation.runs_at(self._now)
            self.call_at(at, self._resume, incarnation, context=contextvars.Context())
        incarnation.deferred.append(handle)

    def _resume(self, incarnation: Incarnation) -> None:
        at = incarnation.runs_at(self._now)
        if at > self._now:  # the pause was extended
            self.call_at(at, self._resume, incarnation, context=contextvars.Context())
            return
        deferred, incarnation.deferred = incarnation.deferred, []
        self.resuming = True
        try:
            for handle in deferred:
                if not handle._cancelled:
                    handle._run()
        finally:
            self.resuming = False

    def _process_events(self, event_list: Any) -> None:  # noqa: ANN401
        pass

    def _write_to_self(self) -> None:
        pass
