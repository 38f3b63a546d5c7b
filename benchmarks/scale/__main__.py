"""What the fleet costs at size: real backends beside hollow members on this machine.

    python -m benchmarks.scale --flat|--cells [--script rest zone] [--sizes 20 100] [--seeds 1 2]

Emulated: real processes and hollow members on loopback, 5 regions and 11 zones, 80 ms one way between
regions. Each size and seed is one fleet, on which the scripts are played in turn; `lonely` has its own.
One JSON file a run goes to --out; `python -m benchmarks.scale.fit` makes the page of them. It refuses sizes
that would take over half of the machine's memory, ends by itself, and leaves no process behind.
"""

import argparse
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

import orjson

from benchmarks.scale import lonely, scripts, weigh
from benchmarks.scale.record import Recorder, Stopped, say
from crowwing.emulator.fleet.mixed_fleet import MixedFleet, StubProcessError
from crowwing.emulator.fleet.topology import LinkModel

SIZES = [20, 100, 500, 1000, 2600, 5200]
SCRIPTS = [*scripts.SCRIPTS, "lonely"]
HOSTED = 1300  # hollow members a process, at most
A_PROCESS_MS_S = 300.0  # of processor time that its members are thought to take at rest
PROCESSES_MOST = max(1, (os.cpu_count() or 1) - 1)
SETTLE_S, SETTLE_MOST_S = 15.0, 240.0  # after the start, before the first script; until real ones are whole
MEMBER_MS_S = {"flat": (1.0, 0.003), "cells": (1.0, 0.0)}  # thought: processor time of one, and by size


def processes(size: int, real: int, mode: str) -> int:
    """Of hollow members: none is to take over A_PROCESS_MS_S at rest, while there are cores for them."""
    base, slope = MEMBER_MS_S[mode]
    hollow = size - real
    wanted = -(-hollow * (base + slope * size) // A_PROCESS_MS_S)
    return max(1, -(-hollow // HOSTED), min(PROCESSES_MOST, round(wanted)))


def one(told: argparse.Namespace, size: int, seed: int, mode: str) -> dict:
    """One fleet, from its start to its end."""
    real = min(told.real, size // 2)
    hosts = told.processes or processes(size, real, mode)
    machine = weigh.machine_kb()
    run = {
        "size": size, "seed": seed, "mode": mode, "real": real, "hollow": size - real, "processes": hosts,
        "began": time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime()), "loss": told.loss, "span_s": told.span_s,
        "cut_s": told.cut_s, "period_ms": told.period_ms, "cores": os.cpu_count(), "load": os.getloadavg()[0],
        "scripts": {}, "stopped": None,
    }  # fmt: skip
    fleet = {"period_ms": told.period_ms} if told.period_ms else {}
    cells = mode == "cells"
    most = round(weigh.PART * machine)
    folder = Path(tempfile.mkdtemp(prefix="scale-"))
    try:
        if "lonely" in told.script:
            for silent in (False, True):
                name = "lonely_silent" if silent else "lonely"
                run["scripts"][name] = lonely.play(
                    folder / name, size, seed, cells, silent, min(told.span_s, 40.0), most
                )
        wanted = [name for name in told.script if name != "lonely"]
        if not wanted:
            return run
        say(f"{mode} {size}: weighing a member")
        weight = weigh.weigh(size, cells, fleet)
        run["weight"] = weight._asdict()
        run["takes_kb"] = weigh.check(size, real, hosts, weight, machine)
        build_s = 1.5 * weight.build_s * (size - real) / hosts
        rig = MixedFleet(
            folder / "fleet", size, real, seed, cells=cells, processes=hosts, build_s=build_s,
            links=LinkModel(loss=told.loss), fleet=fleet,
        )  # fmt: skip
        recorder = Recorder(rig, f"{mode} {size} seed {seed}", most)
        with rig:
            rig.start_standalone()
            run["settled_s"], run["real_whole"] = settle(rig, recorder)
            player = scripts.Run(rig, recorder, told.span_s, told.cut_s, told.most_s)
            for name in wanted:
                run["scripts"][name] = scripts.SCRIPTS[name](player)
                recorder.span("between", SETTLE_S)
        run["memory_kb"] = recorder.memory
    except (Stopped, StubProcessError, weigh.TooLarge) as wrong:
        run["stopped"] = str(wrong)
    return run


def settle(rig: MixedFleet, recorder: Recorder) -> tuple[float, int]:
    """Until every real backend has caught up, or the time for it is over; s, and how many have."""
    began = time.monotonic()

    def whole() -> int:
        return sum(bool((rig.ask(name, 0.5, k="counts") or {}).get("whole")) for name in rig.names)

    recorder.span("settling", SETTLE_S, (), lambda: whole() == len(rig.names), SETTLE_MOST_S, 2.0)
    took = time.monotonic() - began
    recorder.span("settling", SETTLE_S)
    return took, whole()


def told_shortly(run: dict) -> str:
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
    told = argparse.ArgumentParser(prog="python -m benchmarks.scale")
    told.add_argument("--script", nargs="+", choices=SCRIPTS, default=SCRIPTS)
    told.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    told.add_argument("--seeds", type=int, nargs="+", default=[1])
    mode = told.add_mutually_exclusive_group(required=True)
    mode.add_argument("--flat", action="store_const", const="flat", dest="mode")
    mode.add_argument("--cells", action="store_const", const="cells", dest="mode")
    told.add_argument("--real", type=int, default=24, help="real backends; half of the fleet at most")
    told.add_argument("--span-s", type=float, default=90.0, help="of each script, at least")
    told.add_argument("--cut-s", type=float, default=180.0, help="that regions are cut from each other")
    told.add_argument("--most-s", type=float, default=240.0, help="to wait for what ends a script")
    told.add_argument("--loss", type=float, default=0.0, help="part of datagrams lost between regions")
    told.add_argument("--period-ms", type=int, default=0, help="the fleet's period, where not the default")
    told.add_argument("--processes", type=int, default=0, help="for hollow members; 0: by their number")
    told.add_argument("--out", type=Path, default=Path("runs/scale"))
    told = told.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))  # the rig's end comes on the way out
    told.out.mkdir(parents=True, exist_ok=True)
    stopped = 0
    for size in told.sizes:
        for seed in told.seeds:
            run = one(told, size, seed, told.mode)
            stamp = time.strftime("%H%M%S")
            path = told.out / f"{told.mode}-{size}-{seed}-{'_'.join(told.script)[:40]}-{stamp}.json"
            path.write_bytes(orjson.dumps(run, option=orjson.OPT_INDENT_2))
            say("")
            print(f"{told_shortly(run)} -> {path}", flush=True)
            stopped += run["stopped"] is not None
    return 1 if stopped else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        sys.exit(130)
