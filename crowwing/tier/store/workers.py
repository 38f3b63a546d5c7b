"""Where the disk's blocking work is done: two threads, or a simulated machine's time in tests."""

import asyncio
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, Protocol, TypeVar

T = TypeVar("T")


class Outcome(Protocol[T]):
    """Work that was handed over."""

    def done(self) -> bool:
        """Whether it has ended."""
        ...

    def result(self) -> T:
        """What it gave; waits for its end, and raises what it raised."""
        ...


class DiskWorkers(Protocol):
    """Does one piece of writing after another, and rewriting beside it."""

    async def write(self, work: Callable[..., T], *arguments: Any) -> T:  # noqa: ANN401
        """Does a piece of writing, after those before it."""
        ...

    def rewrite(self, work: Callable[..., T], *arguments: Any) -> Outcome[T]:  # noqa: ANN401
        """Starts a piece of rewriting."""
        ...


class ThreadWorkers:
    """A thread that writes and one that rewrites."""

    def __init__(self) -> None:
        self._writer = ThreadPoolExecutor(1, "disk")
        self._rewriter = ThreadPoolExecutor(1, "rewriter")

    async def write(self, work: Callable[..., T], *arguments: Any) -> T:  # noqa: ANN401
        """Does a piece of writing, after those before it."""
        return await asyncio.get_running_loop().run_in_executor(self._writer, work, *arguments)

    def rewrite(self, work: Callable[..., T], *arguments: Any) -> Future[T]:  # noqa: ANN401
        """Starts a piece of rewriting."""
        return self._rewriter.submit(work, *arguments)
