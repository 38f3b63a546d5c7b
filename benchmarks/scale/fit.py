"""Fits the results of `benchmarks.scale` over the fleet's size, and writes the fits to JSON and a page.

    .venv/bin/python -m benchmarks.scale.fit [RUNS ...] [--json docs/measurements/scale.json]

For every script and figure: the points (size, seed, value), the median, minimum and maximum over seeds for
each size, and a linear fit over size: its slope per 1,000 members, with the range of the slopes of single
seeds, or, with one seed, two standard errors to each side. Points of runs that did not keep pace are kept
and marked, but not fitted. The JSON file is shared: only its key `fleet` is written here.
"""

import argparse
import json
import os
import statistics
import sys
from collections import defaultdict
from collections.abc import Iterable, Sequence
from pathlib import Path

import numpy
import orjson

from benchmarks.scale.page import render_page

# Figures of a phase that are fitted: name on the page -> path in the phase.
FIGURE_PATHS = {
    "real_cpu_ms_s": ("real", "cpu_ms_s", "median"),
    "real_cpu_ms_s_most": ("real", "cpu_ms_s", "most"),
    "alone_cpu_ms_s": ("alone", "cpu_ms_s"),
    "real_bytes_s": ("real", "bytes_s", "median"),
    "real_bytes_s_most": ("real", "bytes_s", "most"),
    "real_wire_bytes_s_most": ("real", "wire_bytes_s", "most"),
    "real_datagrams_s": ("real", "datagrams_s", "median"),
    "real_fetches_s_most": ("real", "fetches_s", "most"),
    "real_rss_kb": ("real", "rss_kb", "median"),
    "real_rss_kb_most": ("real", "hwm_kb", "most"),
    "alone_rss_kb": ("alone", "rss_kb"),
    "speaker_cpu_ms_s": ("speakers", "cpu_ms_s", "median"),
    "speaker_bytes_s": ("speakers", "bytes_s", "median"),
    "other_cpu_ms_s": ("others", "cpu_ms_s", "median"),
    "other_bytes_s": ("others", "bytes_s", "median"),
    "hollow_cpu_ms_s": ("hollow", "cpu_ms_s"),
    "hollow_bytes_s": ("hollow", "bytes_s"),
    "hollow_busiest_bytes_s": ("hollow", "busiest_bytes_s"),
    "hollow_datagrams_s": ("hollow", "datagrams_s"),
    "hollow_fetches_s": ("hollow", "fetches_s"),
    "known_s": ("found", "known_s", "most"),
    "dead_cells_known_s": ("found", "dead_cells_known_s", "most"),
    "views_right_s": ("found", "views_right_s"),
    "change_held_s": ("found", "one_s", "most"),
    "burst_held_s": ("found", "burst_s", "most"),
    "left_the_list": ("found", "left_the_list"),
    "real_left_the_list": ("found", "real_left_the_list"),
    "attempts": ("found", "attempts"),
}


def lookup(phase: dict, path: Sequence[str]) -> float | None:
    for step in path:
        if not isinstance(phase, dict) or (phase := phase.get(step)) is None:
            return None
    return None if isinstance(phase, bool) else float(phase)


def restart_figures(phase: dict) -> dict[str, float]:
    """Maxima over the real backends that were restarted while all others were reachable."""
    found = [one for one in phase["found"].get("restarted", ()) if one["ready_s"] is not None]
    if not found:
        return {}
    return {
        "ready_s": max(one["ready_s"] for one in found),
        "asked": max(one["asked_hollow"] for one in found),
        "attempts": max(one["attempts"] or 0 for one in found),
    }


def collect_points(runs: Iterable[dict]) -> dict:
    """mode -> script -> figure -> [[size, seed, value, kept pace]]."""
    found: dict = defaultdict(lambda: defaultdict(lambda: defaultdict(list)))
    for run in runs:
        for script, phase in run["scripts"].items():
            if phase["found"].get("skipped"):
                continue
            values = {name: lookup(phase, path) for name, path in FIGURE_PATHS.items()} | restart_figures(
                phase
            )
            for name, value in values.items():
                if value is not None:
                    point = [run["size"], run["seed"], value, phase["step"]["kept"]]
                    found[run["mode"]][script][name].append(point)
    return found


def fit_line(points: Sequence[Sequence[float]]) -> tuple[float, float, float]:
    """Intercept and slope of a straight line through (size, value), and the slope's standard error."""
    sizes, values = (
        numpy.array([one[0] for one in points], float),
        numpy.array([one[1] for one in points], float),
    )
    deviations = sizes - sizes.mean()
    squares = float((deviations**2).sum())
    slope = float((deviations * values).sum() / squares)
    intercept = float(values.mean() - slope * sizes.mean())
    residuals = values - intercept - slope * sizes
    error = (
        float(numpy.sqrt((residuals**2).sum() / max(1, len(points) - 2) / squares))
        if len(points) > 2
        else 0.0
    )
    return intercept, slope, error


