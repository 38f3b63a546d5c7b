"""Readers of lots that wait for the next result; each is woken by results of its own lot alone."""

import asyncio
from collections import deque


class BatchJobReaders:
    """Who waits for which lot, at the primary."""

    def __init__(self) -> None:
        self._waiting: dict[str, set[asyncio.Future[None]]] = {}
        self._uncommitted: deque[tuple[int, str]] = deque()  # index and lot

    async def wait(self, job_id: str, limit_s: float) -> None:
        """Returns when the lot has changed, or after the limit."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(job_id, set()).add(future)
        try:
            async with asyncio.timeout(limit_s):
                await future
        except TimeoutError:
            pass
        finally:
            self._forget(job_id, future)

    def _forget(self, job_id: str, future: "asyncio.Future[None]") -> None:
        waiting = self._waiting.get(job_id, set())
        waiting.discard(future)
        if not waiting:
            self._waiting.pop(job_id, None)

    def changed(self, index: int, job_id: str) -> None:
        """A change of a lot stands at an index of the log."""
        self._uncommitted.append((index, job_id))

    def committed(self, index: int) -> None:
        """The log is committed up to an index."""
        while self._uncommitted and self._uncommitted[0][0] <= index:
            self._wake(self._uncommitted.popleft()[1])

    def role_changed(self) -> None:
        """All readers look again."""
        self._uncommitted.clear()
        for job_id in list(self._waiting):
            self._wake(job_id)

    def _wake(self, job_id: str) -> None:
        for future in self._waiting.get(job_id, ()):
            if not future.done():
                future.set_result(None)
