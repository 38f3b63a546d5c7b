"""Hard cases for storm detection and damping, on a small emulated fleet of real backends."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
OPERATOR = {"storm": {"lowers_repeats": True, "paces_returns": True}, "records": {"figures_every_ms": 250}}
ONE_ATTEMPT = {"count": 3, "habit": "none", "heed": 0.0}
AGGRESSIVE = {"count": 3, "habit": "uncapped", "heed": 0.0, "tries_most": 6, "notice_s": [0.3, 0.6]}
KILL = {"kind": "kill", "at_s": 3, "for_s": 2.5, "backends": [1]}
FLOOD = {"kind": "flood", "at_s": 3, "for_s": 2, "size": 6, "customer": "initech"}
NO_RETRIES = {"sidecars": ONE_ATTEMPT, "clients": {"repeats": 0}}


def emulate(folder: Path, **changes: object) -> tuple[dict, list[float]]:
    """Returns the result, and for each backend the share of its figures lines that report a storm."""
    plan = {
        "seconds": 8, "warm_up_s": 1, "backends": 3, "seed": 5, "machine": {"speeds": [1.0], "cold_s": 3},
        "below": {"slots": 10}, "traffic": {"load": 0.7},
    }  # fmt: skip
    (folder / "plan.json").write_text(json.dumps(plan | changes))
    (folder / "on.json").write_text(json.dumps(OPERATOR))
    command = [sys.executable, "-m", "crowwing", "emulate", str(folder / "plan.json"), "--json"]
    command += ["--operator", str(folder / "on.json"), "--out", str(folder / "out")]
    finished = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=90)
    result, storm_shares = json.loads(finished.stdout), []
    for path in sorted((folder / "out").glob("n*.log")):
        lines = [json.loads(line) for line in path.read_text().splitlines()]
        figures = [line["storm"] for line in lines if line["event"] == "figures" and "storm" in line]
        storm_shares.append(sum(figures) / max(1, len(figures)))
    return result, storm_shares


@pytest.mark.parametrize(
    "changes",
    [
        pytest.param({"faults": [KILL]}, id="a loss of a backend without retries"),
        pytest.param(
            {"traffic": {"load": 0.6}, "faults": [{"kind": "burst", "at_s": 3, "for_s": 5, "size": 2}]},
            id="organic traffic that doubles",
        ),
        pytest.param(
            {
                "traffic": {"load": 0.6, "equal_part": 0.4},
                "faults": [{"kind": "burst", "at_s": 3, "for_s": 5, "size": 2}],
            },
            id="doubled traffic with equal requests",
        ),
    ],
)
def test_traffic_without_retries_is_not_taken_for_a_storm(tmp_path: Path, changes: dict) -> None:
    result, storm_shares = emulate(tmp_path, **(NO_RETRIES | changes))
    assert result["breaches"] == []
    assert max(storm_shares) < 0.25


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param([KILL], id="a kill and a restart that warms up"),
        pytest.param(
            [KILL, {"kind": "drain", "at_s": 4, "for_s": 1, "backends": [0]}], id="a kill during a drain"
        ),
        pytest.param(
            [KILL, {"kind": "hang_below", "at_s": 4, "for_s": 0.8}], id="a kill and a downstream fault"
        ),
        pytest.param([KILL, FLOOD], id="a kill and a flood from one customer"),
    ],
)
def test_a_storm_of_aggressive_sidecars_is_detected_and_breaks_no_rule(tmp_path: Path, faults: list) -> None:
    result, storm_shares = emulate(tmp_path, sidecars=AGGRESSIVE, traffic={"load": 0.85}, faults=faults)
    assert result["breaches"] == []
    assert max(storm_shares) > 0.2, "a remaining backend detects it"
