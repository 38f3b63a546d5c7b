"""Complete members in cells on a simulated network: reachability of cells, and the cost of partitions, deaths
and starts.
"""

import pytest

from crowwing.fleet.membership.swim import DEAD
from crowwing.fleet.simulated_fleet import SimulatedFleet
from crowwing.fleet.state.reachability_votes import MIN_INTERVAL_BACK, STABILIZATION_DELAY
from tests.cellular import (
    FAST,
    S,
    between,
    fleet,
    hold,
    near_agree,
    of_cell,
    places,
    running,
    told,
    until,
    update,
)

SEEDS = [1, 2]
# 15 in cells of 4: m0 is a cell of one, m12, m6, m9, m3 its neighbours; two cells of three, two of two.
# 45 in cells of 9: six of six to nine, all with members besides quorum members and speakers.


def in_region(world: SimulatedFleet, region: str) -> set[str]:
    return {name for name in world.names if world.region[name] == region}


def cells_of(world: SimulatedFleet, region: str) -> frozenset[str]:
    return frozenset(cell for cell in world.layout.rosters if cell.startswith(f"{region}/"))


def nobody_noticed(world: SimulatedFleet) -> None:
    """No member became unready or was reported dead, and nobody fetched."""
    assert told(world, "catching_up") == [] and told(world, "member") == [] and world.fetches == []


@pytest.mark.parametrize("seed", SEEDS)
def test_a_change_made_anywhere_reaches_all_and_is_acknowledged(seed: int) -> None:
    world = fleet(15, seed, 4)
    world.loss = 0.01
    acked = {f"said/{name}": update(world, name, f"said/{name}", wait=2 * S) for name in world.names}
    assert until(world, lambda: hold(world, *acked), 3 * S)
    assert until(world, lambda: len(world.roots()) == 1, 5 * S)
    world.run_until(world.now + 2 * S)
    assert all(one == [True] for one in acked.values())
    assert not any(m.wide_dissemination.pending_updates for m in world.members.values())


def test_an_acknowledgement_needs_a_majority_of_the_cells_quorum_members() -> None:
    world = fleet(45, 1, 9)
    for cell, roster in world.layout.rosters.items():
        keepers, key = roster[:5], f"said/{roster[-1]}"
        assert len(roster) > 5, cell
        one = update(world, roster[-1], key)
        assert until(world, lambda one=one: bool(one), S) and one == [True]
        assert sum(key in world.members[k].wide_dissemination.replica.entries for k in keepers) >= 3
    roster = of_cell(world, "m3")
    assert len(roster) == 9
    keepers, rest = set(roster[:5]), set(roster[5:])
    three = set(roster[:3])
    # Three quorum members are unreachable: two and all others of the cell and of the fleet are no majority.
    world.is_partitioned = between(three, set(world.names) - three)
    one = update(world, min(rest), "said/few")
    world.run_until(world.now + 3 * S)
    assert one == [False] and hold_all(world, "said/few", set(world.names) - three)
    world.is_partitioned = lambda _, __: False
    assert until(world, world.views_agree, 20 * S)
    for name in (*rest, roster[4]):  # four of nine are left, and four of the five quorum members
        world.kill(name)
    one = update(world, roster[0], "said/keepers")
    assert until(world, lambda: one == [True], S), "only quorum members are waited for"


def hold_all(world: SimulatedFleet, key: str, names: set[str]) -> bool:
    return all(key in world.members[name].wide_dissemination.replica.entries for name in names)


def test_the_state_of_a_cell_stays_in_it() -> None:
    world = fleet(15, 1, 4)
    for name in world.names:
        one = update(world, name, f"lesson/{name}", [1])
        assert until(world, lambda one=one: one == [True], S)
    world.run_until(world.now + 5 * S)
    assert near_agree(world)
    for name, member in world.members.items():
        held = {key for key, _ in member.replica.with_prefix("lesson/")}
        assert held == {f"lesson/{other}" for other in of_cell(world, name)}
        assert not set(member.wide_dissemination.replica.keyspaces) & set(member.replica.keyspaces)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("size", [15, 45])
