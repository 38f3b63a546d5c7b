"""Fleets in cells for tests: places, a fast pace, what is put and what is waited for."""

from collections.abc import Callable

from crowwing.fleet.member import Member, MemberSettings
from crowwing.fleet.membership.cells import CellLayout
from crowwing.fleet.membership.swim import Timing
from crowwing.fleet.simulated_fleet import SimulatedFleet
from crowwing.fleet.state.catch_up import CatchUpTiming
from crowwing.fleet.state.dissemination import DisseminationSettings
from crowwing.fleet.state.keyspaces import KEYSPACES

S = 1_000_000
FAR = 20_000  # µs between regions: there and back, and once more by way of a third, within a probe's time
FAST = MemberSettings(
    Timing(period=200_000, probe_timeout=100_000),
    DisseminationSettings(sync_every=200_000, resend_after=50_000),
    CatchUpTiming(max_wait=2 * S, retry_delay=100_000, isolation_timeout=600_000),
)  # fmt: skip
ZONES = [("west", "w1"), ("east", "e1"), ("east", "e2")]


def places(size: int) -> dict[str, tuple[str, str]]:
    """Three zones in two regions, by turns."""
    return {f"m{n}": ZONES[n % 3] for n in range(size)}


def fleet(size: int, seed: int, most: int, up: bool = True, **more: object) -> SimulatedFleet:
    """A world in cells of up to `most`, all ready and in agreement where it is to be `up`."""
    layout = CellLayout(places(size), most)
    world = SimulatedFleet(size, seed, FAST, KEYSPACES, layout=layout, far=FAR, in_step=False, **more)
    if up:
        members = world.members.values()
        assert until(
            world, lambda: all(m.catch_up.is_current for m in members) and world.views_agree(), 20 * S
        )
        world.member_events.clear()
        world.fetches.clear()
        world.changes.clear()
    return world


def until(world: SimulatedFleet, check: Callable[[], bool], most: int) -> bool:
    end = world.now + most
    while world.now < end:
        if check():
            return True
        world.run_until(world.now + 20_000)
    return check()


def update(world: SimulatedFleet, name: str, key: str, value: object = 1, wait: int = S) -> list[bool]:
    """Puts something for all (or for the cell, by its space) and asks for acknowledgement; the list gets one
    bool once it is told."""
    told: list[bool] = []

    def put(member: Member, now: int, wall: int) -> None:
        spread = member.dissemination_of(key)
        row = spread.put(wall, key, value, 600 * S)
        spread.replicate(
            now, row, member.membership.alive(), wait, lambda one: told.append(spread.has_majority(one))
        )
        member.tick(now, wall)

    world.run_on(name, put)
    return told


def running(world: SimulatedFleet) -> list[Member]:
    return [member for name, member in world.members.items() if name not in world.paused]


def hold(world: SimulatedFleet, *keys: str) -> bool:
    """Every member that runs holds these."""
    return all(key in m.dissemination_of(key).replica.entries for m in running(world) for key in keys)


def near_agree(world: SimulatedFleet) -> bool:
    """What is kept in a cell is alike on all of it that run."""
    for member in running(world):
        member.replica.expire(world.wall(member.me))
    return all(
        len({world.members[n].replica.root() for n in roster if n not in world.paused}) <= 1
        for roster in world.layout.rosters.values()
    )


def told(world: SimulatedFleet, event: str) -> list[tuple[str, dict]]:
    return [(name, brings) for _, name, what, brings in world.member_events if what == event]


def of_cell(world: SimulatedFleet, name: str) -> tuple[str, ...]:
    """The roster of a member's cell, by rank."""
    return world.layout.rosters[world.layout.cell_of[name]]


def between(one: set[str], other: set[str], ways: str = "both") -> Callable[[str, str], bool]:
    """A cut; `ways` `there`: only what goes from `one` to `other` is lost."""
    there = lambda a, b: a in one and b in other  # noqa: E731
    return there if ways == "there" else lambda a, b: there(a, b) or there(b, a)
