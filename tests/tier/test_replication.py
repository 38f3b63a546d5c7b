"""Replication on a simulated network: seeded random faults, with invariants checked after each step."""

from contextvars import Context

import pytest

from crowwing.tier.replication import messages
from crowwing.tier.replication.records import AcceptedViewRecord
from crowwing.tier.replication.replica import Replica, ReplicaSettings
from crowwing.tier.replication.terms import NO_TERM, View
from crowwing.tier.state.tier_state import TierState
from tests.tier.simulation.world import World

HOSTS = ("a", "b", "c")
CATCH_UP_S = 4.8


QUICK_START_S = (0.0, 0.02)


def quick_world(
    seed: int, hosts: tuple[str, ...], seeds: tuple[str, ...] | None = None, faults: int = 1
) -> World:
    """Creates store machines whose processes start without delay."""
    return World(seed, hosts, seeds, faults, start_s=QUICK_START_S)


def test_three_fresh_machines_elect_a_primary_that_acknowledges() -> None:
    world = quick_world(1, HOSTS, HOSTS)
    world.stabilize(1.0)
    world.acknowledge("first", 0.5)


@pytest.mark.parametrize("seed", range(5))
def test_a_primary_that_loses_power_after_an_acknowledgement_loses_nothing(seed: int) -> None:
    world = quick_world(seed, HOSTS, HOSTS)
    world.stabilize()
    world.acknowledge("first")
    host = world.primary()
    world.stop(host, power=True, wipe=seed % 2 == 0)
    world.acknowledge("second")
    world.start(host)
    world.run_for(CATCH_UP_S)
    view = world.replica(world.primary()).view
    assert set(view.members) == set(HOSTS), "it is a member again within the catch-up time"


@pytest.mark.parametrize("seed", range(5))
def test_the_one_that_acknowledged_is_wiped_while_all_others_lose_power(seed: int) -> None:
    world = quick_world(seed, HOSTS, HOSTS)
    world.stabilize()
    world.acknowledge("first")
    host = world.primary()
    for one in HOSTS:
        world.stop(one, power=True, wipe=one == host)
    for one in HOSTS:
        world.start(one)
    world.stabilize(4.0)
    world.acknowledge("second")


def test_a_frozen_primary_is_fenced_when_it_resumes() -> None:
    world = quick_world(3, HOSTS, HOSTS)
    world.stabilize()
    world.acknowledge("first")
    old = world.primary()
    world.freeze(old, 3.0)
    world.run_for(0.05)
    world.acknowledge("second")
    world.run_for(3.0)
    assert world.primary() != old
    world.acknowledge("third")


@pytest.mark.parametrize("direction", ["to", "from", "both"])
def test_a_partitioned_primary_is_replaced_and_readmitted(direction: str) -> None:
    world = quick_world(4, HOSTS, HOSTS)
    world.stabilize()
    world.acknowledge("first")
    old = world.primary()
    others = set(HOSTS) - {old}
    if direction == "from":
        world.partition(others, {old}, one_way=True)
    else:
        world.partition({old}, others, one_way=direction == "to")
    world.acknowledge("second", 4.0)
    world.heal()
    world.run_for(CATCH_UP_S)
    assert world.members() == set(HOSTS)


def test_a_machine_that_is_gone_for_good_is_replaced_at_another_address() -> None:
    world = quick_world(5, HOSTS, HOSTS)
    world.stabilize()
    world.acknowledge("first")
    gone = world.primary()
    world.stop(gone, power=True, wipe=True)
    world.stores.pop(gone)
    world.run_for(2.0)
    world.start("d")
    world.run_for(CATCH_UP_S)
    view = world.replica(world.primary()).view
    assert gone not in view.witnesses and "d" in view.members
    other = next(host for host in view.members if host != world.primary())
    world.stop(other, power=True, wipe=True)
    world.acknowledge("second")


def test_a_machine_that_is_added_to_a_full_view_takes_the_place_of_a_retired_one() -> None:
    world = quick_world(6, HOSTS, HOSTS)
    world.stabilize()
    world.acknowledge("first")
    world.start("d")
    world.run_for(CATCH_UP_S)
    assert world.members() == set(HOSTS), "a full view that tolerates one fault has three members"
    leaving = world.primary()
    world.retire(leaving)
    world.run_for(3.0)
    view = world.replica(world.primary()).view
    assert leaving not in view.members and leaving not in view.witnesses
    assert set(view.members) == {*HOSTS, "d"} - {leaving}
    world.acknowledge("second")


def test_a_seed_killed_before_it_wrote_anything_becomes_a_member() -> None:
    world = quick_world(7, HOSTS, HOSTS)
    world.stop("c")
    world.run_for(0.5)
    world.start("c")
    world.stabilize()
    world.run_for(CATCH_UP_S)
    assert world.members() == set(HOSTS)


