"""Admission control of one service: priority threshold, order of starts, queue timeouts and limit."""

import pytest

from crowwing.tier.front.admission import Admission, AdmissionRequest, FreeSlots, Load, rank_of

LATENCY_TARGET_S = 0.2
FULL, IDLE = Load(240, 30, 240), Load(20, 0, 240)
MANY = FreeSlots(1000, 1000)


def admission_request(
    rank: float, arrived: float = 0.0, is_batch_item: bool = False, name: str = "review"
) -> AdmissionRequest:
    return AdmissionRequest(name, rank, arrived, arrived + 5, is_batch_item)


def test_priorities_map_onto_six_equal_bands() -> None:
    assert rank_of(0, 0.0) == pytest.approx(5 / 6)
    assert rank_of(5, 0.0) == 0
    assert rank_of(9, 0.5) == pytest.approx(0.5 / 6)
    assert rank_of(2, 0.999) < rank_of(1, 0.0)


def test_queued_requests_start_highest_rank_first_within_the_limit() -> None:
    admission = Admission(0.0, 4)
    for rank in (0.2, 0.9, 0.5, 0.1, 0.8, 0.7):
        assert admission.arrive(0.0, admission_request(rank), LATENCY_TARGET_S)
    assert [started.rank for started in admission.start(MANY)] == [0.9, 0.8, 0.7, 0.5]
    assert admission.inflight == 4 and admission.queued_count == 2


def test_a_queued_request_is_rejected_once_its_timeout_is_over() -> None:
    admission = Admission(0.0, 4)
    late = admission_request(0.9)
    admission.arrive(0.0, late, LATENCY_TARGET_S)
    assert admission.expire(0.045) == []
    assert admission.expire(0.047) == [late], "a share of the latency target while no latency is known"
    assert admission.queued_count == 0 and admission.rejected_count == 1


def test_the_timeout_follows_the_p90_and_what_it_leaves_of_the_latency_target() -> None:
    queue = Admission(0.0, 4).class_queue("review", 1.0)
    assert queue.timeout_s == pytest.approx(0.23)
    for _ in range(8):
        queue.record_latency(0.08)
    assert queue.timeout_s == pytest.approx(0.08)
    for _ in range(64):
        queue.record_latency(0.95)
    assert queue.timeout_s == pytest.approx(0.05)
    for _ in range(64):
        queue.record_latency(0.5)
    assert queue.timeout_s == pytest.approx(0.23), "a rejection leaves time for a retry"


def test_the_priority_threshold_rises_while_waits_outlast_timeouts_and_slots_are_full() -> None:
    admission = Admission(0.0, 4)
    now = 0.0
    for _ in range(60):
        now += 0.05
        admission.arrive(now, admission_request(0.99, now - 0.1), LATENCY_TARGET_S)
        admission.step(now, FULL, 4)
        admission.expire(now)
    assert admission.priority_threshold > 0.5
    assert not admission.arrive(now, admission_request(0.1, now), LATENCY_TARGET_S), (
        "rejected at once below the threshold"
    )
    for _ in range(200):
        now += 0.05
        admission.step(now, IDLE, 240)
    assert admission.priority_threshold == 0, "it falls once queues are empty"


def test_a_quarter_of_the_highest_band_is_never_rejected_by_the_threshold() -> None:
    admission = Admission(0.0, 4)
    now = 0.0
    for _ in range(1000):
        now += 0.05
        admission.arrive(now, admission_request(0.999, now - 5), LATENCY_TARGET_S)
        admission.step(now, FULL, 4)
        admission.expire(now)
    assert admission.arrive(now, admission_request(rank_of(0, 0.76), now), LATENCY_TARGET_S)


def test_the_limit_climbs_while_slots_idle_and_work_waits_up_to_what_was_survived() -> None:
    admission = Admission(0.0, 4)
    for _ in range(30):
        admission.arrive(0.0, admission_request(0.9, is_batch_item=True), 5.0)
    now = 0.0
    for _ in range(10):
        now += 0.05
        admission.step(now, IDLE, 60)
    assert admission.limit == 60
    for _ in range(100):
        now += 0.05
        admission.step(now, Load(240, 60, 240), 60)
    assert admission.limit < 20, "it falls while requests wait at sidecars"


def test_items_wait_where_live_requests_still_start() -> None:
    admission = Admission(0.0, 10)
    admission.arrive(0.0, admission_request(0.9), LATENCY_TARGET_S)
    admission.arrive(0.0, admission_request(0.5, is_batch_item=True, name="items"), LATENCY_TARGET_S)
    started = admission.start(FreeSlots(live=10, batch=0))
    assert [one.is_batch_item for one in started] == [False]
    assert admission.expire(1.0) == [], "an item has no queue timeout"


@pytest.mark.parametrize("fronts", [3, 72, 3000])
def test_the_minimum_limits_of_all_fronts_are_a_share_of_the_slots(fronts: int) -> None:
    slots = 432.0
    admission = Admission(0.0, slots / fronts)
    crowded = Load(slots, 3 * slots, slots)
    for step in range(1, 400):
        admission.step(0.05 * step, crowded, slots, fronts)
    assert fronts * admission.limit <= max(0.3 * slots, fronts * 1.0), "the loops can reject work"
    assert admission.limit >= 1.0, "and no front is starved"


def test_fronts_that_raise_their_limits_together_share_the_idle_slots() -> None:
    slots, fronts = 432.0, 72
    admission = Admission(0.0, 1.0)
    admission.limit = 1.0
    admission.arrive(0.0, AdmissionRequest("review", 0.5, 0.0, 9.0, False), 5.0)
    admission.step(0.05, Load(0.0, 0.0, slots), slots, fronts)
    assert fronts * (admission.limit - 1.0) <= slots, "in one step"
