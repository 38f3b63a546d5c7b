"""The decision module's timer. It wants gauges, but the watch over deadlines goes on without them."""

import asyncio
from collections.abc import Callable

from crowwing.routing.event_recorder import EventRecorder
from crowwing.routing.worker_commands import WorkerCommands

TIMER = 0.001  # seconds that the loop's timers round to


class WakeTimer:
    """`turn` has the module take a turn without news."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        now: Callable[[], int],
        send: WorkerCommands,
        recorder: EventRecorder,
        turn: Callable[[], None],
    ) -> None:
        """Nothing was asked for."""
        self.loop, self.now, self.send, self.recorder, self.turn = loop, now, send, recorder, turn
        self.sampled_at = 0  # the last sample that came back

    def ask(self, span: float) -> None:
        """Wakes the module in `span` microseconds."""
        self._at(self.now() + round(span), span / 1e6)

    def sampled(self, tag: str) -> bool:
        """Whether these are the gauges asked for last."""
        asked = self.send.tag
        if not self.send.sampled(tag) or tag != f"s{asked}":
            return False
        self.sampled_at = asked
        return True

    def _at(self, due: int, span: float) -> None:
        self.loop.call_later(max(0, due - self.now()) / 1e6 + TIMER, self._due, due, span)

    def _due(self, due: int, span: float) -> None:
        # Guards against the loop's timers, which round to milliseconds and fire early: the module would hold
        # its timer to be still out and ask for no other, and outer limits would pass unseen until other news.
        if self.now() < due:
            self.recorder.count("woken_early")
            self._at(due, span)
        elif self.send.sample():
            self.loop.call_later(span / 2, self._unsampled, self.send.tag)
        else:
            self.turn()

    def _unsampled(self, asked: int) -> None:
        if self.sampled_at < asked:
            self.recorder.count("samples_late")
            self.turn()