def partition_both_ways(world: World, some: set[str], others: set[str]) -> None:
    """Partitions two groups from each other, in both directions."""
    world.partition(some, others)


@pytest.mark.parametrize("seed", range(4))
def test_of_two_halves_the_one_without_a_majority_of_witnesses_acknowledges_nothing(seed: int) -> None:
    hosts = ("a", "b", "c", "d")
    world = quick_world(seed, hosts, HOSTS)
    world.stabilize()
    world.run_for(CATCH_UP_S)
    world.acknowledge("first")
    assert world.witnesses() == set(HOSTS)
    acknowledged_by: list[str] = []
    world.on_acknowledged = acknowledged_by.append
    partition_both_ways(world, {"a", "b"}, {"c", "d"})
    world.run_for(2.0)
    for number in range(20):
        world.propose(f"cut/{number}")
        world.run_for(0.1)
    assert not set(acknowledged_by) & {"c", "d"}, "one of three witnesses is no majority"
    assert set(acknowledged_by) & {"a", "b"}, "two of three witnesses are a majority"
    world.heal()
    world.acknowledge("second", 4.0)


@pytest.mark.parametrize("seed", range(4))
def test_a_view_partitioned_into_two_even_halves_acknowledges_nothing_until_healed(seed: int) -> None:
    world = quick_world(seed, HOSTS, HOSTS)
    world.stabilize()
    world.acknowledge("first")
    gone = next(host for host in HOSTS if host != world.primary())
    world.stop(gone, power=True)
    world.run_for(2.0)
    world.acknowledge("beside one that is gone")
    one, other = sorted(set(HOSTS) - {gone})
    partition_both_ways(world, {one}, {other})
    world.run_for(2.0)
    before = len(world.acknowledged)
    for number in range(20):
        world.propose(f"cut/{number}")
        world.run_for(0.1)
    assert len(world.acknowledged) == before, "neither half has a majority"
    world.heal()
    world.acknowledge("second", 4.0)


@pytest.mark.parametrize("seed", range(6))
def test_a_member_that_missed_entries_and_a_wiped_one_elect_no_primary_without_the_third(seed: int) -> None:
    world = quick_world(seed, HOSTS, HOSTS)
    world.stabilize()
    behind = next(host for host in HOSTS if host != world.primary())
    others = set(HOSTS) - {behind}
    partition_both_ways(world, {behind}, others)
    world.acknowledge("missed")
    wiped = sorted(others)[seed % 2]
    world.stop(wiped, power=True, wipe=True)
    powered_off = (others - {wiped}).pop()
    world.stop(powered_off, power=True)
    world.heal()
    world.start(wiped)
    world.run_for(3.0)
    assert world.primary() is None, "the only replica with the entry on disk is powered off"
    world.start(powered_off)
    world.stabilize(4.0)
    world.acknowledge("later")
    world.run_for(CATCH_UP_S)
    assert world.members() == set(HOSTS)


def test_a_recovered_replica_is_bound_to_the_view_that_it_may_have_accepted() -> None:
    older = View((3, "a"), HOSTS, HOSTS)
    newer = View((5, "a"), ("a", "c"), HOSTS)
    replica = Replica(ReplicaSettings("c", HOSTS, 1), TierState(), 0.0, lambda: 0.5)
    replica.tick(1.4)  # sends recovery requests
    replica.receive(1.5, messages.RecoveryResponse("b", (9, "b"), older))
    replica.receive(1.5, messages.RecoveryResponse("a", (5, "a"), newer))
    replica.receive(2.0, messages.Prepare((10, "b"), "b", NO_TERM))
    output = replica.take_output()
    promises = [message for _, message in output.durable if isinstance(message, messages.Promise)]
    assert [promise.view for promise in promises] == [newer], (
        "otherwise b, which missed that view, could lead without its data"
    )
    assert AcceptedViewRecord(newer) in output.records, "the view must survive a loss of power"


@pytest.mark.parametrize("seed", range(4))
def test_after_a_machine_was_retired_another_may_lose_its_disk(seed: int) -> None:
    world = quick_world(seed, (*HOSTS, "d"), HOSTS)
    world.stabilize()
    world.run_for(CATCH_UP_S)
    world.acknowledge("first")
    leaving = sorted(world.stores)[seed]
    world.retire(leaving)
    for _ in range(50):
        world.run_for(0.1)
        primary = world.primary()
        if primary is not None and leaving not in world.witnesses():
            break
    view = world.replica(world.primary()).view
    assert leaving not in {*view.members, *view.witnesses} and len(view.members) == 3
    world.stop(leaving, power=True, wipe=True)
    world.stores.pop(leaving)
    world.stop(view.members[seed % 3], power=True, wipe=True)
    world.acknowledge("second")


