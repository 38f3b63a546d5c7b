"""Writes snapshots on a thread of their own, so that the event loop never waits for the disk."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from crowwing.fleet.state.replica import Row
from crowwing.memory import snapshot


class SnapshotWriter:
    """Writes one snapshot at a time; later changes go into the next one."""

    def __init__(self, folder: Path, me: str, interval_s: float, event: Callable) -> None:
        """`interval_s`: between two snapshots."""
        self.folder, self.me, self.interval_s, self.event = folder, me, interval_s, event
        self.thread = ThreadPoolExecutor(1, thread_name_prefix="snapshot")
        self.written = self.failed = 0
        self.task: asyncio.Task | None = None

    def read(self) -> list[Row]:
        """Rows of the last snapshot. If it cannot be used: no rows, and an event is logged."""
        try:
            found = snapshot.read(self.folder, self.me)
        except snapshot.UnusableSnapshotError as error:
            self.event("snapshot_unused", why=str(error))
            return []
        return [] if found is None else found.rows

    def start(self, loop: asyncio.AbstractEventLoop, now: Callable[[], int], state: Callable) -> None:
        """`state()`: the rows to write, or None while nothing has changed."""
        self.task = loop.create_task(self._write_periodically(loop, now, state))

    async def _write_periodically(
        self, loop: asyncio.AbstractEventLoop, now: Callable[[], int], state: Callable
    ) -> None:
        while True:
            await asyncio.sleep(self.interval_s)
            rows = state()
            if rows is not None:
                await self._write(loop, now(), rows)

    async def _write(self, loop: asyncio.AbstractEventLoop, at: int, rows: list[Row]) -> None:
        data = snapshot.pack(snapshot.Snapshot(self.me, at, rows))
        try:
            await loop.run_in_executor(self.thread, snapshot.write, self.folder, data, self.me)
            self.written += 1
        except OSError as error:
            if not self.failed:  # logged once until a write succeeds
                self.event("snapshot_unwritten", why=f"{self.folder}: {error.strerror}")
            self.failed += 1
        else:
            self.failed = 0

    def close(self, at: int, rows: list[Row]) -> None:
        """Writes a last snapshot at the end of a drain; blocks the loop, as the process ends after it."""
        if self.task is not None:
            self.task.cancel()
        self.thread.shutdown(wait=True, cancel_futures=True)
        try:
            data = snapshot.pack(snapshot.Snapshot(self.me, at, rows))
            snapshot.write(self.folder, data, self.me)
        except OSError as error:
            self.event("snapshot_unwritten", why=f"{self.folder}: {error.strerror}")
