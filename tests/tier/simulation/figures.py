"""Latencies of the simulated control plane without faults: `python -m tests.tier.simulation.figures`."""

import asyncio
import logging
import time

from crowwing.tier.distribution.documents import CONFIGURATION, Document
from crowwing.tier.store import commands
from tests.tier.simulation.clients import Operator
from tests.tier.simulation.world import World

CHANGES = 300


def quantiles(values: list[float]) -> str:
    """The median and the 99th percentile, in milliseconds."""
    ordered = sorted(values)
    median, high = ordered[len(ordered) // 2], ordered[int(len(ordered) * 0.99)]
    return f"p50 {median * 1000:.1f} ms, p99 {high * 1000:.1f} ms"


def record_arrivals(world: World) -> dict[int, list[float]]:
    """The times at which fronts receive configurations, by version; filled while the world runs."""
    received_at: dict[int, list[float]] = {}
    original = world.record_document

    def record(host: str, document: Document) -> None:
        original(host, document)
        if document.kind == CONFIGURATION:
            received_at.setdefault(document.version[0], []).append(world.now)

    world.record_document = record  # type: ignore[method-assign]
    return received_at


def main() -> None:
    """The command."""
    logging.disable(logging.CRITICAL)
    began = time.monotonic()
    world = World(1, ("m0", "m1", "m2"), fronts=[f"f{number}" for number in range(9)])
    world.stabilize()
    world.run_for(5.0)
    operator = Operator(world, "operator-a")
    confirmed: list[float] = []
    in_force: list[float] = []
    received_at = record_arrivals(world)

    async def change() -> None:
        version = 0
        for _ in range(CHANGES):
            sent = world.now
            step = operator.change(version)
            assert await operator.put(step) == 200
            confirmed.append(world.now - sent)
            version = step.version
            await asyncio.sleep(0.7)
            assert len(received_at[version]) == len(world.fronts)
            in_force.append(max(received_at[version]) - sent)

    world.run(change())
    machine = world.stores[str(world.primary())].machine
    assert machine is not None

    async def read(command: object) -> list[float]:
        times = []
        for _ in range(CHANGES):
            sent = world.now
            await machine.service.execute(command)
            times.append(world.now - sent)
            await asyncio.sleep(0.013)
        return times

    print(f"a change is confirmed: {quantiles(confirmed)}")
    print(f"a change is in force at all {len(world.fronts)} fronts: {quantiles(in_force)}")
    print(f"reading the configuration, by a round: {quantiles(world.run(read(commands.GetConfiguration())))}")
    by_lease = quantiles(world.run(read(commands.ReadBatchJob("none", 0, 0))))
    print(f"reading a batch job, by the lease: {by_lease}")
    took_s = time.monotonic() - began
    print(f"{world.now:.0f} simulated seconds in {took_s:.1f} s, 3 store machines and 9 fronts")


if __name__ == "__main__":
    main()
