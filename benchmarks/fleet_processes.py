"""Measures real backends with shared state on loopback, with every link through the fault relay.

    .venv/bin/python -m benchmarks.fleet_processes [--sizes 5 10 20] [--seeds 3]

Emulated: period 200 ms, probe time-out 60 ms, digests compared every 200 ms. False deaths with 10% of
messages lost and with one member paused; traffic; time to agreement after a partition heals; time to catch up
by the number of missed entries, with and without a disk snapshot.
"""

import argparse
import statistics
import tempfile
import time
from pathlib import Path

from crowwing.emulator.fleet.process_fleet import ProcessFleet

FAST_SETTINGS = {"period_ms": 200, "probe_timeout_ms": 60, "sync_every_ms": 200, "catch_up_most_ms": 10_000}


def all_caught_up(rig: ProcessFleet, names: set[str]) -> bool:
    views = [rig.view(name) for name in names]
    return all(view is not None and view["whole"] for view in views)


def all_in_sync(rig: ProcessFleet) -> bool:
    roots = [rig.ask(name, k="state", prefix="-") for name in rig.names]
    return all(root is not None and root["root"] == roots[0]["root"] for root in roots)


def put_entries(rig: ProcessFleet, name: str, begin: int, count: int, size: int = 100) -> None:
    for n in range(begin, begin + count):
        rig.ask(name, 3, k="put", key=f"said/{n}", value="z" * size, wait_ms=0)


def count_deaths(rig: ProcessFleet, except_for: str = "") -> int:
    lines = (line for line in rig.history() if line["event"] == "member")
    return sum(line["state"] == "dead" and line["name"] != except_for for line in lines)


def false_deaths(size: int, seed: int, folder: Path) -> tuple[int, int]:
    """Live members considered dead: with 10% of messages lost for 15 s, and with one paused for 4 s."""
    with ProcessFleet(folder / "loss", size, seed, [], **FAST_SETTINGS) as rig:
        rig.until(lambda: all_caught_up(rig, set(rig.names)), 30)
        lossy = rig.relay.impose([{"kind": "loss", "size": 0.1}])
        time.sleep(15)
        rig.relay.lift(lossy)
        lost = count_deaths(rig)
    with ProcessFleet(folder / "pause", size, seed, [], **FAST_SETTINGS) as rig:
        rig.until(lambda: all_caught_up(rig, set(rig.names)), 30)
        rig.pause("m1")
        time.sleep(4)
        rig.resume("m1")
        time.sleep(4)
        return lost, count_deaths(rig, except_for="m1")


def measure_heal(size: int, seed: int, folder: Path) -> tuple[float | None, float]:
    """Seconds until all replicas agree after a partition of a fifth heals; bytes/s per member at rest."""
    with ProcessFleet(folder, size, seed, [], **FAST_SETTINGS) as rig:
        rig.until(lambda: all_caught_up(rig, set(rig.names)), 30)
        put_entries(rig, "m0", 0, 100)
        rig.until(lambda: all_in_sync(rig), 20)
        before, began = sum(rig.view(name)["sent_bytes"] for name in rig.names), time.monotonic()
        time.sleep(5)
        after = sum(rig.view(name)["sent_bytes"] for name in rig.names)
        rate = (after - before) / (time.monotonic() - began) / size
        minority, majority = rig.names[: size // 5], rig.names[size // 5 :]
        partition = rig.relay.impose(
            [
                {"kind": "cut", "from": minority, "to": majority},
                {"kind": "cut", "from": majority, "to": minority},
            ]
        )
        rig.until(lambda: not set(minority) & (rig.alive_in(majority[0]) or set(minority)), 20)
        put_entries(rig, minority[0], 200, 20)
        put_entries(rig, majority[0], 300, 20)
        rig.relay.lift(partition)
        return rig.until(lambda: all_in_sync(rig), 60, every_s=0.02), rate


def measure_catch_up(seed: int, folder: Path, total: int, missed: int, disk: bool) -> float | None:
    """Milliseconds not ready for one of five that was down while `missed` of `total` entries were put."""
    folder.mkdir(parents=True, exist_ok=True)
    with ProcessFleet(folder, 5, seed, [], **(FAST_SETTINGS | {"snapshot_every_ms": 200})) as rig:
        if disk:
            rig.operator_overrides["m2"] = {"snapshot_folder": str(folder)}
            rig.kill("m2")
            rig.launch("m2")
        rig.until(lambda: all_caught_up(rig, set(rig.names)), 30)
        put_entries(rig, "m0", 0, total - missed)
        rig.until(lambda: all_in_sync(rig), 30)
        time.sleep(0.6)
        rig.kill("m2")
        put_entries(rig, "m0", total - missed, missed)
        rig.launch("m2")
        rig.until(lambda: all_caught_up(rig, {"m2"}), 30)
        lines = [line for line in rig.history() if line["backend"] == "m2" and line["event"] == "caught_up"]
        return lines[-1]["took_ms"] if lines[-1]["whole"] else None


def spread(values: list, form: str) -> str:
    valid = [value for value in values if value is not None]
    missed = f", {len(values) - len(valid)} not" if len(valid) < len(values) else ""
    return f"{statistics.median(valid):{form}} ({min(valid):{form}} to {max(valid):{form}}{missed})"


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", type=int, nargs="+", default=[5, 10, 20])
    parser.add_argument("--seeds", type=int, default=3)
    args = parser.parse_args()
    seeds = range(1, args.seeds + 1)
    folder = Path(tempfile.mkdtemp())
    print("| processes | false deaths: 10% lost, one paused | all alike after a heal, s | bytes/s a member |")
    print("| --- | --- | --- | --- |")
    for size in args.sizes:
        false_counts = [false_deaths(size, seed, folder / f"f{size}-{seed}") for seed in seeds]
        runs = [measure_heal(size, seed, folder / f"h{size}-{seed}") for seed in seeds]
        print(
            f"| {size} | {sum(row[0] for row in false_counts)}, {sum(row[1] for row in false_counts)} "
            f"| {spread([run[0] for run in runs], '.2f')} | {spread([run[1] for run in runs], '.0f')} |",
            flush=True,
        )
    print("\n| entries kept | missed while away | disk | not ready, ms |\n| --- | --- | --- | --- |")
    for total, missed, disk in ((50, 10, False), (400, 10, False), (400, 10, True), (400, 400, False)):
        took = [
            measure_catch_up(seed, folder / f"c{total}-{missed}-{disk}-{seed}", total, missed, disk)
            for seed in seeds
        ]
        print(f"| {total} | {missed} | {'yes' if disk else 'no'} | {spread(took, '.0f')} |", flush=True)


if __name__ == "__main__":
    main()
