"""Real backends in cells with faults between them: reachability, fleet-wide state, and the cost of faults."""

import json
import socket
import subprocess
import sys
from pathlib import Path

import orjson

from crowwing.emulator.fleet.process_fleet import ProcessFleet
from crowwing.emulator.processes import ROOT
from crowwing.fleet.membership.cells import CellLayout

FAST = {
    "period_ms": 200, "probe_timeout_ms": 100, "sync_every_ms": 250, "catch_up_most_ms": 3000, "cell_most": 8,
}  # fmt: skip
MOST = 40  # s, limit of any wait
# Two cells of four in two regions, and a cell of one in the region of the first.
PLACES = {f"m{n}": ("west", "w1") if n < 4 else ("east", "e1") for n in range(8)} | {"m8": ("west", "w2")}
LAYOUT = CellLayout(PLACES, 8)
WEST, EAST, ALONE = "west/w1/", "east/e1/", "west/w2/"


def started(folder: Path, seed: int) -> ProcessFleet:
    return ProcessFleet(folder, len(PLACES), seed, [], PLACES, **FAST)


def views(rig: ProcessFleet, names: set[str]) -> dict[str, dict]:
    """Leaves out members that do not answer."""
    seen = {name: rig.view(name) for name in sorted(names)}
    return {name: view for name, view in seen.items() if view is not None}


def agree(rig: ProcessFleet, names: set[str], out: dict[str, list[str]] | None = None) -> bool:
    """Each of these considers alive just the members of its cell, and unreachable what `out` says for its
    cell."""
    seen = views(rig, names)
    for name, view in seen.items():
        alive = {m["name"] for m in view["members"] if m["state"] in ("alive", "suspect")} | {name}
        cell = LAYOUT.cell_of[name]
        if alive != names & set(LAYOUT.rosters[cell]) or view["out"] != (out or {}).get(cell, []):
            return False
        if tuple(view["speakers"]) != LAYOUT.speakers(cell, alive):
            return False
        if not view["whole"] and 2 * len(alive) > len(LAYOUT.rosters[cell]):
            return False  # a minority of a cell may be behind
    return len(seen) == len(names)


def put(rig: ProcessFleet, name: str, key: str) -> bool:
    answer = rig.ask(name, 6, k="put", key=key, value=1, wait_ms=5000)
    return answer is not None and answer["acked"]


def hold(rig: ProcessFleet, names: set[str], *keys: str) -> bool:
    held = [rig.state(name, "said/") for name in sorted(names)]
    return all(page is not None and {row[0] for row in page["rows"]} >= set(keys) for page in held)


def lines(rig: ProcessFleet, event: str, since: int = 0) -> list[dict]:
    return [line for line in rig.history() if line["event"] == event][since:]


def cut(rig: ProcessFleet, one: set[str], other: set[str]) -> list:
    """In both directions."""
    few, rest = sorted(one), sorted(other)
    ways = [{"kind": "cut", "from": few, "to": rest}, {"kind": "cut", "from": rest, "to": few}]
    return rig.relay.impose(ways)


def nobody_of_another_cell(rig: ProcessFleet) -> None:
    """Only members of its own cell are listed by name."""
    for line in lines(rig, "member"):
        assert LAYOUT.cell_of[line["name"]] == LAYOUT.cell_of[line["backend"]], line


def fleet_command(*words: str) -> subprocess.CompletedProcess:
    command = [sys.executable, "-m", "crowwing", "fleet", *words]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=30)


