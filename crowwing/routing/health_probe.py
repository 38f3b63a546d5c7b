"""Deep health checks, which have the worker agent do a piece of work."""

import asyncio

from crowwing.routing.worker_commands import WorkerCommands


class HealthProbe:
    """The probes in progress. Owned by `Dispatcher`."""

    def __init__(self, loop: asyncio.AbstractEventLoop, commands: WorkerCommands) -> None:
        """Starts without probes."""
        self.loop, self.commands = loop, commands
        self.last_tag = 0
        self.pending: dict[str, asyncio.Future[bool]] = {}  # removed on an answer or at the time limit

    async def exercise(self, time_limit: float) -> bool:
        """Returns whether the work was done within `time_limit` seconds."""
        self.last_tag += 1
        tag = f"c{self.last_tag}"
        self.pending[tag] = self.loop.create_future()
        try:
            if not self.commands.exercise(tag):
                return False
            async with asyncio.timeout(time_limit):
                return await self.pending[tag]
        except TimeoutError:
            return False
        finally:
            del self.pending[tag]

    def on_answer(self, tag: str, good: bool) -> None:
        """The worker agent has answered a probe."""
        future = self.pending.get(tag)
        if future is not None and not future.done():
            future.set_result(good)
