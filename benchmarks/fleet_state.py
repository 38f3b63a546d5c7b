"""Measures members in simulated time: spread of a change, agreement after a partition, catch-up, traffic.

    .venv/bin/python -m benchmarks.fleet_state [--sizes 10 100 1000] [--seeds 5]

Simulated, not emulated: period 1 s, digests compared every second, 0.5 to 2 ms between members.
"""

import argparse
import random
import statistics
import sys
import time

from crowwing.fleet.member import MemberSettings
from crowwing.fleet.membership.swim import DEAD, Timing
from crowwing.fleet.simulated_fleet import SimulatedFleet
from crowwing.fleet.state.catch_up import CatchUpTiming
from crowwing.fleet.state.dissemination import DisseminationSettings
from crowwing.fleet.state.replica import Keyspace, MergeRule

S = 1_000_000
KEYSPACES = {"said": Keyspace(MergeRule.LAST_WRITER_WINS, 4096, 3600 * S)}
MEMBER_CONFIG = MemberSettings(Timing(), DisseminationSettings(), CatchUpTiming())


def wait_until(world: SimulatedFleet, check: object, timeout: int, step: int = 50_000) -> float | None:
    """Simulated seconds until the check holds; None after `timeout`."""
    began = world.now
    while not check():
        if world.now - began > timeout:
            return None
        world.run_until(world.now + step)
    return (world.now - began) / S


def put(world: SimulatedFleet, name: str, n: int) -> None:
    world.run_on(name, lambda member, _, wall: member.dissemination.put(wall, f"said/{n}", n, 1800 * S))


def run_fleet(size: int, seed: int, loss: float, entries: int) -> dict[str, float | None]:
    world = SimulatedFleet(size, seed, MEMBER_CONFIG, KEYSPACES)
    for member in world.members.values():  # start as a running fleet: all are caught up
        member.catch_up.started_at, member.was_ready = None, True
    world.loss = loss
    rng = random.Random(seed)
    world.run_until(8 * S)
    for n in range(entries):
        put(world, rng.choice(world.names), n)
    wait_until(world, lambda: len(world.roots()) == 1, 120 * S)
    sent, at = world.bytes, world.now
    world.run_until(world.now + 10 * S)
    found: dict[str, float | None] = {"bytes": (world.bytes - sent) / ((world.now - at) / S) / size}
    put(world, "m0", entries)
    key = f"said/{entries}"
    found["held"] = wait_until(
        world, lambda: all(key in m.replica.entries for m in world.members.values()), 120 * S
    )
    minority = set(rng.sample(world.names, max(1, size // 5)))
    world.is_partitioned = lambda a, b: (a in minority) != (b in minority)
    world.run_until(world.now + 40 * S)
    for n in range(50):
        put(world, rng.choice(world.names), entries + 1 + n)
    world.run_until(world.now + 5 * S)
    world.is_partitioned = lambda _, __: False
    found["healed"] = wait_until(world, lambda: len(world.roots()) == 1, 300 * S)
    world.kill("m1")
    world.run_until(world.now + 20 * S)
    world.restart("m1", disk=False)
    rows = world.fetched_rows
    found["caught_up"] = wait_until(world, lambda: world.members["m1"].ready, 20 * S, 1_000)
    found["rows"] = world.fetched_rows - rows
    found["false"] = sum(
        state == DEAD and who != "m1" for at, _, who, state in world.changes if at < 8 * S + 1
    )
    return found


def spread(runs: list[dict], what: str, form: str = ".1f") -> str:
    values = [run[what] for run in runs if run[what] is not None]
    missed = f", {len(runs) - len(values)} not" if len(values) < len(runs) else ""
    if not values:
        return "-"
    return f"{statistics.median(values):{form}} ({min(values):{form}} to {max(values):{form}}{missed})"


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", type=int, nargs="+", default=[10, 100, 1000])
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--entries", type=int, default=300)
    args = parser.parse_args()
    print(
        "| members | loss | a change held by all, s | all agree after a heal, s | caught up empty, s "
        "| rows fetched | bytes/s a member at rest |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for size in args.sizes:
        for loss in (0.0, 0.1):
            began = time.monotonic()
            runs = [run_fleet(size, seed, loss, args.entries) for seed in range(1, args.seeds + 1)]
            print(
                f"| {size} | {loss:.0%} | {spread(runs, 'held', '.2f')} | {spread(runs, 'healed')} "
                f"| {spread(runs, 'caught_up', '.3f')} | {spread(runs, 'rows', '.0f')} "
                f"| {spread(runs, 'bytes', '.0f')} |",
                flush=True,
            )
            print(f"{size} members, {loss:.0%}: {time.monotonic() - began:.0f} s", file=sys.stderr)


if __name__ == "__main__":
    main()
