"""The simulated network: delays, counters, rejections, and when views count as agreed."""

import pytest

from crowwing.fleet.member import MemberSettings
from crowwing.fleet.membership.cells import CellLayout
from crowwing.fleet.membership.swim import DEAD, Timing
from crowwing.fleet.simulated_fleet import SimulatedFleet, SimulatedMembership
from crowwing.fleet.state.catch_up import CatchUpTiming
from crowwing.fleet.state.dissemination import DisseminationSettings
from crowwing.fleet.state.keyspaces import KEYSPACES

S = 1_000_000
FAST = MemberSettings(
    Timing(period=200_000, probe_timeout=60_000),
    DisseminationSettings(sync_every=200_000, resend_after=50_000),
    CatchUpTiming(max_wait=2 * S, retry_delay=100_000, isolation_timeout=600_000),
)  # fmt: skip
FAR = 80_000
# Two regions, three zones of ten members: three cells
PLACES = {f"m{n}": (("west", "w1"), ("east", "e1"), ("east", "e2"))[n % 3] for n in range(30)}


@pytest.fixture
def world() -> SimulatedFleet:
    world = SimulatedFleet(30, 1, FAST, KEYSPACES, layout=CellLayout(PLACES, 16), far=FAR, in_step=False)
    world.run_until(3 * S)
    return world


def test_a_message_between_regions_takes_the_additional_delay(world: SimulatedFleet) -> None:
    said = {"m0": world.now, "m1": world.now}
    world.queue.clear()
    for name in said:
        other = "m3" if name == "m0" else "m0"
        world.members[name].outbox.append((other, {"k": 0, "from": name, "inc": 0, "seq": 1}))
        world._flush(name)
    (near, _, to_near, _), (far, _, to_far, _) = sorted(world.queue)[:2]
    assert (to_near, to_far) == ("m3", "m0")
    assert 500 <= near - said["m0"] <= 2000 and FAR + 500 <= far - said["m1"] <= FAR + 2000


def test_traffic_counters_add_up_and_only_speakers_send_to_other_cells(world: SimulatedFleet) -> None:
    sent = sum(count for _, count, *_ in world.traffic.values())
    read = sum(count for *_, count, _ in world.traffic.values())
    assert sent == world.sent and sum(data for data, *_ in world.traffic.values()) == world.bytes
    under_way = sum(message is not None for *_, message in world.queue)
    assert sent == read + under_way, "nothing is lost without loss"
    speaking = {name for name, member in world.members.items() if member.reachability.speaks}
    assert len(speaking) == 9, "three of each cell"


def test_views_in_cells_agree_when_deaths_are_known_in_the_cell_and_dead_cells_by_all(
    world: SimulatedFleet,
) -> None:
    assert world.views_agree() and not world.dead_cells()
    world.kill("m0")
    assert not world.views_agree() and not world.seen_dead("m0")
    while not world.seen_dead("m0"):
        world.run_until(world.now + 50_000)
        assert world.now < 30 * S
    assert world.views_agree() and not world.dead_cells()
    cell = world.layout.cell_of["m1"]
    for name in world.layout.rosters[cell]:
        world.kill(name)
    assert world.dead_cells() == {cell} and not world.views_agree()
    while not world.views_agree():
        world.run_until(world.now + 50_000)
        assert world.now < 60 * S
    assert all(
        m.unreachable_cells() == {cell} for name, m in world.members.items() if name not in world.paused
    )


def test_one_wrong_view_is_a_disagreement(world: SimulatedFleet) -> None:
    seen = world.members["m4"].membership.members["m1"]
    seen.state = DEAD
    assert not world.views_agree()
    assert not world.views_agree(lambda _: frozenset())


def test_views_can_be_compared_with_those_expected_in_a_partition(world: SimulatedFleet) -> None:
    west = world.layout.cell_of["m0"]
    east = frozenset(world.layout.rosters) - {west}
    world.is_partitioned = lambda a, b: (PLACES[a][0] == "west") != (PLACES[b][0] == "west")
    out = {name: east if PLACES[name][0] == "west" else frozenset([west]) for name in PLACES}
    assert not world.views_agree(out.__getitem__)
    while not world.views_agree(out.__getitem__):
        world.run_until(world.now + 50_000)
        assert world.now < 60 * S
    assert not world.views_agree()


def test_a_killed_member_has_no_ticks_and_a_paused_one_continues() -> None:
    world = SimulatedMembership(4, 1, Timing(period=200_000, probe_timeout=60_000))
    world.run_until(S)
    world.kill("m0")
    world.run_until(2 * S)
    assert all(to != "m0" for _, _, to, message in world.queue if message is None)
    world.paused.add("m1")
    world.run_until(3 * S)
    world.paused.discard("m1")
    before = world.members["m1"].periods
    world.run_until(4 * S)
    assert world.members["m1"].periods > before


def test_a_member_is_woken_when_it_asks_after_hearing_something() -> None:
    """And not only at the tick scheduled before, as on sockets."""
    world = SimulatedFleet(3, 1, FAST, KEYSPACES)
    world.run_until(S)
    asked = []

    def put(member: object, now: int, wall: int) -> None:
        row = member.dissemination.put(wall, "said/x", 1, 60 * S)
        member.dissemination.replicate(
            now, row, member.membership.alive(), 30_000, lambda _: asked.append(world.now)
        )

    world.is_partitioned = lambda _, __: True
    now = world.now
    world.run_on("m0", put)
    world.run_until(now + 31_000)
    assert asked and now + 30_000 <= asked[0] <= now + 30_100


def test_fetches_are_counted_and_a_member_serves_a_bounded_number_of_streams(world: SimulatedFleet) -> None:
    world.run_until(10 * S)
    assert all(member.ready for member in world.members.values())
    world.fetches.clear()
    before = {name: counts[4] for name, counts in world.traffic.items()}
    world.kill("m0")
    world.restart("m0", disk=False)
    world.run_until(11 * S)
    assert world.members["m0"].catch_up.is_current
    assert world.fetches and {who for _, who, _ in world.fetches} == {"m0"}
    assert {world.layout.cell_of[other] for _, _, other in world.fetches} == {world.layout.cell_of["m0"]}
    keeper = world.fetches[0][2]
    grown = {name: counts[4] - before[name] for name, counts in world.traffic.items()}
    asked = {other for _, _, other in world.fetches}
    assert {name for name, one in grown.items() if one} == asked | {"m0"}
    assert grown["m0"] == sum(grown[other] for other in asked), "each stream counts with both"
    world.serving[keeper] = [world.now + S] * world.max_streams
    before = world.traffic[keeper][4]
    world._fetch("m3", keeper)
    assert world.traffic[keeper][4] == before, "rejected"
