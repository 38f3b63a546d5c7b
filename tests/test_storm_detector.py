"""The storm detector against simulated traffic in which it is known which arrivals are retries."""

import heapq
import random
from collections.abc import Callable
from typing import NamedTuple

import pytest

from crowwing.protocol.arrival import Arrival
from crowwing.storm import fingerprint
from crowwing.storm.detector import StormDetector, StormEstimate
from crowwing.storm.fingerprint_windows import BloomWindow, CountWindow, CuckooWindow, DictWindow

MS, S = 1000, 1_000_000
TIME_BUDGET = 2500 * MS


class Seen(NamedTuple):
    estimates: list[tuple[float, StormEstimate]]  # second, estimate
    identified: float  # share of retries recognized, with a probability over 0.5
    misidentified: float  # share of first attempts taken for retries

    def storms(self, begin: float, end: float) -> float:
        """Share of the time in which a storm was reported."""
        part = [estimate.storm for at, estimate in self.estimates if begin <= at < end]
        return sum(part) / len(part)

    def attempts(self, begin: float, end: float) -> float:
        part = [estimate.attempts for at, estimate in self.estimates if begin <= at < end]
        return sum(part) / len(part)


def play(
    seed: int,
    rate: Callable[[float], float],
    capacity: float = 60.0,
    retry_share: float = 0.9,
    stable_share: float = 1.0,
    spends_budget: bool = False,
    equal_share: float = 0.0,
    step_back: float = 0.0,
    budgets: tuple[float, float] = (1.0, 1.0),
    two_budgets: bool = False,
) -> Seen:
    """Simulates 60 s of one backend, which rejects what exceeds `capacity` requests per second.

    A share `retry_share` of rejected requests is retried, a share `stable_share` of these with the same
    fingerprint.
    """
    rng = random.Random(seed)
    detector = StormDetector(0, 1, 10 * S, 4000)
    # Time, sequence number, whether it is a retry, fingerprint, share of the time budget left.
    events: list[tuple[float, int, bool, int, float]] = []
    at, sequence = 0.0, 0
    while at < 60:
        at += rng.expovariate(rate(at))
        print_value = rng.getrandbits(64)
        if events and rng.random() < equal_share:
            print_value = rng.choice(events[-50:])[3]
        sequence += 1
        left = rng.choice(budgets) if two_budgets else rng.uniform(*budgets)
        events.append((at, sequence, False, print_value, left))
    heapq.heapify(events)
    estimates, true_positives, retries, false_positives, first_attempts = [], 0, 0, 0, 0
    tokens, last, next_step, stepped_back = capacity / 5, 0.0, 0.1, 0.0
    while events and events[0][0] < 60:
        at, _, is_retry, print_value, left = heapq.heappop(events)
        while at >= next_step:
            stepped_back = step_back if next_step >= 30 else 0.0
            estimates.append((next_step, detector.update(round((next_step - stepped_back) * S))))
            next_step += 0.1
        now = round((at - stepped_back) * S)
        likelihood = detector.record_arrival(now, 0, print_value, round(left * TIME_BUDGET))
        true_positives, retries = true_positives + (is_retry and likelihood > 0.5), retries + is_retry
        false_positives, first_attempts = (
            false_positives + (not is_retry and likelihood > 0.5),
            first_attempts + (not is_retry),
        )
        tokens, last = min(capacity / 5, tokens + (at - last) * capacity), at
        good = tokens >= 1
        tokens -= good
        detector.record_outcome(now + 20 * MS, print_value, good)
        if not good and rng.random() < retry_share:
            sequence += 1
            known = print_value if rng.random() < stable_share else rng.getrandbits(64)
            later = at + rng.uniform(0.05, 0.4)
            heapq.heappush(events, (later, sequence, True, known, left - 0.05 if spends_budget else left))
    return Seen(estimates, true_positives / max(1, retries), false_positives / max(1, first_attempts))


