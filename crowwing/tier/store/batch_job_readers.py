"""Readers that wait for the next result of a batch job, notified only of changes to their own job."""

import asyncio
from collections import deque


class BatchJobReaders:
    """The waiting readers by job on the primary; owned by `StoreService`."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._waiting: dict[str, set[asyncio.Future[None]]] = {}
        self._uncommitted: deque[tuple[int, str]] = deque()  # log index and id of each changed job

    async def wait(self, job_id: str, timeout_s: float) -> None:
        """Returns when the job or the role has changed, or after the time-out."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(job_id, set()).add(future)
        try:
            async with asyncio.timeout(timeout_s):
                await future
        except TimeoutError:
            pass
        finally:
            self._remove(job_id, future)

    def _remove(self, job_id: str, future: "asyncio.Future[None]") -> None:
        waiting = self._waiting.get(job_id, set())
        waiting.discard(future)
        if not waiting:
            self._waiting.pop(job_id, None)

    def on_job_changed(self, index: int, job_id: str) -> None:
        """Registers a change of a job by a log entry that is not committed yet."""
        self._uncommitted.append((index, job_id))

    def on_committed(self, index: int) -> None:
        """Wakes the readers of jobs changed by committed entries; the log is committed up to `index`."""
        while self._uncommitted and self._uncommitted[0][0] <= index:
            self._notify(self._uncommitted.popleft()[1])

    def on_role_changed(self) -> None:
        """Wakes all readers, since this machine may no longer be the primary."""
        self._uncommitted.clear()
        for job_id in list(self._waiting):
            self._notify(job_id)

    def _notify(self, job_id: str) -> None:
        for future in self._waiting.get(job_id, ()):
            if not future.done():
                future.set_result(None)
