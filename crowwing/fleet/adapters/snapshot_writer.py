"""When this member's copy goes to disk, on a thread of its own: the loop never waits for a disk."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from crowwing.fleet.state.replica import Row
from crowwing.memory import snapshot


class Disk:
    """One writing at a time; what changes meanwhile waits for the next."""

    def __init__(self, folder: Path, me: str, every: float, event: Callable) -> None:
        """`every`: seconds between two writings."""
        self.folder, self.me, self.every, self.event = folder, me, every, event
        self.thread = ThreadPoolExecutor(1, thread_name_prefix="snapshot")
        self.written = self.failed = 0
        self.task: asyncio.Task | None = None

    def read(self) -> list[Row]:
        """What was kept when this member last wrote; nothing, and one line, where that cannot be used."""
        try:
            found = snapshot.read(self.folder, self.me)
        except snapshot.UnusableSnapshotError as wrong:
            self.event("snapshot_unused", why=str(wrong))
            return []
        return [] if found is None else found.rows

    def begin(self, loop: asyncio.AbstractEventLoop, now: Callable[[], int], state: Callable) -> None:
        """`state()`: the rows to write, or None while nothing has changed."""
        self.task = loop.create_task(self._write_on(loop, now, state))

    async def _write_on(
        self, loop: asyncio.AbstractEventLoop, now: Callable[[], int], state: Callable
    ) -> None:
        while True:
            await asyncio.sleep(self.every)
            rows = state()
            if rows is not None:
                await self._write(loop, now(), rows)

    async def _write(self, loop: asyncio.AbstractEventLoop, at: int, rows: list[Row]) -> None:
        data = snapshot.pack(snapshot.Snapshot(self.me, at, rows))
        try:
            await loop.run_in_executor(self.thread, snapshot.write, self.folder, data, self.me)
            self.written += 1
        except OSError as wrong:
            if not self.failed:  # said once until it works again
                self.event("snapshot_unwritten", why=f"{self.folder}: {wrong.strerror}")
            self.failed += 1
        else:
            self.failed = 0

    def end(self, at: int, rows: list[Row]) -> None:
        """The last words of a drain; the process ends after it, so the loop may wait here."""
        if self.task is not None:
            self.task.cancel()
        self.thread.shutdown(wait=True, cancel_futures=True)
        try:
            data = snapshot.pack(snapshot.Snapshot(self.me, at, rows))
            snapshot.write(self.folder, data, self.me)
        except OSError as wrong:
            self.event("snapshot_unwritten", why=f"{self.folder}: {wrong.strerror}")
