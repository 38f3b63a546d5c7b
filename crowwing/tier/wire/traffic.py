"""The classes of traffic that share the link of a machine."""

from collections.abc import Callable
from enum import IntEnum


class TrafficClass(IntEnum):
    """The priority of a frame; lower numbers are sent first."""

    CONTROL = 0  # heartbeats, votes, acknowledgements, the relay tree; never waits for other classes
    REPLICATION = 1  # data that a commit or a new view waits for
    RESPONSE = 2  # responses that a caller waits for, and requests that carry data
    CATCH_UP = 3  # data for replicas that are catching up


BULK_CLASSES = (TrafficClass.REPLICATION, TrafficClass.RESPONSE, TrafficClass.CATCH_UP)

Classify = Callable[[object], TrafficClass]  # the class of a message by its body


def classify_as_control(_body: object) -> TrafficClass:
    """Classifies every message as control traffic."""
    return TrafficClass.CONTROL
