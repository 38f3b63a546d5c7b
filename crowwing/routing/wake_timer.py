"""The decision module's timer. It asks for gauges first, but deadlines are checked even without them."""

import asyncio
from collections.abc import Callable

from crowwing.routing.event_recorder import EventRecorder
from crowwing.routing.worker_commands import WorkerCommands

TIMER_RESOLUTION = 0.001  # seconds; resolution of the event loop's timers


class WakeTimer:
    """Wakes the decision module. Owned by `Dispatcher`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        now: Callable[[], int],
        commands: WorkerCommands,
        recorder: EventRecorder,
        run_turn: Callable[[], None],
    ) -> None:
        """`run_turn` makes the module take a turn without gauges."""
        self.loop, self.now, self.commands, self.recorder, self.run_turn = (
            loop,
            now,
            commands,
            recorder,
            run_turn,
        )
        self.last_sample = 0  # number of the last sample received

    def schedule(self, delay: float) -> None:
        """Wakes the module after `delay` microseconds."""
        self._call_at(self.now() + round(delay), delay / 1e6)

    def on_sample(self, tag: str) -> bool:
        """Returns whether these are the gauges requested last."""
        requested = self.commands.last_sample
        if not self.commands.on_sample(tag) or tag != f"s{requested}":
            return False
        self.last_sample = requested
        return True

    def _call_at(self, due: int, delay: float) -> None:
        self.loop.call_later(max(0, due - self.now()) / 1e6 + TIMER_RESOLUTION, self._expired, due, delay)

    def _expired(self, due: int, delay: float) -> None:
        # The event loop's timers round to milliseconds and may fire early. The module would consider its
        # timer still pending and ask for no other, and deadlines would pass unnoticed until another update.
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
