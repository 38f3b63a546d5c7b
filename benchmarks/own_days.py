"""Runs the project's own days on the users' bench: `python -m benchmarks.own_days BENCH SITE...`.

A file under benchmarks/days has the faults of a day, `traffic-SITE.toml` the traffic of a site. Prints one
line per day; exits with 1 if a rule was broken or a day could not be run.
"""

import argparse
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

DAYS = Path(__file__).parent / "days"
COMPOSED_FOLDER = Path("target") / "own-days"
SEED = 20_261_202
RULES = re.compile(
    r"\b(MIXED|UNASKED|TWICE|REFUSED|DENIED|BUDGET|ROUTE|DRAIN|LOST|CONFIG|ORDER|RECOVER|GONE|FAULT)\b"
)
MAX_REPORTED_CHARS = 400  # of the broken rules in a line


def compose(site: str, day: Path) -> Path:
    """Writes a complete day in the format of the bench; returns its path."""
    COMPOSED_FOLDER.mkdir(parents=True, exist_ok=True)
    path = COMPOSED_FOLDER / f"{site}-{day.stem}.toml"
    header = f'name = "{day.stem}"\nslot = "trouble"\nseed = {SEED}\none = 1.0\nzero = 0.0\n'
    goal = "goal = { floor = 0.0 }\nfloor_classes = [0.0]\nfloor_zones = [0.0]\nlabels = []\nlight = true\n"
    path.write_text(header + goal + day.read_text() + (DAYS / f"traffic-{site}.toml").read_text())
    return path


def run_day(bench: str, site_file: str, day: Path) -> tuple[bool, str]:
    """Runs one day; returns whether all rules were kept, and a line of output."""
    site = Path(site_file).stem
    path = compose(site, day)
    command = [bench, "run", site_file, str(path), "--why", f"Our own day {day.stem}"]
    completed = subprocess.run(command, capture_output=True, text=True)
    path.with_suffix(".log").write_text(completed.stdout + completed.stderr)
    lines = [line.strip() for line in (completed.stdout + completed.stderr).splitlines() if line.strip()]
    row = next((line for line in lines if line.startswith(day.stem)), lines[-1] if lines else "no output")
    broken = [line for line in lines if RULES.search(line)]
    return completed.returncode == 0 and not broken, f"{site} {row} {' | '.join(broken)[:MAX_REPORTED_CHARS]}"


def main() -> int:
    """The command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench", help="the fleetbench program")
    parser.add_argument("sites", nargs="+", help="site files")
    parser.add_argument("--only", default="", help="days whose name contains this")
    parser.add_argument("--jobs", type=int, default=2)
    options = parser.parse_args()
    days = [day for day in sorted(DAYS.glob("[0-9]*.toml")) if options.only in day.stem]
    jobs = [(options.bench, site, day) for site in options.sites for day in days]
    failed = 0
    with ThreadPoolExecutor(options.jobs) as pool:
        for passed, line in pool.map(lambda arguments: run_day(*arguments), jobs):
            failed += not passed
            print("kept  " if passed else "FAILED", line, flush=True)
    print(f"{len(jobs)} days, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