def test_partitioned_regions_publish_one_prefix_each_and_all_stay_ready(seed: int, size: int) -> None:
    world = fleet(size, seed, 4 if size == 15 else 9)
    west, east = in_region(world, "west"), in_region(world, "east")
    world.loss = 0.01
    seen = {name: cells_of(world, "east" if name in west else "west") for name in world.names}
    world.is_partitioned = between(west, east)
    assert until(world, lambda: world.views_agree(seen.__getitem__), 30 * S)
    words = {name: brings["cells"] for name, brings in told(world, "cells_out")}
    assert words == {name: ["east/" if name in west else "west/"] for name in world.names}
    one, other = update(world, min(west), "said/west"), update(world, min(east), "said/east")
    world.run_until(world.now + 20 * S)
    assert one == [True] and other == [True], "each side continues by itself"
    assert hold_all(world, "said/west", west) and not hold_all(world, "said/west", east)
    assert world.views_agree(seen.__getitem__), "it stays so during the partition"
    world.is_partitioned = lambda _, __: False
    healed = world.now
    assert until(world, lambda: world.views_agree() and hold(world, "said/west", "said/east"), 10 * S)
    world.run_until(healed + 20 * S)
    assert world.views_agree()
    assert told(world, "catching_up") == [] and world.fetches == []
    assert not [1 for _, brings in told(world, "member") if brings["state"] == DEAD]
    own = [(name, brings["name"]) for name, brings in told(world, "member")]
    assert all(world.layout.cell_of[a] == world.layout.cell_of[b] for a, b in own), "nobody of another cell"


def test_a_partition_of_regions_alone_changes_no_member_state() -> None:
    world = fleet(15, 4, 4)
    world.is_partitioned = between(in_region(world, "west"), in_region(world, "east"))
    world.run_until(world.now + 30 * S)
    world.is_partitioned = lambda _, __: False
    world.run_until(world.now + 20 * S)
    nobody_noticed(world)
    assert world.views_agree()


def test_a_one_way_partition_is_known_on_both_sides_and_heals() -> None:
    """Everything in one direction is lost, so neither side gets an answer."""
    world = fleet(15, 5, 4)
    west, east = in_region(world, "west"), in_region(world, "east")
    seen = {name: cells_of(world, "east" if name in west else "west") for name in world.names}
    world.is_partitioned = between(west, east, "there")
    assert until(world, lambda: world.views_agree(seen.__getitem__), 40 * S)
    world.is_partitioned = lambda _, __: False
    assert until(world, world.views_agree, 20 * S)
    nobody_noticed(world)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_death_of_a_complete_cell_is_known_by_all_and_it_comes_back(seed: int) -> None:
    world = fleet(45, seed, 9)
    cell = world.layout.cell_of["m0"]
    roster = world.layout.rosters[cell]
    first = [update(world, name, f"said/{name}") for name in ("m0", "m1", "m2")]
    assert until(world, lambda: hold(world, "said/m0", "said/m1", "said/m2"), 5 * S)
    assert first == [[True]] * 3
    for name in roster:
        world.kill(name)
    assert until(world, world.views_agree, 30 * S)
    assert world.dead_cells() == {cell}
    assert {tuple(brings["cells"]) for _, brings in told(world, "cells_out")} == {(cell,)}
    assert told(world, "member") == [], "nobody was reported by name"
    told_late = update(world, "m1", "said/late")
    world.run_until(world.now + 2 * S)
    assert told_late == [True]
    for name in roster:
        world.restart(name, disk=False)
    assert until(world, world.views_agree, 30 * S)
    assert until(world, lambda: hold(world, "said/m0", "said/m1", "said/m2", "said/late"), 10 * S)
    assert until(world, lambda: all(m.ready for m in world.members.values()), 10 * S)
    assert {name for name, _ in told(world, "catching_up")} <= set(roster)
    assert {name for _, name, _ in world.fetches} <= set(roster)