def jump(before: float, after: float, at: float = 20.0) -> Callable[[float], float]:
    return lambda second: after if second >= at else before


SEEDS = range(4)


@pytest.mark.parametrize("seed", SEEDS)
def test_stable_fingerprints_reveal_a_storm_and_its_end(seed: int) -> None:
    seen = play(seed, lambda second: 85 if 20 <= second < 40 else 45)
    assert seen.storms(24, 40) > 0.9 and seen.storms(5, 20) == 0 and seen.storms(46, 60) < 0.2
    assert seen.identified > 0.8 and seen.misidentified < 0.02


@pytest.mark.parametrize("seed", SEEDS)
def test_a_storm_without_stable_fingerprints_is_inferred_from_arrivals_after_rejections(seed: int) -> None:
    seen = play(seed, lambda second: 80 if 20 <= second < 45 else 45, stable_share=0.0)
    assert seen.storms(28, 45) > 0.8 and seen.storms(5, 20) == 0
    assert seen.attempts(30, 45) > 1.3 and seen.identified < 0.05


@pytest.mark.parametrize("seed", SEEDS)
def test_a_storm_of_sidecars_that_try_other_backends_shows_in_spent_time_budgets(seed: int) -> None:
    seen = play(seed, jump(45, 80), stable_share=0.0, spends_budget=True)
    assert seen.storms(28, 60) > 0.8 and seen.identified > 0.9 and seen.misidentified < 0.02


@pytest.mark.parametrize("seed", SEEDS)
def test_doubled_organic_traffic_is_no_storm(seed: int) -> None:
    seen = play(seed, jump(45, 90), retry_share=0.0)
    assert seen.storms(0, 60) == 0 and seen.misidentified < 0.01


@pytest.mark.parametrize("seed", SEEDS)
def test_the_loss_of_another_backend_without_retries_is_no_storm(seed: int) -> None:
    seen = play(seed, jump(55, 69), retry_share=0.0)
    assert seen.storms(0, 60) == 0


@pytest.mark.parametrize("seed", SEEDS)
def test_equal_requests_are_not_taken_for_retries(seed: int) -> None:
    for retry_share in (0.0, 0.9):
        seen = play(seed, jump(45, 85), equal_share=0.3, retry_share=retry_share)
        assert seen.misidentified < 0.05
    assert play(seed, jump(45, 85), equal_share=0.3, retry_share=0.0).storms(0, 60) == 0


@pytest.mark.parametrize("seed", SEEDS)
def test_differing_time_budgets_flag_no_request(seed: int) -> None:
    assert play(seed, jump(45, 60), budgets=(0.3, 1.0), retry_share=0.0).misidentified < 0.02


@pytest.mark.parametrize("seed", SEEDS)
def test_two_time_budgets_are_learned_in_normal_operation(seed: int) -> None:
    """Half of the sidecars have half the budget: what looks spent in normal operation must not count."""
    seen = play(seed, jump(45, 90), retry_share=0.0, budgets=(0.5, 1.0), two_budgets=True)
    assert seen.misidentified < 0.1 and seen.storms(0, 60) < 0.1


