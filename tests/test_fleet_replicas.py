"""Replicated state of real backends under faults: catch-up, snapshots, clocks, idempotency keys."""

import json
import os
import signal
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

import orjson
import pytest

from crowwing.emulator.fleet import fault_run, history_check
from crowwing.emulator.fleet.process_fleet import ProcessFleet
from crowwing.emulator.processes import ROOT
from crowwing.memory import snapshot

FAST = {
    "period_ms": 200, "probe_timeout_ms": 60, "sync_every_ms": 200, "catch_up_most_ms": 4000,
    "snapshot_every_ms": 200,
}  # fmt: skip


def whole(rig: ProcessFleet, names: set[str] | None = None) -> bool:
    views = [rig.view(name) for name in names or rig.names]
    return all(view is not None and view["whole"] for view in views)


def put(rig: ProcessFleet, name: str, key: str, value: object = 1) -> bool:
    answer = rig.ask(name, 4, k="put", key=key, value=value, wait_ms=3000)
    return answer is not None and answer["acked"]


def agreed(rig: ProcessFleet) -> bool:
    views = [rig.state(name, "said/") for name in rig.names]
    return all(view is not None and view["rows"] == views[0]["rows"] for view in views)


def told(rig: ProcessFleet, name: str, event: str) -> list[dict]:
    return [line for line in rig.history() if line["backend"] == name and line["event"] == event]


def test_a_killed_member_is_not_ready_until_it_holds_all_acknowledged_updates(tmp_path: Path) -> None:
    with ProcessFleet(tmp_path, 5, 11, [], **FAST) as rig:
        assert rig.until(lambda: whole(rig), 20) is not None
        rig.kill("m2")
        assert all(put(rig, "m0", f"said/{n}", n) for n in range(60))
        rig.launch("m2")
        assert rig.until(lambda: whole(rig, {"m2"}), 20) is not None
        assert {row[0]: row[1] for row in rig.state("m2", "said/")["rows"]} == {
            f"said/{n}": n for n in range(60)
        }
    last = told(rig, "m2", "caught_up")[-1]
    assert last["whole"] and last["entries"] == 60


def test_a_partitioned_member_serves_then_catches_up_and_the_others_stay_ready(tmp_path: Path) -> None:
    with ProcessFleet(tmp_path, 5, 12, [], **FAST) as rig:
        assert rig.until(lambda: whole(rig), 20) is not None
        cut = rig.relay.impose([{"kind": "cut", "from": ["m1"]}, {"kind": "cut", "to": ["m1"]}])
        assert rig.until(lambda: len(rig.alive_in("m1")) == 1, 20) is not None
        assert not put(rig, "m1", "said/alone") and put(rig, "m0", "said/most")
        assert rig.until(lambda: not rig.view("m1")["whole"], 10) is not None
        assert rig.view("m1")["ready"], "partitioned, it continues to serve"
        rig.relay.lift(cut)
        assert rig.until(lambda: whole(rig) and agreed(rig), 20) is not None
        assert {row[0] for row in rig.state("m3", "said/")["rows"]} == {"said/alone", "said/most"}
    assert told(rig, "m1", "catching_up")
    assert not any(told(rig, name, "catching_up") for name in ("m0", "m2", "m3", "m4"))


def test_a_fleet_that_stops_completely_recovers_its_state_from_snapshots(tmp_path: Path) -> None:
    with ProcessFleet(tmp_path, 3, 13, [], **FAST) as rig:
        for name in rig.names:
            rig.operator_overrides[name] = {"snapshot_folder": str(tmp_path)}
            rig.kill(name)
            rig.launch(name)
        assert rig.until(lambda: whole(rig), 20) is not None
        assert put(rig, "m0", "said/kept", "long")
        files = [snapshot.path_of(tmp_path, name) for name in rig.names]
        kept = lambda file: file.exists() and b"said/kept" in file.read_bytes()  # noqa: E731
        assert rig.until(lambda: all(map(kept, files)), 10) is not None
        for name in rig.names:
            rig.kill(name)
        files[2].write_bytes(files[2].read_bytes()[:-3])  # and one of the snapshots is corrupt
        for name in rig.names:
            rig.launch(name)
        assert rig.until(lambda: whole(rig) and agreed(rig), 20) is not None
        assert rig.state("m2", "said/")["rows"][0][1] == "long"
    assert told(rig, "m2", "snapshot_unused") and told(rig, "m0", "snapshot_read")[-1]["kept"] == 1


