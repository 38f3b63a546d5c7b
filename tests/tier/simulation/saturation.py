"""A load of batch jobs beside changes of the configuration, on store machines with a bounded uplink each."""

import asyncio
import itertools
import math
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from crowwing.tier.front.batch_api import SUBMIT_TIMEOUT_S
from crowwing.tier.state.events import BatchItem
from crowwing.tier.store import commands, outcomes
from tests.tier.simulation.clients import Operator, call_machine
from tests.tier.simulation.world import World

UPLINK_BYTES_PER_S = 120_000_000 / 8
JOBS_PER_S = 2.76  # at load 1
ITEMS_PER_JOB = 39
ITEM_BYTES = 4_300
FRONTS = ("f0", "f1")
CHANGE_INTERVAL_S = 1.0
JOIN_WAIT_S = 3.0  # from the first primary to the load, so that all machines can join
WIPED_BACK_S = 2.0  # from the loss of the primary until its restart with an empty disk
CHANGE_LIMIT_S = 120.0  # longer than any run


@dataclass(frozen=True)
class Scenario:
    """A burst, then the loss of the primary with its disk, then a calm phase."""

    machines: int
    load: float
    faults: int = 2
    burst_s: float = 18.0
    calm_s: float = 25.0
    calm_load: float = 1.0
    state_jobs: int = 0  # committed before the burst
    seed: int = 1


@dataclass
class Findings:
    """Results of a run of a scenario; times are simulated seconds.

    Attributes:
        lost_at: when the primary was lost, at the end of the burst.
        ended_at: the end of the run.
        primary_at_loss: whether there was a primary to be lost.
        submitted: jobs that were submitted.
        job_acks: when each job was acknowledged, in order.
        changes: when each change of the configuration was first sent, and acknowledged.
        primary_back_at: when a machine first held a lease after the loss, if one did.
        terms_in_burst: how many terms were opened in the burst.
        terms_after_loss: the same from the loss to the end.
        lost_jobs: jobs that were acknowledged and are missing at the end; None if it can't be determined.
        members: how many members the last view has.
    """

    lost_at: float = 0.0
    ended_at: float = 0.0
    primary_at_loss: bool = False
    submitted: int = 0
    job_acks: list[float] = field(default_factory=list)
    changes: list[tuple[float, float]] = field(default_factory=list)
    primary_back_at: float | None = None
    terms_in_burst: int = 0
    terms_after_loss: int = 0
    lost_jobs: list[str] | None = None
    members: int = 0

    @property
    def terms(self) -> int:
        """How many terms were opened in all."""
        return self.terms_in_burst + self.terms_after_loss

    @property
    def longest_change_s(self) -> float:
        """The longest time that a change of the configuration took, up to the end of the run at least."""
        return max(acknowledged - sent for sent, acknowledged in self.changes)

    @property
    def longest_gap_s(self) -> float:
        """The longest time from the loss to the end in which no job and no change was acknowledged."""
        acks = [*self.job_acks, *(acknowledged for _, acknowledged in self.changes)]
        acknowledgement_times = sorted({self.lost_at, self.ended_at, *acks})
        acknowledgement_times = [at for at in acknowledgement_times if self.lost_at <= at <= self.ended_at]
        return max(later - earlier for earlier, later in itertools.pairwise(acknowledgement_times))

    @property
    def job_back_s(self) -> float:
        """The time from the loss to the first acknowledgement of a job; that of the run where none came."""
        return next((at for at in self.job_acks if at >= self.lost_at), self.ended_at) - self.lost_at

    @property
    def primary_back_s(self) -> float:
        """The time from the loss to the next primary; that of the run where none came."""
        return (self.ended_at if self.primary_back_at is None else self.primary_back_at) - self.lost_at


class Observer(Protocol):
    """Records more than the findings."""

    def attach(self, world: World) -> None:
        """Records what happens in a world from now on."""