def test_members_know_their_cell_and_a_change_made_anywhere_reaches_all(tmp_path: Path) -> None:
    with started(tmp_path, 41) as rig:
        everyone = set(rig.names)
        assert rig.until(lambda: agree(rig, everyone), MOST) is not None
        assert all(put(rig, name, f"said/{name}") for name in rig.names)
        assert rig.until(lambda: hold(rig, everyone, *(f"said/{name}" for name in rig.names)), MOST)

        def told() -> bool:
            """A speaker has received the status of every other cell."""
            view = rig.view(LAYOUT.rosters[WEST][0])
            return view is not None and view["cells"][EAST] is not None and view["cells"][ALONE] is not None

        assert rig.until(told, MOST) is not None
        view = rig.view(LAYOUT.rosters[WEST][0])
        assert view["cell"] == WEST and set(view["cells"]) == {WEST, EAST, ALONE}
        assert view["cells"][EAST][:2] == [4, 4] and view["cells"][ALONE][:2] == [1, 1]
        assert {m["name"] for m in view["members"]} == set(LAYOUT.peers(view["me"]))
        # Messages from unknown members, or from other cells as of this cell, change nothing.
        before = view
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stray:
            for message in (
                {"k": 0, "from": "x", "inc": 9, "seq": 1, "cell": 1, "news": [[EAST, "dead", 9, WEST]]},
                {"k": 1, "from": view["members"][0]["name"], "inc": 99, "seq": 1, "cell": 1},
                {"k": 0, "from": "m5", "inc": 99, "seq": 1, "cell": 1, "row": [1]},
                {"k": 0, "from": "m5", "inc": 99, "seq": 1, "cell": 1, "news": [[EAST, "asleep", 9, WEST]]},
                {"k": 1, "from": "m5", "inc": 99, "seq": 1, "news": [["m0", "dead", 99, "m5"]]},
                {"k": 13, "from": "m5", "rows": [["said/evil", 1, 1, 0, "m5", 9 * 10**15]]},
            ):
                stray.sendto(orjson.dumps(message), rig.fleet_addresses[view["me"]])
        assert rig.until(lambda: sum(rig.view(before["me"])["dropped"].values()) >= 6, MOST) is not None
        assert rig.until(lambda: agree(rig, everyone), MOST) is not None
        assert all(m["incarnation"] < 99 for m in rig.view(before["me"])["members"])
        assert not hold(rig, {before["me"]}, "said/evil")
        # The commands work on a member of a fleet in cells.
        at, other = ("{}:{}".format(*rig.fleet_addresses[name]) for name in ("m8", "m5"))
        assert fleet_command("put", at, "said/incident", '"db slow"').stdout == "held by a majority\n"
        assert rig.until(lambda: hold(rig, {"m5"}, "said/incident"), MOST) is not None
        shown = json.loads(fleet_command("state", other, "--prefix", "said/incident", "--json").stdout)
        assert shown["rows"][0][:2] == ["said/incident", "db slow"]
        assert "said/incident" in fleet_command("state", other).stdout
        assert "m4" in fleet_command("members", other).stdout
        as_json = json.loads(fleet_command("members", other, "--json").stdout)
        assert (
            as_json["cell"] == EAST and as_json["out"] == [] and set(as_json["cells"]) == set(LAYOUT.rosters)
        )


def test_partitioned_regions_publish_one_prefix_and_stay_ready(tmp_path: Path) -> None:
    with started(tmp_path, 42) as rig:
        everyone = set(rig.names)
        west = {name for name in rig.names if PLACES[name][0] == "west"}
        assert rig.until(lambda: agree(rig, everyone), MOST) is not None
        before = len(lines(rig, "cells_out"))
        imposed = cut(rig, west, everyone - west)
        out = {WEST: [EAST], ALONE: [EAST], EAST: [WEST, ALONE]}
        assert rig.until(lambda: agree(rig, everyone, out), MOST) is not None
        words = {line["backend"]: line["cells"] for line in lines(rig, "cells_out", before)}
        assert words == {name: ["east/"] if name in west else ["west/"] for name in rig.names}
        assert put(rig, "m0", "said/west") and put(rig, "m4", "said/east") and put(rig, "m8", "said/alone")
        assert rig.until(lambda: hold(rig, west, "said/west", "said/alone"), MOST) is not None
        rig.relay.lift(imposed)
        assert rig.until(lambda: agree(rig, everyone), MOST) is not None
        assert (
            rig.until(lambda: hold(rig, everyone, "said/west", "said/east", "said/alone"), MOST) is not None
        )
    assert not lines(rig, "catching_up"), "nobody became unready"
    nobody_of_another_cell(rig)


