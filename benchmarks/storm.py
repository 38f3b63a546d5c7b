"""Kills a fifth of ten emulated backends at several loads, for several retry habits and settings.

Writes a table and charts.

    python -m benchmarks.storm --out docs/measurements/storm [--seeds 5] [--at-once 3] [--program
off=../old]

Each run is `crowwing emulate` in a process of its own. A void run (the emulator was late) is repeated once,
then left out and counted in the table.
"""

import argparse
import json
import statistics
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from itertools import product
from pathlib import Path

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot  # noqa: E402

KILL_AT, KILL_FOR, SECONDS = 12, 8, 50
BASE_PLAN = {
    "seconds": SECONDS, "backends": 10, "below": {"slots": 20},
    "faults": [{"kind": "kill", "at_s": KILL_AT, "for_s": KILL_FOR, "part": 0.2}],
}  # fmt: skip
DAMPING_ON = {"storm": {"lowers_repeats": True, "paces_returns": True}}


def run_plan(folder: Path, load: float, habit: str, heed: float, on: bool, seed: int) -> dict | None:
    """The result of one run; None if it was void twice."""
    name = f"{load}-{habit}-{heed}-{'on' if on else 'off'}-{seed}"
    plan, operator = folder / f"{name}.plan.json", folder / "on.json"
    sidecars = {"count": 6, "tries_most": 6, "habit": habit, "heed": heed}
    plan.write_text(json.dumps(BASE_PLAN | {"seed": seed, "traffic": {"load": load}, "sidecars": sidecars}))
    operator.write_text(json.dumps(DAMPING_ON))
    command = [sys.executable, "-m", "crowwing", "emulate", str(plan), "--out", str(folder / name), "--json"]
    command += ["--operator", str(operator)] if on else []
    for _ in range(2):
        completed = subprocess.run(command, capture_output=True, text=True)
        try:
            result = json.loads(completed.stdout)
        except ValueError:
            print(f"{name}: {completed.stderr.strip()}", file=sys.stderr)
            continue
        if result["late_part"] is None:
            return result
    return None


def format_range(values: list[float], form: str) -> str:
    """Mean and range."""
    if not values:
        return "-"
    return f"{statistics.mean(values):{form}} ({min(values):{form}} to {max(values):{form}})"


def result_row(results: list[dict | None]) -> list[str]:
    valid = [result for result in results if result]
    phases = [{phase["name"]: phase for phase in result["phases"]} for result in valid]
    recoveries = [result["recovery_s"] for result in valid]
    recovered = [value for value in recoveries if value is not None]
    return [
        *(format_range([p[name]["in_time"] for p in phases], ".3f")
          for name in ("before", "during", "after")),
        format_range([min(p["during"]["worst"], p["after"]["worst"]) for p in phases], ".3f"),
        format_range([phase["during"]["tries"] for phase in phases], ".2f"),
        format_range(recovered, ".0f")
        + (f", {len(recoveries) - len(recovered)} not" if len(recovered) < len(recoveries) else ""),
        str(sum(len(result["breaches"]) for result in valid)),
        str(len(results) - len(valid)),
    ]  # fmt: skip


def plot_chart(path: Path, series: dict[str, list[dict | None]]) -> None:
    """Plots the value served in time by second, as the mean and range over seeds."""
    figure, axes = pyplot.subplots(figsize=(9, 4))
    for name, results in series.items():
        seconds = [result["seconds"] for result in results if result]
        if not seconds:
            continue
        columns = list(zip(*seconds, strict=True))
        at = range(len(columns))
        axes.plot(at, [statistics.mean(column) for column in columns], label=name)
        axes.fill_between(at, [min(c) for c in columns], [max(c) for c in columns], alpha=0.15)
    axes.axvspan(KILL_AT, KILL_AT + KILL_FOR, color="grey", alpha=0.2)
    axes.set(xlabel="second", ylabel="share of credit in time (emulated)", ylim=(0, 1.05))
    axes.legend(fontsize=7, ncols=2)
    figure.tight_layout()
    figure.savefig(path)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--out", type=Path, default=Path("docs/measurements/storm"))
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--at-once", type=int, default=3)
    parser.add_argument("--loads", type=float, nargs="+", default=[0.8, 1.0, 1.2])
    parser.add_argument("--habits", nargs="+", default=["uncapped", "next", "capped"])
    parser.add_argument("--heed", type=float, default=0.8)
    options = parser.parse_args()
    cases = list(product(options.loads, options.habits, (False, True)))
    print("# Retry storms, emulated\n")
    print(
        f"Made by `python -m benchmarks.storm` with {options.seeds} seeds: ten backends, two of them killed"
    )
    print(f"at {KILL_AT} s and back cold at {KILL_AT + KILL_FOR} s; six sidecars of up to six tries,")
    print(f"{options.heed:.0%} heed advice; clients repeat once. Means, and the range over seeds.")
    print("Worst: the least ten seconds.\n")
    columns = "load, habit, damping, before, during, after, worst, tries during, back after s, broken, void"
    print(f"| {columns.replace(', ', ' | ')} |")
    print("| --- " * len(columns.split(", ")) + "|")
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(options.at_once) as pool:
        runs = {
            case: [
                pool.submit(run_plan, Path(folder), case[0], case[1], options.heed, case[2], seed)
                for seed in range(1, options.seeds + 1)
            ]
            for case in cases
        }
        results_by_case = {
            case: [run.result() for run in runs_of_case] for case, runs_of_case in runs.items()
        }
    for (load, habit, on), results in results_by_case.items():
        print(f"| {load} | {habit} | {'on' if on else 'off'} | {' | '.join(result_row(results))} |")
    for habit in options.habits:
        series = {
            f"load {load}, damping {'on' if on else 'off'}": results_by_case[load, habit, on]
            for load in options.loads
            for on in (False, True)
        }
        plot_chart(options.out.with_name(f"{options.out.name}-{habit}.svg"), series)
        print(f"\n![{habit}]({options.out.name}-{habit}.svg)")


if __name__ == "__main__":
    main()
