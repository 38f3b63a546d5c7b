"""What every role's process does: logs, signals, and an end in order."""

import asyncio
import logging
import signal
import sys
from collections.abc import Coroutine
from typing import Any

log = logging.getLogger("crowwing.process")


def set_up_logging(node: str, level: int = logging.INFO) -> None:
    """Writes one line an event to standard output.

    Args:
        node: the machine's name, which stands in each line.
        level: events below it are left out.
    """
    line_format = f"%(asctime)s.%(msecs)03d {node} %(name)s %(levelname)s %(message)s"
    logging.basicConfig(stream=sys.stdout, level=level, format=line_format, datefmt="%H:%M:%S")
    for noisy in ("httpx", "httpcore", "uvicorn.error", "asyncio"):
        logging.getLogger(noisy).setLevel(logging.WARNING)


def watch_signals(stop: asyncio.Event, settings_changed: asyncio.Event) -> None:
    """Sets events on signals.

    Args:
        stop: set by SIGTERM and SIGINT, which ask for the end.
        settings_changed: set by SIGHUP, after the settings file has changed.
    """
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, settings_changed.set)


class Tasks:
    """Tasks that last as long as the process. One that raises ends the process.

    Attributes:
        failed: whether one has raised.
    """

    def __init__(self, stop: asyncio.Event) -> None:
        """Starts without tasks.

        Args:
            stop: set when a task raises, so that the process ends in order.
        """
        self._stop = stop
        self._tasks: set[asyncio.Task[Any]] = set()
        self.failed = False

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a task and returns it."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("task_failed task=%s", task.get_name(), exc_info=task.exception())
            self.failed = True
            self._stop.set()

    def cancel(self) -> None:
        """Ends all tasks."""
        for task in list(self._tasks):
            task.cancel()
