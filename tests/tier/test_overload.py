"""Batch jobs beyond the capacity of the primary's link are rejected at once, so that changes stay fast."""

import asyncio
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import pytest

from crowwing.tier.clock import Clock
from crowwing.tier.front import store_client
from crowwing.tier.front.batch_api import OVERLOAD_RETRY_AFTER_S, BatchApi
from crowwing.tier.front.store_client import StoreClient
from crowwing.tier.replication.log import EntryLog
from crowwing.tier.replication.records import LogEntry
from crowwing.tier.replication.replica import Replica
from crowwing.tier.replication.terms import NO_TERM, View
from crowwing.tier.state.events import BatchItem
from crowwing.tier.state.tier_state import TierState
from crowwing.tier.store import commands, decisions, outcomes
from crowwing.tier.store.leases import JobItem
from crowwing.tier.store.response_capacity import MAX_RESPONSE_QUEUE_S, ResponseCapacity
from crowwing.tier.store.write_capacity import (
    DEFAULT_MAX_UNCOMMITTED_BYTES,
    MAX_COMMIT_QUEUE_S,
    WriteCapacity,
)
from crowwing.tier.wire.connection_pool import ConnectionPool
from crowwing.tier.wire.egress import BULK_SHARE, BYTES_PER_MEGABIT, EgressPacer
from crowwing.tier.wire.errors import CallTimeoutError
from crowwing.tier.wire.traffic import TrafficClass, classify_as_control
from tests.tier.simulation.loop import SimulatedLoop
from tests.tier.simulation.machines import Answer
from tests.tier.simulation.saturation import SaturationRun, Scenario
from tests.tier.simulation.world import World
from tests.tier.test_saturated_uplink import ACK_S, violations

LINK_MBPS = 120.0
BULK_BYTES_PER_S = BULK_SHARE * LINK_MBPS * BYTES_PER_MEGABIT
ITEM_BYTES = 4300
BODY = bytes(ITEM_BYTES)
AT_ONCE_S = 0.05
OVERLOADED = outcomes.Rejected(503, "too much waits to be committed")


def job(number: int, items: int = 39) -> commands.SubmitBatchJob:
    name = f"job-{number}"
    batch = tuple(BatchItem(f"{name}.{index}", "/x", (), BODY, 9) for index in range(items))
    return commands.SubmitBatchJob(name, "lots.example", "/lots-in/x", batch)


# The bound


def capacity(uncommitted: list[int], members: int, link_mbps: float | None = LINK_MBPS) -> WriteCapacity:
    """The capacity of a primary that has committed one entry and proposed others of these lengths."""
    log = EntryLog()
    for index, length in enumerate([1_000_000, *uncommitted], 1):
        log.append(LogEntry(NO_TERM, index, bytes(length)))
    view = View(NO_TERM, tuple(f"m{number}" for number in range(members)), ())
    replica = cast("Replica", SimpleNamespace(log=log, commit_index=1, view=view))
    pacer = EgressPacer(link_mbps, Clock(), classify_as_control) if link_mbps is not None else None
    return WriteCapacity(replica, pacer)


@pytest.mark.parametrize("members", [2, 3, 5, 9])
def test_the_bound_is_what_the_link_carries_to_the_other_members(members: int) -> None:
    bound = int(BULK_BYTES_PER_S * MAX_COMMIT_QUEUE_S / (members - 1))
    assert capacity([bound - 1], members).has_capacity()
    assert not capacity([bound], members).has_capacity()
    assert not capacity([bound - 1, 1], members).has_capacity()


def test_the_bound_is_fixed_where_the_link_is_not_known() -> None:
    assert capacity([DEFAULT_MAX_UNCOMMITTED_BYTES - 1], 5, None).has_capacity()
    assert not capacity([DEFAULT_MAX_UNCOMMITTED_BYTES], 5, None).has_capacity()


def test_a_primary_whose_entries_are_all_committed_takes_one_job_on_any_link() -> None:
    assert capacity([], 5, 0.001).has_capacity()
    assert not capacity([100], 5, 0.001).has_capacity()


# The decision


