"""Complete members on a simulated network: acknowledged updates survive and replicas converge."""

import random
from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from crowwing.fleet.member import Member, MemberSettings
from crowwing.fleet.membership.swim import Timing
from crowwing.fleet.simulated_fleet import SimulatedFleet
from crowwing.fleet.state.catch_up import CatchUp, CatchUpTiming
from crowwing.fleet.state.dissemination import DisseminationSettings, Update
from crowwing.fleet.state.replica import Keyspace, MergeRule

S = 1_000_000
KEYSPACES = {
    "r": Keyspace(MergeRule.LAST_WRITER_WINS, 2000, 3600 * S),
    "s": Keyspace(MergeRule.REMOVE_WINS, 2000, 3600 * S),
}
FAST = MemberSettings(
    Timing(period=200_000, probe_timeout=60_000),
    DisseminationSettings(sync_every=200_000, resend_after=50_000),
    CatchUpTiming(max_wait=2 * S, retry_delay=100_000, isolation_timeout=600_000),
)  # fmt: skip


def update(world: SimulatedFleet, name: str, key: str, value: object, wait: int = S) -> list[bool]:
    """Puts an entry and requests an acknowledgement; the list gets one bool with its result."""
    told: list[bool] = []

    def put(member: Member, now: int, wall: int) -> None:
        row = member.dissemination.put(wall, key, value, 600 * S)

        def tell(one: Update) -> None:
            told.append(member.dissemination.has_majority(one))

        member.dissemination.replicate(now, row, member.membership.alive(), wait, tell)
        member.tick(now, wall)

    world.run_on(name, put)
    return told


def until(world: SimulatedFleet, check: object, most: int) -> bool:
    end = world.now + most
    while world.now < end:
        if check():
            return True
        world.run_until(world.now + 20_000)
    return check()


def test_an_update_is_acknowledged_at_a_majority_and_soon_reaches_all() -> None:
    world = SimulatedFleet(5, 1, FAST, KEYSPACES)
    assert until(world, lambda: all(m.ready for m in world.members.values()), 2 * S)
    told = update(world, "m0", "r/x", 1)
    assert until(world, lambda: told == [True], S)
    assert until(world, lambda: len(world.roots()) == 1, 2 * S)
    assert all(m.replica.get("r/x") == 1 for m in world.members.values())
    assert not world.members["m0"].dissemination.pending_updates


def test_a_minority_acknowledges_nothing_and_both_sides_agree_after_the_partition() -> None:
    world = SimulatedFleet(5, 2, FAST, KEYSPACES)
    until(world, lambda: all(m.ready for m in world.members.values()), 2 * S)
    left = {"m0", "m1"}
    world.is_partitioned = lambda a, b: (a in left) != (b in left)
    world.run_until(world.now + 5 * S)
    few, many = update(world, "m0", "r/x", "few"), update(world, "m3", "r/x", "many")
    other = update(world, "m1", "r/y", "kept")
    world.run_until(world.now + 2 * S)
    assert few == [False] and other == [False] and many == [True]
    assert world.members["m0"].ready, "a partitioned member continues to serve"
    world.is_partitioned = lambda _, __: False
    assert until(world, lambda: len(world.roots()) == 1 and world.views_agree(), 20 * S)
    assert {m.replica.get("r/y") for m in world.members.values()} == {"kept"}
    left_list = [name for _, name, event, _ in world.member_events if event == "catching_up"]
    assert set(left_list) <= left, "only members isolated from a majority are behind"
    assert left_list, "a returning member is unready until it has caught up"
    assert all(m.ready for m in world.members.values())


