"""Reports readiness to the control plane, and retries through outages and lost replies."""

import asyncio

from crowwing.protocol import control_plane
from crowwing.protocol.reply import ReplyReader
from crowwing.routing.event_recorder import EventRecorder
from crowwing.transport.buffer_pool import BufferPool
from crowwing.transport.connection_pool import ConnectionPool, ExchangeError, NotSentError

REPORT_INTERVAL = control_plane.REPORT_LIFETIME / 4  # seconds between acknowledged reports
RETRY_DELAY = control_plane.REPORT_LIFETIME / 15  # after an unacknowledged one


class Reporter:
    """Sends no report until the decision module has set the readiness."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        pool: BufferPool,
        name: str,
        recorder: EventRecorder,
    ) -> None:
        self.loop, self.name, self.recorder = loop, name, recorder
        # An idle connection stays open for at least half of this time, which is two report intervals.
        self.exchanges = ConnectionPool(loop, address, pool, ReplyReader, 4 * REPORT_INTERVAL, 2)
        self.ready = self.started = False
        self.changed = asyncio.Event()  # the readiness or the address changed

    def set_ready(self, ready: bool) -> None:
        self.ready = ready
        self.changed.set()

    def set_address(self, address: tuple[str, int]) -> None:
        if address != self.exchanges.address:
            self.exchanges.set_address(address)
            if self.started:
                self.changed.set()

    async def run(self) -> None:
        if not self.started:  # if restarted after an error, it reports at once
            await self.changed.wait()
        self.started = True
        # When a report was last acknowledged, and whether `control_lost` was logged since.
        last_acknowledged, lost = self.loop.time(), False
        while True:
            self.changed.clear()
            acknowledged = await self._report()
            if acknowledged:
                last_acknowledged = self.loop.time()
            if lost != (self.loop.time() - last_acknowledged > control_plane.REPORT_LIFETIME):
                lost = not lost
                self.recorder.event("control_lost" if lost else "control_back")
            try:
                async with asyncio.timeout(REPORT_INTERVAL if acknowledged else RETRY_DELAY):
                    await self.changed.wait()
            except TimeoutError:
                pass

    async def _report(self) -> bool:
        """Sends one report; returns whether it was acknowledged. Abandons it if the readiness changes."""
        data = control_plane.encode_report(self.name, self.ready, self.exchanges.host)
        reply_task = self.loop.create_task(self.exchanges.request(data, REPORT_INTERVAL))
        change_task = self.loop.create_task(self.changed.wait())
        try:
            await asyncio.wait((reply_task, change_task), return_when=asyncio.FIRST_COMPLETED)
            return reply_task.done() and control_plane.is_acknowledged(reply_task.result())
        except (NotSentError, ExchangeError):
            return False
        finally:
            reply_task.cancel()
            change_task.cancel()
