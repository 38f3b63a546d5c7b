"""Load estimates, free slots and polling of the sidecars of a service."""

import pytest

from crowwing.tier.front.load_reports import AverageInflight, LoadReport
from crowwing.tier.front.sidecar_table import BATCH_FILL, UNCOUNTED_SHARE_SLOTS
from tests.tier.sidecar_tables import many, table


def test_a_reported_load_decays_so_that_old_reports_starve_no_sidecar() -> None:
    sidecars = table("a")
    state = sidecars.of_service("advisor")[0]
    state.record_load(0.0, LoadReport(48, 12, 48))
    assert sidecars.free_slots("advisor", 0.1).live == 0
    assert sidecars.free_slots("advisor", 2.0).live > 40
    state.inflight, sidecars.fronts = 3, 9
    assert state.estimate(2.0, AverageInflight(3.0, 24.0)) == pytest.approx(27), "as if all fronts sent alike"


def test_items_leave_a_third_of_the_slots_to_live_requests() -> None:
    sidecars = table("a")
    sidecars.of_service("advisor")[0].record_load(0.0, LoadReport(35, 0, 48))
    free_slots = sidecars.free_slots("advisor", 0.0)
    assert free_slots.batch == 0 and free_slots.live > 8


def test_free_slots_are_cached_briefly_for_many_sidecars() -> None:
    sidecars = many(60)
    before = sidecars.free_slots("advisor", 1.0)
    sidecars.count_started("advisor", 10, 5)
    after = sidecars.free_slots("advisor", 1.01)
    assert (after.live, after.batch) == (before.live - 15, before.batch - 15)
    assert sidecars.free_slots("advisor", 1.05) == before, "counted again"


def test_many_fronts_poll_a_sidecar_no_more_often_than_few() -> None:
    reports_per_s = {}
    for fronts in (5, 50):
        sidecars = table(*(f"s{number}" for number in range(30)))
        sidecars.fronts = fronts
        count = 0
        for step in range(200):  # 10 s in which requests are queued
            now = 100 + 0.05 * step
            for state in sidecars.with_stale_load("advisor", now):
                state.report_requested_at = now
                count += 1
        reports_per_s[fronts] = count * fronts / 30 / 10  # at one sidecar, by all fronts
    assert reports_per_s[5] <= 5 / 0.4 + 1 and reports_per_s[50] <= 20 + 50 / 10, reports_per_s


def test_a_few_sidecars_are_polled_at_a_time_the_oldest_reports_first() -> None:
    sidecars = table(*(f"s{number}" for number in range(10)))
    for index, state in enumerate(sidecars.of_service("advisor")):
        state.record_load(float(-index), LoadReport(0, 0, 48))
    polled = [state.entry.id for state in sidecars.with_stale_load("advisor", 10.0)]
    assert polled == ["s9", "s8", "s7", "s6"]


def test_one_request_at_a_sidecar_is_not_multiplied_by_the_number_of_fronts() -> None:
    sidecars = table(*(f"s{number}" for number in range(30)))
    sidecars.fronts = 50
    state = sidecars.of_service("advisor")[0]
    state.inflight = 1
    assert sidecars.load("advisor", 100.0).waiting == 0, "50 requests there would exceed its slots"
    assert sidecars.load("advisor", 100.0).running == pytest.approx(50, rel=0.2), "in total, one per front"


def test_many_requests_at_one_sidecar_raise_the_estimate_of_other_fronts() -> None:
    sidecars = table("a", "b", "c")
    sidecars.fronts = 9
    crowded, *others = sidecars.of_service("advisor")
    crowded.inflight = 12
    for state in others:
        state.inflight = 3
    assert crowded.estimate(100.0, AverageInflight(6.0, 48.0)) > 80
    assert others[0].estimate(100.0, AverageInflight(6.0, 48.0)) < 40


def test_before_the_fronts_are_counted_each_assumes_a_small_share() -> None:
    sidecars = table(*(f"s{number}" for number in range(36)))
    slots = 36 * 48
    assert slots / sidecars.assumed_front_count("advisor") == pytest.approx(UNCOUNTED_SHARE_SLOTS, rel=0.01)
    sidecars.fronts, sidecars.fronts_counted = 9, True
    assert sidecars.assumed_front_count("advisor") == 9


def test_reported_loads_are_extrapolated_whatever_the_number_of_fronts() -> None:
    for fronts in (3, 72, 3000):
        sidecars = table(*(f"s{number}" for number in range(10)))
        sidecars.fronts = fronts
        first = sidecars.of_service("advisor")[0]
        first.inflight = 1
        for step in range(60):
            sidecars.record_load(first, 0.01 * step, LoadReport(12, 0, 48))
        load = sidecars.load("advisor", 0.6)
        assert load.running == pytest.approx(10 * 12, rel=0.2), "each of ten like the one that reported"


def test_a_false_load_report_changes_other_estimates_little_and_briefly() -> None:
    sidecars = table(*(f"s{number}" for number in range(10)))
    healthy, faulty, *_ = sidecars.of_service("advisor")
    for step in range(60):
        now = 0.01 * step
        sidecars.record_load(healthy, now, LoadReport(12, 0, 48))
        if step % 10 == 9:
            sidecars.record_load(faulty, now, LoadReport(1e9, 1e9, 1))
    others = [state for state in sidecars.of_service("advisor") if state not in (healthy, faulty)]
    average = sidecars.average_inflight("advisor", 0.6)
    assert max(state.estimate(0.6, average) for state in others) < 48, "they still have free slots"
    average = sidecars.average_inflight("advisor", 9.0)
    assert average.others == 0, "the reports are too old, and this front sends nothing"


@pytest.mark.parametrize("fronts", [1, 9, 72, 3000])
def test_items_of_all_fronts_together_leave_slots_for_live_requests(fronts: int) -> None:
    sidecars = table(*(f"s{number}" for number in range(36)))
    sidecars.fronts, sidecars.fronts_counted = fronts, True
    assert fronts * (sidecars.max_batch_items("advisor") - 1) <= BATCH_FILL * 36 * 48
    assert sidecars.max_batch_items("advisor") >= 1, "and no front is starved"
