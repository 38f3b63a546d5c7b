"""Repair by range digests of machines that lack entries no longer in the log, on a simulated network."""

import pytest

from crowwing.tier.replication import log, range_transfer, timing
from tests.tier.simulation.world import World
from tests.tier.test_replication import CATCH_UP_S, HOSTS, quick_world, random_faults

FIVE = ("a", "b", "c", "d", "e")


@pytest.mark.parametrize("seed", range(40))
def test_random_faults_with_short_logs_lose_nothing(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(log, "MAX_ENTRIES", 3)  # a replica that missed more entries is repaired by ranges
    monkeypatch.setattr(range_transfer, "MAX_RANGES_PER_REQUEST", 2)
    world = random_faults(seed, HOSTS) if seed % 2 else random_faults(seed, FIVE, faults=2)
    assert world.acknowledged and world.chunks_sent


@pytest.mark.parametrize("seed", range(10))
def test_random_faults_with_a_spare_and_short_logs_lose_nothing(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(log, "MAX_ENTRIES", 3)
    monkeypatch.setattr(range_transfer, "MAX_RANGES_PER_REQUEST", 2)
    assert random_faults(seed, FIVE[:4]).acknowledged


@pytest.mark.parametrize("seed", range(4))
def test_a_machine_that_missed_little_is_sent_little(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(log, "MAX_ENTRIES", 3)
    world = quick_world(seed, HOSTS, HOSTS)
    world.stabilize()
    for number in range(30):
        world.acknowledge(f"held {number},")
    host = next(host for host in HOSTS if host != world.primary())
    world.stop(host)
    for number in range(6):
        world.acknowledge(f"missed {number},")
    world.chunks_sent = world.ranges_sent = 0
    world.start(host)
    world.run_for(CATCH_UP_S)
    assert world.members() == set(HOSTS)
    assert world.job_digests(host) == world.job_digests(world.primary())
    assert 1 <= world.ranges_sent <= 12, "six entries, some of them proposed twice, change few ranges"


@pytest.mark.parametrize("seed", range(4))
def test_a_repair_in_chunks_lets_entries_commit_meanwhile(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(log, "MAX_ENTRIES", 60)
    monkeypatch.setattr(range_transfer, "MAX_RANGES_PER_REQUEST", 1)
    world = quick_world(seed, HOSTS, HOSTS)
    world.stabilize()
    for number in range(70):
        world.acknowledge(f"held {number},")
    host = next(host for host in HOSTS if host != world.primary())
    world.stop(host, power=True, wipe=True)
    world.chunk_transfer_s = 0.02
    world.start(host)
    for number in range(20):
        world.acknowledge(f"during {number},")
    world.run_for(CATCH_UP_S)
    assert world.chunks_sent > 30
    assert world.members() == set(HOSTS)
    assert world.job_digests(host) == world.job_digests(world.primary())


def wipe_two_members(world: World, hosts: tuple[str, ...]) -> None:
    """Wipes and restarts two members; the transfer of a chunk of ranges takes 2 s."""
    world.stabilize()
    world.run_for(CATCH_UP_S)
    world.acknowledge("first")
    others = [host for host in hosts if host != world.primary()]
    world.chunk_transfer_s = 2.0
    for host in others[:2]:
        world.stop(host, power=True, wipe=True)
    world.acknowledge("second", 2.0)
    for replica in world.replicas().values():
        replica.log.reset(replica.log.last)  # the log no longer holds the entries that they lack
    for host in others[:2]:
        world.start(host)


@pytest.mark.parametrize("seed", range(4))
def test_repairs_of_two_machines_delay_no_acknowledgement(seed: int) -> None:
    world = quick_world(seed, FIVE, HOSTS, faults=2)
    wipe_two_members(world, FIVE)
    for number in range(20):
        world.acknowledge(f"during {number},", 0.4)
    world.run_for(CATCH_UP_S)
    assert world.members() == set(FIVE)
    assert world.chunks_sent <= 6, "chunks in flight are not sent again"


@pytest.mark.parametrize("seed", range(4))
def test_a_new_primary_does_not_wait_for_machines_that_need_a_repair(seed: int) -> None:
    seven = (*FIVE, "f", "g")
    world = quick_world(seed, seven, HOSTS, faults=3)
    wipe_two_members(world, seven)
    world.run_for(timing.RECOVERY_DELAY_S + 0.7)
    world.stop(world.primary())
    world.acknowledge("third", 2.0)


@pytest.mark.parametrize("seed", range(4))
def test_where_too_few_replicas_are_left_one_candidate_waits_for_a_repair_undisturbed(seed: int) -> None:
    world = quick_world(seed, FIVE, HOSTS, faults=2)
    wipe_two_members(world, FIVE)
    world.run_for(timing.RECOVERY_DELAY_S + 0.1)
    world.stop(world.primary())
    world.acknowledge("third", 4.5)
    assert world.chunks_sent <= 8
