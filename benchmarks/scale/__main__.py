"""Measures what a fleet costs at a given size, with real backends and stub members on this machine.

    python -m benchmarks.scale --flat|--cells [--script rest zone] [--sizes 20 100] [--seeds 1 2]

Emulated: real processes and stub members on loopback, 5 regions and 11 zones, 80 ms one-way delay between
regions. Each size and seed gives one fleet, which runs the scripts in turn; `lonely` starts its own.
Writes one JSON file per run to --out; `python -m benchmarks.scale.fit` turns them into a page. Refuses sizes
that would need more than half of the machine's memory, ends by itself, and leaves no process running.
"""

import argparse
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

import orjson

from benchmarks.scale import isolated_start, member_cost, scripts
from benchmarks.scale.record import Recorder, RunAbortedError, show_progress
from crowwing.emulator.fleet.mixed_fleet import MixedFleet, StubProcessError
from crowwing.emulator.fleet.topology import LinkModel

SIZES = [20, 100, 500, 1000, 2600, 5200]
SCRIPTS = [*scripts.SCRIPTS, "lonely"]
MAX_STUBS_PER_PROCESS = 1300
MAX_PROCESS_CPU_MS_S = 300.0  # estimated processor time of the stub members of one process, at rest
MAX_PROCESSES = max(1, (os.cpu_count() or 1) - 1)
# Wait before the first script and after each, and time-out for the real backends to catch up.
SETTLE_S, SETTLE_TIMEOUT_S = 15.0, 240.0
# Estimated processor time of one member at rest: base, and slope by size.
MEMBER_CPU_MS_S = {"flat": (1.0, 0.003), "cells": (1.0, 0.0)}


