"""What one pure member of a fleet takes: resident kB and seconds to build, measured in a process of its own.

python -O -m benchmarks.scale.weigh SIZE [--cells] [--fleet JSON]
"""

import gc
import os
import random
import subprocess
import sys
import time
from pathlib import Path
from typing import NamedTuple

import orjson

from crowwing.emulator.fleet import member_access
from crowwing.emulator.fleet.mixed_fleet import memory_kb
from crowwing.emulator.fleet.topology import assign_locations
from crowwing.emulator.processes import ROOT

ENTRIES = 400_000  # of all members' tables together: enough to weigh, and little beside what is to come
REAL_KB = 32_000  # of one real backend
HOST_KB = 40_000  # of one hollow process without its members
SOCKETS_KB = 12  # of one hollow member, beside its decider: its sockets' objects and its turns
GROWS = 1.25  # what a member gathers while it runs, over what it was built with
PART = 0.5  # of the machine's memory that a run may take


class Weight(NamedTuple):
    member_kb: float
    build_s: float


class TooLarge(MemoryError):
    """One line: what the run would take, and what it may."""


def weigh(size: int, cells: bool, fleet: dict) -> Weight:
    words = [sys.executable, "-O", "-m", "benchmarks.scale.weigh", str(size), "cells" if cells else "flat"]
    told = subprocess.run(
        [*words, orjson.dumps(fleet).decode()], capture_output=True, cwd=ROOT, check=True,
        env=os.environ | {"PYTHONPATH": str(ROOT)},
    )  # fmt: skip
    return Weight(*orjson.loads(told.stdout))


def takes_kb(size: int, real: int, processes: int, weight: Weight) -> int:
    """The whole run's memory, kB."""
    a_member = GROWS * weight.member_kb + SOCKETS_KB
    # What a real one holds of the fleet is a member's as well.
    return round((size - real) * a_member + real * (REAL_KB + weight.member_kb) + processes * HOST_KB)


def machine_kb() -> int:
    lines = Path("/proc/meminfo").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("MemTotal"))


def check(size: int, real: int, processes: int, weight: Weight, machine: int) -> int:
    """The kB that the run would take; TooLarge where that is over its part of the machine's."""
    takes = takes_kb(size, real, processes, weight)
    if takes > PART * machine:
        raise TooLarge(
            f"{size} members would take {takes / 1e6:.1f} GB ({weight.member_kb:.0f} kB each), "
            f"and a run may take {PART * machine / 1e6:.1f} GB of this machine's memory"
        )
    return takes


def main() -> None:
    size, fleet = int(sys.argv[1]), orjson.loads(sys.argv[3])
    names = [f"m{n}" for n in range(size)]
    shared = member_access.layout(assign_locations(names) if sys.argv[2] == "cells" else None, fleet)
    make = member_access.member_factory(names, shared, fleet)
    count = max(4, min(size, ENTRIES // size))
    kept = [make(names[0], 0, random.Random(0))]  # what all share is there before the first is weighed
    gc.collect()
    before, began = memory_kb(os.getpid())[0], time.monotonic()
    for n in range(count):
        kept.append(make(names[n % size], 0, random.Random(n)))
    after, took = memory_kb(os.getpid())[0], time.monotonic() - began
    print(orjson.dumps([(after - before) / count, took / count]).decode())


if __name__ == "__main__":
    main()
