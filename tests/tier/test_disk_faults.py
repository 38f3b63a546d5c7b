"""Full, stalled and slow disks of one or several replicas, and compactions that fail or lose power."""

import asyncio
import threading
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any

import pytest

from crowwing.tier.replication.core import Role
from crowwing.tier.storage.compaction import CompactedFile
from crowwing.tier.storage.errors import StorageError
from crowwing.tier.storage.record_file import RecordFile
from crowwing.tier.store import disk_writer
from crowwing.tier.store.decisions import Decision
from crowwing.tier.store.disk import Disk
from crowwing.tier.store.environment import Environment
from crowwing.tier.store.message_sender import ReplicaConnections
from crowwing.tier.store.node import ReplicaIdentity, ReplicaNode
from crowwing.tier.store.outcomes import Done
from crowwing.tier.wire.connection_pool import ConnectionPool
from tests.tier.simulation.world import World
from tests.tier.test_replication import CATCH_UP_S, HOSTS, quick_world

MEGABYTE = 1024 * 1024


@pytest.mark.parametrize("seed", range(4))
def test_a_primary_with_a_full_disk_transfers_leadership_and_comes_back(seed: int) -> None:
    world = quick_world(seed, HOSTS, HOSTS)
    world.stabilize()
    world.acknowledge("first")
    full = world.primary()
    world.fill_disk(full, 5.0)
    world.acknowledge("second", 2.0)
    assert world.primary() != full
    world.run_for(6.0)
    world.acknowledge("third", 1.0)
    world.run_for(CATCH_UP_S)
    assert world.members() == set(HOSTS)


def test_acknowledged_entries_survive_a_power_failure_of_a_full_disk() -> None:
    world = quick_world(9, HOSTS, HOSTS)
    world.stabilize()
    world.acknowledge("first")
    full = world.primary()
    world.fill_disk(full, 3.0)
    world.acknowledge("second", 2.0)
    world.stop(full, power=True)
    world.start(full)
    world.run_for(CATCH_UP_S)
    world.acknowledge("third")
    assert world.members() == set(HOSTS)


def test_all_disks_full_at_once_acknowledge_nothing_and_go_on_later() -> None:
    world = quick_world(10, HOSTS, HOSTS)
    world.stabilize()
    world.acknowledge("first")
    for machine in world.stores.values():
        world.fill_disk(machine.host, 2.0)
    before = len(world.acknowledged)
    for number in range(15):
        world.propose(f"full/{number}")
        world.run_for(0.1)
    assert len(world.acknowledged) == before
    world.run_for(1.5)
    world.acknowledge("second", 4.0)


@pytest.mark.parametrize("of_primary", [True, False])
def test_a_stalled_disk_delays_the_others_only_briefly(of_primary: bool) -> None:
    world = quick_world(11, HOSTS, HOSTS)
    world.stabilize()
    world.acknowledge("first")
    machine = next(x for x in world.stores.values() if (x.host == world.primary()) == of_primary)
    machine.disk_faults.stalled_until = world.now + 6.0
    world.acknowledge("second", 2.5)
    assert machine.host not in world.members()
    world.run_for(6.0 + CATCH_UP_S)
    assert world.members() == set(HOSTS)


@pytest.mark.parametrize("of_primary", [True, False])
def test_a_member_with_a_slow_disk_is_removed_and_joins_again(of_primary: bool) -> None:
    world = quick_world(12, HOSTS, HOSTS)
    world.stabilize()
    world.acknowledge("first")
    machine = next(x for x in world.stores.values() if (x.host == world.primary()) == of_primary)
    machine.disk_faults.factor = 60.0
    for number in range(6):
        world.acknowledge(f"slow {number},", 3.0)
    primary = world.primary()
    assert primary != machine.host
    assert machine.host not in world.members()
    machine.disk_faults.factor = 1.0
    for number in range(40):
        world.propose(f"quick {number}")
        world.run_for(0.2)
    assert world.members() == set(HOSTS)


def test_two_members_of_three_with_slow_disks_are_not_removed() -> None:
    world = quick_world(13, HOSTS, HOSTS)
    world.stabilize()
    for host in HOSTS[:2]:
        world.stores[host].disk_faults.factor = 40.0
    for number in range(5):
        world.acknowledge(f"slow {number},", 3.0)
    assert len(world.members()) >= 2, "nothing is acknowledged on a single replica"


