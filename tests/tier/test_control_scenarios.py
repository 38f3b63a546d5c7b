"""Simulated scenarios: partitions, races, lost disks and slow clocks."""

import asyncio
from typing import Any

import pytest

from crowwing.tier.distribution.documents import SIDECARS
from crowwing.tier.state.events import BatchItem
from crowwing.tier.store import commands, outcomes
from crowwing.tier.wire.codec import decode
from tests.tier.simulation.checkers.configuration import check_configuration
from tests.tier.simulation.checkers.distribution import check_documents
from tests.tier.simulation.clients import Operator
from tests.tier.simulation.history import Call
from tests.tier.simulation.machines import BATCH_HOST, BATCH_PREFIX
from tests.tier.simulation.world import World

STORES = ("m0", "m1", "m2")
CATCH_UP_S = 4.8
SEEDS = range(6)


def put(world: World, operator: Operator) -> int:
    """Makes one change and returns its version."""

    async def work() -> int:
        change = operator.change(await operator.read_until_definite())
        assert await operator.put(change) == 200
        return change.version

    version: int = world.run(work())
    return version


def check_history(world: World, operator: Operator) -> None:
    """Reads the final value and checks the complete history."""

    async def read() -> Any:  # noqa: ANN401
        await operator.read_until_definite()
        return world.history.calls[-1].value

    violations = check_configuration(world.history, world.run(read()))
    assert not violations, violations


@pytest.mark.parametrize("seed", SEEDS)
def test_a_machine_partitioned_for_twenty_seconds_serves_nothing_stale_and_decides_nothing(seed: int) -> None:
    world = World(seed, STORES)
    world.stabilize()
    near, far = Operator(world, "operator-near"), Operator(world, "operator-far")
    put(world, near)
    partitioned = world.primary()
    assert partitioned is not None
    others = [host for host in STORES if host != partitioned]
    world.partition([partitioned], others, refuse=seed % 3 == 1, reset=seed % 3 == 2)
    began = world.now
    answers: list[Call] = []

    async def ask_partitioned() -> None:
        while world.now < began + 20.0:
            store = world.stores[partitioned]
            answers.append(await near.read(store))
            change = near.change(world.history.changes[confirmed_keys()[-1]].version)
            answers.append(await near.put_once(change, store))
            await asyncio.sleep(0.2)

    def confirmed_keys() -> list[str]:
        return [call.key for call in world.history.calls if call.kind == "put" and call.status == 200]

    async def change_at_the_others() -> None:
        far._machines = lambda: [world.stores[host] for host in others]  # type: ignore[method-assign]
        while world.now < began + 20.0:
            await far.put(far.change(await far.read_until_definite()), 5.0)
            await asyncio.sleep(0.5)

    async def both() -> None:
        await asyncio.gather(ask_partitioned(), change_at_the_others())

    world.run(both())
    late = [call for call in answers if call.sent_at > began + 0.6]
    assert late and not any(call.is_definite() for call in late), "a partitioned machine can't be sure"
    assert len(confirmed_keys()) > 10, "the majority continues"
    world.heal()
    world.run_for(3.0)
    assert world.members() == set(STORES)
    check_history(world, near)