def test_a_clock_that_steps_back_neither_breaks_it_nor_makes_a_storm() -> None:
    seen = play(1, jump(40, 41), step_back=8.0)
    assert seen.storms(0, 60) == 0 and all(
        1 <= estimate.attempts < 1.3 for at, estimate in seen.estimates if at > 45
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_attempts_per_request_are_estimated_closely(seed: int) -> None:
    """Capacity 60, 62 first attempts, 0.8 of the rejected retry: x rejected, where 62 + 0.8 x - 60 = x."""
    seen = play(seed, jump(45, 62), retry_share=0.8)
    assert seen.attempts(40, 60) == pytest.approx((62 + 0.8 * 10) / 62, abs=0.12)


# Windows


@pytest.mark.parametrize("kind", [DictWindow, BloomWindow, CuckooWindow, CountWindow])
def test_a_window_keeps_fingerprints_for_its_span_only(kind: type) -> None:
    rng = random.Random(1)
    window = kind(8 * S, 4000)
    prints = [rng.getrandbits(64) for _ in range(2000)]
    for n, one in enumerate(prints):
        window.add(n * MS, one)
    before = window.size_bytes
    false_matches = sum(window.take(2 * S, rng.getrandbits(64)) for _ in range(4000))
    assert false_matches < 4000 * 0.02
    late = sum(window.take(6 * S, one) for one in prints[1000:])
    assert late >= (800 if kind is CountWindow else 995), "counts decay, so shared cells expire early"
    assert sum(window.take(16 * S, one) for one in prints[:1000]) <= 20, "expired"
    if kind is not DictWindow:
        assert window.size_bytes == before


@pytest.mark.parametrize("kind", [DictWindow, CuckooWindow, CountWindow])
def test_one_rejection_matches_once(kind: type) -> None:
    window = kind(8 * S, 1000)
    window.add(0, 77 << 40 | 5)
    assert window.take(S, 77 << 40 | 5) and not window.take(S, 77 << 40 | 5)


def test_a_full_cuckoo_filter_evicts_the_oldest_and_does_not_grow() -> None:
    rng = random.Random(2)
    window = CuckooWindow(10 * S, 100)
    size = window.size_bytes
    prints = [rng.getrandbits(64) for _ in range(5000)]
    for n, one in enumerate(prints):
        window.add(n * MS, one)
    assert window.size_bytes == size
    assert sum(window.take(5 * S, one) for one in prints[-50:]) >= 40
    assert sum(window.take(5 * S, one) for one in prints[:4000]) < 20


def test_a_fingerprint_covers_the_stable_fields_only() -> None:
    arrival = Arrival("a" * 16, "look", "acme", 1, 2, 3, 24.5, 0.5, "", "", b"body")
    later = arrival._replace(id="b" * 16, arrived=5, due=9, sidecar=7, row="x")
    assert fingerprint.of(arrival) == fingerprint.of(later)
    for changed in ({"type": "pay"}, {"customer": "x"}, {"kb": 1.0}, {"rank": 0.6}, {"body": b"bod"}):
        assert fingerprint.of(arrival) != fingerprint.of(arrival._replace(**changed))
    shifted = arrival._replace(type="loo", customer="kacme")
    assert fingerprint.of(arrival) != fingerprint.of(shifted)
    assert fingerprint.of(arrival, ("type",)) == fingerprint.of(arrival._replace(body=b""), ("type",))


@pytest.mark.parametrize("busy", [False, True])
def test_expired_entries_of_a_cuckoo_filter_stay_expired_when_epochs_wrap(busy: bool) -> None:
    rng = random.Random(4)
    window = CuckooWindow(10 * S, 1000)
    prints = [rng.getrandbits(64) for _ in range(200)]
    for one in prints:
        window.add(0, one)
    for now in range(0, 42 * S, S // 4):
        if busy:
            window.add(now, rng.getrandbits(64))
    assert not any(window.take(42 * S, one) for one in prints)


def test_a_retry_of_a_remote_rejection_is_recognized_if_the_fleet_shares_it() -> None:
    def likelihood(shared: bool) -> float:
        detector, rng = StormDetector(0, 1, 10_000_000, 4000), random.Random(1)
        local, remote = ([rng.getrandbits(64) for _ in range(2000)] for _ in range(2))
        now, identified = 0, []
        for n in range(2000):
            now += 10_000
            detector.record_arrival(now, 0, local[n], 0)
            detector.record_outcome(now, local[n], n % 2 == 0)
            if shared:
                detector.record_remote_rejections(now, [remote[n]])
            if n >= 1000:  # retries of requests that others rejected a second ago
                identified.append(detector.record_arrival(now, 0, remote[n - 100], 0))
            detector.update(now)
        return sum(identified) / len(identified)

    assert likelihood(False) == 0 and likelihood(True) > 0.8