@pytest.mark.parametrize("seed", SEEDS)
def test_speakers_of_a_cell_that_die_in_one_second_are_replaced(seed: int) -> None:
    world = fleet(45, seed, 9)
    cell = world.layout.cell_of["m0"]
    roster = world.layout.rosters[cell]
    for name in roster[:3]:
        world.kill(name)
        world.run_until(world.now + 300_000)
    died, held_out = world.now, {}
    acked = update(world, "m1", "said/in", wait=3 * S), update(world, roster[3], "said/out", wait=3 * S)
    while world.now < died + 30 * S:
        world.run_until(world.now + 50_000)
        for member in running(world):
            if member.unreachable_cells():
                held_out[member.me] = held_out.get(member.me, 0) + 50_000
    assert hold(world, "said/in", "said/out")
    assert acked[0] == [True]
    assert max(held_out.values(), default=0) <= STABILIZATION_DELAY + MIN_INTERVAL_BACK + 3 * S, (
        "no longer than a vote and its withdrawal take"
    )
    assert all(world.members[name].speakers == roster[3:6] for name in roster[3:])
    assert all(world.members[name].reachability.speaks for name in roster[3:6])
    assert world.views_agree()


def test_the_last_member_of_a_cell_becomes_its_speaker() -> None:
    world = fleet(15, 2, 4)
    *speakers, last = of_cell(world, "m3")
    for name in speakers:
        world.kill(name)
    update(world, last, "said/last")
    update(world, "m1", "said/elsewhere")
    assert until(world, lambda: world.views_agree() and hold(world, "said/last", "said/elsewhere"), 30 * S)
    assert world.members[last].speakers == (last,)
    for name in speakers:
        world.restart(name, disk=False)
    assert until(world, lambda: world.views_agree() and hold(world, "said/last", "said/elsewhere"), 30 * S)


@pytest.mark.parametrize("how", ["killed", "slow", "deaf", "cut off", "far"])
@pytest.mark.parametrize("seed", SEEDS)
def test_one_faulty_speaker_does_not_change_the_result(how: str, seed: int) -> None:
    """Killed, slow, deaf to other cells, partitioned from them, or far away."""
    world = fleet(45, seed, 9)
    speaker = of_cell(world, "m0")[0]
    others = set(world.names) - set(of_cell(world, "m0"))
    if how == "killed":
        world.kill(speaker)
    elif how == "slow":
        world.paused.add(speaker)
    elif how == "far":
        plain = world._region_delay
        world._region_delay = lambda a, b: 400_000 if speaker in (a, b) and {a, b} & others else plain(a, b)
    else:
        world.is_partitioned = between(others, {speaker}, "there" if how == "deaf" else "both")
    end = world.now + 25 * S
    acked = update(world, "m1", "said/in"), update(world, of_cell(world, "m0")[1], "said/out")
    while world.now < end:
        world.run_until(world.now + 100_000)
        for member in running(world):
            assert not member.unreachable_cells(), (
                f"{member.me} considers {member.unreachable_cells()} unreachable"
            )
    assert acked == ([True], [True])
    assert until(world, lambda: hold(world, "said/in", "said/out"), 5 * S)
    if how in ("deaf", "cut off"):
        assert world.members[speaker].reachability.unreachable_cells(), (
            "its own vote says so, and is outvoted"
        )
    world.is_partitioned = lambda _, __: False
    world.paused.discard(speaker)
    if how == "killed":
        world.restart(speaker, disk=False)
    elif how == "far":
        world._region_delay = plain
    assert until(world, lambda: world.views_agree() and hold(world, "said/in", "said/out"), 20 * S)
    assert until(world, lambda: not world.members[speaker].reachability.unreachable_cells(), 20 * S)
    others_told = [name for name, _ in told(world, "catching_up") if name != speaker]
    assert others_told == [] and all(m.ready for m in world.members.values())


