"""How often a front asks the primary for items."""

from itertools import pairwise

from crowwing.tier.front.batch_job_runner import POLL_INTERVAL_S, is_call_due, pause_after
from crowwing.tier.store.leases import LEASE_S


def calls_of(span_s: float, running: int) -> list[float]:
    """When a front without room calls, whose calls are answered at once."""
    calls: list[float] = []
    now, last = 0.0, -10.0
    while now < span_s:
        if is_call_due(0, running, now - last):
            calls.append(now)
            last = now
        now += pause_after(0, 0.0) if last == now else POLL_INTERVAL_S
    return calls


def test_a_front_without_room_renews_its_leases_in_time_and_does_not_ask_all_the_time() -> None:
    calls = calls_of(60.0, running=5)
    assert len(calls) <= 130
    assert max(later - earlier for earlier, later in pairwise(calls)) < LEASE_S / 2


def test_a_front_that_runs_nothing_and_has_no_room_is_heard_about_once_a_second() -> None:
    assert 40 <= len(calls_of(60.0, running=0)) <= 61


def test_a_front_with_room_asks_at_once_but_not_again_after_an_empty_answer_that_came_at_once() -> None:
    assert is_call_due(3, 0, 0.0)
    assert pause_after(0, 0.0) == POLL_INTERVAL_S
    assert pause_after(0, 0.6) < POLL_INTERVAL_S and pause_after(4, 0.0) < POLL_INTERVAL_S
