"""The commands `crowwing emulate` and `crowwing settings`, run as real processes on loopback."""

import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from crowwing.records.events import EVENTS
from crowwing.settings import operator

ROOT = Path(__file__).parent.parent
SMALL = {
    "seconds": 5, "warm_up_s": 1, "backends": 3, "seed": 3, "sidecars": {"count": 2, "habit": "uncapped"},
    "traffic": {"load": 0.6}, "machine": {"cores": 2, "speeds": [1.0]},
    "types": [
        {"name": "look", "calls": True, "expected_ms": 900, "outer_ms": 1500},
        {"name": "pay", "repeat": "unsafe", "calls": True, "expected_ms": 900, "outer_ms": 1500},
    ],
}  # fmt: skip


def command(*words: object) -> list[str]:
    return [sys.executable, "-m", "crowwing", *map(str, words)]


def run(*words: object) -> subprocess.CompletedProcess:
    return subprocess.run(command(*words), cwd=ROOT, capture_output=True, text=True, timeout=90)


def plan_file(folder: Path, **changes: object) -> Path:
    path = folder / "told.json"
    path.write_text(json.dumps(SMALL | changes))
    return path


def test_a_fleet_keeps_the_rules_through_a_kill_a_drain_and_trouble_below(tmp_path: Path) -> None:
    script = tmp_path / "faults.json"
    script.write_text(json.dumps([
        {"kind": "kill", "at_s": 1.5, "for_s": 1, "backends": [0]},
        {"kind": "drain", "at_s": 2, "for_s": 1.5, "backends": [1]},
        {"kind": "hang_below", "at_s": 3, "for_s": 0.5},
        {"kind": "no_roster", "at_s": 1, "for_s": 2},
    ]))  # fmt: skip
    ended = run("emulate", plan_file(tmp_path), "--faults", script, "--out", tmp_path / "out", "--json")
    result = json.loads(ended.stdout)
    assert result["breaches"] == []
    assert ended.returncode == (0 if result["late_part"] is None else 1), (
        "only a busy machine makes it invalid"
    )
    lines = (tmp_path / "out" / "truth.jsonl").read_text().splitlines()
    told = [json.loads(line) for line in lines]
    lives = [line["life"] for line in told if "life" in line]
    assert sorted((life["backend"], life["number"], life["how"]) for life in lives) == [
        (0, 1, "killed"), (0, 2, "stopped"), (1, 1, "drained"), (1, 2, "stopped"), (2, 1, "stopped"),
    ]  # fmt: skip
    tickets = [line for line in told if "tries" in line]
    assert all(ticket["ending"] != "open" for ticket in tickets)
    assert sum(ticket["ending"] == "settled" for ticket in tickets) > 0.5 * len(tickets)
    tries = [one for ticket in tickets for one in ticket["tries"]]
    assert {"first", "unreached"} <= {one["cause"] for one in tries} and len(tries) > len(tickets)
    log = [json.loads(line) for line in (tmp_path / "out" / "n1.log").read_text().splitlines()]
    assert len({line["life"] for line in log}) == 2, "the log distinguishes incarnations of a backend"
    for life in {line["life"] for line in log}:
        numbers = [line["seq"] for line in log if line["life"] == life]
        assert numbers == list(range(1, len(numbers) + 1))
    assert {line["event"] for line in log} <= set(EVENTS)


@pytest.mark.parametrize(
    ("changes", "place"),
    [
        ({"backends": 0}, "$.backends"),
        ({"sidecars": {"habit": "wild"}}, "$.sidecars.habit"),
        ({"speed": 1}, "speed"),
        ({"faults": [{"kind": "kill", "at_s": 1, "backends": [7]}]}, "$.faults[0].backends"),
        ({"faults": [{"kind": "flood", "at_s": 1, "customer": "nobody"}]}, "$.faults[0].customer"),
        ({"faults": [{"kind": "kill", "at_s": 1}]}, "$.faults[0]"),
        ({"types": []}, "$.types"),
    ],
)
def test_a_wrong_plan_is_one_line_with_its_place_and_nothing_is_started(
    tmp_path: Path, changes: dict, place: str
) -> None:
    path = plan_file(tmp_path, **changes)
    ended = run("emulate", path, "--out", tmp_path / "out")
    assert ended.returncode == 2 and ended.stderr.count("\n") == 1
    assert str(path) in ended.stderr and place in ended.stderr
    assert not (tmp_path / "out").exists()


def test_a_wrong_script_and_a_file_that_is_not_there_name_themselves(tmp_path: Path) -> None:
    script = tmp_path / "faults.json"
    script.write_text('[{"kind": "slow", "at_s": 1, "backends": [9]}]')
    for words in (("emulate", plan_file(tmp_path), "--faults", script), ("emulate", tmp_path / "none.json")):
        ended = run(*words, "--out", tmp_path / "out")
        assert ended.returncode == 2 and ended.stderr.count("\n") == 1
        assert str(words[-1]) in ended.stderr


