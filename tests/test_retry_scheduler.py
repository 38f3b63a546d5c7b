"""The retry scheduler: retries spread out within the maximum delay and the deadline, one time per caller."""

import dataclasses
import random
import re
from collections import Counter

import pytest

from crowwing.settings.operator import Operator, Storm
from crowwing.storm.detector import StormEstimate
from crowwing.storm.retry_scheduler import SLOT_US, RetryScheduler
from tests.rig import Sidecar, Town, play_in

S = 1_000_000


def make_scheduler(seed: int = 1, max_delay: int = 2 * S) -> RetryScheduler:
    return RetryScheduler(0, max_delay, random.Random(seed))


@pytest.mark.parametrize("seed", range(4))
def test_callers_rejected_together_do_not_retry_together(seed: int) -> None:
    scheduler = make_scheduler(seed)
    delays = [scheduler.advise(0, caller, 2.0, 200_000, 10 * S, 80.0) for caller in range(40)]
    assert all(200_000 <= delay <= 2 * S for delay in delays)
    per_tenth = Counter(delay // 100_000 for delay in delays)
    assert max(per_tenth.values()) <= 8, "2 slots, each at most twice its even share"
    assert max(delays) - min(delays) > 0.4 * S
    assert delays != [
        make_scheduler(seed + 9).advise(0, caller, 2.0, 200_000, 10 * S, 80.0) for caller in range(40)
    ]


def test_a_delay_exceeds_neither_the_deadline_nor_the_maximum() -> None:
    scheduler = make_scheduler()
    assert scheduler.advise(0, 1, 1.0, 100_000, 150_000, 0.0) == 150_000
    assert scheduler.advise(0, 2, 1.0, 100_000, 60_000, 50.0) == 60_000
    assert scheduler.advise(0, 3, 1.0, 0, -5, 50.0) == 0
    assert scheduler.advise(0, 4, 1.0, 0, 99 * S, 0.0) == 2 * S, "the maximum without capacity"
    assert RetryScheduler(0, 0, random.Random(1)).advise(0, 1, 1.0, 0, S, 9.0) == 0, (
        "a maximum of 0 gives no delay"
    )


def test_a_caller_keeps_its_retry_time_until_it_has_passed() -> None:
    scheduler = make_scheduler()
    first = scheduler.advise(0, 7, 1.0, 500_000, 9 * S, 50.0)
    assert scheduler.advise(100_000, 7, 1.0, 100_000, 9 * S, 50.0) == first - 100_000
    later = scheduler.advise(3 * S, 7, 1.0, 500_000, 9 * S, 50.0)
    assert 500_000 <= later <= 600_000 and len(scheduler.retry_times) == 1


def test_memory_is_bounded_by_the_slots_and_the_pending_callers() -> None:
    scheduler = make_scheduler()
    for n in range(20_000):
        scheduler.advise(n * 1000, n, 1.0, 100_000, 9 * S, 50.0)
    assert (
        len(scheduler.slot_rates) == 2 * S // SLOT_US
        and len(scheduler.retry_times) <= 2 * S // 1000 + SLOT_US // 1000
    )


def test_a_clock_that_steps_back_is_treated_as_stopped() -> None:
    scheduler = make_scheduler()
    scheduler.advise(10 * S, 1, 1.0, 100_000, 9 * S, 50.0)
    assert 0 <= scheduler.advise(2 * S, 2, 1.0, 100_000, 9 * S, 50.0) <= 2 * S


# On a backend


def force_storm(town: Town) -> None:
    """Makes the detector report a storm from now on."""
    detector = town.backend.dispatcher.storm_monitor.detector
    detector.estimate = StormEstimate(0.5, 2.0, True, 0.9)
    detector.update = lambda now: detector.estimate


def test_in_a_storm_retry_times_are_spread_out_in_both_headers() -> None:
    storm = Storm(paces_returns=True, retry_after=True)

    async def scene(town: Town) -> None:
        unspread = await delays_while_rejecting(town, 1, 4)
        assert {delay for delay, _ in unspread} == {1000}, "without a storm all get the same delay"
        force_storm(town)
        paced = await delays_while_rejecting(town, 100, 12)
        assert all(0 < delay <= 1000 for delay, _ in paced) and all(after == 1 for _, after in paced)
        town.backend.dispatcher.storm_monitor.detector.success_rate = 20.0
        manager = town.backend.dispatcher.manager
        manager.facts = dataclasses.replace(manager.facts, max_retry_after=100_000)
        spread = await delays_while_rejecting(town, 200, 12)
        assert len({delay for delay, _ in spread}) > 6 and max(delay for delay, _ in spread) > 150
        town.check()

    play_in(Town(operator=Operator(storm=storm)), scene)


async def delays_while_rejecting(town: Town, first: int, count: int) -> list[tuple[int, int]]:
    """The X-Throttle-Ms and Retry-After values that sidecars get while all requests are rejected."""
    delays = []
    town.backend.dispatcher.manager.stalled = lambda now: True
    for n in range(first, first + count):
        side = await Sidecar(town).open()
        status, head, _ = await side.ask(Sidecar.ticket(f"{n:016x}", X_Router=str(n)))
        assert status == 503
        delay, after = re.search(r"X-Throttle-Ms: (\d+)", head), re.search(r"Retry-After: (\d+)", head)
        delays.append((int(delay[1]), int(after[1])))
    return delays


@pytest.mark.parametrize("reports_retries", [True, False])
def test_in_a_storm_likely_retries_are_reported_only_if_the_operator_enables_it(
    reports_retries: bool,
) -> None:
    async def scene(town: Town) -> None:
        force_storm(town)
        town.farm.hold = True
        dispatcher, likely_retries = town.backend.dispatcher, []
        take = dispatcher.manager.receive
        dispatcher.manager.receive = lambda *given: (likely_retries.append(given[-1]), take(*given))[1]
        dispatcher.manager.stalled = lambda now: True
        for n in range(3):
            side = await Sidecar(town).open()
            assert (await side.ask(Sidecar.ticket(f"{n:016x}", "book", b"the same")))[0] == 503
        assert likely_retries == [False, reports_retries, reports_retries]
        assert town.counts["likely_repeats"] == 2

    play_in(Town(operator=Operator(storm=Storm(lowers_repeats=reports_retries))), scene)


@pytest.mark.parametrize("method", ["record_arrival", "record_outcome", "retry_after"])
def test_an_exception_in_the_storm_monitor_disables_it_and_affects_no_request(method: str) -> None:
    async def scene(town: Town) -> None:
        def fails(*_: object) -> None:
            raise ArithmeticError("made to fail")

        setattr(town.backend.dispatcher.storm_monitor, method, fails)
        if method == "retry_after":
            town.backend.dispatcher.manager.stalled = lambda now: True
        for n in range(3):
            status, _, _ = await (await Sidecar(town).open()).ask(Sidecar.ticket(f"{n:016x}"))
            assert status == (503 if method == "retry_after" else 200)
        assert town.counts["defects"] == 1 and town.backend.dispatcher.storm_monitor is None
        await town.until(lambda: not town.backend.dispatcher.open_requests)

    play_in(Town(operator=Operator(storm=Storm(paces_returns=True))), scene)
