"""Call: one call below for a run that waits, and what its ending proves."""

import asyncio
from collections.abc import Callable

from crowwing.contract import Outcome
from crowwing.protocol import below
from crowwing.protocol.reply import ReplyReader
from crowwing.routing.book import Book
from crowwing.routing.slip import Slip
from crowwing.transport.exchange import Broken, Exchanges, NeverSent, Spoilt
from crowwing.transport.pool import BufferPool

IDLE = 0.8 * below.IDLE_CLOSED  # seconds: ours are dropped before the back end drops them


class Call:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int] | None,
        pool: BufferPool,
        most: int,
        book: Book,
        hear: Callable[[Slip, int, Outcome, bytes], None],
    ) -> None:
        self.loop, self.book, self.hear = loop, book, hear
        self.exchanges = Exchanges(loop, address, pool, ReplyReader, IDLE, most)

    def begin(self, slip: Slip, span: float) -> None:
        self.book.holds(slip.wanted is not None and slip.call is None, "a call that no run waits for")
        self.give_up(slip)
        slip.call = self.loop.create_task(self._call(slip, round(span)))

    @staticmethod
    def give_up(slip: Slip) -> None:
        """Closes the connection of the call that is out, if one is."""
        if slip.call is not None:
            slip.call.cancel()
            slip.call = None

    async def _call(self, slip: Slip, span: int) -> None:
        began, body = self.loop.time(), b""
        try:
            data = below.call(slip.id, span, self.exchanges.host, slip.wanted or b"")
            reply = await self.exchanges.ask(data, span / 1e6)
            outcome, body = below.outcome(reply), reply.body
        except NeverSent:
            outcome = Outcome.NEVER_RAN
        except Spoilt:
            outcome = Outcome.FAILED  # it has run and is over; nothing of it lingers
        except Broken:
            outcome = Outcome.UNSURE
        slip.call = None
        self.book.count(f"call_{outcome.name.lower()}")
        self.hear(slip, round((self.loop.time() - began) * 1e6), outcome, body)
