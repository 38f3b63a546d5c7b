"""An emulated fleet of real backends with all fleet features switched on, one of which is killed."""

import json
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
PLAN = {
    "seconds": 14, "warm_up_s": 1, "backends": 4, "seed": 5, "traffic": {"load": 0.9}, "below": {"slots": 8},
    "machine": {"cores": 2, "speeds": [1.0], "cold_s": 2}, "sidecars": {"count": 3, "tries_most": 4},
    "faults": [{"kind": "kill", "at_s": 6, "for_s": 2, "backends": [1]}],
}  # fmt: skip
ON = {
    "storm": {}, "records": {"figures_every_ms": 500},
    "fleet": {
        "listen": "127.0.0.1:1", "peers": [{"name": "placeholder", "address": "127.0.0.1:2"}],
        "period_ms": 300, "probe_timeout_ms": 100, "sync_every_ms": 300,
        "lends_calls": True, "shares_quota": True, "teaches": True, "shares_prints": True,
    },
}  # fmt: skip


def test_a_fleet_with_all_features_keeps_the_rules_and_a_restarted_member_learns_its_start(
    tmp_path: Path,
) -> None:
    (tmp_path / "plan.json").write_text(json.dumps(PLAN))
    (tmp_path / "on.json").write_text(json.dumps(ON))
    words = [sys.executable, "-m", "crowwing", "emulate", str(tmp_path / "plan.json"), "--json"]
    words += ["--operator", str(tmp_path / "on.json"), "--out", str(tmp_path / "out")]
    ended = subprocess.run(words, cwd=ROOT, capture_output=True, text=True, timeout=120)
    result = json.loads(ended.stdout)
    assert result["breaches"] == [] and result["below_most"] < 1
    logs = {
        path.stem: [json.loads(line) for line in path.read_text().splitlines()]
        for path in (tmp_path / "out").glob("n?.log")
    }
    assert not [line for log in logs.values() for line in log if line["event"] in ("defect", "stray_defect")]
    last = {name: [line for line in log if line["event"] == "figures"][-1] for name, log in logs.items()}
    lives = list(dict.fromkeys(line["life"] for line in logs["n2"]))
    assert len(lives) == 2
    second = [line["event"] for line in logs["n2"] if line["life"] == lives[1]]
    assert second.index("caught_up") < second.index("ready") and "taught" in second
    assert all(figures["call_part"] >= 0.25 and len(figures["quota_parts"]) == 3 for figures in last.values())
    assert any(figures["counts"].get("prints_heard") for figures in last.values())
    assert any(line["event"] == "member" and line["name"] == "n2" for line in logs["n1"])