def test_the_third_speaker_decides_between_two_that_differ() -> None:
    world = fleet(45, 6, 9)
    cell = of_cell(world, "m0")
    first, second, third = cell[:3]
    rest, far = set(world.names) - set(cell), frozenset(world.layout.rosters) - {world.layout.cell_of["m0"]}
    world.is_partitioned = between({first}, rest)
    world.run_until(world.now + 20 * S)
    assert world.members[first].reachability.unreachable_cells() == far
    assert world.members[second].reachability.unreachable_cells() == frozenset()
    assert all(not member.unreachable_cells() for member in running(world))
    world.is_partitioned = between({first, second}, rest)
    seen = dict.fromkeys(world.names, frozenset()) | dict.fromkeys(cell, far)
    assert until(world, lambda: world.views_agree(seen.__getitem__), 30 * S), "two of three"
    world.kill(third)
    world.is_partitioned = between({first}, rest)
    assert until(world, world.views_agree, 40 * S), "one of the three that speak now"


def test_a_cell_of_one_takes_part_and_its_death_is_that_of_a_cell() -> None:
    world = fleet(15, 7, 4)
    assert of_cell(world, "m0") == ("m0",)
    one = world.members["m0"]
    assert one.ready and one.reachability.speaks
    assert update(world, "m0", "said/alone") == [True]
    update(world, "m5", "said/to-it")
    assert until(world, lambda: hold(world, "said/alone", "said/to-it"), 3 * S)
    world.is_partitioned = lambda a, b: "m0" in (a, b)
    seen = dict.fromkeys(world.names, frozenset({world.layout.cell_of["m0"]}))
    seen["m0"] = frozenset(world.layout.rosters) - seen["m0"]
    assert until(world, lambda: world.views_agree(seen.__getitem__), 30 * S)
    assert one.ready, "it serves"
    world.is_partitioned = lambda _, __: False
    assert until(world, world.views_agree, 20 * S)
    nobody_noticed(world)
    world.kill("m0")
    assert until(world, world.views_agree, 30 * S)
    world.restart("m0", disk=False)
    assert until(world, lambda: world.views_agree() and hold(world, "said/alone", "said/to-it"), 30 * S)


def test_a_draining_member_is_known_in_its_cell_and_a_draining_speaker_is_replaced() -> None:
    world = fleet(45, 8, 9)
    roster = of_cell(world, "m0")
    sent = world.traffic[roster[0]][1]
    world.run_on(roster[0], lambda member, now, wall: member.leave(now, wall))
    assert world.traffic[roster[0]][1] - sent <= 2 * len(roster), "it informs its cell, not the fleet"
    world.run_until(world.now + S)
    assert all(world.members[name].speakers == roster[1:4] for name in roster[1:])
    world.kill(roster[0])
    world.run_until(world.now + 10 * S)
    assert all(not member.unreachable_cells() for member in running(world))


# Starts


@pytest.mark.parametrize("which", [0, 5])
@pytest.mark.parametrize("seed", SEEDS)
def test_a_member_restarted_without_memory_asks_quorum_members_and_is_soon_ready(
    which: int, seed: int
) -> None:
    """A quorum member and another member."""
    world = fleet(45, seed, 9)
    name = of_cell(world, "m0")[which]
    world.kill(name)
    acked = {f"said/{n}": update(world, of_cell(world, "m0")[1], f"said/{n}", n) for n in range(100)}
    near = {f"lesson/{n}": update(world, of_cell(world, "m0")[2], f"lesson/{n}", n) for n in range(20)}
    assert until(world, lambda: all([*acked.values(), *near.values()]), 3 * S)
    assert all(one == [True] for one in [*acked.values(), *near.values()])
    world.restart(name, disk=False)
    member, began = world.members[name], world.now
    assert not member.ready
    assert until(world, lambda: member.ready, 2 * S) and member.catch_up.is_current
    assert not [key for key in acked if key not in member.wide_dissemination.replica.entries]
    assert not [key for key in near if key not in member.replica.entries]
    asked = [other for at, who, other in world.fetches if who == name and at >= began]
    keepers = set(of_cell(world, "m0")[:5]) - {name}
    helper = [other for other in asked if other not in keepers]  # not a quorum member, and asked first
    assert 3 <= len(asked) - len(helper) <= 5 - len(helper), "enough quorum members"
    assert helper in ([], asked[:1]) and set(helper) <= set(of_cell(world, "m0")[5:])


