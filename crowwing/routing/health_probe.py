"""Deep health checks, which ask the worker agent whether work gets done."""

import asyncio

from crowwing.routing.worker_commands import WorkerCommands


class HealthProbe:
    """The probes that are under way. Owned by `Dispatcher`."""

    def __init__(self, loop: asyncio.AbstractEventLoop, send: WorkerCommands) -> None:
        """No probe is under way."""
        self.loop, self.send = loop, send
        self.tag = 0
        self.out: dict[str, asyncio.Future[bool]] = {}  # emptied by answers and bounds

    async def exercise(self, bound: float) -> bool:
        """Whether it does, within `bound` seconds."""
        self.tag += 1
        tag = f"c{self.tag}"
        self.out[tag] = self.loop.create_future()
        try:
            if not self.send.exercise(tag):
                return False
            async with asyncio.timeout(bound):
                return await self.out[tag]
        except TimeoutError:
            return False
        finally:
            del self.out[tag]

    def answered(self, tag: str, good: bool) -> None:
        """The worker agent has answered a probe."""
        future = self.out.get(tag)
        if future is not None and not future.done():
            future.set_result(good)
