"""Fleets in cells in simulated time, beside the flat fleet: the aims of cells and their spread over seeds.

    .venv/bin/python -m benchmarks.cells --sizes 100 1000 5200 --flat 100 300 --seeds 5 [--script rest ...]
    .venv/bin/python -m benchmarks.cells --table

Simulated, not emulated: pure members, period 1 s, 5 regions and 11 zones, cells of 64 at most, 200 entries
held for all; 1% of datagrams lost, 80 ms one way between regions (cells_scripts.py). One process a run. Each
run that has ended goes into the file at once, in place of an earlier one of the same script, size and seed;
`--table` only prints what the file holds.
"""

import argparse
import multiprocessing
import statistics
import subprocess
import sys
import time
from pathlib import Path

import orjson

from benchmarks.cells_scripts import IN_CELLS_ONLY, SCRIPTS, play

FILE = Path(__file__).parent.parent / "docs" / "measurements" / "scale.json"
MEMORY_A_MEMBER = 180e3  # bytes, measured at 1,000 in cells

# What is told of each script: a line of the table, and where it stands in what a run gives.
LINES = {
    "change": [("a change held by all, s", "all_s")],
    "burst": [("50 changes at once held by all, s", "slowest_s")],
    "region": [
        ("a region cut for 3 min: members that leave the list", "left_the_list"),
        ("held dead for it", "held_dead_falsely"),
        ("known by all, s", "known_s"),
        ("after the heal all views right, s", "views_right_s"),
    ],
    "restart": [
        ("restarted one by one: members asked at most", "asked_most"),
        ("attempts at most", "attempts_most"),
        ("ready, slowest of 20, s", "ready_slowest_s"),
    ],
    "kill": [
        ("a killed member known by those that know it, s", "all_s"),
        ("held dead falsely", "held_dead_falsely"),
    ],
    "dead_cell": [
        ("a cell dead at once, known by all, s", "known_s"),
        ("all of it started at once: ready, slowest, s", "ready_slowest_s"),
        ("hold what is for all, s", "holds_all_s"),
    ],
    "zone": [
        ("a zone dead at once, known by all, s", "known_s"),
        ("all of it started within 30 s: ready, slowest, s", "ready_slowest_s"),
        ("hold what is for all after the last start, s", "holds_all_s"),
        ("all views right after the last start, s", "agreed_again_s"),
        ("attempts of one at most", "attempts_most"),
        ("others that leave the list", "others_left_the_list"),
    ],
    "lonely": [
        ("restarted, nobody reachable: serves after, s", "ready_s"),
        ("attempts to fetch in 2 min", "attempts"),
        ("datagrams/s", "datagrams_s"),
    ],
}
BYTES = [
    ("B/s, mean of all", "mean"),
    ("worst minute of any, B/s", "worst_minute"),
    ("of a speaker", "worst_minute_speaker"),
]


def free() -> int:
    """Bytes of memory that can be had."""
    told = dict(line.split(":") for line in Path("/proc/meminfo").read_text().splitlines())
    return int(told["MemAvailable"].split()[0]) * 1024


def read(path: Path) -> dict:
    told = orjson.loads(path.read_bytes()) if path.exists() else {}
    told.setdefault("simulated", {"how": __doc__.split("\n\n")[2].replace("\n", " "), "runs": []})
    return told


def keep(path: Path, run: dict) -> None:
    """In place of an earlier run of the same; read again each time, since others write the same file."""
    told = read(path)
    same = ("script", "kind", "size", "seed")
    runs = [one for one in told["simulated"]["runs"] if any(one[key] != run[key] for key in same)]
    told["simulated"]["runs"] = sorted([*runs, run], key=lambda one: [str(one[key]) for key in same])
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(orjson.dumps(told, option=orjson.OPT_INDENT_2) + b"\n")


def spread(values: list) -> str:
    """Median and range; how many runs never came to it."""
    found = [value for value in values if value is not None]
    if not found:
        return "not" if values else "-"
    form = "{:.0f}" if all(value == int(value) for value in found) or max(found) >= 100 else "{:.2f}"
    low, middle, high = (form.format(f(found)) for f in (min, statistics.median, max))
    text = middle if low == high else f"{middle} ({low} to {high})"
    return text if len(found) == len(values) else f"{text}, {len(values) - len(found)} not"


