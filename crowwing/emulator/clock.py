"""Wall-clock time and timers of an emulation that uses real sockets."""

import asyncio
import time
from collections.abc import Callable

from crowwing.emulator.models.processor_sharing import NEVER


def now() -> int:
    """Unix time in microseconds, the clock that the platform's rules refer to."""
    return time.time_ns() // 1000


class RestartableTimer:
    """Timer for the next event of a model; it is set again whenever the model changes."""

    def __init__(self, loop: asyncio.AbstractEventLoop, callback: Callable[[int], None]) -> None:
        self.loop, self.callback = loop, callback
        self.at = NEVER
        self.handle: asyncio.TimerHandle | None = None

    def set(self, at: int) -> None:
        if at == self.at and self.handle is not None:
            return
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
        self.at = at
        if at < NEVER:
            self.handle = self.loop.call_later(max(0, at - now()) / 1e6, self._fire)

    def _fire(self) -> None:
        self.handle = None
        current = now()
        if current < self.at:  # the event loop rounds timers to milliseconds and may fire early
            self.handle = self.loop.call_later(0.001, self._fire)
            return
        self.at = NEVER
        self.callback(current)

    def cancel(self) -> None:
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
