"""An event loop of simulated time, on which the machines of a run live together.

The code under test is asyncio code, so its own loop is what has to be simulated; simpy would need a second
scheduler on top of it. Callbacks run in the context of the life of a machine that they were scheduled in. A
life that has ended runs none of them any more, and one that stands still runs them later, in their order.
"""

import asyncio
import contextvars
import heapq
from asyncio import events
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

MOST_TASKS = 2000  # kept before those that have ended are let go
TENTH_S = 0.1  # the span of a quota of processor time


@dataclass(eq=False)
class Life:
    """One life of a process, from its start until it is ended."""

    host: str
    number: int
    context: contextvars.Context
    ended: bool = False
    frozen_until: float = 0.0
    quota: float = 1.0  # share of each tenth of a second in which it runs
    deferred: list[events.Handle] = field(default_factory=list)
    tasks: list[asyncio.Task[Any]] = field(default_factory=list)  # kept, so that none is collected mid-run

    def keep(self, task: asyncio.Task[Any]) -> None:
        """Keeps a task until it has ended."""
        self.tasks.append(task)
        if len(self.tasks) > MOST_TASKS:
            self.tasks = [one for one in self.tasks if not one.done()]

    def runs_at(self, now: float) -> float:
        """The earliest time from `now` on at which it runs."""
        at = max(now, self.frozen_until)
        into = at % TENTH_S
        if self.quota < 1.0 and into > TENTH_S * self.quota:
            at += TENTH_S - into + 1e-6
        return at


LIFE: contextvars.ContextVar[Life | None] = contextvars.ContextVar("life", default=None)


def new_life(host: str, number: int) -> Life:
    """A life with a context of its own."""
    context = contextvars.Context()
    life = Life(host, number, context)
    context.run(LIFE.set, life)
    return life


class _LifeHandle(events.Handle):
    __slots__ = ()

    def _run(self) -> None:
        if _may_run(self):
            super()._run()


class _LifeTimerHandle(events.TimerHandle):
    __slots__ = ()

    def _run(self) -> None:
        if _may_run(self):
            super()._run()


def _may_run(handle: Any) -> bool:  # noqa: ANN401
    life = handle._context.get(LIFE)
    if life is None:
        return True
    if life.ended:
        return False
    loop = handle._loop
    if life.runs_at(loop.time()) > loop.time() or (life.deferred and not loop.waking):
        loop.defer(life, handle)
        return False
    return True


class _NoSelector:
    """In place of waiting for sockets, lets time jump to the next timer."""

    def __init__(self, loop: "SimulatedLoop") -> None:
        self._loop = loop

    def select(self, timeout: float | None) -> list[Any]:
        """Moves the clock."""
        if timeout is None:
            raise RuntimeError("nothing is scheduled any more")
        if timeout > 0:
            self._loop.jump()
        return []

    def close(self) -> None:
        """Nothing is open."""


class SimulatedLoop(asyncio.BaseEventLoop):
    """Runs callbacks in the order of their simulated times."""

    def __init__(self) -> None:
        super().__init__()
        self._now = 0.0
        self._selector = _NoSelector(self)
        self.waking = False
        self.on_exception: Callable[[dict[str, Any]], None] = lambda context: None
        self.set_exception_handler(lambda loop, context: self.on_exception(context))
        self.set_task_factory(self._make_task)  # type: ignore[arg-type]

    def __del__(self) -> None:
        """Nothing is open that would have to be closed."""

    @staticmethod
    def _make_task(loop: Any, work: Any, context: Any = None) -> asyncio.Task[Any]:  # noqa: ANN401
        """Tasks of a life are kept until the run is over: none is collected, and so closed, midway."""
        task = asyncio.Task(work, loop=loop, context=context)
        task._log_destroy_pending = False  # type: ignore[attr-defined]
        life = LIFE.get() if context is None else context.get(LIFE)
        if life is not None:
            life.keep(task)
        return task

    def time(self) -> float:
        """Simulated seconds since the start."""
        return self._now

    def jump(self) -> None:
        """To the time of the next timer."""
        self._now = max(self._now, self._scheduled[0]._when)

    def call_at(self, when: float, callback: Any, *args: Any, context: Any = None) -> Any:  # noqa: ANN401
        """Calls back at a simulated time."""
        timer = _LifeTimerHandle(when, callback, args, self, context)
        heapq.heappush(self._scheduled, timer)
        timer._scheduled = True
        return timer

    def _call_soon(self, callback: Any, args: Any, context: Any) -> events.Handle:  # noqa: ANN401
        handle = _LifeHandle(callback, args, self, context)
        self._ready.append(handle)
        return handle

    def defer(self, life: Life, handle: events.Handle) -> None:
        """Keeps a callback until its machine runs again."""
        if not life.deferred:
            at = life.runs_at(self._now)
            self.call_at(at, self._wake, life, context=contextvars.Context())
        life.deferred.append(handle)

    def _wake(self, life: Life) -> None:
        at = life.runs_at(self._now)
        if at > self._now:  # it was made to stand still for longer
            self.call_at(at, self._wake, life, context=contextvars.Context())
            return
        deferred, life.deferred = life.deferred, []
        self.waking = True
        try:
            for handle in deferred:
                if not handle._cancelled:
                    handle._run()
        finally:
            self.waking = False

    def _process_events(self, event_list: Any) -> None:  # noqa: ANN401
        pass

    def _write_to_self(self) -> None:
        pass
