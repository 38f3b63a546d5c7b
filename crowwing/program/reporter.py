"""Keeps the control plane told, through its outages and lost replies."""

import asyncio

from crowwing.protocol import control
from crowwing.protocol.reply import ReplyReader
from crowwing.routing.event_recorder import EventRecorder
from crowwing.transport.exchange import Broken, Exchanges, NeverSent
from crowwing.transport.pool import BufferPool

EVERY = control.LAPSE / 4  # seconds between reports that count
AGAIN = control.LAPSE / 15  # after one that did not


class Reporter:
    """Says nothing until the module has said what to say."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        pool: BufferPool,
        name: str,
        recorder: EventRecorder,
    ) -> None:
        self.loop, self.name, self.recorder = loop, name, recorder
        # Idle connections are looked at by halves of their time: kept for longer than two reports are apart.
        self.exchanges = Exchanges(loop, address, pool, ReplyReader, 4 * EVERY, 2)
        self.good = self.told = False
        self.changed = asyncio.Event()  # what is to be said, or to whom

    def tell(self, good: bool) -> None:
        self.good = good
        self.changed.set()

    def move(self, address: tuple[str, int]) -> None:
        if address != self.exchanges.address:
            self.exchanges.move(address)
            if self.told:
                self.changed.set()

    async def run(self) -> None:
        if not self.told:  # begun anew after a defect it has something to say at once
            await self.changed.wait()
        self.told = True
        last, lost = self.loop.time(), False  # when one counted, and whether that was said to be long ago
        while True:
            self.changed.clear()
            counted = await self._report()
            if counted:
                last = self.loop.time()
            if lost != (self.loop.time() - last > control.LAPSE):
                lost = not lost
                self.recorder.event("control_lost" if lost else "control_back")
            try:
                async with asyncio.timeout(EVERY if counted else AGAIN):
                    await self.changed.wait()
            except TimeoutError:
                pass

    async def _report(self) -> bool:
        """Whether one counted for sure. Given up where there is something new to say."""
        data = control.report(self.name, self.good, self.exchanges.host)
        asking = self.loop.create_task(self.exchanges.ask(data, EVERY))
        changing = self.loop.create_task(self.changed.wait())
        try:
            await asyncio.wait((asking, changing), return_when=asyncio.FIRST_COMPLETED)
            return asking.done() and control.counted(asking.result())
        except (NeverSent, Broken):
            return False
        finally:
            asking.cancel()
            changing.cancel()
