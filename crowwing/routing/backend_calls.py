"""One call to the service below for a run that waits for it, and what its ending proves."""

import asyncio
from collections.abc import Callable

from crowwing.contract import Outcome
from crowwing.protocol import below
from crowwing.protocol.reply import ReplyReader
from crowwing.routing.event_recorder import EventRecorder
from crowwing.routing.open_request import OpenRequest
from crowwing.transport.exchange import Broken, Exchanges, NeverSent, Spoilt
from crowwing.transport.pool import BufferPool

IDLE = 0.8 * below.IDLE_CLOSED  # seconds: ours are dropped before the back end drops them


class BackendCalls:
    """The calls that are out. Owned by `Dispatcher`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int] | None,
        pool: BufferPool,
        most: int,
        recorder: EventRecorder,
        hear: Callable[[OpenRequest, int, Outcome, bytes], None],
    ) -> None:
        """Calls `address`, at most `most` at once; `hear` gets how long each took and how it ended."""
        self.loop, self.recorder, self.hear = loop, recorder, hear
        self.exchanges = Exchanges(loop, address, pool, ReplyReader, IDLE, most)

    def begin(self, request: OpenRequest, span: float) -> None:
        """Sends the call that a run waits for; `span` microseconds is its time limit."""
        self.recorder.holds(
            request.wanted is not None and request.call is None, "a call that no run waits for"
        )
        self.give_up(request)
        request.call = self.loop.create_task(self._call(request, round(span)))

    @staticmethod
    def give_up(request: OpenRequest) -> None:
        """Closes the connection of the call that is out, if one is."""
        if request.call is not None:
            request.call.cancel()
            request.call = None

    async def _call(self, request: OpenRequest, span: int) -> None:
        began, body = self.loop.time(), b""
        try:
            data = below.call(request.id, span, self.exchanges.host, request.wanted or b"")
            reply = await self.exchanges.ask(data, span / 1e6)
            outcome, body = below.outcome(reply), reply.body
        except NeverSent:
            outcome = Outcome.NEVER_RAN
        except Spoilt:
            outcome = Outcome.FAILED  # it has run and is over; nothing of it lingers
        except Broken:
            outcome = Outcome.UNSURE
        request.call = None
        self.recorder.count(f"call_{outcome.name.lower()}")
        self.hear(request, round((self.loop.time() - began) * 1e6), outcome, body)
