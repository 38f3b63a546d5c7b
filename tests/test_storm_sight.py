"""The sight of repeats and storms, in a small scripted world whose truth is known. Seeded, no sockets."""

import heapq
import random
from collections.abc import Callable
from typing import NamedTuple

import pytest

from crowwing.protocol.arrival import Arrival
from crowwing.storm import fingerprint
from crowwing.storm.sight import Sight, View
from crowwing.storm.windows import BloomWindow, CountWindow, CuckooWindow, DictWindow

MS, S = 1000, 1_000_000
PATIENCE = 2500 * MS


class Seen(NamedTuple):
    views: list[tuple[float, View]]  # second, what was seen
    found: float  # share of true repeats whose likelihood was over a half
    taken: float  # share of first tries for which it was

    def storms(self, begin: float, end: float) -> float:
        """Part of the time in which a storm was seen."""
        part = [view.storm for at, view in self.views if begin <= at < end]
        return sum(part) / len(part)

    def tries(self, begin: float, end: float) -> float:
        part = [view.tries for at, view in self.views if begin <= at < end]
        return sum(part) / len(part)


def play(
    seed: int,
    rate: Callable[[float], float],
    room: float = 60.0,
    comes_back: float = 0.9,
    same: float = 1.0,
    spent: bool = False,
    equal: float = 0.0,
    step_back: float = 0.0,
    patience: tuple[float, float] = (1.0, 1.0),
    two: bool = False,
) -> Seen:
    """60 s of one backend in an even fleet. What is over `room` a second is dismissed.

    A dismissed ticket comes back `comes_back` of the time, with its old print for a share `same`.
    """
    chance = random.Random(seed)
    sight = Sight(0, 1, 10 * S, 4000)
    news: list[tuple[float, int, bool, int, float]] = []  # when, serial, a repeat, print, patience
    at, serial = 0.0, 0
    while at < 60:
        at += chance.expovariate(rate(at))
        key = chance.getrandbits(64)
        if news and chance.random() < equal:
            key = chance.choice(news[-50:])[3]
        serial += 1
        left = chance.choice(patience) if two else chance.uniform(*patience)
        news.append((at, serial, False, key, left))
    heapq.heapify(news)
    views, hits, repeats, wrong, firsts = [], 0, 0, 0, 0
    tokens, last, next_step, stepped_back = room / 5, 0.0, 0.1, 0.0
    while news and news[0][0] < 60:
        at, _, again, key, left = heapq.heappop(news)
        while at >= next_step:
            stepped_back = step_back if next_step >= 30 else 0.0
            views.append((next_step, sight.step(round((next_step - stepped_back) * S))))
            next_step += 0.1
        now = round((at - stepped_back) * S)
        likely = sight.arrived(now, 0, key, round(left * PATIENCE))
        hits, repeats = hits + (again and likely > 0.5), repeats + again
        wrong, firsts = wrong + (not again and likely > 0.5), firsts + (not again)
        tokens, last = min(room / 5, tokens + (at - last) * room), at
        good = tokens >= 1
        tokens -= good
        sight.ended(now + 20 * MS, key, good)
        if not good and chance.random() < comes_back:
            serial += 1
            known = key if chance.random() < same else chance.getrandbits(64)
            later = at + chance.uniform(0.05, 0.4)
            heapq.heappush(news, (later, serial, True, known, left - 0.05 if spent else left))
    return Seen(views, hits / max(1, repeats), wrong / max(1, firsts))


def jump(before: float, after: float, at: float = 20.0) -> Callable[[float], float]:
    return lambda second: after if second >= at else before


SEEDS = range(4)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_storm_is_seen_by_prints_that_stay_and_ends_with_it(seed: int) -> None:
    seen = play(seed, lambda second: 85 if 20 <= second < 40 else 45)
    assert seen.storms(24, 40) > 0.9 and seen.storms(5, 20) == 0 and seen.storms(46, 60) < 0.2
    assert seen.found > 0.8 and seen.taken < 0.02


@pytest.mark.parametrize("seed", SEEDS)
def test_a_storm_without_any_stable_print_shows_in_what_follows_our_dismissals(seed: int) -> None:
    seen = play(seed, lambda second: 80 if 20 <= second < 45 else 45, same=0.0)
    assert seen.storms(28, 45) > 0.8 and seen.storms(5, 20) == 0
    assert seen.tries(30, 45) > 1.3 and seen.found < 0.05


@pytest.mark.parametrize("seed", SEEDS)
def test_a_storm_of_sidecars_that_go_on_shows_in_patience_spent(seed: int) -> None:
    seen = play(seed, jump(45, 80), same=0.0, spent=True)
    assert seen.storms(28, 60) > 0.8 and seen.found > 0.9 and seen.taken < 0.02


@pytest.mark.parametrize("seed", SEEDS)
def test_honest_traffic_that_doubles_is_no_storm(seed: int) -> None:
    seen = play(seed, jump(45, 90), comes_back=0.0)
    assert seen.storms(0, 60) == 0 and seen.taken < 0.01


@pytest.mark.parametrize("seed", SEEDS)
def test_a_neighbours_death_without_retries_is_no_storm(seed: int) -> None:
    seen = play(seed, jump(55, 69), comes_back=0.0)
    assert seen.storms(0, 60) == 0


@pytest.mark.parametrize("seed", SEEDS)
def test_equal_honest_tickets_do_not_pass_for_repeats(seed: int) -> None:
    for comes_back in (0.0, 0.9):
        seen = play(seed, jump(45, 85), equal=0.3, comes_back=comes_back)
        assert seen.taken < 0.05
    assert play(seed, jump(45, 85), equal=0.3, comes_back=0.0).storms(0, 60) == 0


