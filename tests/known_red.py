"""Tests that are known to fail at times for a real fault: KNOWN-RED.txt at the root, one line each.

A line holds the test, its cause and its issue, separated by ` | `. The tests are run; their failure is shown
and does not fail the run.
"""

from dataclasses import dataclass
from pathlib import Path

FILE = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"
MAX_ENTRIES = 3


@dataclass(frozen=True)
class KnownRed:
    """One test that may fail."""

    test: str  # its node id
    cause: str
    issue: str


def read_known_red(path: Path = FILE) -> list[KnownRed]:
    """The listed tests; raises ValueError for a line that lacks a part, or for too many."""
    lines = [line for line in path.read_text().splitlines() if line.strip()] if path.exists() else []
    if len(lines) > MAX_ENTRIES:
        raise ValueError(f"{path.name}: {MAX_ENTRIES} lines at most, these are {len(lines)}")
    listed = []
    for line in lines:
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"{path.name}: test | cause | issue, not {line!r}")
        listed.append(KnownRed(*parts))
    return listed