def test_one_deaf_paused_or_killed_speaker_does_not_change_the_result(tmp_path: Path) -> None:
    with started(tmp_path, 43) as rig:
        everyone = set(rig.names)
        speaker, second = LAYOUT.rosters[WEST][:2]
        rest = everyone - set(LAYOUT.rosters[WEST])
        assert rig.until(lambda: agree(rig, everyone), MOST) is not None
        imposed = rig.relay.impose([{"kind": "cut", "from": sorted(rest), "to": [speaker]}])

        def says_so() -> bool:
            page = rig.state(second, f"reach/{speaker}")
            return page is not None and any("east/" in row[1] for row in page["rows"])

        assert rig.until(says_so, MOST) is not None, "the deaf one publishes its vote"
        assert rig.until(lambda: agree(rig, everyone) and says_so(), MOST) is not None, "and is outvoted"
        assert put(rig, speaker, "said/deaf") and put(rig, "m5", "said/in")
        assert rig.until(lambda: hold(rig, everyone, "said/deaf", "said/in"), MOST) is not None
        rig.relay.lift(imposed)
        assert rig.until(lambda: agree(rig, everyone) and not says_so(), MOST) is not None
        rig.pause(speaker)
        assert rig.until(lambda: agree(rig, everyone - {speaker}), MOST) is not None
        assert put(rig, second, "said/out") and put(rig, "m6", "said/in2")
        assert rig.until(lambda: hold(rig, everyone - {speaker}, "said/out", "said/in2"), MOST) is not None
        rig.resume(speaker)
        assert rig.until(lambda: agree(rig, everyone) and hold(rig, {speaker}, "said/out"), MOST) is not None
        rig.kill(speaker)
        assert rig.until(lambda: agree(rig, everyone - {speaker}), MOST) is not None
        rig.launch(speaker)
        assert rig.until(lambda: agree(rig, everyone) and hold(rig, {speaker}, "said/out"), MOST) is not None
        asked = len([line for line in lines(rig, "fetched") if line["backend"] == speaker][-5:])
        assert asked <= 5
    elsewhere = [line for line in lines(rig, "catching_up") if line["backend"] != speaker]
    assert not elsewhere, "nobody else became unready"


def test_speakers_that_die_together_are_replaced_and_a_dead_cell_is_known_by_all(tmp_path: Path) -> None:
    with started(tmp_path, 44) as rig:
        everyone = set(rig.names)
        *speakers, last = LAYOUT.rosters[EAST]
        assert rig.until(lambda: agree(rig, everyone), MOST) is not None
        assert put(rig, last, "said/before")
        for name in speakers:
            rig.kill(name)
        left = everyone - set(speakers)
        assert rig.until(lambda: agree(rig, left), MOST) is not None
        put(rig, last, "said/out")  # stored, though three of four quorum members are gone
        assert put(rig, "m8", "said/in")
        assert rig.until(lambda: hold(rig, left, "said/before", "said/out", "said/in"), MOST) is not None
        rig.kill(last)
        left -= {last}
        out = {WEST: [EAST], ALONE: [EAST]}
        assert rig.until(lambda: agree(rig, left, out), MOST) is not None
        assert put(rig, "m1", "said/meanwhile")
        for name in LAYOUT.rosters[EAST]:
            rig.launch(name)
        assert rig.until(lambda: agree(rig, everyone), MOST) is not None
        every = "said/before", "said/out", "said/in", "said/meanwhile"
        assert rig.until(lambda: hold(rig, everyone, *every), MOST) is not None
    nobody_of_another_cell(rig)