def test_a_drain_writes_a_snapshot(tmp_path: Path) -> None:
    with ProcessFleet(tmp_path, 3, 14, [], **(FAST | {"snapshot_every_ms": 600_000})) as rig:
        rig.operator_overrides["m0"] = {"snapshot_folder": str(tmp_path)}
        rig.kill("m0")
        rig.launch("m0")
        assert rig.until(lambda: whole(rig), 20) is not None and put(rig, "m1", "said/x")
        assert rig.until(lambda: agreed(rig), 10) is not None
        rig.children["m0"].send_signal(signal.SIGTERM)
        assert rig.children["m0"].wait(20) == 0
    assert [row[0] for row in snapshot.read(tmp_path, "m0").rows] == ["said/x"]


def test_a_clock_two_seconds_off_loses_nothing_and_does_not_outrank_for_long(tmp_path: Path) -> None:
    with ProcessFleet(tmp_path, 4, 15, [], **FAST) as rig:
        rig.kill("m1")
        rig.launch("m1", clock_offset_ms=-2000)
        rig.kill("m3")
        rig.launch("m3", clock_offset_ms=2000)
        assert rig.until(lambda: whole(rig), 20) is not None
        for n, name in enumerate(["m3", "m1", "m0", "m1"]):
            assert put(rig, name, "said/x", n)
            assert rig.until(lambda: agreed(rig), 10) is not None
        assert rig.state("m2", "said/")["rows"][0][1] == 3, "the last write, though its clock is behind"


def test_a_truncated_fetch_stores_nothing_and_is_retried(tmp_path: Path) -> None:
    with ProcessFleet(tmp_path, 3, 16, [], **FAST) as rig:
        assert rig.until(lambda: whole(rig), 20) is not None
        assert all(put(rig, "m0", f"said/{n}", "z" * 400) for n in range(150))
        rig.kill("m2")
        rough = rig.relay.impose(
            [{"kind": "loss", "size": 0.5}, {"kind": "delay", "size": 30, "jitter_ms": 60}]
        )
        rig.launch("m2")
        rig.until(lambda: rig.relay.counts["streams"] > 4, 10)
        rig.kill("m1")  # while it may be serving a transfer
        rig.launch("m1")
        rig.relay.lift(rough)
        assert rig.until(lambda: whole(rig) and agreed(rig), 30) is not None
        assert len(rig.state("m2", "said/")["rows"]) == 150


def test_a_key_is_granted_once_across_the_fleet_through_a_partition(tmp_path: Path) -> None:
    with ProcessFleet(tmp_path, 5, 17, [], **FAST) as rig:
        assert rig.until(lambda: whole(rig), 20) is not None

        def claim(name: str, label: str) -> str:
            answer = rig.ask(name, 3, k="claim", label=label, window_ms=5000)
            return "none" if answer is None else answer["claimed"]

        rig.until(lambda: claim("m0", "first") == "ours", 30)  # all homes have run for longer than the window
        granted: Counter[str] = Counter()

        def asked_by_all(label: str) -> bool:
            """A claim whose homes answer too late (a busy machine) is released: it is repeated."""
            for name in rig.names:
                granted[label] += claim(name, label) == "ours"
            return granted[label] > 0

        for n in range(20):
            assert rig.until(lambda label=f"calm{n}": asked_by_all(label), 30) is not None
            asked_by_all(f"calm{n}")  # claimed again by all: the owner stays the same
        assert set(granted.values()) == {1}
        cut = rig.relay.impose(
            [{"kind": "cut", "from": ["m0", "m1"], "to": ["m2", "m3", "m4"]},
             {"kind": "cut", "from": ["m2", "m3", "m4"], "to": ["m0", "m1"]}]
        )  # fmt: skip
        seen: Counter[str] = Counter()
        for n in range(6):
            answers = [claim(name, f"cut{n}") for name in ("m0", "m2", "m4")]
            seen.update(answers)
            assert answers.count("ours") <= 1, answers
        rig.relay.lift(cut)
        assert seen["ours"] and seen["unsure"]


