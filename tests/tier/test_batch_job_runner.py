"""How often a front calls the primary for items."""

from itertools import pairwise

from crowwing.tier.front.batch_job_runner import POLL_INTERVAL_S, is_call_due, pause_after
from crowwing.tier.store.leases import LEASE_S


def calls_of(span_s: float, running: int) -> list[float]:
    """The times at which a front without free slots calls, if each call returns at once."""
    calls: list[float] = []
    now, last = 0.0, -10.0
    while now < span_s:
        if is_call_due(0, running, now - last):
            calls.append(now)
            last = now
        now += pause_after(0, 0.0) if last == now else POLL_INTERVAL_S
    return calls


def test_a_front_without_free_slots_renews_its_leases_in_time_and_rarely_calls() -> None:
    calls = calls_of(60.0, running=5)
    assert len(calls) <= 130
    assert max(later - earlier for earlier, later in pairwise(calls)) < LEASE_S / 2


def test_an_idle_front_without_free_slots_calls_about_once_a_second() -> None:
    assert 40 <= len(calls_of(60.0, running=0)) <= 61


def test_a_front_with_free_slots_pauses_after_an_immediate_empty_response() -> None:
    assert is_call_due(3, 0, 0.0)
    assert pause_after(0, 0.0) == POLL_INTERVAL_S
    assert pause_after(0, 0.6) < POLL_INTERVAL_S and pause_after(4, 0.0) < POLL_INTERVAL_S
