"""Time without commits after a loss of the primary, and the use of its uplink meanwhile.

`python -m tests.tier.simulation.loss_figures --machines 5 10 20 30 --load 1 2 --state-jobs 0 50`
"""

import argparse
import itertools
import logging
from collections import Counter, defaultdict
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

from crowwing.tier.replication.messages import Message
from crowwing.tier.store.replication_traffic import Purpose, purpose_of
from crowwing.tier.wire.connection_pool import ConnectionPool
from tests.tier.simulation.machines import Store
from tests.tier.simulation.network import Endpoint
from tests.tier.simulation.saturation import (
    ITEM_BYTES,
    ITEMS_PER_JOB,
    UPLINK_BYTES_PER_S,
    Findings,
    SaturationRun,
    Scenario,
)
from tests.tier.simulation.world import World

SAMPLE_INTERVAL_S = 0.05
SLOT_S = 0.1  # time slot over which bytes are summed
LONG_WAIT_S = 0.3  # the lease duration: heartbeats behind such a queue arrive too late
OTHER = "other"


@dataclass
class UplinkRecord:
    """Bytes that store machines write to their uplinks, and the contents of long queues.

    Attributes:
        written: bytes by time slot, host and purpose.
        waits: time and longest wait of any store machine's uplink.
        long_queues: time, and bytes by purpose of the longest queue, where heartbeats wait too long in it.
    """

    written: dict[tuple[int, str], Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    waits: list[tuple[float, float]] = field(default_factory=list)
    long_queues: list[tuple[float, Counter[str]]] = field(default_factory=list)

    def attach(self, world: World) -> None:
        """Starts recording."""
        watch, write = world.watch, world.network.send

        def watch_and_record(store: Store) -> None:
            watch(store)
            assert store.machine is not None
            connections = store.machine.node.connections
            for pool in (connections.data, connections.urgent):
                self._record(world, store.host, pool)

        def send(sender: Endpoint, data: bytes) -> None:
            self._slot(world, sender.incarnation.host)[OTHER] += len(data)
            write(sender, data)

        world.watch = watch_and_record  # type: ignore[method-assign]
        world.network.send = send  # type: ignore[method-assign]
        self._sample(world)

    def _slot(self, world: World, host: str) -> Counter[str]:
        return self.written[int(world.now / SLOT_S), host]

    def _record(self, world: World, host: str, pool: ConnectionPool) -> None:
        notify_all = pool.notify_all

        def counted(hosts: Iterable[str], body: object) -> int:
            receivers = list(hosts)
            frame_bytes = notify_all(receivers, body)
            if isinstance(body, Message):
                slot, size = self._slot(world, host), frame_bytes * len(receivers)
                slot[purpose_of(body).value] += size
                slot[OTHER] -= size
            return frame_bytes

        pool.notify_all = counted  # type: ignore[method-assign]

    def _sample(self, world: World) -> None:
        wait_s, host = max((world.network.uplink(host).wait_s, host) for host in world.stores)
        self.waits.append((world.now, wait_s))
        if wait_s >= LONG_WAIT_S:
            queued_bytes = world.network.uplink(host).queued_bytes
            self.long_queues.append((world.now, self._newest(world.now, host, queued_bytes)))
        world.loop.call_later(SAMPLE_INTERVAL_S, self._sample, world)

    def _newest(self, now: float, host: str, size: int) -> Counter[str]:
        """The newest `size` bytes, approximately, that a machine has written, by purpose."""
        newest: Counter[str] = Counter()
        for slot in range(int(now / SLOT_S), -1, -1):
            if newest.total() >= size:
                break
            newest.update(self.written.get((slot, host), {}))
        return newest

    def between(self, start: float, end: float) -> Counter[str]:
        """Bytes by purpose in a span, in each slot those of the store machine that wrote most."""
        slots: dict[int, list[Counter[str]]] = defaultdict(list)
        for (slot, host), written in self.written.items():
            if start <= slot * SLOT_S < end and host.startswith("m"):
                slots[slot].append(written)
        busiest: Counter[str] = Counter()
        for candidates in slots.values():
            largest: Counter[str] = max(candidates, key=total)
            busiest.update(largest)
        return busiest

    def queued_between(self, start: float, end: float) -> Counter[str]:
        """The sum of bytes by purpose in the long queues of a span."""
        queued: Counter[str] = Counter()
        for at, queue in self.long_queues:
            if start <= at < end:
                queued.update(queue)
        return queued

    def long_wait_share(self, start: float, end: float) -> float:
        """The share of a span in which some machine's heartbeats were too late to extend a lease."""
        samples = [wait_s for at, wait_s in self.waits if start <= at < end]
        return sum(wait_s >= LONG_WAIT_S for wait_s in samples) / max(1, len(samples))

    def longest_wait_s(self, start: float, end: float) -> float:
        """The longest wait for an uplink in a span."""
        return max((wait_s for at, wait_s in self.waits if start <= at < end), default=0.0)


def total(written: Counter[str]) -> int:
    """The bytes of all purposes."""
    return written.total()


def shares(written: Counter[str], total_bytes: float) -> str:
    """The share of each purpose in a number of bytes."""
    names = [purpose.value for purpose in Purpose] + [OTHER]
    return " ".join(f"{name} {written[name] / max(1.0, total_bytes):.2f}" for name in names)


def uplinks_between(record: UplinkRecord, start: float, end: float) -> str:
    """Describes the use of the busiest uplink in a span."""
    queued = record.queued_between(start, end)
    return (
        f"{shares(record.between(start, end), UPLINK_BYTES_PER_S * (end - start))} of the busiest uplink, "
        f"queue {record.longest_wait_s(start, end):.2f} s at most, "
        f"{LONG_WAIT_S} s and more for {record.long_wait_share(start, end):.0%}, "
        f"then of {shares(queued, queued.total())}"
    )


def format_row(scenario: Scenario, findings: Findings, record: UplinkRecord) -> str:
    """One line of the table."""
    lost, ended = findings.lost_at, findings.ended_at
    state_mb = scenario.state_jobs * ITEM_BYTES * ITEMS_PER_JOB / 1e6
    parts = [
        f"machines {scenario.machines:2} load {scenario.load:g} state {state_mb:.0f} MB",
        f"seed {scenario.seed}:",
        f"without commits after the loss {findings.longest_gap_s:.2f} s,",
        f"primary {findings.primary_back_s:.2f} s, job {findings.job_back_s:.2f} s,",
        f"slowest change {findings.longest_change_s:.2f} s,",
        f"terms {findings.terms_in_burst}+{findings.terms_after_loss}, members {findings.members},",
        f"jobs {len(findings.job_acks)}/{findings.submitted}",
        f"| burst: {uplinks_between(record, lost - scenario.burst_s, lost)}",
        f"| after the loss: {uplinks_between(record, lost, ended)}",
    ]
    return " ".join(parts)


def play(scenario: Scenario) -> str:
    """Runs one scenario; gives its line, or the error."""
    logging.disable(logging.CRITICAL)
    run = SaturationRun(scenario, record := UplinkRecord())
    try:
        findings = run.play()
    except AssertionError as error:
        return f"machines {scenario.machines} load {scenario.load:g}: {error!s:.300}"
    return format_row(scenario, findings, record)


def main() -> None:
    """The command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--machines", type=int, nargs="+", default=[5, 10, 20, 30])
    parser.add_argument("--load", type=float, nargs="+", default=[1.0, 2.0])
    parser.add_argument("--state-jobs", type=int, nargs="+", default=[0], help="jobs of 0.17 MB each")
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--burst", type=float, default=8.0, help="seconds")
    parser.add_argument("--calm", type=float, default=10.0, help="seconds")
    parser.add_argument("--jobs", type=int, default=2, help="processes")
    options = parser.parse_args()
    axes = itertools.product(options.machines, options.load, options.state_jobs, options.seeds)
    scenarios = [
        Scenario(machines, load, burst_s=options.burst, calm_s=options.calm, state_jobs=state_jobs, seed=seed)
        for machines, load, state_jobs, seed in axes
    ]
    with ProcessPoolExecutor(options.jobs) as pool:
        for line in pool.map(play, scenarios):
            print(line, flush=True)


if __name__ == "__main__":
    main()
