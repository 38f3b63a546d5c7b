"""Calls to the downstream service for runs that wait for them, and the outcome that each call's end shows."""

import asyncio
from collections.abc import Callable

from crowwing.contract import Outcome
from crowwing.protocol import downstream
from crowwing.protocol.reply import ReplyReader
from crowwing.routing.event_recorder import EventRecorder
from crowwing.routing.open_request import OpenRequest
from crowwing.transport.buffer_pool import BufferPool
from crowwing.transport.connection_pool import ConnectionPool, ExchangeError, InvalidReplyError, NotSentError

# Seconds; closes idle connections before the downstream service does.
IDLE_TIMEOUT = 0.8 * downstream.SERVER_IDLE_TIMEOUT


class BackendCalls:
    """The calls in progress. Owned by `Dispatcher`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int] | None,
        pool: BufferPool,
        max_calls: int,
        recorder: EventRecorder,
        on_ended: Callable[[OpenRequest, int, Outcome, bytes], None],
    ) -> None:
        """Calls `address`, at most `max_calls` at once.

        `on_ended` gets the duration of each call in microseconds, its outcome, and the body of the reply.
        """
        self.loop, self.recorder, self.on_ended = loop, recorder, on_ended
        self.exchanges = ConnectionPool(loop, address, pool, ReplyReader, IDLE_TIMEOUT, max_calls)

    def begin(self, request: OpenRequest, time_limit: float) -> None:
        """Sends the call that a run waits for; `time_limit` is in microseconds."""
        self.recorder.verify(
            request.wanted is not None and request.call is None, "a call that no run waits for"
        )
        self.cancel(request)
        request.call = self.loop.create_task(self._call(request, round(time_limit)))

    @staticmethod
    def cancel(request: OpenRequest) -> None:
        """Cancels the call in progress, if any, and closes its connection."""
        if request.call is not None:
            request.call.cancel()
            request.call = None

    async def _call(self, request: OpenRequest, time_limit: int) -> None:
        started, body = self.loop.time(), b""
        try:
            data = downstream.encode_call(request.id, time_limit, self.exchanges.host, request.wanted or b"")
            reply = await self.exchanges.request(data, time_limit / 1e6)
            outcome, body = downstream.classify_reply(reply), reply.body
        except NotSentError:
            outcome = Outcome.NEVER_RAN
        except InvalidReplyError:
            outcome = Outcome.FAILED  # it ran and has ended; nothing of it is still running
        except ExchangeError:
            outcome = Outcome.UNSURE
        request.call = None
        self.recorder.count(f"call_{outcome.name.lower()}")
        self.on_ended(request, round((self.loop.time() - started) * 1e6), outcome, body)
