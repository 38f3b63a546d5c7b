"""What a member of a fleet spends in a fixed number of protocol periods in which things happen, counted on
fleets of several sizes at once; and which of it grows with the size. Not timed: a slow machine takes longer.

Every fleet goes through the same: changes are put in, one member drains and starts anew, a real backend is
killed and started again, and all hollow members of a zone go silent.
"""

import time
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from pathlib import Path
from typing import NamedTuple

from crowwing.emulator.fleet.mixed_fleet import MixedFleet
from crowwing.emulator.fleet.topology import LinkModel

SETTLE_PERIODS, MEASURED_PERIODS = 4, 30  # protocol periods before anything happens, and counted
CHANGES = 4
FLEET = {"probe_timeout_ms": 600, "cell_most": 12}
LINKS = LinkModel(far=0.005)
STUBS_PER_PROCESS = 100  # hollow members a process
TIMEOUT_S = 120.0  # guards against a fleet that stands still


class FleetTimeoutError(TimeoutError):
    """A fleet did not go through its periods, or a real backend does not answer: one line."""


class MemberCost(NamedTuple):
    """Of one fleet: by one member in a period on the average, but where it says otherwise."""

    size: int
    messages: float  # sent and read
    bytes: float
    most_messages: float  # by the member that had most of them
    most_bytes: float
    attempts: float  # of a real backend that starts: whole copies asked for, in all the time
    lag_s: float  # of the slowest hollow process's loop: over the probe timeout, all counts are too high


def find_growth(small: MemberCost, large: MemberCost, most: float) -> list[str]:
    """What is over `most` times as much in the larger fleet, each with its figures."""
    return [
        f"{name}: {one:.1f} with {small.size} members, {other:.1f} with {large.size}"
        for name, one, other in zip(MemberCost._fields[1:6], small[1:6], large[1:6], strict=True)
        if other > most * max(one, 1.0)
    ]


def measure(
    folder: Path, sizes: Sequence[tuple[int, bool]], real: int = 3, seed: int = 1
) -> list[MemberCost]:
    """All fleets at once, each (members, whether in cells); every process has ended when this returns. Slow
    where one does not get on."""
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
            raise FleetTimeoutError(f"{len(left[0].rig.all_names)} members: not there after {TIMEOUT_S:g} s")
        time.sleep(0.2)


class MeasuredFleet:
    def __init__(self, rig: MixedFleet) -> None:
        self.rig = rig
        self.began: dict[str, float] = {}

    def periods(self) -> float:
        """That went by, on a hollow member's average."""
        return sum(one["periods"] for one in self.rig.tell("periods")) / len(self.rig.stubs)

    def real_counts(self) -> list[dict]:
        """What each real backend counts; empty where one does not answer."""
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
        """What happens, and from where it is counted."""
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
