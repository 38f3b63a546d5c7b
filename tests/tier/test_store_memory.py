"""Send buffers of the primary stay within its memory while its uplink is far slower than its appends."""

import asyncio

from crowwing.tier.replication.timing import MAX_APPEND_BYTES
from crowwing.tier.state import events
from crowwing.tier.state.tier_state import TierState
from crowwing.tier.store import outcomes
from crowwing.tier.store.decisions import Decision
from crowwing.tier.wire.connection import MAX_BUFFERED_BYTES
from tests.tier.simulation.world import FAR_MS, World

SEED = 1
STORES = tuple(f"m{number}" for number in range(18))
MEMORY_BYTES = 310_000_000  # limit of one process (dncmu-outlet-large)
FAULTS = 8  # so that a full view has 17 members
OUTAGE_S = 15.0  # `recoveryS` of dncmu-outlet-large
CONNECTION_BYTES_PER_S = 75_000  # a twelfth of an equal share of a 120 Mbit/s link
JOBS_PER_S = 5.0
JOB_ITEMS = 39
ITEM_BYTES = 4_300


def test_a_primary_behind_a_slow_uplink_does_not_fill_its_memory_with_resent_entries() -> None:
    world = World(SEED, STORES, faults=FAULTS)
    world.stabilize(8.0)
    world.run_for(6.0)
    primary = world.primary()
    assert primary is not None and len(world.members()) == world.full_view
    world.network.bytes_per_s = CONNECTION_BYTES_PER_S
    body = b"x" * ITEM_BYTES
    items = tuple(events.BatchItem(f"i{number}", "/x", (), body, 9) for number in range(JOB_ITEMS))

    async def propose(number: int) -> None:
        machine = world.stores[primary].machine
        assert machine is not None
        event = events.BatchJobAccepted(f"j{number}", "h", "/", items, FAR_MS)

        def decide(_state: TierState) -> Decision:
            return Decision((event,), outcomes.Done())

        await machine.node.decide(decide)

    async def propose_all() -> None:
        for number in range(int(JOBS_PER_S * OUTAGE_S)):
            world.stores[primary].spawn(propose(number))
            await asyncio.sleep(1 / JOBS_PER_S)

    world.run(propose_all())
    buffered = [endpoint.get_write_buffer_size() for endpoint in world.network.endpoints_of(primary)]
    world.close()
    assert sum(buffered) < MEMORY_BYTES
    assert max(buffered) < MAX_BUFFERED_BYTES + 2 * MAX_APPEND_BYTES
