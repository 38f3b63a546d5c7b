"""The decision module's timer. It wants gauges, but the watch over deadlines goes on without them."""

import asyncio
from collections.abc import Callable

from crowwing.routing.event_recorder import EventRecorder
from crowwing.routing.worker_commands import WorkerCommands

TIMER_RESOLUTION = 0.001  # seconds that the loop's timers round to


class WakeTimer:
    """`turn` has the module take a turn without news."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        now: Callable[[], int],
        commands: WorkerCommands,
        recorder: EventRecorder,
        run_turn: Callable[[], None],
    ) -> None:
        """Nothing was asked for."""
        self.loop, self.now, self.commands, self.recorder, self.run_turn = (
            loop,
            now,
            commands,
            recorder,
            run_turn,
        )
        self.last_sample = 0  # the last sample that came back

    def schedule(self, delay: float) -> None:
        """Wakes the module in `span` microseconds."""
        self._call_at(self.now() + round(delay), delay / 1e6)

    def on_sample(self, tag: str) -> bool:
        """Whether these are the gauges asked for last."""
        requested = self.commands.last_sample
        if not self.commands.on_sample(tag) or tag != f"s{requested}":
            return False
        self.last_sample = requested
        return True

    def _call_at(self, due: int, delay: float) -> None:
        self.loop.call_later(max(0, due - self.now()) / 1e6 + TIMER_RESOLUTION, self._expired, due, delay)

    def _expired(self, due: int, delay: float) -> None:
        # Guards against the loop's timers, which round to milliseconds and fire early: the module would hold
        # its timer to be still out and ask for no other, and outer limits would pass unseen until other news.
        if self.now() < due:
            self.recorder.count("woken_early")
            self._call_at(due, delay)
        elif self.commands.sample():
            self.loop.call_later(delay / 2, self._on_sample_timeout, self.commands.last_sample)
        else:
            self.run_turn()

    def _on_sample_timeout(self, requested: int) -> None:
        if self.last_sample < requested:
            self.recorder.count("samples_late")
            self.run_turn()