def test_quorum_members_wiped_one_after_the_other_lose_no_acknowledged_update() -> None:
    world = fleet(45, 9, 9)
    roster = of_cell(world, "m0")
    world.is_partitioned = between(set(roster), set(world.names) - set(roster))  # nobody else holds the entry
    told_it = [update(world, roster[0], f"said/{n}", n) for n in range(10)]
    assert until(world, lambda: all(told_it), S) and all(one == [True] for one in told_it)
    for name in roster:
        world.kill(name)
        world.restart(name, disk=False)
        assert until(world, lambda name=name: world.members[name].catch_up.started_at is None, 20 * S)
        assert all(f"said/{n}" in world.members[name].wide_dissemination.replica.entries for n in range(10))


@pytest.mark.parametrize("size", [15, 45])
def test_a_member_restarted_in_a_partition_fetches_at_a_bounded_rate_and_is_ready_in_time(size: int) -> None:
    world = fleet(size, 1, 4 if size == 15 else 9)
    name = of_cell(world, "m3")[0]
    world.kill(name)
    world.is_partitioned = lambda a, b: name in (a, b)
    world.run_until(world.now + S)
    world.fetches.clear()
    world.failed_fetch_delay = 500  # refused at once
    world.restart(name, disk=False)
    began, sent = world.now, world.traffic[name][1]
    world.run_until(began + FAST.catch_up.max_wait - 100_000)
    assert not world.members[name].ready
    world.run_until(began + FAST.catch_up.max_wait + 100_000)
    assert world.members[name].ready and not world.members[name].catch_up.is_current
    world.run_until(began + 60 * S)
    mine = [other for _, who, other in world.fetches if who == name]
    assert len(mine) <= 20 and set(mine[1:]) <= set(of_cell(world, name)[:5]), (
        "a bootstrap peer once, then quorum members"
    )
    assert world.traffic[name][1] - sent <= 60 * 25, "datagrams: some of each period, whatever the fleet"
    world.is_partitioned = lambda _, __: False
    assert until(world, lambda: world.members[name].catch_up.is_current and world.views_agree(), 30 * S)


def test_a_member_partitioned_from_its_own_cell_catches_up_from_quorum_members() -> None:
    world = fleet(45, 2, 9)
    roster = of_cell(world, "m0")
    world.is_partitioned = between({roster[0]}, set(roster[1:]))
    world.run_until(world.now + 15 * S)
    one = update(world, roster[1], "said/x")
    world.run_until(world.now + 3 * S)
    assert one == [True] and world.members[roster[0]].ready
    world.is_partitioned = lambda _, __: False
    assert until(world, lambda: world.views_agree() and near_agree(world), 30 * S)
    assert until(world, lambda: world.members[roster[0]].catch_up.is_current, 10 * S)
    assert {name for name, _ in told(world, "catching_up")} == {roster[0]}


def test_the_locations_of_these_tests_match_their_names() -> None:
    world = fleet(15, 1, 4, up=False)
    assert sorted(len(roster) for roster in world.layout.rosters.values()) == [1, 2, 2, 3, 3, 4]
    assert len(set(places(15).values())) == 3
    large = fleet(45, 1, 9, up=False)
    assert min(len(roster) for roster in large.layout.rosters.values()) > 5