def test_a_job_beyond_the_capacity_is_rejected_and_leaves_nothing_behind() -> None:
    decision = decisions.submit_batch_job(TierState(), job(1), 0, True, has_write_capacity=False)
    assert decision == decisions.Decision((), OVERLOADED, depends_on_state=False)


def test_a_job_that_was_accepted_before_is_acknowledged_again_whatever_the_capacity() -> None:
    state = TierState()
    state.jobs["job-1"] = cast("Any", object())
    decision = decisions.submit_batch_job(state, job(1), 0, False, has_write_capacity=False)
    assert decision == decisions.DONE


# A primary


def bounded_world(machines: int = 3, fronts: int = 0, link_mbps: float = LINK_MBPS) -> World:
    hosts = [f"m{number}" for number in range(machines)]
    world = World(1, hosts, fronts=[f"f{number}" for number in range(fronts)])
    world.network.uplink_bytes_per_s = link_mbps * BYTES_PER_MEGABIT
    world.stabilize()
    world.run_for(2.0)
    return world


class Submissions:
    """Jobs that are submitted to the primary at the same time."""

    def __init__(self, world: World, count: int) -> None:
        self.world = world
        self.outcomes: dict[int, tuple[outcomes.Outcome, float]] = {}
        self._began = world.now
        primary = world.primary()
        assert primary is not None
        self._store = world.stores[primary]
        for number in range(count):
            self._store.spawn(self._submit(number))

    async def _submit(self, number: int) -> None:
        assert self._store.machine is not None
        outcome = await self._store.machine.service.execute(job(number))
        self.outcomes[number] = outcome, self.world.now - self._began

    def numbers(self, outcome: outcomes.Outcome) -> set[int]:
        return {number for number, (one, _) in self.outcomes.items() if one == outcome}


def test_of_a_burst_the_primary_takes_what_it_can_carry_and_rejects_the_others_at_once() -> None:
    world = bounded_world()
    submissions = Submissions(world, 40)
    world.run_for(2.0)
    accepted, rejected = submissions.numbers(outcomes.Done()), submissions.numbers(OVERLOADED)
    assert len(accepted) + len(rejected) == 40
    per_member = BULK_BYTES_PER_S * MAX_COMMIT_QUEUE_S / 2
    assert len(accepted) * 39 * ITEM_BYTES == pytest.approx(per_member, rel=0.2)
    assert all(submissions.outcomes[number][1] < AT_ONCE_S for number in rejected)
    for host in world.stores:
        assert set(world.state(host).jobs) == {f"job-{number}" for number in accepted}
    again = Submissions(world, 3)
    world.run_for(1.0)
    assert again.numbers(outcomes.Done()) == {0, 1, 2}
    world.close()


def test_a_rejection_waits_for_no_member() -> None:
    world = bounded_world()
    primary = world.primary()
    assert primary is not None
    world.partition([primary], set(world.stores) - {primary})
    submissions = Submissions(world, 40)
    world.run_for(AT_ONCE_S)
    assert len(submissions.numbers(OVERLOADED)) > 0
    assert not submissions.numbers(outcomes.Done())
    world.close()


