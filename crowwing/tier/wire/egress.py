"""Paces the traffic a process sends, so that control traffic does not queue behind bulk data on the link.

Control traffic is written at once. Bulk data is sent at a limited share of the link's rate and in short
bursts, so that a control message never queues behind much of it; what exceeds the budget waits in
`BulkQueue`. Long frames are sent in chunks, between which control traffic of other connections is sent.
"""

import asyncio
import math
from collections.abc import Callable

from crowwing.tier.clock import Clock
from crowwing.tier.wire.bulk_queue import BulkQueue
from crowwing.tier.wire.paced_flow import Chunk, PacedFlow
from crowwing.tier.wire.traffic import Classify, TrafficClass

BYTES_PER_MEGABIT = 1_000_000 / 8

BULK_SHARE = 0.8  # of the link's rate; control traffic counts towards it
BURST_S = 0.02  # burst size in seconds at the bulk rate; it may queue ahead of a control message on the link
CHUNK_S = 0.005  # minimum chunk size in seconds at the bulk rate; smaller writes don't pay
MIN_CHUNK_BYTES = 1500  # lower bound of the minimum chunk size on slow links
RETRY_INTERVAL_S = 0.005  # between checks of connections whose peers read too slowly
MIN_TIMER_S = 0.001  # the resolution of the event loop's timers

# A longer wait drops a long response: its caller has timed out (see the time-outs in front/), and a link busy
# with responses that no caller waits for would never catch up.
MAX_RESPONSE_WAIT_S = 2.0


class EgressPacer:
    """A token bucket for the link, shared by all connections of a process; owned by `StoreMachine`."""

    def __init__(self, link_mbps: float, clock: Clock, classify: Classify) -> None:
        """Creates a pacer with a full budget.

        Args:
            link_mbps: the link's rate in megabits (10^6) per second.
            clock: the process's clock.
            classify: returns the class of a message by its body.
        """
        self.classify = classify
        self.bulk_bytes_per_s = BULK_SHARE * link_mbps * BYTES_PER_MEGABIT
        self._clock = clock
        self._chunk_bytes = max(MIN_CHUNK_BYTES, int(self.bulk_bytes_per_s * CHUNK_S))
        self._burst_bytes = max(self._chunk_bytes, int(self.bulk_bytes_per_s * BURST_S))
        self._budget_bytes = float(self._burst_bytes)  # negative after control traffic exceeded it
        self._refilled_at = clock.monotonic()
        self._queue = BulkQueue()
        self._timer: asyncio.TimerHandle | None = None

    def open_flow(self, write: Callable[[Chunk], None], count_buffered_bytes: Callable[[], int]) -> PacedFlow:
        """Creates the flow of a new connection; for the arguments see `PacedFlow`."""
        return PacedFlow(self, write, count_buffered_bytes)

    def waiting_bytes(self, traffic_class: TrafficClass) -> int:
        """Bytes of a bulk class that wait for the link."""
        return self._queue.waiting_bytes(traffic_class)

    # For the flows

    def spend(self, length: int) -> None:
        """Charges control traffic to the budget; bulk data is delayed accordingly."""
        self._budget_bytes -= length

    def send_bulk(self, flow: PacedFlow, frame: bytes, traffic_class: TrafficClass) -> None:
        """Writes a frame at once if no frames wait and the budget covers it; otherwise queues it.

        A frame that is already queued is not queued again: senders retransmit after a time-out, and
        retransmissions would add to the congestion that delays the first one.
        """
        now = self._clock.monotonic()
        self._refill(now)
        is_covered = self._budget_bytes >= len(frame)
        if is_covered and self._queue.is_empty and flow.is_ready(traffic_class):
            self._budget_bytes -= len(frame)
            flow.write(frame)
        elif not self._is_repetition(flow, frame, traffic_class):
            is_response = traffic_class is TrafficClass.RESPONSE
            expires_at = now + MAX_RESPONSE_WAIT_S if is_response else math.inf
            self._queue.add(flow, frame, traffic_class, expires_at)
            self._send_waiting(now)

    @staticmethod
    def _is_repetition(flow: PacedFlow, frame: bytes, traffic_class: TrafficClass) -> bool:
        """Whether a frame repeats a queued one; catch-up traffic queues one message per connection."""
        if traffic_class is TrafficClass.CATCH_UP:
            return flow.has_frames(traffic_class)
        return flow.has_equal_frame(frame, traffic_class)

    def remove_flow(self, flow: PacedFlow) -> None:
        """Removes a flow that is about to drop its frames."""
        self._queue.remove_flow(flow)

    # The budget

    def _refill(self, now: float) -> None:
        earned_bytes = (now - self._refilled_at) * self.bulk_bytes_per_s
        self._refilled_at = now
        self._budget_bytes = min(self._burst_bytes, self._budget_bytes + earned_bytes)

    def _send_waiting(self, now: float) -> None:
        """Writes what the budget covers, and schedules a timer for the rest."""
        while (frame := self._queue.next_frame(now)) is not None:
            needed_bytes = min(frame.flow.first_length(frame.traffic_class), self._chunk_bytes)
            if self._budget_bytes < needed_bytes:
                self._set_timer((needed_bytes - self._budget_bytes) / self.bulk_bytes_per_s)
                return
            self._budget_bytes -= self._queue.write(frame, int(self._budget_bytes))
        if not self._queue.is_empty:
            self._set_timer(RETRY_INTERVAL_S)

    def _set_timer(self, delay_s: float) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(max(delay_s, MIN_TIMER_S), self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        now = self._clock.monotonic()
        self._refill(now)
        self._send_waiting(now)