@pytest.mark.parametrize("seed", SEEDS)
def test_of_two_changes_of_one_version_one_is_confirmed_and_a_resent_one_is_never_refused(seed: int) -> None:
    world = World(seed, STORES)
    world.stabilize()
    ours, theirs = Operator(world, "operator-a"), Operator(world, "operator-b")
    ours.loss = theirs.loss = 0.6  # of all responses

    async def race() -> None:
        accepted: list[Any] = []
        for _ in range(12):
            base = await ours.read_until_definite()
            same_number = ours.change(base, 3, "a"), theirs.change(base, 3, "b")
            outcomes = await asyncio.gather(ours.put(same_number[0]), theirs.put(same_number[1]))
            assert sorted(map(str, outcomes)) == ["200", "412"], outcomes
            accepted.append(same_number[outcomes.index(200)])
            for change in accepted:
                assert await ours.put(change) == 200, "also after later changes"
        world.stop(str(world.primary()), power=True)
        for change in accepted:
            assert await theirs.put(change) == 200, "also at another primary"

    world.run(race())
    ours.loss = 0.0
    check_history(world, ours)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_second_loss_right_after_a_repair_or_a_decommission_leaves_a_majority_and_all_data(
    seed: int,
) -> None:
    world = World(seed, (*STORES, "m3"), STORES)
    world.stabilize()
    world.run_for(CATCH_UP_S)
    operator = Operator(world, "operator-a")
    put(world, operator)
    leaving = sorted(world.stores)[seed % 4]  # a member or the spare
    assert world.run(operator.retire(leaving, world.now + 10.0)), "it is retired"
    assert len(world.synchronized_members()) == 3
    world.remove(leaving)
    for _ in range(3):
        lost = world.primary() if seed % 2 else sorted(world.members())[0]
        assert lost is not None
        world.stop(lost, power=True, wipe=True)
        began = world.now
        put(world, operator)
        assert world.now - began < 4.0
        world.start(lost)
        world.run_for(world.start_s[1] + CATCH_UP_S)  # the time within which a machine has to catch up
    for number in range(2):
        gone = sorted(world.members())[seed % 3]
        world.remove(gone)
        world.run_for(1.0)
        world.seeds = (f"n{number}", *sorted(world.members())[:2])
        world.start(f"n{number}")
        world.run_for(world.start_s[1] + CATCH_UP_S)
        put(world, operator)
    check_history(world, operator)


@pytest.mark.parametrize("seed", SEEDS)
def test_after_hundreds_of_changes_a_restarted_member_catches_up_and_never_leads_with_stale_state(
    seed: int,
) -> None:
    world = World(seed, STORES)
    world.stabilize()
    operator = Operator(world, "operator-a")
    away = sorted(STORES)[seed % 3]
    world.stop(away, power=seed % 2 == 0)

    async def change_often() -> None:
        version = 0
        for _ in range(400):
            change = operator.change(version)
            assert await operator.put(change) == 200
            version = change.version

    world.run(change_often())
    world.start(away)
    world.run_for(world.start_s[1] + CATCH_UP_S)
    assert world.members() == set(STORES), "it is a member again within the catch-up time"
    for host in STORES:  # it must be able to lead: the others lose power one after another
        if host != away:
            world.stop(host, power=True)
            put(world, operator)
            world.start(host)
            world.run_for(world.start_s[1] + CATCH_UP_S)
    check_history(world, operator)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_primary_that_resumes_after_a_freeze_answers_no_request_from_before_its_end(seed: int) -> None:
    world = World(seed, STORES)
    world.stabilize()
    world.run_for(1.0)
    operator = Operator(world, "operator-a")
    put(world, operator)
    old = world.primary()
    assert old is not None
    world.freeze(old, 3.0)
    freeze_ends_at = world.now + 3.0
    others = [world.stores[host] for host in STORES if host != old]
    operator._machines = lambda: list(others)  # type: ignore[method-assign]
    version = put(world, operator)
    answers: list[Call] = []

    async def request_as_it_resumes() -> None:
        await asyncio.sleep(freeze_ends_at - world.now - 0.5)
        requests = [
            operator.read(world.stores[old]),
            operator.put_once(operator.change(version), world.stores[old]),
            operator.retire_once("unknown", world.stores[old]),
        ]
        answers.extend(await asyncio.gather(*requests))

    world.run(request_as_it_resumes())
    assert not any(call.is_definite() for call in answers), answers
    check_history(world, operator)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_primary_whose_clock_runs_far_too_slowly_hands_out_no_old_configuration(seed: int) -> None:
    world = World(seed, STORES)
    world.stabilize()
    world.run_for(1.0)
    old = world.primary()
    assert old is not None
    world.checks_leases = False  # by its slow clock its leases last five times as long as allowed
    world.stores[old].run_clock_at(0.21)
    world.run_for(1.0)
    assert world.primary() == old
    reader, writer = Operator(world, "operator-reader"), Operator(world, "operator-writer")
    version = put(world, writer)
    others = [world.stores[host] for host in STORES if host != old]
    world.partition([old], [other.host for other in others])
    writer._machines = lambda: list(others)  # type: ignore[method-assign]

    async def read_old() -> None:
        for _ in range(100):
            reading.append(asyncio.ensure_future(reader.read(world.stores[old])))
            await asyncio.sleep(0.02)

    async def change() -> None:
        await asyncio.sleep(0.6)
        await writer.put(writer.change(version))

    async def both() -> None:
        await asyncio.gather(read_old(), change())
        await asyncio.gather(*reading)

    reading: list[asyncio.Future[Call]] = []
    world.run(both())
    world.heal()
    world.run_for(2.0)
    check_history(world, writer)


