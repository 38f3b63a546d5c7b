"""Mutation testing: removes one guard at a time, `python -m tests.tier.mutations`. Not a part of CI.

Each mutation runs on a copy of the tree: first the tests named below, then random runs by seed, until the
first failure. A guard without a failure is either redundant or untested; docs/control-safety.md says which.
"""

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
import time
import tomllib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parents[2]
TESTS = (
    "test_control_safety_steps.py", "test_decisions.py", "test_storage.py", "test_replication.py",
    "test_relay_steps.py", "test_disk_faults.py",
    "test_repair.py", "test_control_scenarios.py",
)  # fmt: skip
KINDS = ("three", "short-files-beyond", "dense", "five-two", "short-logs")
TEST_LIMIT_S, SEED_LIMIT_S = 400, 400


@dataclass(frozen=True)
class Mutation:
    """One guard, and the text that removes it."""

    name: str
    path: str  # under crowwing/tier
    old: str
    new: str


def read_mutations() -> list[Mutation]:
    """Reads mutations.toml."""
    table = tomllib.loads((ROOT / "tests" / "tier" / "mutations.toml").read_text())
    return [Mutation(**entry) for entry in table["mutation"]]


def play(mutation: Mutation, seeds: int) -> str:
    """The first failure without a guard, and the time until it."""
    with tempfile.TemporaryDirectory(prefix="mutation-") as folder:
        copy = Path(folder) / "tree"
        shutil.copytree(
            ROOT, copy, ignore=shutil.ignore_patterns(".git", ".venv", "journal", "target", "docs")
        )
        path = copy / "crowwing" / "tier" / mutation.path
        text = path.read_text()
        if text.count(mutation.old) != 1:
            return "the text to remove does not occur exactly once"
        path.write_text(text.replace(mutation.old, mutation.new))
        return _run_on_copy(copy, seeds)


def _run_on_copy(copy: Path, seeds: int) -> str:
    began = time.monotonic()
    variables = {**os.environ, "PYTHONPATH": str(copy), "PYTHONDONTWRITEBYTECODE": "1"}
    tests = [f"tests/tier/{name}" for name in TESTS]
    command = [sys.executable, "-m", "pytest", "-x", "-q", "-p", "no:cacheprovider", *tests]
    found = _first_line(command, copy, variables, "FAILED ", TEST_LIMIT_S)
    if found:
        return f"{found.split('::')[-1].split(' - ')[0]} ({time.monotonic() - began:.0f} s)"
    for kind in KINDS:
        command = [
            sys.executable, "-m", "tests.tier.many_seeds", "--first", "0", "--count", str(seeds),
            "--jobs", "1", "--kinds", kind,
        ]  # fmt: skip
        found = _first_line(command, copy, variables, f"{kind} seed", SEED_LIMIT_S)
        if found:
            return f"{found[:110]} ({time.monotonic() - began:.0f} s)"
    return f"NOTHING in {seeds} seeds of each of {', '.join(KINDS)}"


def _first_line(
    command: list[str], folder: Path, variables: dict[str, str], start: str, limit_s: float
) -> str:
    """The first line of a command's output that begins with `start`; then the command is killed."""
    process = subprocess.Popen(
        command, cwd=folder, env=variables, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True
    )
    deadline = time.monotonic() + limit_s
    assert process.stdout is not None
    try:
        for line in process.stdout:
            if line.startswith(start):
                return line.strip()
            if time.monotonic() > deadline:
                return ""
    finally:
        process.kill()
        process.wait()
    return ""


def main() -> int:
    """The command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=24, help="of each kind, where no test fails")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--only", default="", help="only mutations whose name contains this")
    parser.add_argument("--skip", type=int, default=0, help="skip this many at the start of the table")
    options = parser.parse_args()
    chosen = [mutation for mutation in read_mutations()[options.skip :] if options.only in mutation.name]
    with ThreadPoolExecutor(options.jobs) as pool:
        for mutation, found in zip(chosen, pool.map(lambda x: play(x, options.seeds), chosen), strict=True):
            print(f"{mutation.name}: {found}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
