"""Keeps the control plane told, through its outages and lost replies."""

import asyncio

from crowwing.protocol import control
from crowwing.protocol.reply import ReplyReader
from crowwing.routing.book import Book
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
        book: Book,
    ) -> None:
        self.name, self.book = name, book
        self.host = f"{address[0]}:{address[1]}"
        self.exchanges = Exchanges(loop, address, pool, ReplyReader, 2 * EVERY, 2)
        self.good = False
        self.changed = asyncio.Event()

    def tell(self, good: bool) -> None:
        self.good = good
        self.changed.set()

    async def run(self) -> None:
        await self.changed.wait()
        failing = False
        while True:
            self.changed.clear()
            said = self.good
            try:
                data = control.report(self.name, said, self.host)
                counted = control.counted(await self.exchanges.ask(data, EVERY))
            except (NeverSent, Broken):
                counted = False
            if counted == failing:
                failing = not counted
                self.book.event("control_lost" if failing else "control_back")
            try:
                async with asyncio.timeout(EVERY if counted else AGAIN):
                    await self.changed.wait()
            except TimeoutError:
                pass
