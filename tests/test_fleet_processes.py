"""Membership of real backends with faults injected between them by the relay."""

import os
import socket
import subprocess
import sys
from pathlib import Path

import orjson
import pytest

from crowwing.emulator.fleet import process_fleet
from crowwing.emulator.fleet.process_fleet import ProcessFleet, free_port
from crowwing.emulator.processes import ROOT

FAST = {"period_ms": 200, "probe_timeout_ms": 60}


def agree(rig: ProcessFleet, expected: set[str]) -> bool:
    return all(rig.alive_in(name) == expected for name in expected)


def test_no_member_is_assigned_a_port_of_the_relay(tmp_path: Path) -> None:
    with ProcessFleet(tmp_path, 20, seed=6, faults=[], **FAST) as rig:
        mine = [port for _, port in rig.fleet_addresses.values()]
        assert len(set(mine)) == 20 and not set(mine) & set(rig.relay.ports.values())
        everyone = set(rig.names)
        assert rig.until(lambda: agree(rig, everyone), 20) is not None


def test_no_member_is_given_an_address_reserved_for_another(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig = ProcessFleet(tmp_path, 4, 6, [], **FAST)
    rig.connect()
    # The system may return a port as free that m3 has not bound yet.
    monkeypatch.setattr(process_fleet, "free_port", lambda kind, host="": rig.fleet_addresses["m3"][1])
    told = [[orjson.loads(path.read_bytes()) for path in rig._write_files(name)] for name in rig.names]
    rig.end()
    every = [one["listen"] for one, _ in told] + [one["agent"] for one, _ in told]
    every += [operator["fleet"]["listen"] for _, operator in told]
    assert len(set(every)) == 12


def test_a_wait_ends_with_the_error_of_a_member_that_could_not_start(tmp_path: Path) -> None:
    rig = ProcessFleet(tmp_path, 3, 6, [], **FAST)
    rig.connect()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        taken.bind(rig.fleet_addresses["m2"])
        for name in rig.names:
            rig.launch(name)
        try:
            with pytest.raises(
                process_fleet.MemberExitedError, match="m2 ended with 1: .*fleet.: could not bind"
            ):
                rig.until(lambda: False, 20)
        finally:
            rig.end()


def test_a_killed_member_is_detected_by_all_and_comes_back_after_a_restart(tmp_path: Path) -> None:
    with ProcessFleet(tmp_path, 5, seed=1, faults=[], **FAST) as rig:
        everyone = set(rig.names)
        assert rig.until(lambda: agree(rig, everyone), 15) is not None
        rig.kill("m2")
        assert rig.until(lambda: agree(rig, everyone - {"m2"}), 20) is not None
        rig.launch("m2")

        def back() -> bool:
            """All consider it alive at its own incarnation; a passing suspicion is waited out."""
            views = [rig.view(name) for name in everyone - {"m2"}]
            seen = [one for view in views if view for one in view["members"] if one["name"] == "m2"]
            return len(seen) == 4 and all(one["state"] == "alive" and one["incarnation"] >= 1 for one in seen)

        assert rig.until(lambda: agree(rig, everyone) and back(), 20) is not None


def test_a_paused_member_is_suspected_and_refutes_it_afterwards(tmp_path: Path) -> None:
    with ProcessFleet(tmp_path, 4, seed=2, faults=[], **FAST) as rig:
        everyone = set(rig.names)
        assert rig.until(lambda: agree(rig, everyone), 15) is not None
        rig.pause("m1")
        assert rig.until(lambda: all(rig.alive_in(n) == everyone - {"m1"} for n in everyone - {"m1"}), 20)
        rig.resume("m1")
        assert rig.until(lambda: agree(rig, everyone), 20) is not None
        assert rig.view("m1")["incarnation"] >= 1


def test_both_sides_of_a_partition_lose_each_other_and_agree_again_after_it(tmp_path: Path) -> None:
    left, right = ["m0", "m1"], ["m2", "m3", "m4"]
    with ProcessFleet(tmp_path, 5, seed=3, faults=[], **FAST) as rig:
        everyone = set(rig.names)
        assert rig.until(lambda: agree(rig, everyone), 15) is not None
        cut = rig.relay.impose(
            [{"kind": "cut", "from": left, "to": right}, {"kind": "cut", "from": right, "to": left}]
        )
        assert rig.until(lambda: agree(rig, set(left)) and agree(rig, set(right)), 20) is not None
        rig.relay.lift(cut)
        assert rig.until(lambda: agree(rig, everyone), 20) is not None


def test_members_behind_a_one_way_partition_detect_a_death_and_it_heals(tmp_path: Path) -> None:
    with ProcessFleet(tmp_path, 4, seed=5, faults=[], **FAST) as rig:
        everyone = set(rig.names)
        assert rig.until(lambda: agree(rig, everyone), 15) is not None
        # M0 receives everything, and nobody receives from it
        cut = rig.relay.impose([{"kind": "cut", "from": ["m0"]}])
        assert rig.until(lambda: all("m0" not in rig.alive_in(n) for n in everyone - {"m0"}), 20) is not None
        rig.relay.lift(cut)
        assert rig.until(lambda: agree(rig, everyone), 20) is not None


def test_loss_delay_duplicates_and_reordering_cause_no_false_deaths(tmp_path: Path) -> None:
    link_faults = [
        {"kind": "loss", "size": 0.1},
        {"kind": "delay", "size": 5, "jitter_ms": 10},
        {"kind": "duplicate", "size": 0.05},
        {"kind": "reorder", "size": 0.1, "jitter_ms": 20},
    ]
    with ProcessFleet(tmp_path, 5, seed=4, faults=link_faults, **FAST) as rig:
        everyone = set(rig.names)
        assert rig.until(lambda: agree(rig, everyone), 15) is not None
        assert rig.until(lambda: False, 6) is None  # six seconds, about thirty periods
        assert agree(rig, everyone)
    assert not [line for line in rig.history() if line["event"] == "member" and line["state"] == "dead"]
    assert rig.relay.counts["dropped"] > 0


def start(tmp_path: Path, fleet: dict, name: str = "n1") -> subprocess.CompletedProcess:
    operator = tmp_path / "operator.json"
    operator.write_bytes(orjson.dumps({"version": 1, "fleet": fleet}))
    environment = os.environ | {
        "PROXY_CONFIG": str(ROOT / "deploy" / "example.json"), "CROWWING_OPERATOR": str(operator),
        "PROXY_LISTEN": f"127.0.0.1:{free_port(socket.SOCK_STREAM)}", "PYTHONPATH": str(ROOT),
    }  # fmt: skip
    command = [sys.executable, "-O", "-m", "crowwing"]
    return subprocess.run(command, env=environment, capture_output=True, timeout=20, cwd=ROOT, check=False)


@pytest.mark.parametrize(
    ("fleet", "expected_text"),
    [
        (
            {"listen": "127.0.0.1:7946", "peers": [{"name": "n1", "address": "127.0.0.1:7947"}]},
            "peers[0].name",
        ),
        ({"listen": "::1:7946", "peers": [{"name": "n2", "address": "127.0.0.1:7947"}]}, "$.fleet.listen"),
        ({"listen": "127.0.0.1:7946", "peers": [{"name": "n2", "address": "peer:7947"}]}, "peers[0].address"),
        (
            {
                "listen": "127.0.0.1:7946",
                "peers": [{"name": "n2", "address": "127.0.0.1:1"}],
                "period_ms": 100,
            },
            "probe_timeout_ms",
        ),
        ({"listen": "127.0.0.1:7946", "peers": []}, "$.fleet.peers"),
        (
            {
                "listen": "127.0.0.1:7946",
                "peers": [{"name": "n2", "address": "127.0.0.1:1"}],
                "shares_prints": True,
            },
            "$.fleet.shares_prints",
        ),
    ],
)
def test_wrong_fleet_settings_give_one_line_and_exit_2(
    tmp_path: Path, fleet: dict, expected_text: str
) -> None:
    ended = start(tmp_path, fleet)
    lines = ended.stderr.decode().splitlines()
    assert ended.returncode == 2 and len(lines) == 1 and expected_text in lines[0], lines
    assert not ended.stdout


def test_a_fleet_address_in_use_gives_one_line_and_exit_1(tmp_path: Path) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        taken.bind(("127.0.0.1", 0))
        port = taken.getsockname()[1]
        ended = start(
            tmp_path, {"listen": f"127.0.0.1:{port}", "peers": [{"name": "n2", "address": "127.0.0.1:9"}]}
        )
    lines = ended.stderr.decode().splitlines()
    assert ended.returncode == 1 and len(lines) == 1 and f"{port} (fleet)" in lines[0], lines


def test_a_member_counts_datagrams_and_fetches(tmp_path: Path) -> None:
    with ProcessFleet(tmp_path, 3, seed=8, faults=[], **FAST) as rig:
        everyone = set(rig.names)
        assert rig.until(lambda: agree(rig, everyone), 20) is not None
        begun = [rig.ask(name, k="counts") for name in rig.names]
        assert rig.until(lambda: False, 3) is None
        counts = [rig.ask(name, k="counts") for name in rig.names]
        # Each fetched from the two other members
        assert all(one["fetches"] >= 2 for one in counts)
        sent = sum(now["sent"] - then["sent"] for now, then in zip(counts, begun, strict=True))
        read = sum(now["read"] - then["read"] for now, then in zip(counts, begun, strict=True))
        periods = sum(now["periods"] - then["periods"] for now, then in zip(counts, begun, strict=True))
        assert periods >= 15 and sent >= 2 * periods  # at least a ping and its ack
        assert abs(sent - read) <= 12  # all but datagrams in flight and our own requests
        assert all(one["read_bytes"] > 20 * one["read"] for one in counts)
        assert all(one["sent_bytes"] > 20 * one["sent"] for one in counts)
        seen = rig.view("m0")
        assert seen["sent"] >= counts[0]["sent"] and seen["read_bytes"] >= counts[0]["read_bytes"]
