"""Where members stand, and what lies between two regions: delay, loss, cuts. Pure.

Regions and zones are the letter's: 5 regions with 11 zones, the members dealt evenly to the zones. A datagram
within a region takes `near` seconds, one to another region `far` more; `Between` is asked once for each and
says how long it takes, or that it never comes.
"""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

ZONES = {"r1": 3, "r2": 2, "r3": 2, "r4": 2, "r5": 2}  # of each region
Location = tuple[str, str]  # region, zone


def assign_locations(names: Sequence[str]) -> dict[str, Location]:
    """Each name's region and zone, dealt in turn, so that neighbours in the list never share a zone."""
    all_zones = [(region, f"{region}{'abc'[n]}") for region, count in ZONES.items() for n in range(count)]
    return {name: all_zones[n % len(all_zones)] for n, name in enumerate(names)}


@dataclass(frozen=True, slots=True)
class LinkModel:
    """Seconds one way, and the part that is lost between regions."""

    far: float = 0.080
    near_least: float = 0.0005
    near_most: float = 0.002
    loss: float = 0.0


class RegionLinks:
    """What becomes of a datagram or a stream between two regions."""

    def __init__(self, settings: LinkModel, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.partitions: set[tuple[str, str]] = set()  # ordered pairs of regions that do not reach each other

    def partition(self, pairs: Iterable[Sequence[str]]) -> None:
        """Both ways of each pair."""
        for one, other in pairs:
            self.partitions |= {(one, other), (other, one)}

    def heal(self) -> None:
        self.partitions.clear()

    def delay(self, source: str, target: str) -> float | None:
        """Seconds that one datagram takes; None: it is lost."""
        settings = self.settings
        near = settings.near_least + (settings.near_most - settings.near_least) * self.rng.random()
        if source == target:
            return near
        if (source, target) in self.partitions or (settings.loss and self.rng.random() < settings.loss):
            return None
        return settings.far + near

    def stream_delay(self, source: str, target: str) -> float | None:
        """Seconds that opening a stream and asking on it take, two ways there and back; None: it hangs."""
        if source == target:
            return 4 * self.settings.near_least
        return None if (source, target) in self.partitions else 4 * self.settings.far
