"""Counts what a replica sends by purpose, and logs it at the primary now and then."""

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
    """What messages between replicas are sent for."""

    APPEND = "append"  # new entries for the members
    CATCH_UP = "catch_up"  # data for replicas that are being synchronized or brought up to date
    CONTROL = "control"  # heartbeats, votes, and responses to the other messages


_PURPOSES = {
    AppendRequest: Purpose.APPEND,
    RangeDigests: Purpose.CATCH_UP,
    RangesResponse: Purpose.CATCH_UP,
    SyncRequest: Purpose.CATCH_UP,
}


def purpose_of(message: object) -> Purpose:
    """Returns what a message between replicas is sent for."""
    return _PURPOSES.get(type(message), Purpose.CONTROL)


@dataclass
class SentTraffic:
    """What a replica has sent since it was last taken; bytes as they go over the connections."""

    sent_bytes: dict[Purpose, int] = field(default_factory=lambda: dict.fromkeys(Purpose, 0))
    sent_messages: dict[Purpose, int] = field(default_factory=lambda: dict.fromkeys(Purpose, 0))

    def count(self, message: Message, frame_bytes: int, receivers: int) -> None:
        """Counts one message that was sent to some receivers."""
        purpose = purpose_of(message)
        self.sent_bytes[purpose] += frame_bytes * receivers
        self.sent_messages[purpose] += receivers

    def take(self) -> "SentTraffic":
        """Returns all that was counted, and begins anew."""
        taken = SentTraffic(self.sent_bytes, self.sent_messages)
        self.sent_bytes = dict.fromkeys(Purpose, 0)
        self.sent_messages = dict.fromkeys(Purpose, 0)
        return taken

    def __str__(self) -> str:
        """Bytes and messages of each purpose, as they stand in the log."""
        return " ".join(
            f"{purpose.value}_bytes={self.sent_bytes[purpose]} "
            f"{purpose.value}_messages={self.sent_messages[purpose]}"
            for purpose in Purpose
        )


class TrafficLog:
    """Logs what the primary has sent, and how far the others are behind; owned by `ReplicaNode`."""

    def __init__(self, replica: Replica, traffic: SentTraffic, buffered_bytes: Callable[[], int]) -> None:
        """A log of one replica.

        Args:
            replica: The replica.
            traffic: Counts what it sends.
            buffered_bytes: Tells how many bytes wait in this process to be sent.
        """
        self._replica = replica
        self._traffic = traffic
        self._buffered_bytes = buffered_bytes
        self._due_at = NEVER

    def tick(self, now: float) -> None:
        """Logs a line at the primary where one is due."""
        if now < self._due_at:
            return
        self._due_at = now + TRAFFIC_LOG_INTERVAL_S
        taken = self._traffic.take()
        backlog = self._replica.backlog()
        if backlog is not None:
            log.info("replication_traffic %s %s buffered_bytes=%d", taken, backlog, self._buffered_bytes())