def test_a_fleet_partitioned_into_three_heals_and_stays_ready() -> None:
    world = SimulatedFleet(6, 3, FAST, KEYSPACES)
    until(world, lambda: all(m.ready for m in world.members.values()), 2 * S)
    part = {name: n // 2 for n, name in enumerate(world.names)}
    world.is_partitioned = lambda a, b: part[a] != part[b]
    world.run_until(world.now + 6 * S)
    for n, name in enumerate(world.names):
        update(world, name, f"r/{n}", n)
    world.is_partitioned = lambda _, __: False
    assert until(world, lambda: len(world.roots()) == 1 and world.views_agree(), 20 * S)
    assert not [1 for _, _, event, _ in world.member_events if event == "catching_up"]
    assert all(len(m.replica.entries) == 6 for m in world.members.values())


def test_a_member_restarted_empty_is_not_ready_until_it_holds_acknowledged_updates() -> None:
    world = SimulatedFleet(5, 4, FAST, KEYSPACES)
    until(world, lambda: all(m.ready for m in world.members.values()), 2 * S)
    world.kill("m2")
    told = [update(world, "m0", f"r/{n}", n) for n in range(40)]
    until(world, lambda: all(told), 2 * S)
    assert all(one == [True] for one in told)
    world.restart("m2", disk=False)
    began = world.now
    assert not world.members["m2"].ready
    assert until(world, lambda: world.members["m2"].ready, 3 * S)
    assert len(world.members["m2"].replica.entries) == 40 and world.now - began < S
    assert world.members["m2"].catch_up.wait_history[-1][1]


def test_a_member_that_reaches_too_few_is_ready_after_the_maximum_wait_but_not_current() -> None:
    world = SimulatedFleet(5, 5, FAST, KEYSPACES)
    world.is_partitioned = lambda a, b: "m0" in (a, b)
    world.run_until(S)
    assert not world.members["m0"].ready
    world.run_until(3 * S)
    assert world.members["m0"].ready and not world.members["m0"].catch_up.is_current
    world.is_partitioned = lambda _, __: False
    assert until(world, lambda: world.members["m0"].catch_up.is_current, 20 * S)


def test_a_member_far_behind_uses_a_full_transfer_and_a_close_one_the_differences() -> None:
    far = replace(
        FAST,
        dissemination=replace(
            FAST.dissemination, full_transfer_entries=300, full_transfer_leaves=150, max_sync_bytes=2000
        ),
    )
    world = SimulatedFleet(3, 6, far, KEYSPACES)
    until(world, lambda: all(m.ready for m in world.members.values()), 2 * S)
    world.is_partitioned = lambda a, b: "m2" in (a, b)
    world.run_until(world.now + S // 5)
    for n in range(600):
        world.run_on("m0", lambda m, _, wall, n=n: m.dissemination.put(wall, f"r/{n}", n, 600 * S))
    world.run_until(world.now + 2 * S)
    world.is_partitioned = lambda _, __: False
    before = world.fetched_rows
    assert until(world, lambda: len(world.roots()) == 1, 10 * S)
    assert world.fetched_rows - before >= 500


@pytest.mark.parametrize("offset", [-2 * S, 2 * S])
def test_a_member_with_its_clock_two_seconds_off_neither_loses_nor_outranks_updates(offset: int) -> None:
    world = SimulatedFleet(5, 7, FAST, KEYSPACES, offsets={"m1": offset})
    until(world, lambda: all(m.ready for m in world.members.values()), 2 * S)
    for n in range(20):
        name = world.names[n % 5]
        told = update(world, name, "r/x", n)
        assert until(world, lambda told=told: told == [True], S)
        assert until(world, lambda: len(world.roots()) == 1, 2 * S)
        assert world.members["m4"].replica.get("r/x") == n, "the later timestamp wins"


def test_updates_of_a_clock_an_hour_ahead_are_rejected() -> None:
    world = SimulatedFleet(5, 8, FAST, KEYSPACES, offsets={"m1": 3600 * S})
    world.run_until(2 * S)
    update(world, "m1", "r/x", "ahead")
    told = update(world, "m0", "r/x", "now")
    world.run_until(world.now + 2 * S)
    assert told == [True] and world.members["m3"].replica.get("r/x") == "now"
    assert world.members["m3"].replica.rejected["ahead"]


@pytest.mark.parametrize("seed", range(6))
def test_loss_of_three_in_ten_datagrams_delays_but_loses_no_update(seed: int) -> None:
    world = SimulatedFleet(5, seed, FAST, KEYSPACES)
    world.loss = 0.3
    world.run_until(2 * S)
    chance, acked = random.Random(seed), {}
    for n in range(30):
        acked[f"r/{n}"] = update(world, chance.choice(world.names), f"r/{n}", n, wait=5 * S)
        world.run_until(world.now + 50_000)
    world.run_until(world.now + 5 * S)
    assert all(one == [True] for one in acked.values())
    assert until(world, lambda: len(world.roots()) == 1, 10 * S)


def test_a_stalled_process_counts_as_isolated() -> None:
    catch_up = CatchUp(5, 0, CatchUpTiming(max_wait=2 * S, isolation_timeout=S))
    for name in "abc":
        catch_up.next_fetches(0, "abc")
        catch_up.fetch_completed(10, name, True)
    assert catch_up.ready and catch_up.is_current
    catch_up.update_reachable(100_000, 4)
    catch_up.update_reachable(5 * S, 4)  # it was stalled for five seconds
    assert not catch_up.is_current
    catch_up.current_member_seen(5 * S)
    assert not catch_up.ready
    assert catch_up.next_fetches(5 * S, "abcd") == ["a", "b"], "two at once"


def test_a_fetch_from_before_the_isolation_does_not_count_and_a_failed_one_is_retried_later() -> None:
    catch_up = CatchUp(3, 0, CatchUpTiming(max_wait=5 * S, retry_delay=S, isolation_timeout=S))
    assert catch_up.next_fetches(0, ["a", "b"]) == ["a", "b"]
    catch_up.fetch_completed(1, "a", False)
    assert catch_up.next_fetches(2, ["a", "b"]) == [] and catch_up.next_fetches(S + 2, ["a", "b"]) == ["a"]
    catch_up.fetch_completed(S + 3, "b", True)
    assert not catch_up.ready
    catch_up.fetch_completed(S + 4, "a", True)
    assert catch_up.ready and catch_up.is_current


@pytest.mark.parametrize("peers", [4, 100, 1000])
def test_fetch_attempts_of_a_member_are_bounded_whatever_the_fleet_size(peers: int) -> None:
    """Nobody answers: requests per minute are independent of the fleet size, as nearly is a tick's cost."""
    patience, names = CatchUpTiming(), [f"m{n}" for n in range(peers)]
    catch_up, now, attempts = CatchUp(peers + 1, 0, patience), 0, []
    while now < 60 * S:
        asked = catch_up.next_fetches(now, names)
        attempts += [(now, name) for name in asked]
        for name in asked:
            catch_up.fetch_completed(now + 500, name, False)  # refused at once
        now = max(now + 1000, catch_up.wake_at(now) or now + 60 * S)
    assert catch_up.ready and not catch_up.is_current, "it serves meanwhile"
    assert 10 <= len(attempts) <= 2 * (5 + 60 / 8), f"{len(attempts)} attempts"
    assert len({name for _, name in attempts}) == min(peers, len(attempts)), "others are asked too"
    gaps = [b - a for (a, _), (b, _) in zip(attempts, attempts[2:], strict=False)]
    assert min(gaps) >= patience.retry_delay and max(gaps) <= 16 * patience.retry_delay + 2000


def test_a_successful_fetch_ends_the_backoff() -> None:
    catch_up = CatchUp(9, 0, CatchUpTiming(max_wait=60 * S, retry_delay=S, isolation_timeout=S))
    names, now = list("abcdefgh"), 0
    for _ in range(4):
        for name in catch_up.next_fetches(now, names):
            catch_up.fetch_completed(now, name, False)
        now = catch_up.backoff_until
    first, second = catch_up.next_fetches(now, names)
    catch_up.fetch_completed(now, first, True)
    catch_up.fetch_completed(now, second, False)
    assert catch_up.next_fetches(now + S - 1, names) == [], "a failure waits as long as the first did"
    for _ in range(2):
        now += S
        for name in catch_up.next_fetches(now, names):
            catch_up.fetch_completed(now, name, True)
    assert catch_up.ready and catch_up.is_current


def test_the_only_member_of_a_fleet_is_ready_at_once() -> None:
    catch_up = CatchUp(1, 0, CatchUpTiming())
    assert catch_up.ready and catch_up.is_current and catch_up.next_fetches(0, []) == []


class Fleet(RuleBasedStateMachine):
    """Five members under any order of puts, partitions, kills with and without snapshot, loss and pauses. A
    member that lost its memory can catch up before another loses its own, which is the condition of an
    acknowledgement.
    """

    @initialize(seed=st.integers(0, 10_000))
    def begin(self, seed: int) -> None:
        self.world = SimulatedFleet(5, seed, FAST, KEYSPACES, offsets={"m1": 400_000, "m3": -400_000})
        self.acked: dict[str, list[bool]] = {}
        self.number = 0
        self.world.run_until(S)

    @rule(name=st.sampled_from(["m0", "m1", "m2", "m3", "m4"]))
    def put(self, name: str) -> None:
        if name not in self.world.paused:
            self.number += 1
            self.acked[f"r/{self.number}"] = update(self.world, name, f"r/{self.number}", self.number)

    @rule(span=st.integers(1, 15))
    def wait(self, span: int) -> None:
        self.world.run_until(self.world.now + span * 100_000)

    @rule(left=st.sets(st.sampled_from(["m0", "m1", "m2", "m3", "m4"]), max_size=2), one_way=st.booleans())
    def cut(self, left: set[str], one_way: bool) -> None:
        self.world.is_partitioned = lambda a, b: (
            a in left and b not in left or (not one_way and b in left and a not in left)
        )

    @rule()
    def heal(self) -> None:
        self.world.is_partitioned = lambda _, __: False

    @rule(loss=st.sampled_from([0.0, 0.1, 0.3]))
    def lose(self, loss: float) -> None:
        self.world.loss = loss

    @rule(name=st.sampled_from(["m0", "m1", "m2", "m3", "m4"]))
    def write(self, name: str) -> None:
        if name not in self.world.paused:
            self.world.write_snapshot(name)

    @precondition(lambda self: not self.world.paused and all(self.whole()))
    @rule(name=st.sampled_from(["m0", "m1", "m2", "m3", "m4"]))
    def kill(self, name: str) -> None:
        self.world.kill(name)

    def whole(self) -> list[bool]:
        return [member.catch_up.started_at is None for member in self.world.members.values()]

    @precondition(lambda self: self.world.paused)
    @rule(disk=st.booleans())
    def restart(self, disk: bool) -> None:
        for name in list(self.world.paused):
            self.world.restart(name, disk)

    @invariant()
    def tables_are_bounded(self) -> None:
        for member in getattr(self, "world", SimulatedFleet(1, 0, FAST, KEYSPACES)).members.values():
            assert (
                len(member.dissemination.hot_keys) <= max(1, len(member.replica.entries))
                and len(member.fetching) <= 4
            )

    def teardown(self) -> None:
        world = self.world
        world.is_partitioned, world.loss = lambda _, __: False, 0.0
        for name in list(world.paused):
            world.restart(name, disk=True)
        assert until(world, lambda: len(world.roots()) == 1 and world.views_agree(), 30 * S), (
            "replicas differ"
        )
        kept = world.members["m0"].replica
        lost = [key for key, told in self.acked.items() if told == [True] and key not in kept.entries]
        assert not lost, f"acknowledged and lost: {lost}"


TestFleet = Fleet.TestCase
TestFleet.settings = settings(max_examples=30, stateful_step_count=30, deadline=None, derandomize=True)
