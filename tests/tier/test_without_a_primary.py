"""Calls of fronts while there is no primary, and their recovery once there is one."""

import asyncio
import base64
import json
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random

import pytest

from crowwing.tier.clock import Clock
from crowwing.tier.front.store_client import StoreClient
from crowwing.tier.store import commands, outcomes
from crowwing.tier.wire.codec import Decoded
from crowwing.tier.wire.connection import Connection
from tests.tier.simulation.loop import CURRENT_INCARNATION, SimulatedLoop
from tests.tier.simulation.machines import BATCH_PREFIX
from tests.tier.simulation.world import World

SEEDS = (1, 2, 3)
STORES = tuple(f"m{number}" for number in range(5))
FRONTS = tuple(f"f{number}" for number in range(20))
STEADY_S = 4.0
OUTAGE_S = 8.0
SETTLING_S = 2.0  # after the loss of the primary, until all machines have detected it
MAX_AMPLIFICATION = 2.0  # ratio of calls without a primary to calls with one
APPLY_LIMIT_S = 2.0  # the smallest `configApplyMs` of the users' deployments
RELAY_CALLS = {"AttachRequest", "ShuffleRequest"}
ITEM_BODY_BYTES = 1200
JOB_ITEMS = 39
SLOW_CONNECTION_BYTES_PER_S = 80_000  # a batch job takes longer than fronts wait before a search


@contextmanager
def counted_calls(monkeypatch: pytest.MonkeyPatch) -> Iterator[Counter[str]]:
    """Counts the calls of fronts, by the class name of the command."""
    counts: Counter[str] = Counter()
    call = Connection.call

    async def counted(self: Connection, body: object, timeout_s: float) -> Decoded:
        incarnation = CURRENT_INCARNATION.get()
        if incarnation is not None and incarnation.host in FRONTS:
            command = body.command if isinstance(body, commands.ForwardedCommand) else body
            counts[type(command).__name__] += 1
        return await call(self, body, timeout_s)

    with monkeypatch.context() as patch:
        patch.setattr(Connection, "call", counted)
        yield counts


def steady_world(seed: int) -> World:
    """A world in which all fronts have found the primary."""
    world = World(seed, STORES, faults=2, fronts=FRONTS)
    world.stabilize(8.0)
    world.run_for(STEADY_S)
    return world


def lose_the_primary(world: World) -> None:
    """Partitions the store machines from each other, but not from the fronts."""
    for host in STORES:
        world.partition([host], [other for other in STORES if other != host])
    world.run_for(SETTLING_S)
    assert world.primary() is None


def calls_per_s(world: World, counts: Counter[str], span_s: float) -> dict[str, float]:
    """Calls per second of one front, by name."""
    counts.clear()
    world.run_for(span_s)
    return {name: count / span_s / len(FRONTS) for name, count in counts.items()}


@pytest.mark.parametrize("seed", SEEDS)
def test_a_retry_storm_of_store_calls_does_not_follow_the_loss_of_the_primary(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = steady_world(seed)
    with counted_calls(monkeypatch) as counts:
        steady = calls_per_s(world, counts, STEADY_S)
        lose_the_primary(world)
        outage = calls_per_s(world, counts, OUTAGE_S)
    world.close()
    with_primary = sum(rate for name, rate in steady.items() if name not in RELAY_CALLS)
    without = sum(rate for name, rate in outage.items() if name not in RELAY_CALLS)
    assert without <= MAX_AMPLIFICATION * with_primary, (steady, outage)


@pytest.mark.parametrize("seed", SEEDS)
def test_all_fronts_find_a_new_primary_in_time_after_a_long_outage(seed: int) -> None:
    world = steady_world(seed)
    lose_the_primary(world)
    world.run_for(OUTAGE_S)
    world.heal()
    world.stabilize(8.0)
    world.run_for(APPLY_LIMIT_S)
    primary = world.primary()
    for front in world.fronts.values():
        assert front.relay is not None and front.store is not None
        assert front.relay.tracker.is_connected and front.relay.tracker.root == primary
    world.close()


def submit(world: World) -> int:
    """Submits a batch job of several items at a front; returns the status."""
    item_body = base64.b64encode(b"x" * ITEM_BODY_BYTES).decode()
    items = [
        {"id": f"i{number}", "path": f"{BATCH_PREFIX}x", "headers": {}, "tokens": 9, "body": item_body}
        for number in range(JOB_ITEMS)
    ]
    front = world.fronts["f0"]
    work = front.batch_call("POST", f"{BATCH_PREFIX}j", "j", json.dumps({"requests": items}).encode())

    async def submitted() -> int:
        status, _ = await front.spawn(work)
        assert isinstance(status, int)
        return status

    status = world.run(submitted())
    assert isinstance(status, int)
    return status


@pytest.mark.parametrize("seed", SEEDS)
def test_a_batch_job_is_not_sent_to_machine_after_machine_without_a_primary(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = steady_world(seed)
    lose_the_primary(world)
    with counted_calls(monkeypatch) as counts:
        status = submit(world)
    world.close()
    assert status == 503
    assert counts["SubmitBatchJob"] <= 1, counts


@pytest.mark.parametrize("seed", SEEDS)
def test_a_batch_job_is_sent_once_to_a_primary_whose_commits_are_slow(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = steady_world(seed)
    world.network.bytes_per_s = SLOW_CONNECTION_BYTES_PER_S
    with counted_calls(monkeypatch) as counts:
        status = submit(world)
    world.close()
    assert status == 202
    assert counts["SubmitBatchJob"] == 1, counts


class UnsureConnections:
    """The primary responds after a delay; other machines never respond to GetStatus."""

    def __init__(self, response_s: float) -> None:
        self._response_s = response_s

    async def call(self, _host: str, body: commands.ForwardedCommand, timeout_s: float) -> Decoded:
        """Waits for the response; a GetStatus times out."""
        is_question = isinstance(body.command, commands.GetStatus)
        await asyncio.sleep(100 * timeout_s if is_question else self._response_s)
        return outcomes.Done()


@pytest.mark.parametrize(("response_s", "limit_s"), [(0.75, 2.5), (9.0, 0.9)])
def test_a_caller_gets_its_response_at_once_while_others_are_asked_for_the_primary(
    response_s: float, limit_s: float
) -> None:
    loop = SimulatedLoop()

    async def call() -> float:
        connections = UnsureConnections(response_s)
        clock = Clock(loop.time, lambda: 0)
        client = StoreClient(connections, lambda: ["p", "x", "y"], Random(1), clock)  # type: ignore[arg-type]
        client.primary_moved("p")
        began = loop.time()
        await client.call(commands.EndBatchJob("j"), limit_s)
        return loop.time() - began

    assert loop.run_until_complete(call()) <= min(response_s, limit_s) + 0.01
