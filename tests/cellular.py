"""Helpers of tests for fleets in cells: locations, fast settings, puts and waits."""

from collections.abc import Callable

from crowwing.fleet.member import Member, MemberSettings
from crowwing.fleet.membership.cells import CellLayout
from crowwing.fleet.membership.swim import Timing
from crowwing.fleet.simulated_fleet import SimulatedFleet
from crowwing.fleet.state.catch_up import CatchUpTiming
from crowwing.fleet.state.dissemination import DisseminationSettings
from crowwing.fleet.state.keyspaces import KEYSPACES

S = 1_000_000
FAR = 20_000  # µs between regions: a round trip, directly and through a relay, fits the time of a probe
FAST = MemberSettings(
    Timing(period=200_000, probe_timeout=100_000),
    DisseminationSettings(sync_every=200_000, resend_after=50_000),
    CatchUpTiming(max_wait=2 * S, retry_delay=100_000, isolation_timeout=600_000),
)  # fmt: skip
ZONES = [("west", "w1"), ("east", "e1"), ("east", "e2")]


def places(size: int) -> dict[str, tuple[str, str]]:
    """Assigns members to three zones in two regions, by turns."""
    return {f"m{n}": ZONES[n % 3] for n in range(size)}


def fleet(size: int, seed: int, most: int, up: bool = True, **more: object) -> SimulatedFleet:
    """A simulated fleet in cells of up to `most`; with `up`, after all are ready and their views agree."""
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
    """Puts an entry, fleet-wide or for the cell by its keyspace, and requests an acknowledgement; the list
    gets one bool with its result."""
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
    """Whether every running member holds these keys."""
    return all(key in m.dissemination_of(key).replica.entries for m in running(world) for key in keys)


def near_agree(world: SimulatedFleet) -> bool:
    """Whether the running members of each cell have equal replicas of its state."""
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
    """A partition; `ways` `there`: only messages from `one` to `other` are lost."""
    there = lambda a, b: a in one and b in other  # noqa: E731
    return there if ways == "there" else lambda a, b: there(a, b) or there(b, a)
