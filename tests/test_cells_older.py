"""Fleets in cells where copies of the settings differ by one change, malformed messages, and loans and
claims.
"""

import pytest

from crowwing.fleet.member import Member
from crowwing.fleet.membership.cells import CellLayout
from crowwing.fleet.membership.swim import ALIVE, DEAD, GONE, LEFT, SUSPECT
from crowwing.fleet.simulated_fleet import SimulatedFleet
from crowwing.fleet.state.dissemination import StateMessageKind
from crowwing.fleet.state.keyspaces import KEYSPACES
from crowwing.fleet.uses.idempotency_keys import ClaimResult
from tests.cellular import (
    FAR,
    FAST,
    S,
    between,
    fleet,
    hold,
    near_agree,
    of_cell,
    places,
    told,
    until,
    update,
)

# Twelve members form three cells of four. The thirteenth splits its zone's cell into m0 and m12, m6, m9, m3.
FEW, MANY = CellLayout(places(12), 4), CellLayout(places(13), 4)
HALF = [f"m{n}" for n in range(0, 12, 2)]


def differing(older: list[str], change: str, seed: int = 1) -> SimulatedFleet:
    """Most members have the settings after the change, `older` those before; a removed one is stopped."""
    before, after = (FEW, MANY) if change == "added" else (MANY, FEW)
    layouts = dict.fromkeys(older, before)
    if change == "taken out":
        layouts["m12"] = before
    world = SimulatedFleet(
        13, seed, FAST, KEYSPACES, layout=after, layouts=layouts, far=FAR, in_step=False,
    )  # fmt: skip
    if change == "taken out":
        world.kill("m12")
    return world


def of_after(world: SimulatedFleet) -> list[Member]:
    """Running members with the newer settings."""
    return [m for name, m in world.members.items() if m.layout is world.layout and name not in world.paused]


def test_the_change_of_these_tests_splits_a_cell_and_leaves_one_member_alone() -> None:
    assert FEW.rosters["west/w1/"] == ("m0", "m6", "m9", "m3")
    assert MANY.rosters["west/w1/0"] == ("m0",) and set(MANY.rosters["west/w1/1"]) == {
        "m12",
        "m6",
        "m9",
        "m3",
    }


@pytest.mark.parametrize("change", ["added", "taken out"])
@pytest.mark.parametrize("older", [["m0"], ["m3"], ["m6", "m9"], ["m1"], HALF], ids="-".join)
def test_settings_one_change_older_do_no_harm_and_views_agree(older: list[str], change: str) -> None:
    world = differing(older, change)
    names = [name for name in world.names if name not in world.paused]
    assert until(world, lambda: all(world.members[name].ready for name in names), 10 * S)
    world.run_until(world.now + 5 * S)
    world.member_events.clear()
    acked = {f"said/{name}": update(world, name, f"said/{name}") for name in names}
    end = world.now + 30 * S
    while world.now < end:
        world.run_until(world.now + 100_000)
        for member in of_after(world):
            gone = [n for n, seen in member.membership.members.items() if seen.state in GONE]
            assert gone == [], f"{member.me} considers {gone} dead"
            assert not member.unreachable_cells(), (
                f"{member.me} considers {member.unreachable_cells()} unreachable"
            )
    assert hold(world, *acked), "fleet-wide state reaches all"
    assert [name for name, _ in told(world, "catching_up")] == []
    # Two of its four quorum members
    few_know_it = {"m12"} if older == ["m6", "m9"] and change == "added" else set()
    for name in set(names) - few_know_it:
        assert acked[f"said/{name}"] == [True], name
    for name in older:  # one after the other gets the newer settings
        world.layouts.pop(name)
        world.kill(name)
        world.run_until(world.now + S)
        world.restart(name, disk=False)
        world.run_until(world.now + S)
    assert until(world, lambda: world.views_agree() and near_agree(world) and len(world.roots()) == 1, 30 * S)
    assert until(world, lambda: all(m.catch_up.is_current for m in of_after(world)), 5 * S)
    assert len(of_after(world)) == len(names)