def test_malformed_streams_and_requests_are_harmless(tmp_path: Path) -> None:
    import socket

    with ProcessFleet(tmp_path, 3, 18, [], **FAST) as rig:
        assert rig.until(lambda: whole(rig), 20) is not None
        for garbage in (
            b"\0" * 100,
            b"{}\n",
            b'{"from":"m1","leaves":[1]}\n',
            b'{"from":"x","leaves":[]}\n',
            b"[]\n",
        ):
            with socket.create_connection(rig.fleet_addresses["m0"], 5) as stream:
                stream.sendall(garbage)
                stream.shutdown(socket.SHUT_WR)
                assert stream.recv(100) == b""
        for asked in (
            {"k": "put"},
            {"k": "put", "key": 7},
            {"k": "what"},
            {"k": "state", "after": []},
            {"k": None},
        ):
            rig.ask("m0", 0.1, **asked)
        assert rig.ask("m0", k="put", key="use/x/1/m0.aa", value=5)["why"]
        assert rig.ask("m0", k="put", key="said/x", value="z" * 600)["why"]
        assert put(rig, "m0", "said/good")
        assert not [line for line in rig.history() if line["event"] in ("defect", "stray_defect")]


def test_the_command_line_shows_members_and_state_and_puts_an_entry(tmp_path: Path) -> None:
    def fleet(*words: str) -> subprocess.CompletedProcess:
        command = [sys.executable, "-m", "crowwing", "fleet", *words]
        return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=30)

    with ProcessFleet(tmp_path, 3, 19, [], **FAST) as rig:
        assert rig.until(lambda: whole(rig), 20) is not None
        at, other = ("{}:{}".format(*rig.fleet_addresses[name]) for name in ("m0", "m1"))
        assert fleet("put", at, "said/incident", '"db slow"').stdout == "held by a majority\n"
        assert fleet("mark", at, "mark/out/m9").returncode == 0
        assert fleet("mark", other, "mark/out/m9", "--out").returncode == 0
        shown = json.loads(fleet("state", other, "--prefix", "said/", "--json").stdout)
        assert shown["rows"][0][:2] == ["said/incident", "db slow"]
        assert "said/incident" in fleet("state", at).stdout and "m2" in fleet("members", at).stdout
        assert {m["name"] for m in json.loads(fleet("members", at, "--json").stdout)["members"]} == {
            "m1",
            "m2",
        }
        assert fleet("put", at, "lesson/x", "1").returncode == 2
        assert fleet("put", at, "said/x", "{").returncode == 2
        assert fleet("members", "::1:5").returncode == 2
        rig.kill("m1")
        rig.kill("m2")
        alone = fleet("put", at, "said/alone", "1", "--wait-s", "0.3")
        assert alone.returncode == 1 and len(alone.stderr.splitlines()) == 1
    assert fleet("members", at, "--wait-s", "0.3").returncode == 1


def test_an_unwritable_snapshot_folder_gives_one_line_and_exit_2(tmp_path: Path) -> None:
    file = tmp_path / "file"
    file.write_text("")
    for place in (tmp_path / "none", file):
        operator = {"listen": "127.0.0.1:7946", "peers": [{"name": "n2", "address": "127.0.0.1:7947"}]}
        path = tmp_path / "operator.json"
        path.write_bytes(orjson.dumps({"fleet": operator | {"snapshot_folder": str(place)}}))
        environment = os.environ | {
            "PROXY_CONFIG": str(ROOT / "deploy" / "example.json"), "CROWWING_OPERATOR": str(path),
        }  # fmt: skip
        ended = subprocess.run(
            [sys.executable, "-O", "-m", "crowwing"],
            env=environment,
            capture_output=True,
            timeout=20,
            cwd=ROOT,
        )
        lines = ended.stderr.decode().splitlines()
        assert ended.returncode == 2 and len(lines) == 1 and "$.fleet.snapshot_folder" in lines[0], lines
        assert not ended.stdout


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_random_script_of_faults_loses_no_acknowledged_update_and_ends_in_agreement(
    tmp_path: Path, seed: int
) -> None:
    found = fault_run.FaultRun(tmp_path, fault_run.make_plan(seed, 5, 5.0)).run()
    assert found.lost == [] and found.differing == [] and found.converged_s is not None
    assert found.acknowledged > 0.5 * found.asked
    kept = {path.name for path in tmp_path.iterdir()}
    assert {"play.json", "history.jsonl", "found.json", "m0.log"} <= kept


