"""Measures how soon real backends on loopback detect a killed member.

    .venv/bin/python benchmarks/membership_processes.py [--sizes 5 10 20] [--seeds 3] [--loss 0.0]

Emulated: period 200 ms, probe time-out 60 ms; links go through the fault relay.
"""

import argparse
import statistics
import tempfile
from pathlib import Path

from crowwing.emulator.fleet.process_fleet import ProcessFleet

FAST_SETTINGS = {"period_ms": 200, "probe_timeout_ms": 60}


def detection_run(size: int, seed: int, loss: float, folder: Path) -> tuple[float | None, int]:
    faults = [{"kind": "loss", "size": loss}] if loss else []
    with ProcessFleet(folder, size, seed, faults, **FAST_SETTINGS) as rig:
        everyone = set(rig.names)
        rig.until(lambda: all(rig.alive_in(n) == everyone for n in everyone), 30)
        rig.until(lambda: False, 3)
        rig.kill("m1")
        rest = everyone - {"m1"}
        detection_s = rig.until(lambda: all(rig.alive_in(n) == rest for n in rest), 60, every_s=0.05)
    false = [
        line
        for line in rig.history()
        if line["event"] == "member" and line["state"] == "dead" and line["name"] != "m1"
    ]
    return detection_s, len(false)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", type=int, nargs="+", default=[5, 10, 20])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--loss", type=float, default=0.0)
    args = parser.parse_args()
    print("| processes | loss | all hold it dead, s (median, min to max) | false deaths |")
    print("| --- | --- | --- | --- |")
    for size in args.sizes:
        runs = [
            detection_run(size, seed, args.loss, Path(tempfile.mkdtemp()))
            for seed in range(1, args.seeds + 1)
        ]
        seen = [run[0] for run in runs if run[0] is not None]
        missed = len(runs) - len(seen)
        print(
            f"| {size} | {args.loss:.0%} | {statistics.median(seen):.1f} ({min(seen):.1f} to {max(seen):.1f})"
            f"{f', {missed} not within 60 s' if missed else ''} | {sum(run[1] for run in runs)} |"
        )


if __name__ == "__main__":
    main()