@pytest.mark.parametrize("load", [1.0, 2.0, 6.0, 20.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_change_is_acknowledged_in_time_and_no_primary_falls_at_any_load(load: float, seed: int) -> None:
    findings = SaturationRun(Scenario(5, load, burst_s=4.0, calm_s=7.0, seed=seed)).play()
    assert findings.changes and findings.job_acks
    assert findings.terms_in_burst == 0
    assert findings.longest_change_s < ACK_S
    assert not violations(findings)


# Leases


def leased(length: int) -> list[JobItem]:
    return [(cast("Any", None), BatchItem("i", "/x", (), bytes(length), 9))]


def test_items_are_leased_while_the_link_carries_their_responses_in_time() -> None:
    async def play() -> None:
        loop = asyncio.get_running_loop()
        pacer = EgressPacer(LINK_MBPS, Clock(loop.time), classify_as_control)
        bound = int(BULK_BYTES_PER_S * MAX_RESPONSE_QUEUE_S)
        responses = ResponseCapacity(pacer)
        items = leased(bound - 1)
        responses.reserve(items)
        assert responses.has_capacity()
        responses.reserve(leased(1))
        assert not responses.has_capacity()
        responses.release(items)
        assert responses.has_capacity()
        flow = pacer.open_flow(lambda _: None, lambda: 0)
        flow.send(bytes(2 * bound), TrafficClass.RESPONSE)
        assert not responses.has_capacity()
        await asyncio.sleep(1.0)
        assert responses.has_capacity()

    SimulatedLoop().run_until_complete(play())


def test_a_store_machine_that_paces_nothing_leases_without_a_bound() -> None:
    responses = ResponseCapacity(None)
    responses.reserve(leased(100_000_000))
    assert responses.has_capacity()


def test_a_backlog_of_items_reaches_all_fronts_and_none_runs_twice() -> None:
    world = bounded_world(fronts=40, link_mbps=8.0)
    primary = world.primary()
    assert primary is not None
    store = world.stores[primary]
    machine = store.machine
    assert machine is not None and machine.pacer is not None
    store.spawn(machine.service.execute(job(1, items=400)))
    bound = machine.pacer.bulk_bytes_per_s * MAX_RESPONSE_QUEUE_S
    for _ in range(300):
        world.run_for(0.05)
        assert machine.pacer.waiting_bytes(TrafficClass.RESPONSE) < bound + 4 * ITEM_BYTES + 1000
    runs = [item for _, _, item in world.history.runs]
    assert len(runs) == len(set(runs)) == 400
    world.close()


# Fronts


class Attempts(ConnectionPool):
    """Connections to a primary that returns a list of outcomes or errors, one for each call."""

    def __init__(self, *results: outcomes.Outcome | Exception) -> None:
        super().__init__(1)
        self.results = list(results)

    async def call(self, _host: str, body: Any, _timeout_s: float) -> Any:  # noqa: ANN401
        """Returns the next result, and the last one repeatedly."""
        await asyncio.sleep(0)
        if isinstance(body.command, commands.GetStatus):
            return outcomes.StoreStatus("m0", "primary", (1, "m0"), (), (), 0, 0, 0, 0, 0, {})
        result = self.results.pop(0) if len(self.results) > 1 else self.results[0]
        if isinstance(result, Exception):
            raise result
        return result


def ask(*results: outcomes.Outcome | Exception) -> tuple[outcomes.Outcome, float]:
    """Submits a job through a front; returns the outcome and its duration."""
    loop = SimulatedLoop()
    client = StoreClient(Attempts(*results), lambda: ["m0"], Random(1), Clock(loop.time))
    return loop.run_until_complete(client.call(job(1, 1), 2.5)), loop.time()


def test_a_front_passes_a_rejection_on_at_once() -> None:
    outcome, took_s = ask(OVERLOADED)
    assert outcome == OVERLOADED and took_s < AT_ONCE_S


def test_a_rejection_is_no_promise_where_an_earlier_attempt_may_have_been_accepted() -> None:
    lost = CallTimeoutError(0.7)
    assert ask(lost, OVERLOADED)[0] == outcomes.Indeterminate("no clear answer in time")
    assert ask(outcomes.Indeterminate(""), OVERLOADED)[0] == outcomes.Indeterminate("no clear answer in time")
    outcome, took_s = ask(lost, OVERLOADED, outcomes.Done())
    assert outcome == outcomes.Done() and took_s >= store_client.OVERLOAD_PAUSE_S
    assert ask(lost, outcomes.Rejected(400, ""))[0] == outcomes.Rejected(400, "")


def test_a_client_gets_retry_after() -> None:
    headers: list[tuple[bytes, bytes]] = []

    class Heads(Answer):
        async def take(self, message: Any) -> None:  # noqa: ANN401
            headers.extend(message.get("headers", ()))
            await super().take(message)

    answer = Heads()
    asyncio.run(BatchApi._respond(OVERLOADED, answer.take, 202))
    assert answer.status == 503
    assert float(dict(headers)[b"retry-after"]) == OVERLOAD_RETRY_AFTER_S