class SaturationRun:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, observer: Observer | None = None) -> None:
        """Starts the store machines and waits for them to join.

        Args:
            scenario: The parameters of the run.
            observer: Attached to the world before its machines run.
        """
        self.scenario = scenario
        self.findings = Findings()
        hosts = [f"m{number:02}" for number in range(scenario.machines)]
        self.world = World(scenario.seed, hosts, faults=scenario.faults, fronts=FRONTS)
        self.world.network.uplink_bytes_per_s = UPLINK_BYTES_PER_S
        if observer is not None:
            observer.attach(self.world)
        self._random = Random(f"{scenario.seed}/load")
        self._operator = Operator(self.world, "operator")
        self._acknowledged_jobs: list[str] = []
        self._bodies = self._random.randbytes(ITEM_BYTES * ITEMS_PER_JOB)
        self._open_tasks: set[asyncio.Task[None]] = set()
        self.world.stabilize()
        self.world.run_for(JOIN_WAIT_S)
        self.world.run(self._fill())

    async def _fill(self) -> None:
        """Commits jobs over unbounded uplinks to build up the initial state."""
        network = self.world.network
        network.uplink_bytes_per_s = math.inf
        for number in range(self.scenario.state_jobs):
            await self._submit(f"state-{number}")
        self.findings.job_acks.clear()
        network.uplink_bytes_per_s = UPLINK_BYTES_PER_S

    def play(self) -> Findings:
        """Runs the scenario; raises InvariantError if an invariant was violated."""
        self.world.run(self._play())
        self.world.close()
        return self.findings

    async def _play(self) -> None:
        world, scenario, findings = self.world, self.scenario, self.findings
        changes = asyncio.ensure_future(self._change_configuration())
        first_term = self._highest_term()
        await self._submit_jobs(scenario.load, scenario.burst_s)
        findings.terms_in_burst = self._highest_term() - first_term
        first_term = self._highest_term()
        findings.lost_at = world.now
        findings.ended_at = world.now + scenario.calm_s
        loss = asyncio.ensure_future(self._lose_primary())
        watch = asyncio.ensure_future(self._watch_for_primary())
        await self._submit_jobs(scenario.calm_load, scenario.calm_s)
        findings.terms_after_loss = self._highest_term() - first_term
        findings.members = len(world.members())
        changes.cancel()
        watch.cancel()
        await loss
        await asyncio.wait([changes])
        self._find_lost_jobs()

    def _highest_term(self) -> int:
        return max(replica.promised[0] for replica in self.world.replicas().values())

    # Faults

    async def _lose_primary(self) -> None:
        primary = self.world.primary()
        self.findings.primary_at_loss = primary is not None
        lost = primary or sorted(self.world.stores)[0]
        self.world.stop(lost, power=True, wipe=True)
        await asyncio.sleep(WIPED_BACK_S)
        self.world.start(lost)

    async def _watch_for_primary(self) -> None:
        await asyncio.sleep(0.05)  # until the loss has occurred
        while self.world.primary() is None:
            await asyncio.sleep(0.05)
        self.findings.primary_back_at = self.world.now

    # Load

    async def _submit_jobs(self, load: float, span_s: float) -> None:
        interval_s = 1 / (JOBS_PER_S * load)
        count = math.ceil(span_s / interval_s)
        for number in range(count):
            self.findings.submitted += 1
            self._spawn_submit(f"job-{self.findings.submitted}")
            await asyncio.sleep(min(interval_s, span_s - number * interval_s))

    def _spawn_submit(self, job_id: str) -> None:
        task = asyncio.ensure_future(self._submit(job_id))
        self._open_tasks.add(task)
        task.add_done_callback(self._open_tasks.discard)

    async def _submit(self, job_id: str) -> None:
        """Submits a job at a random front, which retries until there is an answer or the time-out."""
        front = self.world.fronts[self._random.choice(FRONTS)]
        command = commands.SubmitBatchJob(job_id, "lots.example", "/lots-in/x", self._items(job_id))

        async def work() -> outcomes.Outcome:
            if front.store is None:
                raise ConnectionRefusedError
            return await front.store.call(command, SUBMIT_TIMEOUT_S)

        outcome = await call_machine(self.world, self._random, front, work, SUBMIT_TIMEOUT_S + 1.0)
        if isinstance(outcome, outcomes.Done):
            self._acknowledged_jobs.append(job_id)
            self.findings.job_acks.append(self.world.now)

    def _items(self, job_id: str) -> tuple[BatchItem, ...]:
        return tuple(
            BatchItem(f"{job_id}.{number}", "/x", (), self._bodies[number * ITEM_BYTES :][:ITEM_BYTES], 9)
            for number in range(ITEMS_PER_JOB)
        )

    async def _change_configuration(self) -> None:
        """Sends one change after another, each until it is acknowledged."""
        version, changes = 0, self.findings.changes
        while True:
            sent = self.world.now
            change = self._operator.change(version, step=1)
            status = None
            try:
                status = await self._operator.put(change, CHANGE_LIMIT_S)
            finally:
                changes.append((sent, self.world.now))
            assert status == 200, f"a valid change was answered with {status}"
            version = change.version
            await asyncio.sleep(max(0.0, sent + CHANGE_INTERVAL_S - self.world.now))

    # The end

    def _find_lost_jobs(self) -> None:
        primary = self.world.primary()
        if primary is not None:
            jobs = self.world.state(primary).jobs
            self.findings.lost_jobs = [job for job in self._acknowledged_jobs if job not in jobs]
