"""Runs the disk's blocking work: in two threads, or in simulated time in tests."""

import asyncio
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Protocol, TypeVar, TypeVarTuple

ArgumentTs = TypeVarTuple("ArgumentTs")
ResultT = TypeVar("ResultT")
ResultT_co = TypeVar("ResultT_co", covariant=True)


class PendingResult(Protocol[ResultT_co]):
    """The future result of submitted work."""

    def done(self) -> bool:
        """Whether the work has ended."""
        ...

    def result(self) -> ResultT_co:
        """Returns the result; waits for the work to end, and raises what it raised."""
        ...


class DiskWorkers(Protocol):
    """Runs writes one after another, and compactions concurrently with them."""

    async def write(self, work: Callable[[*ArgumentTs], ResultT], *arguments: *ArgumentTs) -> ResultT:
        """Runs a write after all earlier ones; raises what it raises."""
        ...

    def compact(
        self, work: Callable[[*ArgumentTs], ResultT], *arguments: *ArgumentTs
    ) -> PendingResult[ResultT]:
        """Starts a compaction in the background."""
        ...


class ThreadWorkers:
    """One thread for writes and one for compactions; owned by `Disk`."""

    def __init__(self) -> None:
        """Creates the executors; threads start with the first work."""
        self._writer = ThreadPoolExecutor(1, "disk")
        self._compactor = ThreadPoolExecutor(1, "compaction")

    async def write(self, work: Callable[[*ArgumentTs], ResultT], *arguments: *ArgumentTs) -> ResultT:
        """Runs a write after all earlier ones; raises what it raises."""
        return await asyncio.get_running_loop().run_in_executor(self._writer, work, *arguments)

    def compact(self, work: Callable[[*ArgumentTs], ResultT], *arguments: *ArgumentTs) -> Future[ResultT]:
        """Starts a compaction in the background."""
        return self._compactor.submit(work, *arguments)
