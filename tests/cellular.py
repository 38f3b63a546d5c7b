"""Fleets in cells for tests: places, a fast pace, what is put and what is waited for."""

from collections.abc import Callable

from crowwing.fleet.member import Manner, Member
from crowwing.fleet.membership.cells import Layout
from crowwing.fleet.membership.swim import Timing
from crowwing.fleet.simulated_fleet import StateWorld
from crowwing.fleet.state.catch_up import Patience
from crowwing.fleet.state.dissemination import Pace
from crowwing.fleet.state.keyspaces import SPACES

S = 1_000_000
FAR = 20_000  # µs between regions: there and back, and once more by way of a third, within a probe's time
FAST = Manner(
    Timing(period=200_000, probe_timeout=100_000), Pace(sync_every=200_000, again=50_000),
    Patience(most=2 * S, again=100_000, away=600_000),
)  # fmt: skip
ZONES = [("west", "w1"), ("east", "e1"), ("east", "e2")]


def places(size: int) -> dict[str, tuple[str, str]]:
    """Three zones in two regions, by turns."""
    return {f"m{n}": ZONES[n % 3] for n in range(size)}


def fleet(size: int, seed: int, most: int, up: bool = True, **more: object) -> StateWorld:
    """A world in cells of up to `most`, all ready and in agreement where it is to be `up`."""
    layout = Layout(places(size), most)
    world = StateWorld(size, seed, FAST, SPACES, layout=layout, far=FAR, in_step=False, **more)
    if up:
        members = world.members.values()
        assert until(world, lambda: all(m.catch_up.whole for m in members) and world.agreed(), 20 * S)
        world.told.clear()
        world.fetches.clear()
        world.changes.clear()
    return world


def until(world: StateWorld, check: Callable[[], bool], most: int) -> bool:
    end = world.now + most
    while world.now < end:
        if check():
            return True
        world.run_until(world.now + 20_000)
    return check()


def update(world: StateWorld, name: str, key: str, value: object = 1, wait: int = S) -> list[bool]:
    """Puts something for all (or for the cell, by its space) and asks for acknowledgement; the list gets one
    bool once it is told."""
    told: list[bool] = []

    def put(member: Member, now: int, wall: int) -> None:
        spread = member.spread_of(key)
        row = spread.put(wall, key, value, 600 * S)
        spread.update(now, row, member.membership.alive(), wait, lambda one: told.append(spread.is_held(one)))
        member.turn(now, wall)

    world.do(name, put)
    return told


def running(world: StateWorld) -> list[Member]:
    return [member for name, member in world.members.items() if name not in world.paused]


def hold(world: StateWorld, *keys: str) -> bool:
    """Every member that runs holds these."""
    return all(key in m.spread_of(key).copies.entries for m in running(world) for key in keys)


def near_agree(world: StateWorld) -> bool:
    """What is kept in a cell is alike on all of it that run."""
    for member in running(world):
        member.copies.turn(world.wall(member.me))
    return all(
        len({world.members[n].copies.root() for n in roster if n not in world.paused}) <= 1
        for roster in world.layout.rosters.values()
    )


def told(world: StateWorld, event: str) -> list[tuple[str, dict]]:
    return [(name, brings) for _, name, what, brings in world.told if what == event]


def of_cell(world: StateWorld, name: str) -> tuple[str, ...]:
    """The roster of a member's cell, by rank."""
    return world.layout.rosters[world.layout.cell_of[name]]


def between(one: set[str], other: set[str], ways: str = "both") -> Callable[[str, str], bool]:
    """A cut; `ways` `there`: only what goes from `one` to `other` is lost."""
    there = lambda a, b: a in one and b in other  # noqa: E731
    return there if ways == "there" else lambda a, b: there(a, b) or there(b, a)
