"""A request costs the decision module the same for any number of customers and request classes, and its
incremental results equal those of the plain algorithms."""

import random
from collections import deque
from dataclasses import replace

import pytest

from crowwing.logic.admission import QUOTA_WINDOW
from crowwing.logic.feedback import MIN_SAMPLES, SAMPLES
from crowwing.logic.load_manager import LoadManager
from tests.rig import MS, World, facts

TENANTS = 170_000


class Counted(int):
    """Counts how often it is compared."""

    compared = 0

    def __lt__(self, other: int) -> bool:
        Counted.compared += 1
        return int(self) < int(other)


def share(world: World, team: int) -> float:
    """The part of its value that a request of this customer can expect now."""
    return world.manager.expected_value(world.tickets[world.arrive(0, 0.5, team=team)], world.now)


def test_a_request_touches_the_state_of_its_own_customer_only() -> None:
    world = World(1, quotas=(0.01,) * TENANTS)
    for team in range(10):
        share(world, team * 1000)
    assert len(world.manager.rates) == 10, "customers without requests have no entry"


def test_idle_customers_are_removed() -> None:
    world = World(1, quotas=(0.01,) * 1000)
    for team in range(1000):
        share(world, team)
    for _ in range(1000):  # another one continues with a request in 200 ms
        world.now += 200 * MS
        share(world, 7)
    assert set(world.manager.rates) == {7}
    world.now += QUOTA_WINDOW
    share(world, 9)
    assert set(world.manager.rates) == {9}, "a window without any request removes all others"


@pytest.mark.parametrize("seed", range(5))
def test_the_expected_value_is_as_if_every_count_decayed(seed: int) -> None:
    chance = random.Random(seed)
    world = World(1, quotas=(5.0, 0.5, 80.0, 1.0))
    flow, at = [0.0] * 4, world.now
    for _ in range(3000):
        world.now += round(chance.expovariate(1) * chance.choice([0, 20, 200, 2000])) * MS
        team = chance.randrange(4)
        left, at = max(0.0, 1 - (world.now - at) / QUOTA_WINDOW), world.now
        flow = [left * seen for seen in flow]
        flow[team] += 1
        even = 1.3 * world.facts.quotas[team] * QUOTA_WINDOW / 1e6 + 2
        inside = min(1.0, even / flow[team])
        assert share(world, team) == pytest.approx(inside + 0.1 * (1 - inside), abs=1e-7)


def of_types(count: int) -> LoadManager:
    kinds = tuple(replace(facts().classes[0]) for _ in range(count))
    return LoadManager(facts(classes=kinds, quotas=()), 0, random.Random(1))


def ended(manager: LoadManager, world: World, kind: int, took: int) -> None:
    """A run of this class ended by itself."""
    t = world.tickets[world.arrive(0, 0.5)]
    t.class_id = kind
    manager.record_run(t, took, good=True)


def test_the_end_of_a_run_takes_as_few_comparisons_with_many_classes() -> None:
    most = {}
    for count in (8, 40):
        manager, world, chance = of_types(count), World(1), random.Random(2)
        for kind in range(count):
            for _ in range(MIN_SAMPLES - 1):  # all of them use the runs of all
                ended(manager, world, kind, Counted(chance.randrange(500 * MS)))
        Counted.compared = 0
        ended(manager, world, 3, Counted(chance.randrange(500 * MS)))
        most[count] = Counted.compared
    assert most[40] <= 2 * most[8], most


@pytest.mark.parametrize("seed", range(4))
def test_time_outs_and_medians_are_those_of_sorting_all_runs(seed: int) -> None:
    chance, world, count = random.Random(seed), World(1), 6
    manager = of_types(count)
    runs = [deque(maxlen=SAMPLES) for _ in range(count)]
    timeout, median = manager.timeouts[:], manager.medians[:]
    for _ in range(1200):
        k, took = (
            min(chance.randrange(20), count - 1),
            chance.choice([50, 300, 900, chance.randrange(2000)]) * MS,
        )
        runs[k].append(took)
        for j, own in enumerate(runs):
            few = len(own) < MIN_SAMPLES
            ranked = sorted(one for kind in runs for one in kind) if few else sorted(own)
            if (few or j == k) and len(ranked) >= MIN_SAMPLES:
                median[j], p90 = ranked[len(ranked) // 2], ranked[len(ranked) * 9 // 10]
                timeout[j] = max(manager.budgets[j] // 8, min(p90, manager.budgets[j] - p90))
        ended(manager, world, k, took)
        assert (manager.timeouts, manager.medians) == (timeout, median)
    assert sorted(one for kind in manager.runs for one in kind) == manager.runs.ranked