def fit_points(points: Sequence[Sequence]) -> dict:
    """Summary of the points by size, and the linear fit; slopes are per 1,000 members."""
    by_size: dict[int, list[float]] = defaultdict(list)
    valid = [one for one in points if one[3]]
    for size, _, value, _ in valid:
        by_size[size].append(value)
    sizes = {
        str(size): {"median": statistics.median(of), "least": min(of), "most": max(of), "runs": len(of)}
        for size, of in sorted(by_size.items())
    }
    found = {"sizes": sizes, "late": sorted({one[0] for one in points if not one[3]}), "fit": None}
    if len(by_size) < 2:
        return found
    intercept, slope, error = fit_line([(size, value) for size, _, value, _ in valid])
    by_seed = defaultdict(list)
    for size, seed, value, _ in valid:
        by_seed[seed].append((size, value))
    slopes = [fit_line(points)[1] for points in by_seed.values() if len({size for size, _ in points}) > 1]
    if len(slopes) < 2:
        slopes = [slope - 2 * error, slope + 2 * error]
    found["fit"] = {
        "at_0": intercept, "per_1000": 1000 * slope, "per_1000_least": 1000 * min(slopes),
        "per_1000_most": 1000 * max(slopes), "seeds": len(by_seed), "least_size": min(by_size),
        "most_size": max(by_size),
    }  # fmt: skip
    return found


def round_values(value: object) -> object:
    """Rounds to five significant digits, more than any measured value has."""
    if isinstance(value, float):
        return float(f"{value:.5g}")
    if isinstance(value, dict):
        return {key: round_values(one) for key, one in value.items()}
    return [round_values(one) for one in value] if isinstance(value, list) else value


RUN_FIELDS = (
    "mode", "size", "seed", "real", "hollow", "processes", "began", "loss", "span_s", "cut_s", "load",
    "memory_kb", "weight", "settled_s", "real_whole", "stopped", "scripts",
)  # fmt: skip


def summary(runs: Sequence[dict]) -> dict:
    """The runs, and the fits by mode, script and figure."""
    fits = {
        mode: {
            script: {name: fit_points(points) for name, points in figures.items()}
            for script, figures in scripts.items()
        }
        for mode, scripts in collect_points(runs).items()
    }
    trimmed_runs = [{key: run[key] for key in RUN_FIELDS if key in run} for run in runs]
    for run in trimmed_runs:
        run["scripts"] = {script: trim_phase(phase) for script, phase in run["scripts"].items()}
    return round_values({"runs": trimmed_runs, "fits": fits})


def without_points(summary: dict) -> dict:
    """The runs and the linear fits; the values by size are on the page and in the runs."""
    lines = {
        mode: {
            script: {name: one["fit"] for name, one in figures.items() if one["fit"]}
            for script, figures in scripts.items()
        }
        for mode, scripts in summary["fits"].items()
    }
    return summary | {"fits": lines}


def trim_phase(phase: dict) -> dict:
    """Drops fields that the page does not use, since the file is committed with the sources."""
    trimmed = {key: value for key, value in phase.items() if value}
    for kind in ("real", "speakers", "others"):
        trimmed[kind] = {
            field: {key: value[key] for key in ("median", "most")} if isinstance(value, dict) else value
            for field, value in phase[kind].items()
            if kind == "real" or field in ("cpu_ms_s", "bytes_s", "rss_kb")
        }
    trimmed["found"] = {
        key: value for key, value in phase["found"].items() if value is not None and key != "hollow_events"
    }
    for one in trimmed["found"].get("restarted", ()):
        one.pop("asked", None)
    return trimmed


def write_key(path: Path, key: str, value: dict) -> None:
    """Writes one key of a file that several measurements share; the other keys are unchanged."""
    document = json.loads(path.read_text()) if path.exists() else {}
    document[key] = value
    path.parent.mkdir(parents=True, exist_ok=True)
    temporary = path.with_suffix(".part")
    temporary.write_text(json.dumps(document, indent=2) + "\n")
    os.replace(temporary, path)


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale.fit")
    parser.add_argument("runs", type=Path, nargs="*", help="result files; default: all of runs/scale")
    parser.add_argument("--json", type=Path, default=Path("docs/measurements/scale.json"))
    parser.add_argument("--page", type=Path, default=Path("docs/measurements/scale.md"))
    args = parser.parse_args()
    files = args.runs or sorted(Path("runs/scale").glob("*.json"))
    if not files:
        print("no runs", file=sys.stderr)
        return 2
    found = summary([orjson.loads(file.read_bytes()) for file in files])
    write_key(args.json, "fleet", without_points(found))
    args.page.write_text(render_page(found))
    print(f"{len(files)} runs -> {args.json}, {args.page}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
