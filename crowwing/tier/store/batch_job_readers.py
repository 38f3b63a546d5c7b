"""Readers of batch jobs that wait for the next result; each is notified of changes of its own job alone."""

import asyncio
from collections import deque


class BatchJobReaders:
    """The waiting readers of each job at the primary; owned by `StoreService`."""

    def __init__(self) -> None:
        """No readers."""
        self._waiting: dict[str, set[asyncio.Future[None]]] = {}
        self._uncommitted: deque[tuple[int, str]] = deque()  # index in the log, and the job that it changes

    async def wait(self, job_id: str, timeout_s: float) -> None:
        """Returns when the job has changed or the role has, or after the time-out."""
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
        """An entry of the log that is not committed yet changes a job."""
        self._uncommitted.append((index, job_id))

    def on_committed(self, index: int) -> None:
        """The log is committed up to an index."""
        while self._uncommitted and self._uncommitted[0][0] <= index:
            self._notify(self._uncommitted.popleft()[1])

    def on_role_changed(self) -> None:
        """All readers look again: this machine may not be the one to answer them any more."""
        self._uncommitted.clear()
        for job_id in list(self._waiting):
            self._notify(job_id)

    def _notify(self, job_id: str) -> None:
        for future in self._waiting.get(job_id, ()):
            if not future.done():
                future.set_result(None)
