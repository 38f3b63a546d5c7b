"""Fits what the scale run measured over the fleet's size, and writes it down.

    .venv/bin/python -m benchmarks.scale.fit [RUNS ...] [--json docs/measurements/scale.json]

Of every script and figure: the points (size, seed, value), for each size the median with the least and the
most over seeds, and a straight line over size: its slope for 1,000 members, with the spread of the slopes of
the single seeds, or, where there is one seed, of the line's own standard error. Points of runs that did not
keep step are kept, marked, and not fitted. The JSON file is shared: only its key `fleet` is written here.
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

from benchmarks.scale.page import page

# Figures of a phase that are fitted: where they stand, and how they are called on the page.
FIGURES = {
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


def looked_up(phase: dict, path: Sequence[str]) -> float | None:
    for step in path:
        if not isinstance(phase, dict) or (phase := phase.get(step)) is None:
            return None
    return None if isinstance(phase, bool) else float(phase)


def restarted(phase: dict) -> dict[str, float]:
    """Of real backends started again with all in reach: the slowest, and the one that asked most."""
    found = [one for one in phase["found"].get("restarted", ()) if one["ready_s"] is not None]
    if not found:
        return {}
    return {
        "ready_s": max(one["ready_s"] for one in found),
        "asked": max(one["asked_hollow"] for one in found),
        "attempts": max(one["attempts"] or 0 for one in found),
    }


def points(runs: Iterable[dict]) -> dict:
    """mode -> script -> figure -> [[size, seed, value, in step]]."""
    found: dict = defaultdict(lambda: defaultdict(lambda: defaultdict(list)))
    for run in runs:
        for script, phase in run["scripts"].items():
            if phase["found"].get("skipped"):
                continue
            values = {name: looked_up(phase, path) for name, path in FIGURES.items()} | restarted(phase)
            for name, value in values.items():
                if value is not None:
                    point = [run["size"], run["seed"], value, phase["step"]["kept"]]
                    found[run["mode"]][script][name].append(point)
    return found


def line(few: Sequence[Sequence[float]]) -> tuple[float, float, float]:
    """Intercept and slope of a straight line through (size, value), and the slope's standard error."""
    sizes, values = numpy.array([one[0] for one in few], float), numpy.array([one[1] for one in few], float)
    apart = sizes - sizes.mean()
    square = float((apart**2).sum())
    slope = float((apart * values).sum() / square)
    begin = float(values.mean() - slope * sizes.mean())
    left = values - begin - slope * sizes
    error = float(numpy.sqrt((left**2).sum() / max(1, len(few) - 2) / square)) if len(few) > 2 else 0.0
    return begin, slope, error


def fitted(told: Sequence[Sequence]) -> dict:
    """The points, what each size has, and the line; a slope is for 1,000 members more."""
    by_size: dict[int, list[float]] = defaultdict(list)
    good = [one for one in told if one[3]]
    for size, _, value, _ in good:
        by_size[size].append(value)
    sizes = {
        str(size): {"median": statistics.median(of), "least": min(of), "most": max(of), "runs": len(of)}
        for size, of in sorted(by_size.items())
    }
    found = {"sizes": sizes, "late": sorted({one[0] for one in told if not one[3]}), "fit": None}
    if len(by_size) < 2:
        return found
    begin, slope, error = line([(size, value) for size, _, value, _ in good])
    seeds = defaultdict(list)
    for size, seed, value, _ in good:
        seeds[seed].append((size, value))
    slopes = [line(few)[1] for few in seeds.values() if len({size for size, _ in few}) > 1]
    if len(slopes) < 2:
        slopes = [slope - 2 * error, slope + 2 * error]
    found["fit"] = {
        "at_0": begin, "per_1000": 1000 * slope, "per_1000_least": 1000 * min(slopes),
        "per_1000_most": 1000 * max(slopes), "seeds": len(seeds), "least_size": min(by_size),
        "most_size": max(by_size),
    }  # fmt: skip
    return found


def rounded(value: object) -> object:
    """Five figures are more than any of these has."""
    if isinstance(value, float):
        return float(f"{value:.5g}")
    if isinstance(value, dict):
        return {key: rounded(one) for key, one in value.items()}
    return [rounded(one) for one in value] if isinstance(value, list) else value


KEPT = (
    "mode", "size", "seed", "real", "hollow", "processes", "began", "loss", "span_s", "cut_s", "load",
    "memory_kb", "weight", "settled_s", "real_whole", "stopped", "scripts",
)  # fmt: skip


def summary(runs: Sequence[dict]) -> dict:
    """The runs as they were, and what was fitted, by mode, script and figure."""
    fits = {
        mode: {
            script: {name: fitted(told) for name, told in figures.items()}
            for script, figures in scripts.items()
        }
        for mode, scripts in points(runs).items()
    }
    kept = [{key: run[key] for key in KEPT if key in run} for run in runs]
    for run in kept:
        run["scripts"] = {script: trimmed(phase) for script, phase in run["scripts"].items()}
    return rounded({"runs": kept, "fits": fits})


def lines_only(told: dict) -> dict:
    """The runs and the lines: what each size had is on the page, and in the runs."""
    lines = {
        mode: {
            script: {name: one["fit"] for name, one in figures.items() if one["fit"]}
            for script, figures in scripts.items()
        }
        for mode, scripts in told["fits"].items()
    }
    return told | {"fits": lines}


def trimmed(phase: dict) -> dict:
    """Without what the page and its reader have no use for: the file goes with the sources."""
    told = {key: value for key, value in phase.items() if value}
    for kind in ("real", "speakers", "others"):
        told[kind] = {
            field: {key: value[key] for key in ("median", "most")} if isinstance(value, dict) else value
            for field, value in phase[kind].items()
            if kind == "real" or field in ("cpu_ms_s", "bytes_s", "rss_kb")
        }
    told["found"] = {
        key: value for key, value in phase["found"].items() if value is not None and key != "hollow_events"
    }
    for one in told["found"].get("restarted", ()):
        one.pop("asked", None)
    return told


def write(path: Path, key: str, told: dict) -> None:
    """One key of the file that several measurements share; the others stay as they are."""
    whole = json.loads(path.read_text()) if path.exists() else {}
    whole[key] = told
    path.parent.mkdir(parents=True, exist_ok=True)
    part = path.with_suffix(".part")
    part.write_text(json.dumps(whole, indent=2) + "\n")
    os.replace(part, path)


def main() -> int:
    told = argparse.ArgumentParser(prog="python -m benchmarks.scale.fit")
    told.add_argument("runs", type=Path, nargs="*", help="files of runs; none: all of runs/scale")
    told.add_argument("--json", type=Path, default=Path("docs/measurements/scale.json"))
    told.add_argument("--page", type=Path, default=Path("docs/measurements/scale.md"))
    told = told.parse_args()
    files = told.runs or sorted(Path("runs/scale").glob("*.json"))
    if not files:
        print("no runs", file=sys.stderr)
        return 2
    found = summary([orjson.loads(file.read_bytes()) for file in files])
    write(told.json, "fleet", lines_only(found))
    told.page.write_text(page(found))
    print(f"{len(files)} runs -> {told.json}, {told.page}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