def random_disk_faults(seed: int) -> World:
    """Simulates random disk faults and power failures, one after another."""
    world = quick_world(seed, HOSTS, HOSTS)
    random = world.random
    world.stabilize()
    for number in range(4):
        machine = world.stores[random.choice(HOSTS)]
        span = random.uniform(0.2, 3.0)
        match random.choice(["full", "stall", "slow", "power"]):
            case "full":
                world.fill_disk(machine.host, span)
            case "stall":
                machine.disk_faults.stalled_until = world.now + span
            case "slow":
                machine.disk_faults.factor = random.choice([5.0, 30.0, 60.0])
            case "power":
                world.stop(machine.host, power=True, wipe=random.random() < 0.5)
        for index in range(int(span / 0.1)):
            world.propose(f"{number}/{index}")
            world.run_for(random.uniform(0.0, 0.2))
        machine.disk_faults.factor = 1.0
        if not machine.is_up:
            world.start(machine.host)
        for index in range(10):
            world.propose(f"{number}/after/{index}")
            world.run_for(0.2)
        world.run_for(CATCH_UP_S)
        assert world.primary() is not None, f"seed {seed}: no primary"
        members = world.members()
        assert members == set(HOSTS), f"seed {seed}: {members}"
    return world


@pytest.mark.parametrize("seed", range(20))
def test_random_disk_faults_lose_nothing(seed: int) -> None:
    assert random_disk_faults(seed).acknowledged


class FailingDisk(Disk):
    """A disk whose writes fail while `full` is set."""

    full = False

    async def write(self, records: list[Any]) -> None:
        """Raises StorageError while full."""
        if self.full:
            raise StorageError("state.log", "no space left on device")
        await super().write(records)

    async def replace_all(self, records: list[Any]) -> None:
        """Raises StorageError while full."""
        if self.full:
            raise StorageError("state.log", "no space left on device")
        await super().replace_all(records)


async def wait_until(condition: Any, limit_s: float = 5.0) -> None:  # noqa: ANN401
    """Waits until a condition holds; raises TimeoutError after `limit_s` seconds."""
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.005)