@pytest.mark.parametrize("seed", range(4))
def test_a_primary_that_is_lost_for_good_while_a_member_is_being_retired_is_replaced(seed: int) -> None:
    world = quick_world(seed, HOSTS, HOSTS)
    world.stabilize()
    world.start("d")
    world.run_for(CATCH_UP_S)
    world.acknowledge("first")
    lost = world.primary()
    leaving = sorted(set(HOSTS) - {lost})[seed % 2]
    world.retire(leaving)
    world.run_for(0.05)
    world.stop(lost, power=True, wipe=True)
    world.stores.pop(lost)
    world.acknowledge("second", 2 * CATCH_UP_S)


@pytest.mark.parametrize("seed", range(4))
def test_a_partitioned_member_raises_no_term(seed: int) -> None:
    world = quick_world(seed, HOSTS, HOSTS)
    world.stabilize()
    world.acknowledge("first")
    partitioned = next(host for host in HOSTS if host != world.primary())
    partition_both_ways(world, {partitioned}, set(HOSTS) - {partitioned})
    world.run_for(5.0)
    primary = world.primary()
    assert world.replica(partitioned).promised <= world.replica(primary).promised
    before = world.replica(primary).promised
    world.heal()
    world.run_for(CATCH_UP_S)
    assert world.primary() == primary, "the primary was not replaced"
    assert world.replica(primary).promised[0] <= before[0] + 1, "one new term, to readmit the member"
    assert world.members() == set(HOSTS)


@pytest.mark.parametrize("seed", range(3))
def test_occasional_message_loss_does_not_stop_commits(seed: int) -> None:
    world = quick_world(seed, HOSTS, HOSTS)
    world.network.loss = 0.1
    world.stabilize(4.0)
    for number in range(10):
        world.acknowledge(f"change {number},", 4.0)


FAULT_KINDS = ("kill", "power", "wipe", "freeze", "cut", "one_way", "all", "all_wipe", "none")


class RandomFault:
    """One fault at one machine, or at all of them at once; injected once."""

    def __init__(self, world: World, hosts: tuple[str, ...]) -> None:
        self._world = world
        self.host = world.random.choice(hosts)
        self.kind = world.random.choice(FAULT_KINDS)
        self._is_injected = False

    def inject(self) -> None:
        """Injects the fault."""
        world, host, kind = self._world, self.host, self.kind
        if kind in ("kill", "power", "wipe"):
            world.stop(host, power=kind != "kill", wipe=kind == "wipe")
        elif kind == "freeze":
            world.freeze(host, world.random.uniform(0.3, 3.0))
        elif kind in ("cut", "one_way"):
            others = [other for other in world.stores if other != host]
            world.partition([host], others, one_way=kind == "one_way")
        elif kind in ("all", "all_wipe"):
            for other in sorted(world.stores):
                world.stop(other, power=True, wipe=kind == "all_wipe" and other == host)

    def inject_after_acknowledgement(self, _host: str) -> None:
        """Injects the fault just after the first acknowledgement."""
        if not self._is_injected:
            self._is_injected = True
            delay_s = self._world.random.uniform(0.0, 0.004)
            self._world.loop.call_later(delay_s, self.inject, context=Context())

    def inject_unless_injected(self) -> None:
        """Injects the fault now if there was no acknowledgement."""
        if not self._is_injected:
            self._is_injected = True
            self.inject()


def propose_some(world: World, first: int, count: int, max_pause_s: float) -> int:
    """Proposes numbered changes with random pauses; returns the last number."""
    for number in range(first, first + count):
        world.propose(str(number))
        world.run_for(world.random.uniform(0.0, max_pause_s))
    return first + count - 1


def random_faults(seed: int, hosts: tuple[str, ...], faults: int = 1) -> World:
    """Injects random faults: one tolerated loss at a time, and sometimes a power loss of all machines."""
    world = quick_world(seed, hosts, hosts[:3], faults)
    random = world.random
    number = 0
    for _ in range(6):
        fault = RandomFault(world, hosts)
        if random.random() < 0.5:
            world.on_acknowledged = fault.inject_after_acknowledgement
        number = propose_some(world, number + 1, random.randint(5, 20), 0.15)
        world.on_acknowledged = lambda _host: None
        fault.inject_unless_injected()
        number = propose_some(world, number + 1, random.randint(3, 15), 0.3)
        world.heal()
        for host in hosts:
            if not world.stores[host].is_up:
                world.start(host)
        world.run_for(CATCH_UP_S)
        what = f"seed {seed}, after {fault.kind} of {fault.host}"
        assert world.primary() is not None, f"{what}: no primary after {CATCH_UP_S} s"
        assert len(world.members()) == world.full_view, what
        assert world.members() == world.synchronized_members(), what
    return world


@pytest.mark.parametrize("seed", range(40))
def test_random_faults_lose_nothing(seed: int) -> None:
    hosts = HOSTS if seed % 2 else ("a", "b", "c", "d")
    assert random_faults(seed, hosts).acknowledged
