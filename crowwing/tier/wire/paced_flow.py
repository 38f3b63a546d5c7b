"""The send queue of one connection on a paced link: waiting frames, and the rest of the one in progress."""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from crowwing.tier.wire.traffic import TrafficClass

Chunk = bytes | memoryview

MAX_TRANSPORT_BYTES = 256 * 1024  # bytes in a connection's own buffer above which it gets no bulk data
SMALL_RESPONSE_BYTES = 1024  # responses up to this length are sent as control traffic


class Pacer(Protocol):
    """The interface of the pacer for flows."""

    def spend(self, length: int) -> None:
        """Charges bytes of control traffic to the budget."""

    def send_bulk(self, flow: "PacedFlow", frame: bytes, traffic_class: TrafficClass) -> None:
        """Sends a frame of bulk data, now or later."""

    def remove_flow(self, flow: "PacedFlow") -> None:
        """Removes a flow that is about to drop its frames."""


@dataclass
class _WaitingFrame:
    """A frame and its expiry, in seconds of the monotonic clock."""

    frame: bytes
    expires_at: float
    sent_bytes: int = 0

    @property
    def remaining_bytes(self) -> int:
        """Bytes that are not sent yet."""
        return len(self.frame) - self.sent_bytes


class PacedFlow:
    """The frames of one connection; owned by the connection, which closes it.

    Attributes:
        waiting_bytes: bytes of the frames that wait for the link.
    """

    def __init__(
        self, pacer: Pacer, write: Callable[[Chunk], None], count_buffered_bytes: Callable[[], int]
    ) -> None:
        """Creates an empty flow.

        Args:
            pacer: the pacer of the link.
            write: writes bytes to the connection; raises nothing, and may close this flow.
            count_buffered_bytes: returns the bytes that the connection has not passed to the kernel yet.
        """
        self._pacer = pacer
        self._write = write
        self._count_buffered_bytes = count_buffered_bytes
        self._frames: dict[TrafficClass, deque[_WaitingFrame]] = {}
        self._in_progress: TrafficClass | None = None  # the class of a partially written frame
        self._control: deque[bytes] = deque()  # control frames that wait for the end of that frame
        self._is_closed = False
        self.waiting_bytes = 0

    def send(self, frame: bytes, traffic_class: TrafficClass) -> None:
        """Sends a frame, at once or when the pacer allows."""
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
        """Drops all waiting frames."""
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
        """Whether a frame is partially written."""
        return self._in_progress is not None

    def has_frames(self, traffic_class: TrafficClass) -> bool:
        """Whether frames of a class wait."""
        return bool(self._frames.get(traffic_class))

    def has_equal_frame(self, frame: bytes, traffic_class: TrafficClass) -> bool:
        """Whether an identical frame is already waiting."""
        return any(waiting.frame == frame for waiting in self._frames.get(traffic_class, ()))

    def count_bytes(self, traffic_class: TrafficClass) -> int:
        """Waiting bytes of a class."""
        return sum(frame.remaining_bytes for frame in self._frames.get(traffic_class, ()))

    def first_length(self, traffic_class: TrafficClass) -> int:
        """Remaining bytes of the first frame of a class."""
        return self._frames[traffic_class][0].remaining_bytes

    def is_ready(self, traffic_class: TrafficClass) -> bool:
        """Whether a frame of a class can be written: its peer reads, and no other frame is in progress."""
        if self._in_progress not in (None, traffic_class):
            return False
        return self._count_buffered_bytes() < MAX_TRANSPORT_BYTES

    def enqueue(self, frame: bytes, traffic_class: TrafficClass, expires_at: float) -> None:
        """Appends a frame to the queue of its class."""
        self._frames.setdefault(traffic_class, deque()).append(_WaitingFrame(frame, expires_at))
        self.waiting_bytes += len(frame)

    def drop_expired(self, traffic_class: TrafficClass, now: float) -> int:
        """Drops expired frames at the head of a class's queue; returns their bytes."""
        frames = self._frames[traffic_class]
        dropped_bytes = 0
        while frames and frames[0].expires_at <= now:
            dropped_bytes += frames.popleft().remaining_bytes
        self.waiting_bytes -= dropped_bytes
        return dropped_bytes

    def take_chunk(self, traffic_class: TrafficClass, max_bytes: int) -> Chunk:
        """Takes the first frame of a class, or a part of it; it must be passed to `write` next."""
        frames = self._frames[traffic_class]
        first = frames[0]
        begin, length = first.sent_bytes, min(first.remaining_bytes, max_bytes)
        chunk = first.frame if length == len(first.frame) else memoryview(first.frame)[begin : begin + length]
        first.sent_bytes += length
        if first.remaining_bytes:
            first.expires_at = math.inf  # without the rest, the peer can't decode later frames
            self._in_progress = traffic_class
        else:
            frames.popleft()
            self._in_progress = None
        self.waiting_bytes -= len(chunk)
        return chunk

    def write(self, chunk: Chunk) -> None:
        """Writes a frame or chunk, and then the control frames that waited for the end of its frame."""
        self._write(chunk)
        while self._control and self._in_progress is None:
            frame = self._control.popleft()
            self.waiting_bytes -= len(frame)
            self._pacer.spend(len(frame))
            self._write(frame)
