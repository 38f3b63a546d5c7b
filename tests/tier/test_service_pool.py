"""The service pool: preemption of batch items, admission, and recording of attempts."""

import asyncio
import time

from crowwing.tier.front.admission import AdmissionRequest
from crowwing.tier.front.attempts import describe_outcome
from crowwing.tier.front.service_pool import ServicePool
from crowwing.tier.front.upstream import AttemptOutcome, NotExecuted, ResponseLost, ResponseStarted
from crowwing.tier.platform_list import Sidecar, SidecarList

SERVICE, LATENCY_TARGET_S = "advisor", 5.0


def admission_request() -> AdmissionRequest:
    now = time.monotonic()
    return AdmissionRequest("review", 0.9, now, now + 5, False)


def full_pool() -> ServicePool:
    pool = ServicePool()
    pool.apply_endpoint_list(SidecarList((Sidecar("a", SERVICE, "127.0.0.1:1", "z1", 4, True),)))
    state = pool.sidecars.of_service(SERVICE)[0]
    for _ in range(4):
        pool.attempts.sent(state)
    return pool


async def forever() -> None:
    await asyncio.Event().wait()


def test_the_newest_items_are_preempted_one_for_each_live_request_that_waits() -> None:
    async def play() -> None:
        pool = full_pool()
        runs = [asyncio.ensure_future(forever()) for _ in range(3)]
        for run in runs:
            pool.items.add(SERVICE, run)
        await asyncio.sleep(0)
        admitted = asyncio.ensure_future(pool.admit(SERVICE, admission_request(), LATENCY_TARGET_S))
        await asyncio.sleep(0)
        pool._start(SERVICE, pool.admission(SERVICE))
        await asyncio.sleep(0)
        assert [run.cancelled() for run in runs] == [False, False, True], (
            "only one, however often admission runs"
        )
        state = pool.sidecars.of_service(SERVICE)[0]
        pool.items.remove(SERVICE, runs[2])
        pool.attempts.ended(state)
        pool._start(SERVICE, pool.admission(SERVICE))
        assert await admitted
        assert not runs[0].cancelled() and not runs[1].cancelled()
        for run in runs:
            run.cancel()

    asyncio.run(play())


def test_a_cancelled_caller_leaves_the_queue() -> None:
    async def play() -> None:
        pool = full_pool()
        admitted = asyncio.ensure_future(pool.admit(SERVICE, admission_request(), LATENCY_TARGET_S))
        await asyncio.sleep(0)
        assert pool.admission(SERVICE).queued_count == 1
        admitted.cancel()
        await asyncio.gather(admitted, return_exceptions=True)
        assert pool.admission(SERVICE).queued_count == 0 and pool.admission(SERVICE).inflight == 0

    asyncio.run(play())


def test_a_sidecar_that_rejects_counts_as_full_unless_it_reports_its_load() -> None:
    pool = full_pool()
    state = pool.sidecars.of_service(SERVICE)[0]
    pool.attempts.not_executed(state, NotExecuted(503, "full", load=b"4,30,4"), False)
    assert (state.running, state.waiting) == (4, 30)
    pool.attempts.not_executed(state, NotExecuted(503, "full"), False)
    assert (state.running, state.waiting) == (4, 4)
    reported_at = state.reported_at
    pool.attempts.not_executed(state, NotExecuted(421, "other weights"), True)
    now = time.monotonic()
    assert state.reported_at == reported_at, "that says nothing about its load"
    assert state.is_usable(now), "it has other weights than the request expects, but is available"
    pool.attempts.not_executed(state, NotExecuted(421, "another sidecar"), False)
    assert not state.is_usable(now) and state.is_usable(now + 2), (
        "another sidecar has its address; the endpoint list will show it"
    )


def test_how_attempts_end_is_counted_by_outcome() -> None:
    answer = ResponseStarted(200, [], None)  # type: ignore[arg-type]
    outcomes: list[AttemptOutcome] = [
        answer,
        NotExecuted(503, ""),
        NotExecuted(None, ""),
        NotExecuted(None, "", no_connection=True),
        ResponseLost(""),
    ]
    assert [describe_outcome(end) for end in outcomes] == [
        "answered",
        "rejected_503",
        "unreachable",
        "no_connection",
        "lost",
    ]