def test_a_taken_address_is_one_line_and_exit_1(tmp_path: Path) -> None:
    with socket.create_server(("127.61.0.2", 7300)):
        ended = run("emulate", plan_file(tmp_path), "--out", tmp_path / "out", "--net", "127.61")
    assert ended.returncode == 1 and ended.stderr.count("\n") == 1 and "taken" in ended.stderr


def children_of(folder: Path) -> list[int]:
    """Returns the processes whose configuration file is in the folder."""
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                if f"PROXY_CONFIG={folder}".encode() in (entry / "environ").read_bytes():
                    found.append(int(entry.name))
            except OSError:
                pass
    return found


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_an_end_before_its_time_leaves_no_process_behind(tmp_path: Path, number: int) -> None:
    out = tmp_path / "out"
    words = command("emulate", plan_file(tmp_path, seconds=60), "--out", out)
    with subprocess.Popen(words, cwd=ROOT, stderr=subprocess.PIPE) as player:
        until = time.monotonic() + 30
        while len(children_of(out)) < 3 and time.monotonic() < until:
            time.sleep(0.02)
        os.kill(player.pid, number)
        player.wait(30)
        assert player.returncode == (1 if number != signal.SIGKILL else -signal.SIGKILL)
    until = time.monotonic() + 30
    while children_of(out) and time.monotonic() < until:
        time.sleep(0.02)
    assert children_of(out) == []


# Settings


def test_the_schema_and_the_example_that_stand_in_deploy_are_those_of_the_code() -> None:
    assert (ROOT / "deploy" / "operator.schema.json").read_bytes() == operator.schema()
    told = operator.read(ROOT / "deploy" / "operator.json")
    assert operator.Operator() == told, "every setting in the example is off"


def test_each_mistake_in_an_operator_file_is_named_with_its_path(tmp_path: Path) -> None:
    path = tmp_path / "operator.json"
    path.write_text('{"version": 2, "records": {"figures_every_ms": 5, "figure": 1}, "recrods": {}}')
    ended = run("settings", "check", path)
    assert ended.returncode == 2 and ended.stderr.count("\n") == 4
    for place in ("$.version:", "$.records.figures_every_ms:", "$.records.figure:", "$.recrods:"):
        assert f"{path}: {place}" in ended.stderr
    path.write_text('{"records": {"figures_every_ms": 500}}')
    ended = run("settings", "check", path)
    assert ended.returncode == 0 and "on: records" in ended.stdout


def test_a_backend_follows_its_operator_file_and_refuses_a_wrong_one(tmp_path: Path) -> None:
    path = tmp_path / "operator.json"
    path.write_text('{"records": {"figures_every_ms": 1}}')
    told = json.loads((ROOT / "deploy" / "example.json").read_text()) | {"listen": "127.62.0.1:7001"}
    (tmp_path / "n1.json").write_text(json.dumps(told))
    environment = os.environ | {"PROXY_CONFIG": str(tmp_path / "n1.json"), "CROWWING_OPERATOR": str(path)}
    words = [sys.executable, "-m", "crowwing"]
    ended = subprocess.run(words, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=30)
    assert ended.returncode == 2 and "$.records.figures_every_ms" in ended.stderr
    path.write_text('{"records": {"figures_every_ms": 200}}')
    with subprocess.Popen(words, cwd=ROOT, env=environment, stdout=subprocess.PIPE) as backend:
        lines = [json.loads(backend.stdout.readline()) for _ in range(4)]
        backend.terminate()
        backend.wait(30)
    figures = [line["at"] for line in lines if line["event"] == "figures"]
    assert len(figures) >= 2 and figures[1] - figures[0] < 4_000_000


def test_the_table_of_events_is_that_of_the_code_and_of_the_on_call_page() -> None:
    sources = [*(ROOT / "crowwing" / "program").glob("*.py"), *(ROOT / "crowwing" / "routing").glob("*.py")]
    sources += (ROOT / "crowwing" / "fleet").rglob("*.py")  # including subfolders
    text = "\n".join(path.read_text() for path in sources)
    named = set(re.findall(r'(?:\.event|\.write|\.events\.append)\(+\s*"(\w+)"', text))
    named |= {
        "ready",
        "unready",
        "control_lost",
        "control_back",
        "storm",
        "storm_over",
    }  # chosen by an expression within one call
    page = (ROOT / "docs" / "oncall.md").read_text().partition("| event |")[2].partition("\n\n")[0]
    rows = {name for row in page.splitlines()[2:] for name in re.findall(r"`(\w+)`", row.split("|")[1])}
    assert named == set(EVENTS) == rows
