"""Delivers a replica's messages: over connections to its peers, directly to itself."""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import groupby

from crowwing.tier.replication.messages import (
    AppendRequest,
    Message,
    RangeDigests,
    RangesResponse,
    SyncRequest,
)
from crowwing.tier.store.replication_traffic import SentTraffic
from crowwing.tier.wire.connection_pool import ConnectionPool

DATA_MESSAGES = (AppendRequest, SyncRequest, RangeDigests, RangesResponse)  # can be long


@dataclass(frozen=True)
class ReplicaConnections:
    """Connections to the other replicas.

    Attributes:
        data: For messages that carry data.
        urgent: For heartbeats and votes, which long messages on the same connection would delay too much.
    """

    data: ConnectionPool
    urgent: ConnectionPool


class MessageSender:
    """Delivers messages in the order of the replica's output; owned by `ReplicaNode`.

    Attributes:
        traffic: Counts the messages sent to other replicas.
    """

    def __init__(
        self, address: str, connections: ReplicaConnections, receive: Callable[[Message], None]
    ) -> None:
        """Creates a sender for one replica.

        Args:
            address: The replica's own address.
            connections: The connections to the other replicas.
            receive: Processes a message of the replica to itself.
        """
        self._address = address
        self._connections = connections
        self._receive = receive
        self.traffic = SentTraffic()

    def deliver(self, messages: list[tuple[str, Message]]) -> None:
        """Delivers (receiver, message) pairs; consecutive equal messages are encoded once."""
        for message, group in groupby(messages, key=lambda addressed: addressed[1]):
            receivers = [receiver for receiver, _ in group]
            if self._address in receivers:
                self._receive(message)
                receivers.remove(self._address)
            if receivers:
                is_data = isinstance(message, DATA_MESSAGES)
                pool = self._connections.data if is_data else self._connections.urgent
                frame_bytes = pool.notify_all(receivers, message)
                self.traffic.count(message, frame_bytes, len(receivers))
