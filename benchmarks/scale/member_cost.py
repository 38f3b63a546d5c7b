"""Cost of one simulated member of a fleet: resident kB and seconds to build, measured in a separate process.

python -O -m benchmarks.scale.member_cost SIZE [--cells] [--fleet JSON]
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

# Table entries of all measured members: enough to measure, and little beside the run itself.
SAMPLED_ENTRIES = 400_000
REAL_BACKEND_KB = 32_000
PROCESS_KB = 40_000  # of one stub process without its members
STUB_SOCKETS_KB = 12  # of one stub member, beside its decision logic: socket objects and timers
GROWTH_FACTOR = 1.25  # memory of a member after a run, relative to a new one
MAX_MEMORY_FRACTION = 0.5  # part of the machine's memory that a run may use


class MemberCost(NamedTuple):
    member_kb: float
    build_s: float


class RunTooLargeError(MemoryError):
    """The run needs more memory than it may use; the message is one line."""


def measure(size: int, cells: bool, fleet: dict) -> MemberCost:
    command = [
        sys.executable,
        "-O",
        "-m",
        "benchmarks.scale.member_cost",
        str(size),
        "cells" if cells else "flat",
    ]
    completed = subprocess.run(
        [*command, orjson.dumps(fleet).decode()], capture_output=True, cwd=ROOT, check=True,
        env=os.environ | {"PYTHONPATH": str(ROOT)},
    )  # fmt: skip
    return MemberCost(*orjson.loads(completed.stdout))


def estimate_run_kb(size: int, real: int, processes: int, cost: MemberCost) -> int:
    """Estimated memory of the whole run, kB."""
    stub_kb = GROWTH_FACTOR * cost.member_kb + STUB_SOCKETS_KB
    # A real backend holds the same fleet state as a stub member.
    return round((size - real) * stub_kb + real * (REAL_BACKEND_KB + cost.member_kb) + processes * PROCESS_KB)


def machine_memory_kb() -> int:
    lines = Path("/proc/meminfo").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("MemTotal"))


def check_memory(size: int, real: int, processes: int, cost: MemberCost, machine_kb: int) -> int:
    """The kB that the run would take; raises RunTooLargeError over MAX_MEMORY_FRACTION of the machine's."""
    run_kb = estimate_run_kb(size, real, processes, cost)
    if run_kb > MAX_MEMORY_FRACTION * machine_kb:
        raise RunTooLargeError(
            f"{size} members would take {run_kb / 1e6:.1f} GB ({cost.member_kb:.0f} kB each), "
            f"and a run may take {MAX_MEMORY_FRACTION * machine_kb / 1e6:.1f} GB of this machine's memory"
        )
    return run_kb


def main() -> None:
    size, fleet = int(sys.argv[1]), orjson.loads(sys.argv[3])
    names = [f"m{n}" for n in range(size)]
    layout = member_access.layout(assign_locations(names) if sys.argv[2] == "cells" else None, fleet)
    build_member = member_access.member_factory(names, layout, fleet)
    count = max(4, min(size, SAMPLED_ENTRIES // size))
    # The first member allocates what all share, so it is not measured.
    members = [build_member(names[0], 0, random.Random(0))]
    gc.collect()
    before, began = memory_kb(os.getpid())[0], time.monotonic()
    for n in range(count):
        members.append(build_member(names[n % size], 0, random.Random(n)))
    after, elapsed_s = memory_kb(os.getpid())[0], time.monotonic() - began
    print(orjson.dumps([(after - before) / count, elapsed_s / count]).decode())


if __name__ == "__main__":
    main()
