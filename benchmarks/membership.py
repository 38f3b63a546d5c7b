"""Measures failure detection in simulated time: detection time of a killed member, false deaths, messages.

    .venv/bin/python -m benchmarks.membership [--sizes 10 100 1000] [--seeds 5]
    .venv/bin/python -m benchmarks.membership --false-deaths [--sizes 10 100] [--seeds 100]

Simulated, not emulated: period 1 s, the defaults of `Timing`, 0.5 to 2 ms between members.
"""

import argparse
import statistics

from crowwing.fleet.membership.swim import DEAD, Timing
from crowwing.fleet.simulated_fleet import SimulatedMembership

S = 1_000_000


def detection_run(size: int, seed: int, loss: float) -> tuple[float, int, float]:
    """Seconds until all live members consider a killed one dead; false deaths; messages/s per member."""
    world = SimulatedMembership(size, seed, Timing())
    world.loss = loss
    world.run_until(20 * S)
    sent, at = world.sent, world.now
    world.kill("m1")
    while not world.seen_dead("m1") and world.now < at + 300 * S:
        world.run_until(world.now + 100_000)
    false = sum(1 for _, _, who, state in world.changes if state == DEAD and who != "m1")
    return (world.now - at) / S, false, (world.sent - sent) / ((world.now - at) / S) / size


def false_deaths(size: int, seed: int, loss: float, paused: bool) -> int:
    """Live members considered dead within 60 s; `paused`: one member is paused for 5 s of them."""
    world = SimulatedMembership(size, seed, Timing())
    world.loss = loss
    world.run_until(10 * S)
    if paused:
        world.paused.add("m1")
        world.run_until(15 * S)
        world.paused.discard("m1")
    world.run_until(60 * S)
    return sum(1 for _, _, who, state in world.changes if state == DEAD and not (paused and who == "m1"))


def table_of_false_deaths(sizes: list[int], seeds: int) -> None:
    print("| members | what | runs of 60 s | runs with one or more | members held dead, by each who did |")
    print("| --- | --- | --- | --- | --- |")
    for size in sizes:
        for what, loss, paused in (
            ("10% lost", 0.1, False),
            ("20% lost", 0.2, False),
            ("one paused 5 s", 0.0, True),
        ):
            runs = [false_deaths(size, seed, loss, paused) for seed in range(1, seeds + 1)]
            print(f"| {size} | {what} | {seeds} | {sum(run > 0 for run in runs)} | {sum(runs)} |", flush=True)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--false-deaths", action="store_true")
    parser.add_argument("--sizes", type=int, nargs="+", default=[10, 100, 1000])
    parser.add_argument("--seeds", type=int, default=5)
    args = parser.parse_args()
    if args.false_deaths:
        return table_of_false_deaths(args.sizes, args.seeds)
    print(
        "| members | loss | all hold it dead, s (median, min to max) | false deaths | messages/s a member |"
    )
    print("| --- | --- | --- | --- | --- |")
    for size in args.sizes:
        for loss in (0.0, 0.1):
            runs = [detection_run(size, seed, loss) for seed in range(1, args.seeds + 1)]
            seen = [run[0] for run in runs]
            print(
                f"| {size} | {loss:.0%} | {statistics.median(seen):.1f} ({min(seen):.1f} to {max(seen):.1f}) "
                f"| {sum(run[1] for run in runs)} | {statistics.mean(run[2] for run in runs):.2f} |"
            )


if __name__ == "__main__":
    main()
