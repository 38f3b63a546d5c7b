"""Compares fleets in cells with flat fleets in simulated time: medians and ranges over several seeds.

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

from benchmarks.cells_scripts import IN_CELLS_ONLY, SCRIPTS, run_script

FILE = Path(__file__).parent.parent / "docs" / "measurements" / "scale.json"
MEMBER_BYTES = 180e3  # measured with 1,000 members in cells

# Rows of the table for each script: label, and key in the results of a run.
TABLE_ROWS = {
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
TRAFFIC_ROWS = [
    ("B/s, mean of all", "mean"),
    ("worst minute of any, B/s", "worst_minute"),
    ("of a speaker", "worst_minute_speaker"),
]


def available_memory() -> int:
    """Bytes of memory available on the machine."""
    fields = dict(line.split(":") for line in Path("/proc/meminfo").read_text().splitlines())
    return int(fields["MemAvailable"].split()[0]) * 1024


def read_document(path: Path) -> dict:
    document = orjson.loads(path.read_bytes()) if path.exists() else {}
    document.setdefault("simulated", {"how": __doc__.split("\n\n")[2].replace("\n", " "), "runs": []})
    return document


def save_run(path: Path, run: dict) -> None:
    """Replaces a run of the same script, kind, size and seed; rereads the file, as others write it too."""
    document = read_document(path)
    identity = ("script", "kind", "size", "seed")
    runs = [
        saved for saved in document["simulated"]["runs"] if any(saved[key] != run[key] for key in identity)
    ]
    document["simulated"]["runs"] = sorted(
        [*runs, run], key=lambda saved: [str(saved[key]) for key in identity]
    )
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(orjson.dumps(document, option=orjson.OPT_INDENT_2) + b"\n")


def format_range(values: list) -> str:
    """Median and range, and the number of runs without a result."""
    found = [value for value in values if value is not None]
    if not found:
        return "not" if values else "-"
    form = "{:.0f}" if all(value == int(value) for value in found) or max(found) >= 100 else "{:.2f}"
    minimum, median, maximum = (form.format(f(found)) for f in (min, statistics.median, max))
    text = median if minimum == maximum else f"{median} ({minimum} to {maximum})"
    return text if len(found) == len(values) else f"{text}, {len(values) - len(found)} not"


def commit() -> str:
    """The commit that is measured, with a + if files differ from it."""
    command = ["git", "-C", str(FILE.parent), "describe", "--always", "--dirty=+"]
    return subprocess.run(command, capture_output=True, text=True, check=False).stdout.strip() or "unknown"


def values_of(found: dict, key: str) -> list:
    """Results of a run: None for each that timed out; empty if its script does not measure `key`."""
    value = found.get(key, [])
    return value if isinstance(value, list) else [value]


def table(runs: list[dict]) -> list[str]:
    columns = sorted({(run["kind"] == "cells", run["size"]) for run in runs})
    head = [f"{'cells' if cells else 'flat'}, {size:,}" for cells, size in columns]
    lines = [f"| what | {' | '.join(head)} |", f"| --- |{' --- |' * len(head)}"]

    def add_row(label: str, script: str, select: object) -> None:
        row_cells = []
        for cells, size in columns:
            kind = "cells" if cells else "flat"
            matching = [r for r in runs if (r["script"], r["kind"], r["size"]) == (script, kind, size)]
            row_cells.append(format_range([value for run in matching for value in select(run)]))
        if any(cell != "-" for cell in row_cells):
            lines.append(f"| {label} | {' | '.join(row_cells)} |")

    for script, script_rows in TABLE_ROWS.items():
        for label, key in script_rows:
            add_row(label, script, lambda run, key=key: values_of(run["found"], key))
    for script in SCRIPTS:
        for label, key in TRAFFIC_ROWS:
            add_row(
                f"{script}: {label}", script, lambda run, key=key: values_of(run["found"]["bytes_s"], key)
            )
    return lines


def run_job(job: tuple[int, int, str, bool]) -> dict:
    size, seed, script, in_cells = job
    began = time.monotonic()
    found = run_script(size, seed, script, in_cells)
    took_s = round(time.monotonic() - began)
    return {
        "script": script, "kind": "cells" if in_cells else "flat", "size": size, "seed": seed,
        "took_s": took_s,
        "found": found,
    }  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", type=int, nargs="*", default=[100, 1000, 5200], help="in cells")
    parser.add_argument("--flat", type=int, nargs="*", default=[100, 300], help="sizes of flat fleets")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--script", nargs="+", choices=list(SCRIPTS), default=list(SCRIPTS))
    parser.add_argument("--at-once", type=int, default=4)
    parser.add_argument("--file", type=Path, default=FILE)
    parser.add_argument("--table", action="store_true")
    args = parser.parse_args()
    if not args.table:
        jobs = [
            (size, seed, script, in_cells)
            for sizes, in_cells in ((args.sizes, True), (args.flat, False))
            for size in sizes
            for seed in range(args.first, args.first + args.seeds)
            for script in args.script
            if in_cells or script not in IN_CELLS_ONLY
        ]
        jobs.sort(key=lambda job: -job[0] * (1 if job[3] else job[0] / 60))
        needed_bytes = args.at_once * max(job[0] for job in jobs) * MEMBER_BYTES
        if needed_bytes > available_memory() / 2:
            sys.exit(
                f"{args.at_once} parallel runs need {needed_bytes / 1e9:.1f} GB, over half of the free memory"
            )
        print(f"{len(jobs)} runs; up to {needed_bytes / 1e9:.1f} GB", file=sys.stderr)
        commit_id = commit()
        with multiprocessing.get_context("fork").Pool(args.at_once, maxtasksperchild=1) as pool:
            for number, run in enumerate(pool.imap_unordered(run_job, jobs), 1):
                save_run(args.file, run | {"commit": commit_id})
                summary = "{script}, {kind} of {size}, seed {seed}: {took_s} s".format(**run)
                print(f"{number} of {len(jobs)}: {summary}", file=sys.stderr, flush=True)
    print("\n".join(table(read_document(args.file)["simulated"]["runs"])))


if __name__ == "__main__":
    main()
