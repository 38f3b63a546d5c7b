"""Simulated runs by seed: a phase with clients and faults, recovery without faults, then checks."""

import asyncio
from dataclasses import dataclass

from crowwing.tier.replication import log
from crowwing.tier.store import disk
from tests.tier.simulation.checkers.batch_jobs import check_batch_jobs, check_read_back
from tests.tier.simulation.checkers.configuration import check_configuration
from tests.tier.simulation.checkers.distribution import check_documents
from tests.tier.simulation.clients import BatchJobClient, Operator
from tests.tier.simulation.faults import CATCH_UP_S, Faults
from tests.tier.simulation.world import InvariantError, World

RECOVERY_S = 12.0
ACK_S = 4.0
READ_BACK_S = 20.0


@dataclass(frozen=True)
class Kind:
    """The parameters of a run."""

    stores: int = 3
    faults: int = 1
    exceeds_tolerance: bool = False
    span_s: float = 30.0
    gap_s: float = 4.0
    rewrite_bytes: int = disk.MIN_COMPACTION_BYTES  # file size from which a file may be compacted
    log_entries: int = log.MAX_ENTRIES  # entries for replicas that catch up; others get ranges


KINDS = {
    "three": Kind(),
    "four": Kind(stores=4),
    "five-two": Kind(stores=5, faults=2),
    "seven": Kind(stores=7),
    "beyond": Kind(exceeds_tolerance=True),
    "beyond-four": Kind(stores=4, exceeds_tolerance=True),
    "beyond-five-two": Kind(stores=5, faults=2, exceeds_tolerance=True),
    "dense": Kind(stores=4, gap_s=1.0, span_s=20.0),
    "short-files": Kind(rewrite_bytes=8_000, log_entries=40),
    "short-files-beyond": Kind(stores=4, exceeds_tolerance=True, rewrite_bytes=8_000, log_entries=15),
    "twelve": Kind(stores=12, faults=2, span_s=20.0),
}


def play(seed: int, kind: Kind) -> World:
    """Runs a seed; raises InvariantError with the violations."""
    kept = disk.MIN_COMPACTION_BYTES, log.MAX_ENTRIES
    disk.MIN_COMPACTION_BYTES, log.MAX_ENTRIES = kind.rewrite_bytes, kind.log_entries
    try:
        return _play(seed, kind)
    finally:
        disk.MIN_COMPACTION_BYTES, log.MAX_ENTRIES = kept


def _play(seed: int, kind: Kind) -> World:
    hosts = [f"m{number}" for number in range(kind.stores)]
    world = World(seed, hosts, faults=kind.faults, fronts=("f0", "f1"))
    world.stabilize()
    operators = [Operator(world, f"operator-{number}") for number in range(3)]
    operators[2].loss = 0.4
    clients = [BatchJobClient(world, f"client-{number}") for number in range(2)]
    until = world.now + kind.span_s
    faults = Faults(world, kind.exceeds_tolerance)

    async def inject_faults() -> None:
        works = [
            *(x.work(until) for x in operators),
            *(x.work(until) for x in clients),
            faults.work(until, kind.gap_s),
        ]
        await asyncio.gather(*works)

    world.run(inject_faults())
    _end_faults(world, faults)
    violations = _check_liveness(world, operators[0])
    final = _read_back(world, operators[0])
    found: dict[str, int | None] = {}
    world.run(_read_batch_jobs(world, clients[0], found))
    violations += check_configuration(world.history, final)
    violations += check_batch_jobs(world.history) + check_read_back(world.history, found)
    violations += check_documents(world.recorded_documents)
    world.raise_violations()
    if violations:
        raise InvariantError(f"seed {seed}: " + "; ".join(violations[:4]))
    return world


def _end_faults(world: World, faults: Faults) -> None:
    """Ends all faults and starts everything that is down."""
    world.heal()
    world.network.loss = 0.0
    for host, store in world.stores.items():
        store.disk_faults.factor, store.files.is_full = 1.0, False
        if store.incarnation is not None:
            store.incarnation.quota = 1.0
        if not store.is_up:
            world.start(host)
    for front in world.fronts.values():
        if not front.is_up:
            front.start()
    longest = max(
        (store.incarnation.frozen_until for store in world.stores.values() if store.incarnation), default=0.0
    )
    world.run_for(
        max(0.0, longest - world.now) + (RECOVERY_S if faults.exceeds_tolerance else CATCH_UP_S + 1.0)
    )


def _check_liveness(world: World, operator: Operator) -> list[str]:
    """Checks that without faults a change is confirmed in time and the view has all possible members."""
    began = world.now

    async def change() -> int | None:
        base = await operator.read_until_definite(ACK_S)
        return await operator.put(operator.change(base), ACK_S)

    violations = []
    if world.run(change()) != 200:
        violations.append(f"no change was confirmed within {world.now - began:.1f} s without faults")
    primary = world.primary()
    if primary is None:
        return [*violations, "there is no primary"]
    able = set(world.stores) - world.state(primary).retired_hosts()
    expected_count = min(len(able), world.full_view)
    members = world.members()
    if len(members) != expected_count or not members <= able:
        violations.append(f"members are {sorted(members)}, not {expected_count} of {sorted(able)}")
    if world.synchronized_members() != members:
        violations.append(f"without data: {sorted(members - world.synchronized_members())}")
    if len(members) == world.full_view and world.witnesses() != members:
        violations.append(f"witnesses of a full view are {sorted(world.witnesses())}")
    if world.witnesses() - set(world.stores):
        violations.append(f"witnesses are {sorted(world.witnesses())}")
    return violations


def _read_back(world: World, operator: Operator) -> tuple[int, str] | None:
    async def read() -> tuple[int, str] | None:
        deadline = world.now + READ_BACK_S
        while world.now < deadline:
            call = await operator.read()
            if call.value is not None:
                version, content = call.value
                return version, content
            await asyncio.sleep(0.2)
        return None

    final: tuple[int, str] | None = world.run(read())
    return final


async def _read_batch_jobs(world: World, client: BatchJobClient, found: dict[str, int | None]) -> None:
    for job in sorted(
        {call.key for call in world.history.calls if call.kind == "submit" and call.status == 202}
    ):
        for _ in range(10):
            found[job] = (await client.read(job, 0)).status
            if found[job] == 200:
                break
            await asyncio.sleep(0.2)