@pytest.mark.parametrize("older", [["m0"], ["m3"], ["m1"], HALF], ids="-".join)
def test_partitioned_regions_with_different_settings_find_each_other_again(older: list[str]) -> None:
    world = differing(older, "added", 3)
    assert until(world, lambda: all(m.ready for m in world.members.values()), 10 * S)
    world.run_until(world.now + 3 * S)
    west = {name for name in world.names if world.region[name] == "west"}
    world.is_partitioned = between(west, set(world.names) - west)
    world.run_until(world.now + 20 * S)
    assert all(m.unreachable_cells() for m in of_after(world))
    world.is_partitioned = lambda _, __: False

    def right() -> bool:
        return not any(m.unreachable_cells() for m in of_after(world))

    assert until(world, right, 30 * S), {m.me: m.unreachable_cells() for m in of_after(world)}
    assert told(world, "catching_up") == []


# Malformed messages


def seen(world: SimulatedFleet) -> list[tuple]:
    """State of members, cells and replicas as seen by each member, without times."""
    found = []
    for name, member in world.members.items():
        near = [(n, s.state, s.incarnation) for n, s in member.membership.members.items()]
        cells = [(c, s.state, s.incarnation) for c, s in member.reachability.swim.members.items()]
        kept = [one.replica.root() for one in member.disseminations]
        told_it = member.unreachable_cells(), dict(member.reachability.cell_status)
        found.append((name, member.membership.incarnation, near, cells, kept, told_it))
    return found


MEMBERS_NEWS = [["m6", DEAD, 9, "m1"], ["m3", SUSPECT, 9, "m1"], ["m12", LEFT, 9, "m1"]]
SAID = ["said/evil", 1, 3_600_000_000, 0, "m1", 3_700_000_000]
TO_M3 = [  # from another cell, from unknown members, from the own cell as a message among cells
    {"k": 0, "from": "m1", "inc": 9, "seq": 1, "news": MEMBERS_NEWS},
    {"k": 1, "from": "m1", "inc": 9, "seq": 1, "news": MEMBERS_NEWS, "rows": [SAID]},
    {"k": 2, "from": "m1", "inc": 9, "seq": 1, "target": "m6", "news": MEMBERS_NEWS},
    {"k": 3, "from": "m1", "inc": 9, "seq": 1},
    {"k": 0, "from": "x", "inc": 9, "seq": 1}, {"k": 0, "from": "x", "inc": 9, "seq": 1, "cell": 1},
    {"k": 0, "from": "m6", "inc": 9, "seq": 1, "cell": 1},
    {"k": 0, "from": "m3", "inc": 9, "seq": 1, "cell": 1},
    {"k": 0, "from": "m3", "inc": 9, "seq": 1},
    {"k": 1, "from": "m1", "inc": "x", "seq": 1, "cell": 1},
    {"k": 0, "from": "m1", "inc": 1, "seq": 1, "cell": 1, "news": [["east/e1/0", "gone", 9, "east/e1/1"]]},
    {"k": 0, "from": "m1", "inc": 0, "seq": 1, "cell": 1, "news": [["north/n1/", DEAD, 9, "east/e1/1"]]},
    # State of a cell, from a member of another cell
    {"k": int(StateMessageKind.ROWS), "from": "m1", "rows": [SAID]},
    {"k": int(StateMessageKind.ROWS), "from": "x", "wide": 1, "rows": [SAID]},
    {"k": int(StateMessageKind.DIGESTS), "from": "m1", "root": 7},
    {"k": int(StateMessageKind.ROWS), "from": "m1", "wide": 1,
     "rows": [["lesson/m6", 1, *SAID[2:]], ["said/x"], 7]},
    # Fleet-wide, but sent as state of the cell
    {"k": int(StateMessageKind.ROWS), "from": "m6", "rows": [SAID]},
    {"k": int(StateMessageKind.ROWS_STORED), "from": "m1", "wide": 1, "ack": 1},
    {"k": 20, "from": "m1", "n": 1, "part": 0.5},
    {"k": 0}, {"k": 99, "from": "m1"}, {"k": "x", "from": "m1"},
    {"k": 12, "from": "m6", "leaves": [[999, 1]], "n": 1},
]  # fmt: skip


