"""External dependencies of a store machine: random numbers, network and clocks; simulated in tests."""

from dataclasses import dataclass
from random import Random

from crowwing.tier.clock import SYSTEM_CLOCK, Clock
from crowwing.tier.startup import started_at
from crowwing.tier.wire.network import TCP, Network


@dataclass(frozen=True)
class Environment:
    """The dependencies of one incarnation of a store machine.

    Attributes:
        random: The source of all random numbers.
        network: Opens and accepts connections.
        clock: The clocks.
        started_at: The start time of the process, in seconds of `clock.monotonic`.
    """

    random: Random
    network: Network = TCP
    clock: Clock = SYSTEM_CLOCK
    started_at: float = started_at
