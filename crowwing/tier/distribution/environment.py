"""What a relay uses of its process."""

from dataclasses import dataclass
from random import Random

from crowwing.tier.clock import SYSTEM_CLOCK, Clock
from crowwing.tier.wire.connection_pool import ConnectionPool


@dataclass(frozen=True)
class RelayEnvironment:
    """What a relay uses of its process; simulated in tests.

    Attributes:
        connections: how other backends are reached.
        random: draws pauses, peers and candidates.
        clock: tells how long ago a heartbeat came.
    """

    connections: ConnectionPool
    random: Random
    clock: Clock = SYSTEM_CLOCK