def test_a_lost_disk_is_repaired_in_time_after_1000_changes_and_with_jobs_of_50_mb() -> None:
    world = World(7, STORES)
    world.network.bytes_per_s = 60e6  # of each connection
    world.stabilize()
    world.run_for(CATCH_UP_S)  # the first view may still lack a seed
    operator = Operator(world, "operator-a")

    async def fill() -> None:
        version = 0
        for number in range(1000):
            change = operator.change(version)
            assert await operator.put(change) == 200
            version = change.version
            if number % 10 == 0:
                store = world.stores[str(world.primary())]
                item = BatchItem("i", "/p", (), bytes(512 * 1024), 1)
                job = commands.SubmitBatchJob(f"lot-{number}", BATCH_HOST, BATCH_PREFIX, (item,))
                assert store.machine is not None
                assert isinstance(await store.machine.service.execute(job), outcomes.Done)

    world.run(fill())
    primary = str(world.primary())
    assert world.state(primary).stored_bytes > 50_000_000
    lost = next(host for host in STORES if host != primary)
    world.stop(lost, power=True, wipe=True)
    world.run_for(1.0)
    world.start(lost)
    world.run_for(world.start_s[1] + CATCH_UP_S)
    assert world.members() == set(STORES)
    assert world.job_digests(lost) == world.job_digests(primary)
    sizes = {host: store.files.size() for host, store in world.stores.items()}
    assert max(sizes.values()) < 4 * 60_000_000, f"file sizes exceed the limit: {sizes}"
    check_history(world, operator)


@pytest.mark.parametrize("seed", range(20))
def test_a_primary_that_transfers_leadership_and_is_partitioned_at_once_leads_no_longer(seed: int) -> None:
    world = World(seed, STORES)
    world.stabilize()
    world.run_for(1.0)
    old = world.primary()
    assert old is not None
    machine = world.stores[old].machine
    assert machine is not None
    machine.transfer_leadership()
    world.run_for(0.0002 * seed)  # the transfer message is in flight
    world.partition([old], [host for host in STORES if host != old])
    world.run_for(2.0)  # each step checks that there is at most one lease
    assert world.primary() not in (None, old)


def test_a_machine_without_a_disk_whose_seeds_are_all_gone_finds_the_others() -> None:
    for seed in range(6):
        world = World(seed, (*STORES, "m3", "m4"), STORES)
        world.stabilize()
        world.run_for(CATCH_UP_S)
        for gone in STORES[:2]:
            world.remove(gone)
            world.run_for(CATCH_UP_S)
        lost = "m3"
        world.stop(lost, power=True, wipe=True)
        world.seeds = STORES[:2]
        world.run_for(3.0 if seed % 2 else 0.2)
        world.start(lost)
        world.run_for(world.start_s[1] + CATCH_UP_S)
        assert world.members() == {"m2", "m3", "m4"}, f"seed {seed}"
        assert world.synchronized_members() == world.members(), f"seed {seed}"


@pytest.mark.parametrize("seed", SEEDS)
def test_a_list_that_was_read_under_a_lease_that_ended_meanwhile_is_not_published(seed: int) -> None:
    """The primary was frozen meanwhile: its list would get the term and number of its successor's first."""
    world = World(seed, STORES, fronts=("f0", "f1"))
    world.stabilize()
    former = world.primary()
    assert former is not None
    world.list_read_s = 1.2
    began = len(world.list_reads)
    while all(host != former for _, host in world.list_reads[began:]):
        world.run_for(0.02)
    world.list_version += 1
    world.list_read_s = 2.0  # of the next primary
    world.freeze(former, 1.0)
    world.run_for(5.0)
    assert world.primary() not in (None, former)
    violations = check_documents(world.recorded_documents)
    assert not violations, violations
    for host in STORES:
        machine = world.stores[host].machine
        assert machine is not None
        document = machine.documents.get(SIDECARS)
        assert document is not None
        assert decode(document.body).sidecars[0].id == f"s-{world.list_version}", host
