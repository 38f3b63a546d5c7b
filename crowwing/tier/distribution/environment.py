"""The dependencies of a relay on its process."""

from dataclasses import dataclass
from random import Random

from crowwing.tier.clock import SYSTEM_CLOCK, Clock
from crowwing.tier.wire.connection_pool import ConnectionPool


@dataclass(frozen=True)
class RelayEnvironment:
    """The dependencies of a relay on its process; simulated in tests.

    Attributes:
        connections: the connections to other backends.
        random: the source of randomness for pauses, peers and candidates.
        clock: measures the time since the last heartbeat.
    """

    connections: ConnectionPool
    random: Random
    clock: Clock = SYSTEM_CLOCK
