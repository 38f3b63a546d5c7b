"""Storms on a small emulated fleet of real backends: the hard cases, with sight and damping switched on."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
ON = {"storm": {"lowers_repeats": True, "paces_returns": True}, "records": {"figures_every_ms": 250}}
QUIET = {"count": 3, "habit": "none", "heed": 0.0}
WILD = {"count": 3, "habit": "uncapped", "heed": 0.0, "tries_most": 6, "notice_s": [0.3, 0.6]}
KILL = {"kind": "kill", "at_s": 3, "for_s": 2.5, "backends": [1]}
FLOOD = {"kind": "flood", "at_s": 3, "for_s": 2, "size": 6, "customer": "initech"}
HONEST = {"sidecars": QUIET, "clients": {"repeats": 0}}


def play(folder: Path, **changes: object) -> tuple[dict, list[float]]:
    """The result, and the part of figures in which each backend saw a storm."""
    plan = {
        "seconds": 8, "warm_up_s": 1, "backends": 3, "seed": 5, "machine": {"speeds": [1.0], "cold_s": 3},
        "below": {"slots": 10}, "traffic": {"load": 0.7},
    }  # fmt: skip
    (folder / "plan.json").write_text(json.dumps(plan | changes))
    (folder / "on.json").write_text(json.dumps(ON))
    words = [sys.executable, "-m", "crowwing", "emulate", str(folder / "plan.json"), "--json"]
    words += ["--operator", str(folder / "on.json"), "--out", str(folder / "out")]
    ended = subprocess.run(words, cwd=ROOT, capture_output=True, text=True, timeout=90)
    result, seen = json.loads(ended.stdout), []
    for path in sorted((folder / "out").glob("n*.log")):
        lines = [json.loads(line) for line in path.read_text().splitlines()]
        figures = [line["storm"] for line in lines if line["event"] == "figures" and "storm" in line]
        seen.append(sum(figures) / max(1, len(figures)))
    return result, seen


@pytest.mark.parametrize(
    "changes",
    [
        pytest.param({"faults": [KILL]}, id="a death without any retries"),
        pytest.param(
            {"traffic": {"load": 0.6}, "faults": [{"kind": "burst", "at_s": 3, "for_s": 5, "size": 2}]},
            id="honest traffic that doubles",
        ),
        pytest.param(
            {
                "traffic": {"load": 0.6, "equal_part": 0.4},
                "faults": [{"kind": "burst", "at_s": 3, "for_s": 5, "size": 2}],
            },
            id="and asks for the same things",
        ),
    ],
)
def test_what_is_no_storm_is_not_taken_for_one(tmp_path: Path, changes: dict) -> None:
    result, seen = play(tmp_path, **(HONEST | changes))
    assert result["breaches"] == []
    assert max(seen) < 0.25


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param([KILL], id="a kill, and its return cold"),
        pytest.param([KILL, {"kind": "drain", "at_s": 4, "for_s": 1, "backends": [0]}], id="during a drain"),
        pytest.param([KILL, {"kind": "hang_below", "at_s": 4, "for_s": 0.8}], id="and trouble below"),
        pytest.param([KILL, FLOOD], id="and one customer's flood"),
    ],
)
def test_a_storm_of_the_heedless_is_seen_and_breaks_no_rule(tmp_path: Path, faults: list) -> None:
    result, seen = play(tmp_path, sidecars=WILD, traffic={"load": 0.85}, faults=faults)
    assert result["breaches"] == []
    assert max(seen) > 0.2, "a survivor sees it"