def test_a_run_is_replayed_from_its_folder_and_a_wrong_folder_is_named(tmp_path: Path) -> None:
    first, again = tmp_path / "first", tmp_path / "again"
    fault_run.FaultRun(first, fault_run.make_plan(5, 3, 2.0)).run()
    fault_run.replay(first, again)
    one, two = (orjson.loads((folder / "play.json").read_bytes()) for folder in (first, again))
    assert one["asks"] == two["asks"] and one["offsets"] == two["offsets"]
    plain = [{k: v for k, v in fault.items() if k not in ("as", "on")} for fault in two["faults"]]
    assert plain == [{k: v for k, v in fault.items() if k not in ("as", "on")} for fault in one["faults"]]
    command = [sys.executable, "-m", "crowwing", "fleet", "replay", str(tmp_path)]
    ended = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=30)
    assert ended.returncode == 2 and "play.json" in ended.stderr


def test_neither_an_interrupted_nor_a_failing_run_leaves_a_process(tmp_path: Path) -> None:
    def ours() -> list[int]:
        """Backends whose configuration is in this test's folder."""
        found = []
        for place in Path("/proc").glob("[0-9]*/environ"):
            try:
                if str(tmp_path).encode() in place.read_bytes():
                    found.append(int(place.parent.name))
            except OSError:
                continue  # ended meanwhile, or not readable
        return found

    command = [
        sys.executable,
        "-m",
        "crowwing",
        "fleet",
        "play",
        "--size",
        "3",
        "--out",
        str(tmp_path / "out"),
    ]
    with subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, text=True) as player:
        deadline = time.monotonic() + 20
        while len(ours()) < 3 and time.monotonic() < deadline:
            time.sleep(0.05)
        assert len(ours()) >= 3
        player.send_signal(signal.SIGINT)
        said = player.communicate(timeout=30)[1]
    assert player.returncode == 1 and len(said.splitlines()) == 1, said
    assert ours() == []
    with pytest.raises(ZeroDivisionError), ProcessFleet(tmp_path / "fails", 3, 20, [], **FAST):
        assert len(ours()) >= 3
        raise ZeroDivisionError
    assert ours() == []


def test_the_checker_reports_lost_and_differing_entries_and_accepts_replacements() -> None:
    said = ["said/x", 1, 5, 0, "a", 99]
    later, earlier = ["said/x", 2, 6, 0, "b", 99], ["said/x", 0, 4, 9, "z", 99]
    put_in, out = ["mark/s/m/1", True, 5, 0, "a", 99], ["mark/s/m/1", False, 6, 0, "b", 99]
    history = [
        {"event": "asked"}, {"event": "answered", "acked": True, "rows": [said]},
        {"event": "asked"}, {"event": "answered", "acked": False, "rows": [["said/y", 1, 1, 0, "a", 9]]},
    ]  # fmt: skip
    good = history_check.check(history, {"a": [said], "b": [said]}, 0.5)
    assert (good.asked, good.acknowledged, good.lost, good.differing) == (2, 1, [], [])
    assert history_check.check(history, {"a": [later], "b": [later]}, 0.5).lost == []
    assert history_check.check(history, {"a": [said], "b": []}, 0.5).lost == ["said/x at b"]
    assert history_check.check(history, {"a": [said], "b": [earlier]}, None).lost == ["said/x at b"]
    assert history_check.check(history, {"a": [said], "b": [later]}, None).differing == ["said/x"]
    assert history_check.outranked(put_in, out) and not history_check.outranked(out, put_in)
    assert not history_check.outranked(out, None)
