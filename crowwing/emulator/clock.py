"""Times and timers of an emulation on sockets."""

import asyncio
import time
from collections.abc import Callable

from crowwing.emulator.models.processor_sharing import NEVER


def now() -> int:
    """Unix microseconds, the clock that the platform's rules are read from."""
    return time.time_ns() // 1000


class RestartableTimer:
    """One timer for a model's next current; it is moved whenever the model has changed."""

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
        if current < self.at:  # the loop's timers round to milliseconds and may fire early
            self.handle = self.loop.call_later(0.001, self._fire)
            return
        self.at = NEVER
        self.callback(current)

    def cancel(self) -> None:
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