def commit() -> str:
    """Of what is played; a + where files differ from it."""
    words = ["git", "-C", str(FILE.parent), "describe", "--always", "--dirty=+"]
    return subprocess.run(words, capture_output=True, text=True, check=False).stdout.strip() or "unknown"


def having(found: dict, key: str) -> list:
    """What a run found, which may be that it never came to it; nothing where it does not look."""
    value = found.get(key, [])
    return value if isinstance(value, list) else [value]


def table(runs: list[dict]) -> list[str]:
    columns = sorted({(run["kind"] == "cells", run["size"]) for run in runs})
    head = [f"{'cells' if cells else 'flat'}, {size:,}" for cells, size in columns]
    lines = [f"| what | {' | '.join(head)} |", f"| --- |{' --- |' * len(head)}"]

    def row(label: str, script: str, look: object) -> None:
        row = []
        for cells, size in columns:
            kind = "cells" if cells else "flat"
            of = [r for r in runs if (r["script"], r["kind"], r["size"]) == (script, kind, size)]
            row.append(spread([value for one in of for value in look(one)]))
        if any(one != "-" for one in row):
            lines.append(f"| {label} | {' | '.join(row)} |")

    for script, told in LINES.items():
        for label, key in told:
            row(label, script, lambda run, key=key: having(run["found"], key))
    for script in SCRIPTS:
        for label, key in BYTES:
            row(f"{script}: {label}", script, lambda run, key=key: having(run["found"]["bytes_s"], key))
    return lines


def one(job: tuple[int, int, str, bool]) -> dict:
    size, seed, script, in_cells = job
    began = time.monotonic()
    found = play(size, seed, script, in_cells)
    took = round(time.monotonic() - began)
    return {
        "script": script, "kind": "cells" if in_cells else "flat", "size": size, "seed": seed, "took_s": took,
        "found": found,
    }  # fmt: skip


def main() -> None:
    told = argparse.ArgumentParser()
    told.add_argument("--sizes", type=int, nargs="*", default=[100, 1000, 5200], help="in cells")
    told.add_argument("--flat", type=int, nargs="*", default=[100, 300], help="sizes of flat fleets")
    told.add_argument("--seeds", type=int, default=5)
    told.add_argument("--first", type=int, default=1, help="the first seed")
    told.add_argument("--script", nargs="+", choices=list(SCRIPTS), default=list(SCRIPTS))
    told.add_argument("--at-once", type=int, default=4)
    told.add_argument("--file", type=Path, default=FILE)
    told.add_argument("--table", action="store_true")
    told = told.parse_args()
    if not told.table:
        jobs = [
            (size, seed, script, in_cells)
            for sizes, in_cells in ((told.sizes, True), (told.flat, False))
            for size in sizes
            for seed in range(told.first, told.first + told.seeds)
            for script in told.script
            if in_cells or script not in IN_CELLS_ONLY
        ]
        jobs.sort(key=lambda job: -job[0] * (1 if job[3] else job[0] / 60))
        need = told.at_once * max(job[0] for job in jobs) * MEMORY_A_MEMBER
        if need > free() / 2:
            sys.exit(f"{told.at_once} runs at once take {need / 1e9:.1f} GB, over half of what is free")
        print(f"{len(jobs)} runs; up to {need / 1e9:.1f} GB", file=sys.stderr)
        of = commit()
        with multiprocessing.get_context("fork").Pool(told.at_once, maxtasksperchild=1) as pool:
            for number, run in enumerate(pool.imap_unordered(one, jobs), 1):
                keep(told.file, run | {"commit": of})
                what = "{script}, {kind} of {size}, seed {seed}: {took_s} s".format(**run)
                print(f"{number} of {len(jobs)}: {what}", file=sys.stderr, flush=True)
    print("\n".join(table(read(told.file)["simulated"]["runs"])))


if __name__ == "__main__":
    main()
