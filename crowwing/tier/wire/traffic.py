"""The classes of traffic that share the link of a machine."""

from collections.abc import Callable
from enum import IntEnum


class TrafficClass(IntEnum):
    """How urgent a frame is; the lower number goes first."""

    CONTROL = 0  # heartbeats, votes, acknowledgements, the relay tree: never waits for the others
    REPLICATION = 1  # what a commit or a new view waits for
    RESPONSE = 2  # what a caller waits for, and requests that carry data
    CATCH_UP = 3  # what brings other replicas up to date


BULK_CLASSES = (TrafficClass.REPLICATION, TrafficClass.RESPONSE, TrafficClass.CATCH_UP)

Classify = Callable[[object], TrafficClass]  # the class of a message by its body


def classify_as_control(_body: object) -> TrafficClass:
    """Takes every message for control traffic."""
    return TrafficClass.CONTROL
