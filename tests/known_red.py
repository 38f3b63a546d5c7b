"""Reads KNOWN-RED.txt at the root: tests that may fail because of a known fault, one a line.

A line has the test, the cause and the issue, separated by ` | `. The tests run; their failure is shown and
does not fail the run.
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
    """The listed tests; raises ValueError for an incomplete line or too many lines."""
    lines = [line for line in path.read_text().splitlines() if line.strip()] if path.exists() else []
    if len(lines) > MAX_ENTRIES:
        raise ValueError(f"{path.name}: {MAX_ENTRIES} lines at most, found {len(lines)}")
    listed = []
    for line in lines:
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"{path.name}: expected 'test | cause | issue', got {line!r}")
        listed.append(KnownRed(*parts))
    return listed
