"""What one connection sends over a paced link: frames that wait, and the rest of one that is in progress."""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from crowwing.tier.wire.traffic import TrafficClass

Chunk = bytes | memoryview

MAX_TRANSPORT_BYTES = 256 * 1024  # in a connection's own buffer, beyond which it is given no bulk data
SMALL_RESPONSE_BYTES = 1024  # up to which a response is control traffic


class Pacer(Protocol):
    """What a flow needs of the pacer."""

    def spend(self, length: int) -> None:
        """Counts bytes of control traffic."""

    def send_bulk(self, flow: "PacedFlow", frame: bytes, traffic_class: TrafficClass) -> None:
        """Sends a frame of bulk data, now or later."""

    def remove_flow(self, flow: "PacedFlow") -> None:
        """Removes a flow that is about to drop its frames."""


@dataclass
class _WaitingFrame:
    """A frame, and when it is of no use any more, in seconds of the monotonic clock."""

    frame: bytes
    expires_at: float
    sent_bytes: int = 0

    @property
    def remaining_bytes(self) -> int:
        """Bytes that are left to be sent."""
        return len(self.frame) - self.sent_bytes


class PacedFlow:
    """The frames of one connection; owned by the connection, which closes it.

    Attributes:
        waiting_bytes: of the frames that wait for the link.
    """

    def __init__(
        self, pacer: Pacer, write: Callable[[Chunk], None], count_buffered_bytes: Callable[[], int]
    ) -> None:
        """A flow in which nothing waits.

        Args:
            pacer: the pacer of the link.
            write: writes bytes to the connection; raises nothing, and may close this flow.
            count_buffered_bytes: counts the bytes that the connection has not handed to the system yet.
        """
        self._pacer = pacer
        self._write = write
        self._count_buffered_bytes = count_buffered_bytes
        self._frames: dict[TrafficClass, deque[_WaitingFrame]] = {}
        self._in_progress: TrafficClass | None = None  # the class of a frame that was written in part
        self._control: deque[bytes] = deque()  # waits for the end of that frame
        self._is_closed = False
        self.waiting_bytes = 0

    def send(self, frame: bytes, traffic_class: TrafficClass) -> None:
        """Sends a frame, now or later."""
        if self._is_closed:
            return
        if traffic_class is TrafficClass.RESPONSE and len(frame) <= SMALL_RESPONSE_BYTES:
            traffic_class = TrafficClass.CONTROL
        if traffic_class is not TrafficClass.CONTROL:
            self._pacer.send_bulk(self, frame, traffic_class)
        elif self._in_progress is None:
            self._pacer.spend(len(frame))
            self._write(frame)
        else:
            self._control.append(frame)
            self.waiting_bytes += len(frame)

    def close(self) -> None:
        """Drops what waits."""
        if self._is_closed:
            return
        self._is_closed = True
        self._pacer.remove_flow(self)
        self._frames.clear()
        self._control.clear()
        self.waiting_bytes = 0

    # For the pacer

    @property
    def is_in_progress(self) -> bool:
        """Whether a part of a frame was written, and the rest waits."""
        return self._in_progress is not None

    def has_frames(self, traffic_class: TrafficClass) -> bool:
        """Whether a frame of a class waits."""
        return bool(self._frames.get(traffic_class))

    def has_equal_frame(self, frame: bytes, traffic_class: TrafficClass) -> bool:
        """Whether the same bytes wait already."""
        return any(waiting.frame == frame for waiting in self._frames.get(traffic_class, ()))

    def count_bytes(self, traffic_class: TrafficClass) -> int:
        """Bytes of a class that wait."""
        return sum(frame.remaining_bytes for frame in self._frames.get(traffic_class, ()))

    def first_length(self, traffic_class: TrafficClass) -> int:
        """Bytes that are left of the first frame of a class."""
        return self._frames[traffic_class][0].remaining_bytes

    def is_ready(self, traffic_class: TrafficClass) -> bool:
        """Whether a frame of a class may be written: its peer reads, and no other frame is in progress."""
        if self._in_progress not in (None, traffic_class):
            return False
        return self._count_buffered_bytes() < MAX_TRANSPORT_BYTES

    def enqueue(self, frame: bytes, traffic_class: TrafficClass, expires_at: float) -> None:
        """Adds a frame behind the others of its class."""
        self._frames.setdefault(traffic_class, deque()).append(_WaitingFrame(frame, expires_at))
        self.waiting_bytes += len(frame)

    def drop_expired(self, traffic_class: TrafficClass, now: float) -> int:
        """Drops the first frames of a class that are of no use any more; returns their bytes."""
        frames = self._frames[traffic_class]
        dropped_bytes = 0
        while frames and frames[0].expires_at <= now:
            dropped_bytes += frames.popleft().remaining_bytes
        self.waiting_bytes -= dropped_bytes
        return dropped_bytes

    def take_chunk(self, traffic_class: TrafficClass, max_bytes: int) -> Chunk:
        """Takes the first frame of a class, or a part of it, which `write` has to be given next."""
        frames = self._frames[traffic_class]
        first = frames[0]
        begin, length = first.sent_bytes, min(first.remaining_bytes, max_bytes)
        chunk = first.frame if length == len(first.frame) else memoryview(first.frame)[begin : begin + length]
        first.sent_bytes += length
        if first.remaining_bytes:
            first.expires_at = math.inf  # the peer can't read what follows without the rest
            self._in_progress = traffic_class
        else:
            frames.popleft()
            self._in_progress = None
        self.waiting_bytes -= len(chunk)
        return chunk

    def write(self, chunk: Chunk) -> None:
        """Writes a frame or a chunk, and the control traffic that has waited for the end of its frame."""
        self._write(chunk)
        while self._control and self._in_progress is None:
            frame = self._control.popleft()
            self.waiting_bytes -= len(frame)
            self._pacer.spend(len(frame))
            self._write(frame)
