"""The queue of bulk data that waits for the link, for all connections.

Classes have strict priority, except that each lower class is guaranteed a share of the link while it waits.
Within a class, connections are served round-robin, one frame each. A frame in progress is finished before the
next one starts, so that it blocks its connection no longer than it takes to send; if its peer reads too
slowly, other connections go on.
"""

from collections import deque
from dataclasses import dataclass

from crowwing.tier.wire.paced_flow import PacedFlow
from crowwing.tier.wire.traffic import BULK_CLASSES, TrafficClass

# Shares of the bulk data, while frames of the class wait.
GUARANTEED_SHARES = {TrafficClass.RESPONSE: 0.25, TrafficClass.CATCH_UP: 0.25}

MAX_CREDIT_BYTES = 128 * 1024  # limit on the credit that a class can accumulate


@dataclass(frozen=True)
class NextFrame:
    """The next frame to send.

    Attributes:
        flow: the connection's flow.
        traffic_class: the frame's class.
        uses_credit: whether it is sent ahead of a more urgent class, on the credit of its guaranteed share.
        is_first_chunk: whether no part of it has been written yet.
    """

    flow: PacedFlow
    traffic_class: TrafficClass
    uses_credit: bool = False
    is_first_chunk: bool = True


class BulkQueue:
    """The frames that wait for the link; owned by `EgressPacer`."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._flows: dict[TrafficClass, deque[PacedFlow]] = {kind: deque() for kind in BULK_CLASSES}
        self._waiting_bytes = dict.fromkeys(BULK_CLASSES, 0)
        self._credit_bytes = dict.fromkeys(GUARANTEED_SHARES, 0.0)
        self._in_progress: NextFrame | None = None

    @property
    def is_empty(self) -> bool:
        """Whether no frames wait."""
        return not any(self._flows.values())

    def waiting_bytes(self, traffic_class: TrafficClass) -> int:
        """Waiting bytes of a class."""
        return self._waiting_bytes[traffic_class]

    def add(self, flow: PacedFlow, frame: bytes, traffic_class: TrafficClass, expires_at: float) -> None:
        """Adds a frame."""
        if not flow.has_frames(traffic_class):
            self._flows[traffic_class].append(flow)
        flow.enqueue(frame, traffic_class, expires_at)
        self._waiting_bytes[traffic_class] += len(frame)

    def remove_flow(self, flow: PacedFlow) -> None:
        """Removes all frames of a flow."""
        for traffic_class, flows in self._flows.items():
            if flow in flows:
                flows.remove(flow)
                self._waiting_bytes[traffic_class] -= flow.count_bytes(traffic_class)
        if self._in_progress is not None and self._in_progress.flow is flow:
            self._in_progress = None

    def next_frame(self, now: float) -> NextFrame | None:
        """Returns the next frame to send; None if there is none whose peer reads fast enough."""
        frame = self._in_progress
        if frame is not None and frame.flow.is_ready(frame.traffic_class):
            return frame
        ready = [
            (flow, traffic_class)
            for traffic_class in BULK_CLASSES
            if (flow := self._first_ready(traffic_class, now)) is not None
        ]
        if not ready:
            return None
        for flow, traffic_class in ready[1:]:
            if self._credit_bytes[traffic_class] > 0:
                return NextFrame(flow, traffic_class, uses_credit=True)
        return NextFrame(*ready[0])

    def _first_ready(self, traffic_class: TrafficClass, now: float) -> PacedFlow | None:
        flows = self._flows[traffic_class]
        for flow in tuple(flows):
            self._waiting_bytes[traffic_class] -= flow.drop_expired(traffic_class, now)
            if not flow.has_frames(traffic_class):
                flows.remove(flow)
            elif flow.is_ready(traffic_class):
                return flow
        return None

    def write(self, frame: NextFrame, max_bytes: int) -> int:
        """Writes the next frame, or a part of it.

        Returns:
            The number of bytes written.
        """
        flow, traffic_class = frame.flow, frame.traffic_class
        if frame.is_first_chunk:
            self._update_credit(frame)
        chunk = flow.take_chunk(traffic_class, max_bytes)
        self._waiting_bytes[traffic_class] -= len(chunk)
        if flow.is_in_progress:
            self._in_progress = NextFrame(flow, traffic_class, is_first_chunk=False)
        else:
            self._in_progress = None
            self._end_turn(flow, traffic_class)
        flow.write(chunk)  # last, since it may close the flow
        return len(chunk)

    def _end_turn(self, flow: PacedFlow, traffic_class: TrafficClass) -> None:
        flows = self._flows[traffic_class]
        flows.remove(flow)
        if flow.has_frames(traffic_class):
            flows.append(flow)

    def _update_credit(self, frame: NextFrame) -> None:
        """Adds each waiting class's share of the frame to its credit; charges a frame sent on credit."""
        length = frame.flow.first_length(frame.traffic_class)
        for traffic_class, share in GUARANTEED_SHARES.items():
            credit_bytes = self._credit_bytes[traffic_class] + share * length
            max_bytes = MAX_CREDIT_BYTES if self._flows[traffic_class] else 0
            self._credit_bytes[traffic_class] = min(credit_bytes, max_bytes)
        if frame.uses_credit:
            self._credit_bytes[frame.traffic_class] -= length