def test_a_node_with_a_full_disk_steps_down_and_keeps_running(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(disk_writer, "DISK_RETRY_INTERVAL_S", 0.02)

    async def scenario() -> None:
        disk = FailingDisk(tmp_path)
        identity = ReplicaIdentity("127.0.0.1", ("127.0.0.1",), 0)
        connections = ReplicaConnections(ConnectionPool(1), ConnectionPool(1))
        node = ReplicaNode(identity, disk, connections, Environment(Random(1)))
        node.start(True, ("127.0.0.1",))
        tasks = [asyncio.ensure_future(node.run_disk()), asyncio.ensure_future(node.run_clock())]
        await wait_until(lambda: node.replica.role is Role.PRIMARY)
        disk.full = True
        outcome = asyncio.ensure_future(node.decide(lambda _: Decision((), Done())))
        node.replica.propose(0.0, b"\xf6")
        node.step()
        await wait_until(lambda: node.disk_failed)
        assert node.replica.role is Role.FOLLOWER
        assert await outcome != Done()
        disk.full = False
        await wait_until(lambda: not node.disk_failed)
        await wait_until(lambda: node.replica.role is Role.PRIMARY)
        assert not any(task.done() for task in tasks), "no task of the process may end"
        for task in tasks:
            task.cancel()

    asyncio.run(scenario())


def test_a_failed_compaction_keeps_the_old_content_and_removes_the_new_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "state.log"
    file = RecordFile(path)
    file.open()
    file.append([b"kept"])

    def no_space(*_: object) -> None:
        raise OSError(28, "no space left on device")

    with monkeypatch.context() as patched:
        patched.setattr("os.replace", no_space)
        with pytest.raises(StorageError):
            file.compact([b"new"])
    assert not (tmp_path / "state.log.new").exists()
    file.append([b"later"])
    file.close()
    assert RecordFile(path).open() == [b"kept", b"later"]


def test_a_file_is_not_compacted_where_both_do_not_fit_on_the_disk(tmp_path: Path) -> None:
    disk = Disk(tmp_path, 20 * MEGABYTE)
    disk.open()
    disk._file.append([bytes(12 * MEGABYTE)])
    assert disk.needs_compaction(2 * MEGABYTE)
    assert not disk.needs_compaction(9 * MEGABYTE), "9 MB more do not fit on a disk of 20 MB beside 12 MB"


def test_a_file_is_compacted_sooner_on_a_small_disk(tmp_path: Path) -> None:
    disk = Disk(tmp_path, 10 * MEGABYTE)
    disk.open()
    disk._file.append([bytes(5 * MEGABYTE)])
    assert disk.needs_compaction(2 * MEGABYTE)
    assert not disk.needs_compaction(4 * MEGABYTE), "a compaction would free too little"


class BlockedRecords:
    """Records whose iteration waits until `unblocked` is set."""

    def __init__(self, records: list[Any]) -> None:
        self._records = records
        self.unblocked = threading.Event()

    def __iter__(self) -> Iterator[Any]:
        self.unblocked.wait(5)
        return iter(self._records)


def test_writes_do_not_wait_for_a_compaction_in_flight(tmp_path: Path) -> None:
    async def scenario() -> None:
        disk = Disk(tmp_path)
        disk.open()
        await disk.write(["old"])
        compacted = BlockedRecords(["all"])
        disk.begin_compaction(compacted)
        await asyncio.wait_for(disk.write(["meanwhile"]), 2)
        assert not disk.needs_compaction(0), "one compaction at a time"
        compacted.unblocked.set()
        await wait_until(lambda: disk._compaction.replacement.done())
        await disk.write(["later"])
        await disk.write(["last"])

    asyncio.run(scenario())
    assert Disk(tmp_path).open() == ["all", "meanwhile", "later", "last"]


@pytest.mark.parametrize("fails", ["while it is made", "at its end"])
def test_a_compaction_that_fails_loses_no_write(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, fails: str
) -> None:
    def no_space(*_: object) -> None:
        raise OSError(28, "no space left on device")

    async def scenario() -> None:
        disk = Disk(tmp_path)
        disk.open()
        await disk.write(["old"])
        with monkeypatch.context() as patched:
            if fails == "while it is made":
                patched.setattr(CompactedFile, "_sync", no_space)
            compacted = BlockedRecords(["all"])
            disk.begin_compaction(compacted)
            await disk.write(["meanwhile"])
            compacted.unblocked.set()
            await wait_until(lambda: disk._compaction.replacement.done())
            patched.setattr(CompactedFile, "_sync", no_space)
            await disk.write(["later"])
        await disk.write(["last"])

    asyncio.run(scenario())
    assert Disk(tmp_path).open() == ["old", "meanwhile", "later", "last"]


def test_a_power_failure_at_each_step_of_a_compaction_loses_no_write(tmp_path: Path) -> None:
    async def scenario(folder: Path, step_count: int) -> list[Any]:
        disk = Disk(folder)
        disk.open()
        # Blocked until the concurrent write is done: a write installs a compaction that is ready.
        compacted = BlockedRecords(["old and older"])
        steps = [
            lambda: disk.write(["old"]),
            lambda: disk.write(["older"]),
            lambda: begin(disk, compacted),
            lambda: disk.write(["meanwhile"]),
            lambda: finish(disk, compacted),
            lambda: disk.write(["later"]),
            lambda: disk.write(["last"]),
        ]
        for step in steps[:step_count]:
            await step()
        found = Disk(folder).open()
        compacted.unblocked.set()  # lets its thread end
        return found

    async def begin(disk: Disk, compacted: BlockedRecords) -> None:
        disk.begin_compaction(compacted)

    async def finish(disk: Disk, compacted: BlockedRecords) -> None:
        compacted.unblocked.set()
        await wait_until(lambda: disk._compaction.replacement.done())

    def expanded(records: list[Any]) -> list[Any]:
        return ["old", "older", *records[1:]] if records[:1] == ["old and older"] else records

    written = ["old", "older", "meanwhile", "later", "last"]
    counts = [0, 1, 2, 2, 3, 3, 4, 5]
    for step_count, count in enumerate(counts):
        found = asyncio.run(scenario(tmp_path / str(step_count), step_count))
        assert expanded(found) == written[:count], f"after {step_count} steps"