def test_malformed_messages_change_nothing() -> None:
    world = fleet(15, 1, 4, layouts={"m3": CellLayout(places(15), 4)})  # and counts rejected messages
    for told_it in TO_M3:
        before = seen(world)

        def hear(member: Member, now: int, wall: int, told_it: dict = told_it) -> None:
            try:
                member.receive(now, wall, dict(told_it))
            except (KeyError, TypeError, ValueError, AttributeError):
                pass  # as endpoint.py counts it

        world.run_on("m3", hear)
        assert seen(world) == before, told_it
        world.run_until(world.now + S)
        assert world.views_agree() and not told(world, "catching_up")
    assert not any("said/evil" in m.wide_dissemination.replica.entries for m in world.members.values())


def test_a_probe_under_other_settings_is_answered_and_its_content_ignored() -> None:
    """The prober has other settings, which put it into this cell."""
    world = fleet(15, 1, 4)
    before = seen(world)
    ping = {"k": 0, "from": "m1", "inc": 9, "seq": 5, "news": MEMBERS_NEWS, "rows": [SAID]}
    member = world.members["m3"]
    member.receive(world.now, world.wall("m3"), ping)
    told_it = [message for to, message in member.outbox if to == "m1" and message["k"] == 1]
    assert told_it == [{"k": 1, "from": "m3", "inc": member.membership.incarnation, "seq": 5}]
    assert seen(world) == before


# Loans and claims


def test_calls_are_lent_within_a_cell_and_the_sum_never_exceeds_the_budget() -> None:
    world = fleet(15, 1, 4)
    roster = of_cell(world, "m3")
    use = {name: 2.0 if name == roster[0] else 0.1 for name in world.names}
    most = 0.0
    for _ in range(100):
        world.run_until(world.now + 100_000)
        parts = {}
        for name, member in world.members.items():

            def turn(member: Member, now: int, wall: int, name: str = name) -> None:
                loans = member.loans
                loans.tick(now, member.membership.alive(), min(use[name], loans.share(now)), use[name])
                member.tick(now, wall)

            world.run_on(name, turn)
            parts[name] = member.loans.share(world.now)
        assert sum(parts.values()) <= len(world.names) + 1e-9
        assert all(sum(parts[n] for n in r) <= len(r) + 1e-9 for r in world.layout.rosters.values())
        most = max(most, parts[roster[0]])
    assert most > 1.5, "a busy member uses what idle members of its cell lent"
    assert all(set(m.loans.peers) == set(world.layout.peers(name)) for name, m in world.members.items())


def test_a_key_is_granted_once_across_cells_and_through_a_partition() -> None:
    world = fleet(15, 1, 4)

    def claim(name: str, label: str) -> list[ClaimResult]:
        got: list[ClaimResult] = []

        def ask(member: Member, now: int, wall: int) -> None:
            member.idempotency_keys.claim(now, label, 3 * S, lambda what, _: got.append(what))
            member.tick(now, wall)

        world.run_on(name, ask)
        return got

    west = {name for name in world.names if world.region[name] == "west"}
    granted = 0
    world.run_until(world.now + 4 * S)  # all homes have run for longer than the window
    for n in range(20):
        cut = n >= 10
        world.is_partitioned = between(west, set(world.names) - west) if cut else lambda _, __: False
        asked = [claim(name, f"label{n}") for name in ("m0", "m3", "m1", "m8")]
        world.run_until(world.now + 2 * S)
        ours = [one for one in asked if one == [ClaimResult.OURS]]
        assert all(len(one) == 1 for one in asked) and len(ours) <= 1
        granted += len(ours)
    assert granted >= 10


def test_rows_of_a_snapshot_go_to_the_replica_of_their_keyspace() -> None:
    world = fleet(15, 1, 4)
    update(world, "m3", "said/x")
    update(world, "m3", "lesson/x")
    world.run_until(world.now + S)
    world.write_snapshot("m3")
    world.kill("m3")
    world.is_partitioned = lambda a, b: True
    world.restart("m3", disk=True)
    member = world.members["m3"]
    assert "said/x" in member.wide_dissemination.replica.entries and "lesson/x" in member.replica.entries
    assert (
        "lesson/x" not in member.wide_dissemination.replica.entries and "said/x" not in member.replica.entries
    )
    assert member.reachability.swim.members and all(
        s.state == ALIVE for s in member.reachability.swim.members.values()
    )
