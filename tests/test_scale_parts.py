"""Parts of the scale benchmark: locations of members, links between regions, figures from samples, the fit,
refusal of fleets that are too large, and that no started process is left behind.
"""

import json
import os
import random
import signal
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

import pytest

from benchmarks.scale import figures, fit, member_cost
from benchmarks.scale.page import render_page
from crowwing.emulator.fleet import member_access
from crowwing.emulator.fleet.mixed_fleet import MixedFleet, choose_real
from crowwing.emulator.fleet.topology import ZONES, LinkModel, RegionLinks, assign_locations
from crowwing.emulator.processes import ROOT


def test_members_are_dealt_evenly_to_five_regions_and_eleven_zones() -> None:
    at = assign_locations([f"m{n}" for n in range(5200)])
    zones = Counter(zone for _, zone in at.values())
    assert len(ZONES) == 5 and len(zones) == 11
    assert max(zones.values()) - min(zones.values()) <= 1
    assert {zone[:2] for zone in zones} == set(ZONES)
    assert all(zone.startswith(region) for region, zone in at.values())


def test_between_regions_takes_longer_and_a_cut_lets_nothing_through() -> None:
    links = RegionLinks(LinkModel(far=0.08, loss=0.0), random.Random(1))
    assert 0.0005 <= links.delay("r1", "r1") <= 0.002
    assert 0.0805 <= links.delay("r1", "r2") <= 0.082
    assert links.stream_delay("r1", "r2") == pytest.approx(0.32)
    links.partition([("r1", "r2")])
    for one, other in (("r1", "r2"), ("r2", "r1")):
        assert links.delay(one, other) is None and links.stream_delay(one, other) is None
    assert links.delay("r1", "r3") is not None and links.delay("r1", "r1") is not None
    links.heal()
    assert links.delay("r2", "r1") is not None


def test_loss_is_between_regions_only() -> None:
    links = RegionLinks(LinkModel(loss=0.2), random.Random(1))
    lost = sum(links.delay("r1", "r2") is None for _ in range(2000))
    assert 320 <= lost <= 480
    assert all(links.delay("r1", "r1") is not None for _ in range(500))


def test_real_members_are_speakers_and_others_in_turn_of_cells_that_lie_apart() -> None:
    names = [f"m{n}" for n in range(2600)]
    layout = member_access.layout(assign_locations(names), {})
    chosen = choose_real(member_access.cells(names, layout), 24)
    assert len(set(chosen)) == 24
    speak = [name in member_access.initial_speakers(layout) for name in chosen]
    assert speak == [True, False] * 12
    assert len({layout.cell_of[name] for name in chosen}) == 24
    assert len({layout.cell_of[name].split("/")[1] for name in chosen}) >= 9
    assert len(set(choose_real([names[:5], names[5:9]], 8))) == 8, "few cells: several of each"
    with pytest.raises(ValueError, match="10 members requested, but the fleet has fewer"):
        choose_real([names[:5], names[5:9]], 10)


# Figures


def sample(at_s: float, cpu_s: float, sent: int, pid: int = 1, used: float = 0.0, lag: float = 0.0) -> dict:
    counts = {"sent": sent, "sent_bytes": 100 * sent, "read": 0, "read_bytes": 0, "fetches": 0}
    one = {
        "pid": pid, "cpu_s": cpu_s, "rss_kb": 30_000, "hwm_kb": 31_000, "stream_bytes": 0, "speaks": False,
        "counts": counts,
    }  # fmt: skip
    hollow = {
        "on": 10, "ready": 10, "sums": counts | {"stream_bytes": 0}, "events": {}, "cpu_s": cpu_s,
        "cpu_each_s": [used], "lag_s": lag, "lag_used_s": 0.0, "most_bytes_s": 0.0, "most_datagrams_s": 0.0,
        "speakers": 0, "speakers_bytes_s": 0.0, "took_ms": [],
    }  # fmt: skip
    return {"at_s": at_s, "real": {"m0": one}, "hollow": hollow}


def test_the_worst_minute_is_the_busiest_sixty_seconds_and_not_the_busiest_bin() -> None:
    cpu = [0.0, 0.1, 0.2, 2.2, 2.3, 2.4, 2.5, 2.6, 2.7, 2.8, 2.9, 3.0, 3.1]  # 2 s in one bin of 10 s
    told = figures.summarize_phase([sample(10.0 * n, used, 0) for n, used in enumerate(cpu)], at_rest=False)
    assert told["real"]["cpu_ms_s"]["most"] == pytest.approx(1000 * 2.5 / 60)
    whole = figures.summarize_phase([sample(10.0 * n, used, 0) for n, used in enumerate(cpu)], at_rest=True)
    assert whole["real"]["cpu_ms_s"]["most"] == pytest.approx(1000 * 3.1 / 120)


def test_bytes_are_payload_and_each_datagram_has_a_header_on_the_wire() -> None:
    told = figures.summarize_phase([sample(0.0, 0.0, 0), sample(60.0, 0.0, 120)], at_rest=False)
    assert told["real"]["bytes_s"]["median"] == 200
    assert told["real"]["wire_bytes_s"]["median"] == 200 + 28 * 2
    assert told["hollow"]["bytes_s"] == 20, "of one of ten members"


def test_a_backend_that_was_started_again_has_no_rate_across_its_end() -> None:
    samples = [sample(0.0, 5.0, 500), sample(60.0, 1.0, 10, pid=2), sample(120.0, 1.6, 70, pid=2)]
    told = figures.summarize_phase(samples, at_rest=False)
    assert told["real"]["cpu_ms_s"]["most"] == pytest.approx(10.0)


