"""Counts the traffic that a replica sends by purpose, and logs it periodically on the primary."""

import enum
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from crowwing.tier.replication.messages import (
    AppendRequest,
    Message,
    RangeDigests,
    RangesResponse,
    SyncRequest,
)
from crowwing.tier.replication.peers import NEVER
from crowwing.tier.replication.replica import Replica

log = logging.getLogger("crowwing.replication")

TRAFFIC_LOG_INTERVAL_S = 5.0


class Purpose(enum.Enum):
    """The purpose of messages between replicas."""

    APPEND = "append"  # new entries for the members
    CATCH_UP = "catch_up"  # data for replicas that are being synchronized or are catching up
    CONTROL = "control"  # heartbeats, votes, and responses to the other messages


_PURPOSES = {
    AppendRequest: Purpose.APPEND,
    RangeDigests: Purpose.CATCH_UP,
    RangesResponse: Purpose.CATCH_UP,
    SyncRequest: Purpose.CATCH_UP,
}


def purpose_of(message: object) -> Purpose:
    """Returns the purpose of a message between replicas."""
    return _PURPOSES.get(type(message), Purpose.CONTROL)


@dataclass
class SentTraffic:
    """Bytes (as framed on the wire) and messages that a replica has sent since the last `take`."""

    sent_bytes: dict[Purpose, int] = field(default_factory=lambda: dict.fromkeys(Purpose, 0))
    sent_messages: dict[Purpose, int] = field(default_factory=lambda: dict.fromkeys(Purpose, 0))

    def count(self, message: Message, frame_bytes: int, receivers: int) -> None:
        """Counts one message sent to a number of receivers."""
        purpose = purpose_of(message)
        self.sent_bytes[purpose] += frame_bytes * receivers
        self.sent_messages[purpose] += receivers

    def take(self) -> "SentTraffic":
        """Returns the counts and resets them."""
        taken = SentTraffic(self.sent_bytes, self.sent_messages)
        self.sent_bytes = dict.fromkeys(Purpose, 0)
        self.sent_messages = dict.fromkeys(Purpose, 0)
        return taken

    def __str__(self) -> str:
        """Formats bytes and messages of each purpose for the log."""
        return " ".join(
            f"{purpose.value}_bytes={self.sent_bytes[purpose]} "
            f"{purpose.value}_messages={self.sent_messages[purpose]}"
            for purpose in Purpose
        )


class TrafficLog:
    """Logs the traffic that the primary sent and the lag of its peers; owned by `ReplicaNode`."""

    def __init__(self, replica: Replica, traffic: SentTraffic, buffered_bytes: Callable[[], int]) -> None:
        """Creates the log of one replica.

        Args:
            replica: The replica.
            traffic: The counts of what it sends.
            buffered_bytes: Returns the number of bytes in this process that wait to be sent.
        """
        self._replica = replica
        self._traffic = traffic
        self._buffered_bytes = buffered_bytes
        self._due_at = NEVER

    def tick(self, now: float) -> None:
        """Logs a line on the primary if one is due."""
        if now < self._due_at:
            return
        self._due_at = now + TRAFFIC_LOG_INTERVAL_S
        taken = self._traffic.take()
        backlog = self._replica.backlog()
        if backlog is not None:
            log.info("replication_traffic %s %s buffered_bytes=%d", taken, backlog, self._buffered_bytes())