def test_a_member_restarted_in_a_partition_serves_after_the_maximum_wait_and_sends_few_requests(
    tmp_path: Path,
) -> None:
    with started(tmp_path, 45) as rig:
        everyone = set(rig.names)
        name = LAYOUT.rosters[WEST][1]
        assert rig.until(lambda: agree(rig, everyone), MOST) is not None
        imposed = cut(rig, {name}, everyone - {name})
        rig.kill(name)
        assert put(rig, LAYOUT.rosters[WEST][0], "said/x")
        rig.launch(name)
        assert rig.until(lambda: (rig.view(name) or {}).get("ready"), MOST) is not None
        view = rig.view(name)
        assert not view["whole"] and view["dropped"].get("fetch", 0) <= 5
        began = len([line for line in lines(rig, "fetched") if line["backend"] == name])
        rig.relay.lift(imposed)
        assert rig.until(lambda: agree(rig, everyone) and hold(rig, {name}, "said/x"), MOST) is not None
        asked = [line for line in lines(rig, "fetched") if line["backend"] == name][began:]
        assert {line["name"] for line in asked} <= set(LAYOUT.rosters[WEST]) and len(asked) <= 5


def test_members_with_a_list_one_change_older_are_no_harm_and_agree_once_they_have_the_newer(
    tmp_path: Path,
) -> None:
    """The ninth member of a zone splits its cell into m0, m4, m5, m7 and m1, m2, m3, m6, m8; one member of
    each part does not know it yet.
    """
    places = {f"m{n}": ("west", "w1") if n < 9 else ("east", "e1") for n in range(11)}
    layout, older = CellLayout(places, 8), {"m0", "m1"}
    assert set(layout.rosters["west/w1/0"]) == {"m0", "m4", "m5", "m7"}
    first_eight = {f"m{n}" for n in range(8)}
    with ProcessFleet(tmp_path, 11, 46, [], places, **FAST) as rig:
        everyone, newer = set(rig.names), set(rig.names) - older

        def right(names: set[str]) -> bool:
            seen = views(rig, names)
            return len(seen) == len(names) and all(
                view["out"] == [] and view["ready"] and all(m["state"] == "alive" for m in view["members"])
                and {m["name"] for m in view["members"]} == set(layout.peers(name))
                for name, view in seen.items()
            )  # fmt: skip

        def older_right() -> bool:
            """It considers alive all members of what it takes for its cell, though some are in another."""
            seen = views(rig, older)
            return len(seen) == 2 and all(
                view["cell"] == "west/w1/" and view["ready"]
                and {m["name"] for m in view["members"] if m["state"] == "alive"} == first_eight - {name}
                for name, view in seen.items()
            )  # fmt: skip

        assert rig.until(lambda: right(everyone), MOST) is not None
        for name in sorted(older):
            kept = orjson.loads((tmp_path / f"{name}.operator.json").read_bytes())["fleet"]["peers"]
            rig.kill(name)
            rig.launch(name, peers=[peer for peer in kept if peer["name"] != "m8"])
        assert rig.until(lambda: right(newer) and older_right(), MOST) is not None
        west = {name for name in rig.names if places[name][0] == "west"}
        imposed = cut(rig, west, everyone - west)
        assert rig.until(lambda: all(v["out"] for v in views(rig, newer).values()), MOST) is not None
        rig.relay.lift(imposed)
        for name in rig.names:
            put(rig, name, f"said/{name}")
        every = [f"said/{name}" for name in rig.names]
        assert rig.until(lambda: hold(rig, everyone, *every), MOST) is not None
        assert rig.until(lambda: right(newer) and older_right(), MOST) is not None
        for name in sorted(older):
            rig.kill(name)
            rig.launch(name)
        assert rig.until(lambda: right(everyone) and hold(rig, everyone, *every), MOST) is not None
    assert not [line for line in lines(rig, "catching_up") if line["backend"] not in older]
