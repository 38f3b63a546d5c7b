"""Common to the processes of all roles: logging, signals and orderly shutdown."""

import asyncio
import logging
import signal
import sys
from collections.abc import Coroutine
from typing import Any

log = logging.getLogger("crowwing.process")


def set_up_logging(node: str, level: int = logging.INFO) -> None:
    """Logs one line per event to standard output.

    Args:
        node: the machine's name, which is part of each line.
        level: the minimum level of events.
    """
    line_format = f"%(asctime)s.%(msecs)03d {node} %(name)s %(levelname)s %(message)s"
    logging.basicConfig(stream=sys.stdout, level=level, format=line_format, datefmt="%H:%M:%S")
    for noisy in ("httpx", "httpcore", "uvicorn.error", "asyncio"):
        logging.getLogger(noisy).setLevel(logging.WARNING)


def watch_signals(stop: asyncio.Event, settings_changed: asyncio.Event) -> None:
    """Installs signal handlers that set events.

    Args:
        stop: set on SIGTERM and SIGINT, to request shutdown.
        settings_changed: set on SIGHUP, sent after the settings file has changed.
    """
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, settings_changed.set)


class Tasks:
    """Tasks that run for the lifetime of the process; an exception in one shuts the process down.

    Attributes:
        failed: whether a task has raised an exception.
    """

    def __init__(self, stop: asyncio.Event) -> None:
        """Creates an empty set of tasks.

        Args:
            stop: set when a task raises an exception, so that the process shuts down in order.
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
        """Cancels all tasks."""
        for task in list(self._tasks):
            task.cancel()