@pytest.mark.parametrize("seed", SEEDS)
def test_patience_that_differs_honestly_flags_nobody(seed: int) -> None:
    assert play(seed, jump(45, 60), patience=(0.3, 1.0), comes_back=0.0).taken < 0.02


@pytest.mark.parametrize("seed", SEEDS)
def test_callers_of_two_patiences_are_known_from_calm(seed: int) -> None:
    """Half of the sidecars wait half as long: what looks worn while all is calm is not worn later."""
    seen = play(seed, jump(45, 90), comes_back=0.0, patience=(0.5, 1.0), two=True)
    assert seen.taken < 0.1 and seen.storms(0, 60) < 0.1


def test_a_clock_that_steps_back_neither_breaks_it_nor_makes_a_storm() -> None:
    seen = play(1, jump(40, 41), step_back=8.0)
    assert seen.storms(0, 60) == 0 and all(1 <= view.tries < 1.3 for at, view in seen.views if at > 45)


@pytest.mark.parametrize("seed", SEEDS)
def test_tries_are_near_the_truth(seed: int) -> None:
    """Room for 60, 62 first tries, 0.8 of the dismissed come back: x dismissed with 62 + 0.8 x - 60 = x."""
    seen = play(seed, jump(45, 62), comes_back=0.8)
    assert seen.tries(40, 60) == pytest.approx((62 + 0.8 * 10) / 62, abs=0.12)


# Windows


@pytest.mark.parametrize("kind", [DictWindow, BloomWindow, CuckooWindow, CountWindow])
def test_a_window_remembers_for_its_span_and_forgets_after(kind: type) -> None:
    chance = random.Random(1)
    window = kind(8 * S, 4000)
    prints = [chance.getrandbits(64) for _ in range(2000)]
    for n, one in enumerate(prints):
        window.add(n * MS, one)
    before = window.held_bytes
    strangers = sum(window.take(2 * S, chance.getrandbits(64)) for _ in range(4000))
    assert strangers < 4000 * 0.02
    late = sum(window.take(6 * S, one) for one in prints[1000:])
    assert late >= (800 if kind is CountWindow else 995), "the sketch fades, so shared places fade early"
    assert sum(window.take(16 * S, one) for one in prints[:1000]) <= 20, "forgotten"
    if kind is not DictWindow:
        assert window.held_bytes == before


@pytest.mark.parametrize("kind", [DictWindow, CuckooWindow, CountWindow])
def test_one_turning_away_matches_once(kind: type) -> None:
    window = kind(8 * S, 1000)
    window.add(0, 77 << 40 | 5)
    assert window.take(S, 77 << 40 | 5) and not window.take(S, 77 << 40 | 5)


def test_a_full_cuckoo_forgets_the_oldest_and_stays_its_size() -> None:
    chance = random.Random(2)
    window = CuckooWindow(10 * S, 100)
    size = window.held_bytes
    prints = [chance.getrandbits(64) for _ in range(5000)]
    for n, one in enumerate(prints):
        window.add(n * MS, one)
    assert window.held_bytes == size
    assert sum(window.take(5 * S, one) for one in prints[-50:]) >= 40
    assert sum(window.take(5 * S, one) for one in prints[:4000]) < 20


def test_a_print_takes_in_the_fields_that_stay_and_only_those() -> None:
    arrival = Arrival("a" * 16, "look", "acme", 1, 2, 3, 24.5, 0.5, "", "", b"body")
    later = arrival._replace(id="b" * 16, arrived=5, due=9, sidecar=7, row="x")
    assert fingerprint.of(arrival) == fingerprint.of(later)
    for changed in ({"type": "pay"}, {"customer": "x"}, {"kb": 1.0}, {"rank": 0.6}, {"body": b"bod"}):
        assert fingerprint.of(arrival) != fingerprint.of(arrival._replace(**changed))
    shifted = arrival._replace(type="loo", customer="kacme")
    assert fingerprint.of(arrival) != fingerprint.of(shifted)
    assert fingerprint.of(arrival, ("type",)) == fingerprint.of(arrival._replace(body=b""), ("type",))


@pytest.mark.parametrize("busy", [False, True])
def test_a_cuckoo_does_not_remember_again_when_its_ages_come_round(busy: bool) -> None:
    chance = random.Random(4)
    window = CuckooWindow(10 * S, 1000)
    prints = [chance.getrandbits(64) for _ in range(200)]
    for one in prints:
        window.add(0, one)
    for now in range(0, 42 * S, S // 4):
        if busy:
            window.add(now, chance.getrandbits(64))
    assert not any(window.take(42 * S, one) for one in prints)


def test_a_repeat_of_what_another_backend_turned_away_is_known_where_the_fleet_tells() -> None:
    def likely(told: bool) -> float:
        sight, chance = Sight(0, 1, 10_000_000, 4000), random.Random(1)
        here, there = ([chance.getrandbits(64) for _ in range(2000)] for _ in range(2))
        now, found = 0, []
        for n in range(2000):
            now += 10_000
            sight.arrived(now, 0, here[n], 0)
            sight.ended(now, here[n], n % 2 == 0)
            if told:
                sight.elsewhere(now, [there[n]])
            if n >= 1000:  # repeats of what was turned away elsewhere, a second ago
                found.append(sight.arrived(now, 0, there[n - 100], 0))
            sight.step(now)
        return sum(found) / len(found)

    assert likely(False) == 0 and likely(True) > 0.8