def process_count(size: int, real: int, mode: str) -> int:
    """Number of stub processes: enough to stay below MAX_PROCESS_CPU_MS_S each, limited by the cores."""
    base, slope = MEMBER_CPU_MS_S[mode]
    stub_count = size - real
    wanted = -(-stub_count * (base + slope * size) // MAX_PROCESS_CPU_MS_S)
    return max(1, -(-stub_count // MAX_STUBS_PER_PROCESS), min(MAX_PROCESSES, round(wanted)))


def run_fleet(args: argparse.Namespace, size: int, seed: int, mode: str) -> dict:
    """Starts one fleet, runs the scripts on it and returns the results."""
    real = min(args.real, size // 2)
    processes = args.processes or process_count(size, real, mode)
    machine_kb = member_cost.machine_memory_kb()
    run = {
        "size": size, "seed": seed, "mode": mode, "real": real, "hollow": size - real, "processes": processes,
        "began": time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime()), "loss": args.loss, "span_s": args.span_s,
        "cut_s": args.cut_s, "period_ms": args.period_ms, "cores": os.cpu_count(), "load": os.getloadavg()[0],
        "scripts": {}, "stopped": None,
    }  # fmt: skip
    fleet = {"period_ms": args.period_ms} if args.period_ms else {}
    cells = mode == "cells"
    memory_limit_kb = round(member_cost.MAX_MEMORY_FRACTION * machine_kb)
    folder = Path(tempfile.mkdtemp(prefix="scale-"))
    try:
        if "lonely" in args.script:
            for silent in (False, True):
                name = "lonely_silent" if silent else "lonely"
                run["scripts"][name] = isolated_start.measure(
                    folder / name, size, seed, cells, silent, min(args.span_s, 40.0), memory_limit_kb
                )
        wanted = [name for name in args.script if name != "lonely"]
        if not wanted:
            return run
        show_progress(f"{mode} {size}: measuring the memory of one member")
        cost = member_cost.measure(size, cells, fleet)
        run["weight"] = cost._asdict()
        run["takes_kb"] = member_cost.check_memory(size, real, processes, cost, machine_kb)
        build_s = 1.5 * cost.build_s * (size - real) / processes
        rig = MixedFleet(
            folder / "fleet", size, real, seed, cells=cells, processes=processes, build_s=build_s,
            links=LinkModel(loss=args.loss), fleet=fleet,
        )  # fmt: skip
        recorder = Recorder(rig, f"{mode} {size} seed {seed}", memory_limit_kb)
        with rig:
            rig.start_standalone()
            run["settled_s"], run["real_whole"] = wait_until_settled(rig, recorder)
            script_run = scripts.Run(rig, recorder, args.span_s, args.cut_s, args.most_s)
            for name in wanted:
                run["scripts"][name] = scripts.SCRIPTS[name](script_run)
                recorder.record("between", SETTLE_S)
        run["memory_kb"] = recorder.peak_memory_kb
    except (RunAbortedError, StubProcessError, member_cost.RunTooLargeError) as error:
        run["stopped"] = str(error)
    return run


def wait_until_settled(rig: MixedFleet, recorder: Recorder) -> tuple[float, int]:
    """Waits until every real backend has caught up or the time-out expires.

    Returns the seconds taken and the number of backends that have caught up.
    """
    began = time.monotonic()

    def caught_up_count() -> int:
        return sum(bool((rig.ask(name, 0.5, k="counts") or {}).get("whole")) for name in rig.names)

    recorder.record(
        "settling", SETTLE_S, (), lambda: caught_up_count() == len(rig.names), SETTLE_TIMEOUT_S, 2.0
    )
    took = time.monotonic() - began
    recorder.record("settling", SETTLE_S)
    return took, caught_up_count()


def describe_run(run: dict) -> str:
    words = [f"{run['mode']} {run['size']} seed {run['seed']}:"]
    for name, phase in run["scripts"].items():
        cpu = phase["real"].get("cpu_ms_s", {})
        sent = phase["real"].get("bytes_s", {})
        if cpu:
            words.append(f"{name} {cpu['median']:.1f}/{cpu['most']:.1f} ms/s {sent['most']:.0f} B/s;")
        if not phase["step"]["kept"]:
            words.append(f"(not in step: {phase['step']['lag_s']:.2f} s behind)")
    return " ".join(words + ([f"stopped: {run['stopped']}"] if run["stopped"] else []))


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale")
    parser.add_argument("--script", nargs="+", choices=SCRIPTS, default=SCRIPTS)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    mode = parser.add_mutually_exclusive_group(required=True)
    mode.add_argument("--flat", action="store_const", const="flat", dest="mode")
    mode.add_argument("--cells", action="store_const", const="cells", dest="mode")
    parser.add_argument("--real", type=int, default=24, help="real backends; at most half of the fleet")
    parser.add_argument("--span-s", type=float, default=90.0, help="minimum duration of each script")
    parser.add_argument("--cut-s", type=float, default=180.0, help="duration of the partition of regions")
    parser.add_argument(
        "--most-s", type=float, default=240.0, help="time-out for the end condition of a script"
    )
    parser.add_argument("--loss", type=float, default=0.0, help="fraction of datagrams lost between regions")
    parser.add_argument(
        "--period-ms", type=int, default=0, help="protocol period of the fleet; 0: the default"
    )
    parser.add_argument(
        "--processes", type=int, default=0, help="processes for stub members; 0: by their number"
    )
    parser.add_argument("--out", type=Path, default=Path("runs/scale"))
    args = parser.parse_args()
    # Raises SystemExit, so that the rig's __exit__ runs.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    args.out.mkdir(parents=True, exist_ok=True)
    stopped = 0
    for size in args.sizes:
        for seed in args.seeds:
            run = run_fleet(args, size, seed, args.mode)
            stamp = time.strftime("%H%M%S")
            path = args.out / f"{args.mode}-{size}-{seed}-{'_'.join(args.script)[:40]}-{stamp}.json"
            path.write_bytes(orjson.dumps(run, option=orjson.OPT_INDENT_2))
            show_progress("")
            print(f"{describe_run(run)} -> {path}", flush=True)
            stopped += run["stopped"] is not None
    return 1 if stopped else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        sys.exit(130)
