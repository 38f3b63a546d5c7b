"""Measures the cost per member on fleets of several sizes at once, and reports what grows with the size.

Costs are counted over a fixed number of protocol periods, not timed, so a slow machine only takes longer.
Every fleet goes through the same events: entries are put, one member drains and restarts, a real backend is
killed and restarted, and all stub members of a zone go silent.
"""

import time
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from pathlib import Path
from typing import NamedTuple

from crowwing.emulator.fleet.mixed_fleet import MixedFleet
from crowwing.emulator.fleet.topology import LinkModel

SETTLE_PERIODS, MEASURED_PERIODS = 4, 30  # protocol periods before the events, and measured
CHANGES = 4
FLEET = {"probe_timeout_ms": 600, "cell_most": 12}
LINKS = LinkModel(far=0.005)
STUBS_PER_PROCESS = 100  # stub members per process
TIMEOUT_S = 120.0  # a fleet without progress would block the run


class FleetTimeoutError(TimeoutError):
    """A fleet did not complete its periods, or a real backend does not answer: one line."""


class MemberCost(NamedTuple):
    """Costs in one fleet: the mean per member and period, unless noted otherwise."""

    size: int
    messages: float  # sent and read
    bytes: float
    most_messages: float  # of the busiest member
    most_bytes: float
    attempts: float  # of a real backend that starts: full transfers requested over the whole run
    lag_s: float  # of the slowest stub process; above the probe time-out, all counts are too high


def find_growth(small: MemberCost, large: MemberCost, most: float) -> list[str]:
    """Describes each cost that is more than `most` times as high in the larger fleet."""
    return [
        f"{name}: {one:.1f} with {small.size} members, {other:.1f} with {large.size}"
        for name, one, other in zip(MemberCost._fields[1:6], small[1:6], large[1:6], strict=True)
        if other > most * max(one, 1.0)
    ]


def measure(
    folder: Path, sizes: Sequence[tuple[int, bool]], real: int = 3, seed: int = 1
) -> list[MemberCost]:
    """Runs all fleets at once, each given as (members, whether in cells).

    Every process has ended on return. Raises FleetTimeoutError if a fleet makes no progress.
    """
    with ExitStack() as stack:
        fleets = []
        for size, cells in sizes:
            hosts = -(-(size - real) // STUBS_PER_PROCESS)
            subfolder = folder / f"{'cells' if cells else 'flat'}-{size}"
            rig = MixedFleet(
                subfolder, size, real, seed, cells=cells, processes=hosts, links=LINKS, fleet=FLEET
            )
            fleets.append(MeasuredFleet(stack.enter_context(rig)))
        wait_until(fleets, lambda fleet: fleet.real_counts() and fleet.periods() >= SETTLE_PERIODS)
        for fleet in fleets:
            fleet.start()
        wait_until(fleets, lambda fleet: fleet.periods() >= fleet.began["periods"] + MEASURED_PERIODS)
        return [fleet.cost() for fleet in fleets]


def wait_until(fleets: Sequence["MeasuredFleet"], check: Callable[["MeasuredFleet"], object]) -> None:
    began, left = time.monotonic(), list(fleets)
    while left := [fleet for fleet in left if not check(fleet)]:
        if time.monotonic() - began > TIMEOUT_S:
            raise FleetTimeoutError(
                f"{len(left[0].rig.all_names)} members: no progress within {TIMEOUT_S:g} s"
            )
        time.sleep(0.2)


class MeasuredFleet:
    def __init__(self, rig: MixedFleet) -> None:
        self.rig = rig
        self.began: dict[str, float] = {}

    def periods(self) -> float:
        """Returns the mean number of protocol periods completed per stub member."""
        return sum(one["periods"] for one in self.rig.tell("periods")) / len(self.rig.stubs)

    def real_counts(self) -> list[dict]:
        """Returns the counters of each real backend; empty if one does not answer."""
        found = [self.rig.ask(name, 1.0, k="counts") for name in self.rig.names]
        return [one for one in found if one is not None] if all(found) else []

    def counts(self) -> dict[str, float]:
        responses = self.rig.tell("counts")
        sums: dict[str, float] = {}
        for one in responses:
            for key, value in one["sums"].items():
                sums[key] = sums.get(key, 0) + value
        sums["periods"] /= len(self.rig.stubs)
        most = {key: max(one[key] for one in responses) for key in ("most_bytes", "most_datagrams", "lag_s")}
        return sums | most

    def start(self) -> None:
        """Takes the baseline of the counters and triggers the events."""
        rig = self.rig
        self.began = self.counts()
        zone = rig.locations[rig.names[0]][1]
        inside = set(rig.in_zone(zone))
        outside = [name for name in rig.stubs if name not in inside]
        rig.put([(outside[n], f"said/growth-{n}", "x" * 80) for n in range(CHANGES)])
        rig.tell("restart", names=[outside[-1]], down_s=1.0)
        rig.kill(rig.names[-1])
        rig.launch(rig.names[-1])
        rig.tell("off", names=[name for name in rig.stubs if name in inside])

    def cost(self) -> MemberCost:
        now, began = self.counts(), self.began
        passed = now["periods"] - began["periods"]
        moved = {key: now[key] - began[key] for key in now}
        shares = passed * len(self.rig.stubs)
        real = self.real_counts()
        if not real:
            raise FleetTimeoutError("a real backend does not answer")
        return MemberCost(
            len(self.rig.all_names),
            (moved["sent"] + moved["read"]) / shares,
            (moved["sent_bytes"] + moved["read_bytes"] + 2 * moved["stream_bytes"]) / shares,
            now["most_datagrams"] / passed,
            now["most_bytes"] / passed,
            max(one["fetches"] for one in real),
            now["lag_s"],
        )
