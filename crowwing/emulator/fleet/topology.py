"""Locations of members, and delay, loss and partitions between regions. Free of I/O.

There are 5 regions with 11 zones, and members are spread evenly over the zones, as the requirements say. A
datagram within a region takes `near` seconds, one to another region `far` more. `RegionLinks` decides for
each datagram how long it takes or that it is lost.
"""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

ZONES = {"r1": 3, "r2": 2, "r3": 2, "r4": 2, "r5": 2}  # number of zones in each region
Location = tuple[str, str]  # region, zone


def assign_locations(names: Sequence[str]) -> dict[str, Location]:
    """Returns the location of each name, assigned in turn so that adjacent names never share a zone."""
    all_zones = [(region, f"{region}{'abc'[n]}") for region, count in ZONES.items() for n in range(count)]
    return {name: all_zones[n % len(all_zones)] for n, name in enumerate(names)}


@dataclass(frozen=True, slots=True)
class LinkModel:
    """One-way delays in seconds, and the loss rate between regions."""

    far: float = 0.080
    near_least: float = 0.0005
    near_most: float = 0.002
    loss: float = 0.0


class RegionLinks:
    """Decides about datagrams and streams between regions."""

    def __init__(self, settings: LinkModel, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.partitions: set[tuple[str, str]] = set()  # ordered pairs of regions that do not reach each other

    def partition(self, pairs: Iterable[Sequence[str]]) -> None:
        """Blocks both directions of each pair of regions."""
        for one, other in pairs:
            self.partitions |= {(one, other), (other, one)}

    def heal(self) -> None:
        self.partitions.clear()

    def delay(self, source: str, target: str) -> float | None:
        """Returns the delay of one datagram in seconds, or None if it is lost."""
        settings = self.settings
        near = settings.near_least + (settings.near_most - settings.near_least) * self.rng.random()
        if source == target:
            return near
        if (source, target) in self.partitions or (settings.loss and self.rng.random() < settings.loss):
            return None
        return settings.far + near

    def stream_delay(self, source: str, target: str) -> float | None:
        """Returns the seconds for opening a stream and one request (two round trips); None if it hangs."""
        if source == target:
            return 4 * self.settings.near_least
        return None if (source, target) in self.partitions else 4 * self.settings.far