@pytest.mark.parametrize(("used", "lag", "kept"), [(5.0, 0.1, True), (9.8, 0.1, False), (5.0, 0.6, False)])
def test_a_hollow_process_that_is_full_or_late_is_not_in_step(used: float, lag: float, kept: bool) -> None:
    told = figures.check_pace([sample(0.0, 0.0, 0), sample(10.0, 0.0, 0, used=used, lag=lag)])
    assert told["kept"] is kept


# The fit and the written results


def run(size: int, seed: int, cpu: float, kept: bool = True) -> dict:
    phase = figures.summarize_phase([sample(0.0, 0.0, 0), sample(60.0, cpu, 60)], at_rest=True)
    phase["step"]["kept"] = kept
    return {
        "mode": "cells", "size": size, "seed": seed, "load": 1.0, "stopped": None,
        "scripts": {"rest": phase | {"found": {}}},
    }  # fmt: skip


def test_slopes_are_fitted_for_each_seed_and_late_runs_left_out(tmp_path: Path) -> None:
    runs = [run(size, seed, 0.06 * (5 + seed * size / 1000)) for size in (100, 1000) for seed in (1, 2, 3)]
    runs.append(run(5200, 1, 60.0, kept=False))
    found = fit.summary(runs)
    rest = found["fits"]["cells"]["rest"]["real_cpu_ms_s"]
    assert rest["late"] == [5200] and set(rest["sizes"]) == {"100", "1000"}
    line = rest["fit"]
    assert line["per_1000"] == pytest.approx(2.0, rel=1e-3) and line["at_0"] == pytest.approx(5.0, rel=1e-3)
    assert (line["per_1000_least"], line["per_1000_most"]) == pytest.approx((1.0, 3.0), rel=1e-3)
    assert "| cells | rest |" in render_page(found) and "not in step" in render_page(found)


def test_one_key_of_the_shared_file_is_written_and_the_others_stay(tmp_path: Path) -> None:
    file = tmp_path / "scale.json"
    file.write_text(json.dumps({"backend": {"figures": 1}, "fleet": {"old": True}}))
    fit.write_key(file, "fleet", {"runs": []})
    assert json.loads(file.read_text()) == {"backend": {"figures": 1}, "fleet": {"runs": []}}


# Refusals and leftover processes


def test_a_run_over_half_of_the_machines_memory_is_refused() -> None:
    weight = member_cost.MemberCost(member_kb=100.0, build_s=0.001)
    takes = member_cost.estimate_run_kb(1000, 24, 4, weight)
    assert takes > 976 * 125 + 24 * 32_000
    assert member_cost.check_memory(1000, 24, 4, weight, 2 * takes + 2) == takes
    with pytest.raises(member_cost.RunTooLargeError, match="1000 members would take"):
        member_cost.check_memory(1000, 24, 4, weight, 2 * takes - 2)


def test_the_command_refuses_a_fleet_that_is_too_large_before_it_begins(tmp_path: Path) -> None:
    began = time.monotonic()
    words = [sys.executable, "-m", "benchmarks.scale", "--flat", "--sizes", "40000", "--script", "rest"]
    ended = subprocess.run([*words, "--out", str(tmp_path)], cwd=ROOT, capture_output=True, timeout=120)
    assert ended.returncode == 1 and b"members would take" in ended.stdout
    assert time.monotonic() - began < 60
    told = json.loads(next(tmp_path.glob("*.json")).read_text())
    assert told["scripts"] == {} and "half" not in told["mode"] and told["stopped"]


def children_of(pid: int) -> set[int]:
    found = set()
    for entry in Path("/proc").glob("[0-9]*/stat"):
        try:
            if int(entry.read_text().rpartition(")")[2].split()[1]) == pid:
                found.add(int(entry.parent.name))
        except OSError:
            continue
    return found


def runs_still(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


@pytest.mark.parametrize("how", [signal.SIGTERM, signal.SIGINT, signal.SIGKILL])
def test_whatever_ends_the_run_no_process_stays(tmp_path: Path, how: signal.Signals) -> None:
    words = [sys.executable, "-m", "benchmarks.scale", "--cells", "--sizes", "40", "--script", "rest"]
    parent = subprocess.Popen([*words, "--out", str(tmp_path)], cwd=ROOT, stderr=subprocess.DEVNULL)
    try:
        until = time.monotonic() + 60
        while len(started := children_of(parent.pid)) < 22 and time.monotonic() < until:
            time.sleep(0.1)  # 20 real backends, the one without a fleet, a stub process
        assert len(started) >= 22
        parent.send_signal(how)
        parent.wait(timeout=30)
    finally:
        parent.kill()
        parent.wait()
    until = time.monotonic() + 10
    while any(map(runs_still, started)) and time.monotonic() < until:
        time.sleep(0.05)
    assert not [pid for pid in started if runs_still(pid)]


def test_a_rig_that_cannot_start_ends_what_it_started(tmp_path: Path) -> None:
    before = children_of(os.getpid())
    with MixedFleet(tmp_path / "one", 8, 2, 1) as one:
        other = MixedFleet(tmp_path / "two", 8, 2, 1)
        other.stub_addresses = one.stub_addresses  # taken
        with pytest.raises(ChildProcessError, match="hollow-0: has ended"):
            other.__enter__()
    assert children_of(os.getpid()) <= before
