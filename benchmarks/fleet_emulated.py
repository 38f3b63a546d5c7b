"""Compares an emulated fleet of ten with shared fleet state off and on.

    .venv/bin/python -m benchmarks.fleet_emulated [--seeds 3] [--at-once 1]

Emulated; runs with state off and on alternate. `kill`: a fifth of the backends are killed. `scarce`: the
downstream has little capacity and backends differ in speed, so that an even split of the call rate limits
some of them. `labels`: requests with an idempotency key are retried at other backends, as clients do without
an answer, while two of ten processes are killed; the protocol of these backends does not carry the keys, so
the attempts are claims through the fleet's sockets.
"""

import argparse
import random
import statistics
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from itertools import product
from pathlib import Path

import orjson

from crowwing.emulator.fleet.process_fleet import ProcessFleet

KILL_AT, SECONDS = 10, 32
KILL = [{"kind": "kill", "at_s": KILL_AT, "for_s": 8, "part": 0.2}]
PLAN = {"seconds": SECONDS, "backends": 10, "sidecars": {"count": 6}}
SCENARIOS = {
    "kill at 0.8": {"traffic": {"load": 0.8}, "below": {"slots": 20}, "faults": KILL},
    "kill at 1.0": {"traffic": {"load": 1.0}, "below": {"slots": 20}, "faults": KILL},
    "scarce": {
        "traffic": {"load": 0.42}, "below": {"slots": 5, "fall_multiple": 0.8},
        "machine": {"speeds": [1.6, 0.6, 0.6, 0.6, 0.6]},
    },
}  # fmt: skip
ON = {
    "fleet": {
        "listen": "127.0.0.1:1", "peers": [{"name": "placeholder", "address": "127.0.0.1:2"}],
        "period_ms": 500, "probe_timeout_ms": 150, "lends_calls": True, "shares_quota": True, "teaches": True,
    }
}  # fmt: skip


def run_plan(folder: Path, day: str, on: bool, seed: int) -> dict | None:
    """The result of one run; None if it was void twice."""
    name = f"{day.replace(' ', '-')}-{'on' if on else 'off'}-{seed}"
    plan, operator = folder / f"{name}.json", folder / "on.json"
    plan.write_bytes(orjson.dumps(PLAN | SCENARIOS[day] | {"seed": seed}))
    operator.write_bytes(orjson.dumps(ON))
    command = [sys.executable, "-m", "crowwing", "emulate", str(plan), "--out", str(folder / name), "--json"]
    command += ["--operator", str(operator)] if on else []
    for _ in range(2):
        completed = subprocess.run(command, capture_output=True)
        try:
            result = orjson.loads(completed.stdout)
        except orjson.JSONDecodeError:
            print(f"{name}: {completed.stderr.decode().strip()}", file=sys.stderr)
            continue
        if result["late_part"] is None:
            return result
    print(f"{name}: void twice", file=sys.stderr)
    return None


def measure_keys(seed: int, folder: Path, size: int = 10, count: int = 150) -> tuple[int, int, int, int]:
    """Keys tried at two or more backends, run twice without claims, run twice with them, run with them."""
    rng = random.Random(seed)
    settings = {"period_ms": 200, "probe_timeout_ms": 60, "sync_every_ms": 500, "catch_up_most_ms": 3000}
    with ProcessFleet(folder, size, seed, [], **settings) as rig:
        rig.until(lambda: all((rig.view(name) or {}).get("whole") for name in rig.names), 30)

        def claim(name: str, label: str) -> str:
            return (rig.ask(name, 1, k="claim", label=label, window_ms=3000) or {}).get("claimed", "none")

        rig.until(lambda: claim("m0", f"first{rng.random()}") == "ours", 20)
        alive, twice_off, twice_on, retried, ran = list(rig.names), 0, 0, 0, 0
        for n in range(count):
            if n == count // 3:
                for name in rng.sample(alive, size // 5):
                    rig.kill(name)
                    alive.remove(name)
            backends = rng.sample(alive, rng.choice([1, 2, 3]))
            runs = sum(claim(name, f"l{n}") == "ours" for name in backends)
            retried += len(backends) > 1
            twice_off += len(backends) > 1  # without claims, every backend runs it
            twice_on += runs > 1
            ran += runs > 0
    return retried, twice_off, twice_on, ran


def spread(values: list[float], form: str) -> str:
    if not values:
        return "-"
    return f"{statistics.mean(values):{form}} ({min(values):{form}} to {max(values):{form}})"


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--at-once", type=int, default=1)
    parser.add_argument("--days", nargs="*", default=list(SCENARIOS))
    args = parser.parse_args()
    folder, seeds = Path(tempfile.mkdtemp()), range(1, args.seeds + 1)
    runs = list(product(args.days, seeds, (False, True)))
    with ThreadPoolExecutor(args.at_once) as pool:
        found = dict(zip(runs, pool.map(lambda r: run_plan(folder, r[0], r[2], r[1]), runs), strict=True))
    print("| day | state | credit in time | the 12 s from 10 | below at most, of its fall | rules broken |")
    print("| --- | --- | --- | --- | --- | --- |")
    for day, on in product(args.days, (False, True)):
        done = [found[(day, seed, on)] for seed in seeds if found[(day, seed, on)] is not None]
        print(
            f"| {day} | {'on' if on else 'off'} "
            f"| {spread([statistics.mean(run['seconds']) for run in done], '.3f')} "
            f"| {spread([statistics.mean(run['seconds'][KILL_AT : KILL_AT + 12]) for run in done], '.3f')} "
            f"| {spread([run['below_most'] for run in done], '.2f')} "
            f"| {sum(len(run['breaches']) for run in done)} |"
        )
    print("\n| of 150 labels retried elsewhere | run twice, off | run twice, on | run, on |")
    print("| --- | --- | --- | --- |")
    for seed in seeds:
        print("| {} | {} | {} | {} |".format(*measure_keys(seed, folder / f"labels-{seed}")))


if __name__ == "__main__":
    main()
