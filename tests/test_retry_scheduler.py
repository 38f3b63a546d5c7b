"""Paced returns: spread, bounded by the advice and the use to the caller, one place a caller."""

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
def test_callers_sent_away_at_once_do_not_come_back_at_once(seed: int) -> None:
    scheduler = make_scheduler(seed)
    delays = [scheduler.advise(0, by, 2.0, 200_000, 10 * S, 80.0) for by in range(40)]
    assert all(200_000 <= delay <= 2 * S for delay in delays)
    by_tenth = Counter(delay // 100_000 for delay in delays)
    assert max(by_tenth.values()) <= 8, "2 slots, each at most twice its even share"
    assert max(delays) - min(delays) > 0.4 * S
    assert delays != [make_scheduler(seed + 9).advise(0, by, 2.0, 200_000, 10 * S, 80.0) for by in range(40)]


def test_advice_is_no_longer_than_the_ticket_is_of_use_nor_than_the_longest() -> None:
    scheduler = make_scheduler()
    assert scheduler.advise(0, 1, 1.0, 100_000, 150_000, 0.0) == 150_000
    assert scheduler.advise(0, 2, 1.0, 100_000, 60_000, 50.0) == 60_000
    assert scheduler.advise(0, 3, 1.0, 0, -5, 50.0) == 0
    assert scheduler.advise(0, 4, 1.0, 0, 99 * S, 0.0) == 2 * S, "without room the longest"
    assert RetryScheduler(0, 0, random.Random(1)).advise(0, 1, 1.0, 0, S, 9.0) == 0, "no advice is passed on"


def test_a_caller_is_told_its_place_again_and_a_new_one_after_it() -> None:
    scheduler = make_scheduler()
    first = scheduler.advise(0, 7, 1.0, 500_000, 9 * S, 50.0)
    assert scheduler.advise(100_000, 7, 1.0, 100_000, 9 * S, 50.0) == first - 100_000
    later = scheduler.advise(3 * S, 7, 1.0, 500_000, 9 * S, 50.0)
    assert 500_000 <= later <= 600_000 and len(scheduler.retry_times) == 1


def test_the_wheel_holds_no_more_than_its_slots_and_the_callers_ahead() -> None:
    scheduler = make_scheduler()
    for n in range(20_000):
        scheduler.advise(n * 1000, n, 1.0, 100_000, 9 * S, 50.0)
    assert (
        len(scheduler.slot_rates) == 2 * S // SLOT_US
        and len(scheduler.retry_times) <= 2 * S // 1000 + SLOT_US // 1000
    )


def test_a_clock_that_steps_back_stands_still() -> None:
    scheduler = make_scheduler()
    scheduler.advise(10 * S, 1, 1.0, 100_000, 9 * S, 50.0)
    assert 0 <= scheduler.advise(2 * S, 2, 1.0, 100_000, 9 * S, 50.0) <= 2 * S


# On a backend


def force_storm(town: Town) -> None:
    """The sight is made to see a storm, and to go on seeing it."""
    detector = town.backend.dispatcher.storm_monitor.detector
    detector.estimate = StormEstimate(0.5, 2.0, True, 0.9)
    detector.update = lambda now: detector.estimate


def test_in_a_storm_callers_get_places_of_their_own_in_both_fields() -> None:
    storm = Storm(paces_returns=True, retry_after=True)

    async def scene(town: Town) -> None:
        plain = await asked_while_sick(town, 1, 4)
        assert {away for away, _ in plain} == {1000}, "without a storm all are told the same"
        force_storm(town)
        paced = await asked_while_sick(town, 100, 12)
        assert all(0 < away <= 1000 for away, _ in paced) and all(after == 1 for _, after in paced)
        town.backend.dispatcher.storm_monitor.detector.success_rate = 20.0
        manager = town.backend.dispatcher.manager
        manager.facts = dataclasses.replace(manager.facts, max_retry_after=100_000)
        spread = await asked_while_sick(town, 200, 12)
        assert len({away for away, _ in spread}) > 6 and max(away for away, _ in spread) > 150
        town.check()

    play_in(Town(operator=Operator(storm=storm)), scene)


async def asked_while_sick(town: Town, first: int, count: int) -> list[tuple[int, int]]:
    """What so many sidecars are told when all is dismissed: milliseconds to stay away, and Retry-After."""
    told = []
    town.backend.dispatcher.manager.stalled = lambda now: True
    for n in range(first, first + count):
        side = await Sidecar(town).open()
        status, head, _ = await side.ask(Sidecar.ticket(f"{n:016x}", X_Router=str(n)))
        assert status == 503
        away, after = re.search(r"X-Throttle-Ms: (\d+)", head), re.search(r"Retry-After: (\d+)", head)
        told.append((int(away[1]), int(after[1])))
    return told


@pytest.mark.parametrize("lowers", [True, False])
def test_in_a_storm_the_module_is_told_of_likely_repeats_only_where_the_operator_wants_it(
    lowers: bool,
) -> None:
    async def scene(town: Town) -> None:
        force_storm(town)
        town.farm.hold = True
        dispatcher, taken = town.backend.dispatcher, []
        take = dispatcher.manager.receive
        dispatcher.manager.receive = lambda *given: (taken.append(given[-1]), take(*given))[1]
        dispatcher.manager.stalled = lambda now: True
        for n in range(3):
            side = await Sidecar(town).open()
            assert (await side.ask(Sidecar.ticket(f"{n:016x}", "book", b"the same")))[0] == 503
        assert taken == [False, lowers, lowers]
        assert town.counts["likely_repeats"] == 2

    play_in(Town(operator=Operator(storm=Storm(lowers_repeats=lowers))), scene)


@pytest.mark.parametrize("method", ["record_arrival", "record_outcome", "retry_after"])
def test_a_defect_of_the_sight_costs_the_sight_and_no_ticket(method: str) -> None:
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
