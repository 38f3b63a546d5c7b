"""A fleet in cells under any order of puts, partitions, deaths, starts, pauses and loss."""

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from crowwing.fleet.membership.cell_reachability import MAX_CONTACTS
from crowwing.fleet.membership.swim import SUSPECT
from crowwing.fleet.simulated_fleet import SimulatedFleet
from tests.cellular import S, between, fleet, near_agree, of_cell, places, running, until, update

SIZE = 15
NAMES = [f"m{n}" for n in range(SIZE)]
PLACES = places(SIZE)
some = st.sampled_from(NAMES)
WAYS = st.sampled_from(["both", "there"])


class Fleet(RuleBasedStateMachine):
    """Fifteen members in three zones of two regions, in six cells of up to 4, one of them with one member, or
    in three of up to 5. In each cell one member at a time is away, and one that lost its memory can catch up
    before another of its cell loses its own, which is the condition of an acknowledgement. The only member of
    a cell keeps its snapshot, since no other member holds what it acknowledged.
    """

    world: SimulatedFleet | None = None

    @initialize(seed=st.integers(0, 10_000), most=st.sampled_from([4, 4, 5]))
    def begin(self, seed: int, most: int) -> None:
        self.world = fleet(SIZE, seed, most, up=False, offsets={"m1": 400_000, "m3": -400_000})
        self.acked: dict[str, list[bool]] = {}
        self.number = 0
        self.world.run_until(2 * S)

    @rule(name=some, near=st.sampled_from([False, False, True]))
    def put(self, name: str, near: bool) -> None:
        if name not in self.world.paused:
            self.number += 1
            key = f"lesson/{self.number}" if near else f"said/{self.number}"
            told = update(self.world, name, key, self.number)
            self.acked[f"{self.world.layout.cell_of[name]} {key}"] = told

    @rule(span=st.integers(1, 30))
    def wait(self, span: int) -> None:
        self.world.run_until(self.world.now + span * 100_000)

    @rule(which=st.sampled_from([0, 1]), place=st.sampled_from(sorted(set(PLACES.values()))), ways=WAYS)
    def cut_place(self, which: int, place: tuple[str, str], ways: str) -> None:
        """Separates a region (0) or a zone (1) from the rest."""
        inside = {name for name, one in PLACES.items() if one[: which + 1] == place[: which + 1]}
        self.world.is_partitioned = between(inside, set(NAMES) - inside, ways)

    @rule(few=st.sets(some, min_size=1, max_size=4), ways=WAYS)
    def cut_members(self, few: set[str], ways: str) -> None:
        self.world.is_partitioned = between(few, set(NAMES) - few, ways)

    @rule()
    def heal(self) -> None:
        self.world.is_partitioned = lambda _, __: False

    @rule(loss=st.sampled_from([0.0, 0.1, 0.3]))
    def lose(self, loss: float) -> None:
        self.world.loss = loss

    @rule(name=some)
    def write(self, name: str) -> None:
        if name not in self.world.paused:
            self.world.write_snapshot(name)

    def _may_go(self, name: str) -> bool:
        roster = of_cell(self.world, name)
        whole = all(self.world.members[other].catch_up.started_at is None for other in roster)
        return whole and not self.world.paused.intersection(roster)

    @rule(name=some)
    def kill(self, name: str) -> None:
        if self._may_go(name):
            if len(of_cell(self.world, name)) == 1:
                self.world.write_snapshot(name)
            self.world.kill(name)

    @rule(name=some)
    def pause(self, name: str) -> None:
        if self._may_go(name):
            self.world.paused.add(name)

    @precondition(lambda self: self.world.paused)
    @rule(disk=st.booleans())
    def restart(self, disk: bool) -> None:
        self._all_go_on(disk)

    def _all_go_on(self, disk: bool) -> None:
        world = self.world
        for name in sorted(world.paused):
            if name in world.killed:
                world.restart(name, disk or len(of_cell(world, name)) == 1)
            else:
                world.paused.discard(name)

    @invariant()
    def tables_are_bounded(self) -> None:
        for member in [] if self.world is None else self.world.members.values():
            reach, cells = member.reachability, len(self.world.layout.rosters)
            for kept in member.disseminations:
                assert (
                    len(kept.hot_keys) <= max(1, len(kept.replica.entries))
                    and len(kept.pending_updates) <= self.number
                )
            assert len(member.fetching) <= 4
            assert (
                len(reach.cell_status) < cells
                and len(reach.contacts) < cells
                and len(reach.unanswered_counts) < cells
            )
            assert all(1 <= len(known) <= MAX_CONTACTS for known in reach.contacts.values())
            assert len(reach.swim.rumours) <= cells and len(reach.relay_requesters) <= 200
            assert not reach.outbox
            mine = [key for key, _ in member.replica.with_prefix("reach/")]
            assert len(mine) <= len(of_cell(self.world, member.me))

    def teardown(self) -> None:
        world = self.world
        world.is_partitioned, world.loss = lambda _, __: False, 0.0
        self._all_go_on(True)
        assert until(world, lambda: len(world.roots()) == 1, 30 * S), "replicas of fleet-wide state differ"
        agree = lambda: near_agree(world) and world.views_agree() and nobody_suspected(world)  # noqa: E731
        assert until(world, agree, 60 * S), "views or replicas differ"
        lost = []
        for where, told in self.acked.items():
            cell, key = where.split()
            holders = world.layout.rosters[cell] if key.startswith("lesson/") else world.names
            for name in holders if told == [True] else ():
                if key not in world.members[name].dissemination_of(key).replica.entries:
                    lost.append(f"{key} at {name}")
        assert not lost, f"acknowledged and lost: {lost}"
        assert until(world, lambda: all(m.catch_up.is_current for m in running(world)), 20 * S), "not current"
        end = world.now + 10 * S
        while world.now < end:
            world.run_until(world.now + 200_000)
            assert world.views_agree(), "it stays so"
        assert not any(
            m.reachability.relay_requesters or any(kept.pending_updates for kept in m.disseminations)
            for m in running(world)
        )


def nobody_suspected(world: SimulatedFleet) -> bool:
    """An earlier suspicion may still end in a death that is then refuted, so views with one may change again.
    Reachability of cells is checked at speakers only."""
    every = [m.membership.members for m in running(world)]
    every += [m.reachability.swim.members for m in running(world) if m.reachability.speaks]
    return not any(seen.state == SUSPECT for members in every for seen in members.values())


TestFleet = Fleet.TestCase
# Failing examples are not shrunk: that took CI longer than all other tests together.
TestFleet.settings = settings(
    max_examples=20, stateful_step_count=30, deadline=None, derandomize=True,
    phases=(Phase.explicit, Phase.reuse, Phase.generate),
)  # fmt: skip
