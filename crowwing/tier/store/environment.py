"""What a store machine takes from its process: random numbers, network, clocks; simulated in tests."""

from dataclasses import dataclass
from random import Random

from crowwing.tier.clock import SYSTEM_CLOCK, Clock
from crowwing.tier.startup import started_at
from crowwing.tier.wire.network import TCP, Network


@dataclass(frozen=True)
class Environment:
    """The surroundings of one incarnation of a store machine.

    Attributes:
        random: The source of all draws.
        network: Opens and accepts connections.
        clock: The clocks.
        started_at: When the process began, in seconds of `clock.monotonic`.
    """

    random: Random
    network: Network = TCP
    clock: Clock = SYSTEM_CLOCK
    started_at: float = started_at
