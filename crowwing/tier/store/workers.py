"""Where the disk's blocking work is done: two threads, or simulated time in tests."""

import asyncio
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Protocol, TypeVar, TypeVarTuple

ArgumentTs = TypeVarTuple("ArgumentTs")
ResultT = TypeVar("ResultT")
ResultT_co = TypeVar("ResultT_co", covariant=True)


class PendingResult(Protocol[ResultT_co]):
    """The result of work that was handed over."""

    def done(self) -> bool:
        """Whether the work has ended."""
        ...

    def result(self) -> ResultT_co:
        """The result; waits for the end of the work, and raises what it raised."""
        ...


class DiskWorkers(Protocol):
    """Does one write after another, and compaction beside the writes."""

    async def write(self, work: Callable[[*ArgumentTs], ResultT], *arguments: *ArgumentTs) -> ResultT:
        """Does a write, after those before it; raises what it raises."""
        ...

    def compact(
        self, work: Callable[[*ArgumentTs], ResultT], *arguments: *ArgumentTs
    ) -> PendingResult[ResultT]:
        """Starts a compaction."""
        ...


class ThreadWorkers:
    """A thread that writes and one that compacts; owned by `Disk`."""

    def __init__(self) -> None:
        """Threads that start with the first work."""
        self._writer = ThreadPoolExecutor(1, "disk")
        self._compactor = ThreadPoolExecutor(1, "compaction")

    async def write(self, work: Callable[[*ArgumentTs], ResultT], *arguments: *ArgumentTs) -> ResultT:
        """Does a write, after those before it; raises what it raises."""
        return await asyncio.get_running_loop().run_in_executor(self._writer, work, *arguments)

    def compact(self, work: Callable[[*ArgumentTs], ResultT], *arguments: *ArgumentTs) -> Future[ResultT]:
        """Starts a compaction."""
        return self._compactor.submit(work, *arguments)
