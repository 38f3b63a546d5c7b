"""Tests of the emulator's models: sharing, machines, the dependency, traffic, faults, sidecars, rules."""

import random
from dataclasses import replace

import pytest

from crowwing.emulator import faults, rules, served_value
from crowwing.emulator.endpoint_registry import EndpointRegistry
from crowwing.emulator.ground_truth import Attempt, GroundTruth, Incarnation, Request
from crowwing.emulator.models import traffic
from crowwing.emulator.models.dependency import Dependency
from crowwing.emulator.models.machine import Machine
from crowwing.emulator.models.processor_sharing import NEVER, ProcessorSharing, SlidingMean, WarmUp
from crowwing.emulator.models.sidecar_policy import Sidecar
from crowwing.emulator.plan import (
    DownstreamSettings,
    Fault,
    MachineSettings,
    Plan,
    RequestClassSettings,
    SidecarSettings,
    TrafficSettings,
)

MS, S = 1000, 1_000_000


def drain(shared: ProcessorSharing, until: int = NEVER) -> list[tuple[int, object]]:
    found = []
    while (at := shared.next_at()) < until:
        while (job := shared.ended(at)) is not None:
            found.append((at, job))
    return found


@pytest.mark.parametrize("seed", range(5))
def test_sharing_is_what_small_steps_come_to(seed: int) -> None:
    """Jobs arrive at random while slots warm up, slow down and stop; ends match a stepwise simulation."""
    rng = random.Random(seed)
    shared = ProcessorSharing(0, 2, WarmUp(0, 400 * MS, 0.3), crowd_from=1.5, crowd_cost=0.4)
    comes = sorted((rng.randrange(500) * MS, n, rng.uniform(5, 60) * MS) for n in range(20))
    turns = {200 * MS: 0.5, 260 * MS: 0.0, 300 * MS: 1.2}
    moments = sorted({at for at, _, _ in comes} | set(turns))
    exact = {}
    for at in [*moments, NEVER]:
        exact |= {job: end for end, job in drain(shared, at)}
        for _, n, work in [c for c in comes if c[0] == at]:
            shared.add(at, n, work)
        if at in turns:
            shared.set_speed(at, turns[at])
    come: dict[int, dict[int, float]] = {}
    for at, n, work in comes:
        come.setdefault(at, {})[n] = work
    left, speed, step = {}, 1.0, 50
    for now in range(0, max(exact.values()) + S // 100, step):
        left |= come.get(now, {})
        speed = turns.get(now, speed)
        if left:
            here = len(left) / 2
            warm = min(1.0, 0.3 + 0.7 * (now + step / 2) / (400 * MS))
            rate = speed * warm * min(1, 1 / here) / (1 + 0.4 * max(0, here - 1.5))
            for n in list(left):
                left[n] -= rate * step
                if left[n] <= 0:
                    del left[n]
                    assert exact[n] == pytest.approx(now + step, abs=500)
    assert not left and len(exact) == 20


def test_a_job_taken_off_says_what_it_had_left_and_the_others_speed_up() -> None:
    shared = ProcessorSharing(0, 1, WarmUp(0))
    shared.add(0, "a", 100 * MS)
    shared.add(0, "b", 100 * MS)
    assert shared.remove(40 * MS, "a") == pytest.approx(80 * MS)
    assert drain(shared) == [(120 * MS, "b")]


def test_a_mean_forgets_what_is_older_than_its_span() -> None:
    mean = SlidingMean(0, 2 * S)
    mean.set(0, 10)
    mean.set(1 * S, 0)
    assert mean.mean(1 * S) == pytest.approx(5)
    assert mean.mean(2 * S) == pytest.approx(5)
    assert mean.mean(int(2.5 * S)) == pytest.approx(2.5)
    assert mean.mean(9 * S) == pytest.approx(0) and len(mean.steps) - mean.head <= 1


def test_a_machine_reads_runs_calls_and_books_memory() -> None:
    machine = Machine(0, MachineSettings(cores=2, read_part=0.5), 1.0, cold=False)
    machine.enqueue(0, "t", 20 * MS)
    assert machine.next_at() == 10 * MS and machine.process_events(10 * MS) == [("read", "t")]
    machine.reserve("t", 50.0)
    machine.launch(10 * MS, "t", 50.0, 30 * MS, 0.5)
    assert machine.used_kb == 50.0 * 8 and machine.on_cores() == 1
    assert machine.process_events(machine.next_at()) == [("calls", "t")] and machine.on_cores() == 0
    assert machine.deliver(40 * MS, "t") and not machine.deliver(40 * MS, "t")
    assert machine.next_at() == 55 * MS and machine.process_events(55 * MS) == [("ended", "t")]
    assert machine.stop(55 * MS, "t") == 45 * MS and machine.used_kb == 0


def test_a_machine_falls_by_its_crowd_and_by_its_memory_sooner_while_cold() -> None:
    falls = {}
    for cold in (False, True):
        machine = Machine(0, MachineSettings(cores=1, fall_multiple=4, cold_s=100, cold_from=0.2), 1.0, cold)
        for n in range(8):
            machine.launch(0, f"r{n}", 1.0, 100 * S, None)
        while not (found := machine.process_events(machine.next_at())):
            pass
        assert found == [("fell", "crowd")]
        falls[cold] = machine.cores.now
    assert falls[True] < falls[False] <= 2 * S
    machine = Machine(0, MachineSettings(memory_kb=100), 1.0, cold=False)
    machine.launch(0, "r", 20.0, S, None)
    assert machine.process_events(0) == [("fell", "memory")]


def test_what_lies_below_is_slower_when_crowded_turns_away_and_dies() -> None:
    alone, crowd = Dependency(0, DownstreamSettings(slots=2)), Dependency(0, DownstreamSettings(slots=2))
    alone.admit(0, "a", 10 * MS)
    for n in range(6):
        crowd.admit(0, f"c{n}", 10 * MS)
    assert alone.next_at() == 10 * MS and crowd.next_at() > 30 * MS
    picky = Dependency(0, DownstreamSettings(slots=2, turns_away_at=1.0))
    assert picky.admit(0, "a", MS) and picky.admit(0, "b", MS) and not picky.admit(0, "c", MS)
    below = Dependency(0, DownstreamSettings(slots=2, fall_s=1.0))
    below.set_speed_factor(0, 0.0)
    for n in range(30):
        below.admit(0, f"c{n}", 10 * MS)
    while not below.deaths:
        below.ended(below.next_at())
    assert below.slots.now < S and below.dead(below.slots.now) and not below.admit(below.slots.now, "x", MS)
    lingering = Dependency(0, DownstreamSettings(slots=2, lingers_ms=5))
    lingering.admit(0, "a", S)
    lingering.give_up(MS, "a")
    assert lingering.next_at() == 6 * MS and lingering.ended(6 * MS) == [] and not len(lingering.slots)


def test_one_seed_asks_the_same_whatever_faults_there_are_and_at_the_rate_that_was_told() -> None:
    plan = Plan(seconds=60, seed=5)
    kill = Fault("kill", 10, part=0.2)
    first, second = list(traffic.arrivals(plan)), list(traffic.arrivals(replace_plan(plan, faults=(kill,))))
    assert first == second and first != list(traffic.arrivals(replace_plan(plan, seed=6)))
    assert len(first) == pytest.approx(60 * plan.rate_per_s(), rel=0.05)
    works = [t.work for t in first if t.kind == 0]
    assert sum(works) / len(works) == pytest.approx(60 * MS, rel=0.05)
    flood = Fault("flood", 10, 10, size=5, customer="initech")
    flooded = list(traffic.arrivals(replace_plan(plan, faults=(flood,))))
    usual = set(first)
    assert [t for t in flooded if t in usual] == first
    extra = [t for t in flooded if t not in usual]
    assert all(t.customer == 2 and 10 * S <= t.at < 20 * S for t in extra)
    assert len(extra) == pytest.approx(10 * plan.rate_per_s() * 0.2 * 4, rel=0.1)


def test_bursts_keep_the_mean_and_are_burstier_and_equal_tickets_are_equal() -> None:
    plan = Plan(seconds=300, traffic=TrafficSettings(load=0.2, shape="bursty", burst_size=4, equal_part=0.1))
    asked = list(traffic.arrivals(plan))
    assert len(asked) == pytest.approx(300 * plan.rate_per_s(), rel=0.15)
    counts = [sum(1 for t in asked if t.at // S == s) for s in range(300)]
    mean = sum(counts) / 300
    assert sum((c - mean) ** 2 for c in counts) / 300 > 2 * mean  # a Poisson variance equals the mean
    bodies = [t.body for t in asked]
    assert 1 - len(set(bodies)) / len(bodies) == pytest.approx(0.1, abs=0.03)


def replace_plan(plan: Plan, **changes: object) -> Plan:
    import msgspec

    return msgspec.structs.replace(plan, **changes)


def test_faults_draw_their_victims_by_the_seed_and_multiply() -> None:
    plan = Plan(backends=10, faults=(
        Fault("slow", 5, 10, part=0.2, size=0.5), Fault("slow", 8, 2, backends=(3,), size=0.5),
        Fault("hang", 9, 1, backends=(3,)), Fault("crawl_below", 1, 20, size=0.25),
    ))  # fmt: skip
    who = faults.affected_backends(plan, 0)
    assert len(who) == 2 and who == faults.affected_backends(plan, 0)
    assert {faults.affected_backends(replace_plan(plan, seed=s), 0) for s in range(9)} != {who}
    assert [m.at for m in faults.schedule(plan)] == sorted(m.at for m in faults.schedule(plan))
    assert (
        faults.speed_factor(plan, {1}, "machine", 3) == 0.5
        and faults.speed_factor(plan, {1}, "machine", 4) == 1.0
    )
    assert (
        faults.speed_factor(plan, {1, 2}, "machine", 3) == 0.0
        and faults.speed_factor(plan, {3}, "below") == 0.25
    )
    assert faults.span(plan) == (1, 21)


def side(habit: str, heed: float = 1.0, **changes: object) -> Sidecar:
    return Sidecar(0, SidecarSettings(habit=habit, heed=heed, **changes), 5, random.Random(3))


def test_each_habit_repeats_as_it_is_named() -> None:
    tried = [0]
    for habit, dismissed, forfeited in (
        ("none", False, False), ("next", True, False), ("uncapped", True, True), ("copy", False, False),
    ):  # fmt: skip
        one = side(habit)
        assert (one.choose_retry(0, tried, "dismissed", True, False) is not None) == dismissed
        assert (one.choose_retry(0, tried, "forfeited", True, False) is not None) == forfeited
        assert one.choose_retry(0, tried, "forfeited", False, False) is None, (
            "non-idempotent work is not retried"
        )
        assert one.choose_retry(0, tried, "unreached", False, False) not in (None, 0)
        assert one.choose_retry(0, tried, "dismissed", True, True) is None, "it follows the hint to give up"
    capped = side("capped", cap_part=0.25)
    assert sum(capped.choose_retry(0, tried, "dismissed", True, False) is not None for _ in range(50)) == 5
    assert sum(capped.choose_first(0) is not None for _ in range(40)) == 40 and capped.tokens == 10
    assert side("uncapped", tries_most=2).choose_retry(0, [0, 1], "dismissed", True, False) is None
    deaf = side("uncapped", heed=0.0)
    assert deaf.choose_retry(0, tried, "dismissed", True, True) is not None


def test_a_sidecar_keeps_away_as_told_within_its_allowance_and_its_list() -> None:
    one = side("none")
    one.listed = {1, 2}
    assert {one.choose_first(0) for _ in range(6)} == {1, 2}
    one.on_response(0, 1, None, 500 * MS)
    assert {one.choose_first(MS) for _ in range(4)} == {2}
    one.on_response(0, 2, 1.0, 0)
    one.in_flight[2] = 1
    assert one.choose_first(MS) is None and one.choose_first(600 * MS) == 1
    assert one.accepts(S + MS, 2), "a reported spare capacity is trusted for a second"


def test_the_roster_lists_who_reports_and_forgets_who_falls_silent_but_not_while_it_is_down() -> None:
    roster = EndpointRegistry(2, 3 * S)
    roster.started(S, 0)
    assert roster.changes(S) == [(0, True)]
    roster.report(2 * S, 0, False)
    assert roster.changes(2 * S) == [(0, False)]
    roster.report(3 * S, 0, True)
    assert roster.changes(3 * S) == [(0, True)]
    roster.suspended = True
    assert roster.changes(9 * S) == []
    roster.suspended = False
    assert roster.changes(9 * S) == [(0, False)]


# Rules: ground truth that keeps them, and each way to break one

PLAN = Plan(
    types=(RequestClassSettings("look"), RequestClassSettings("pay", repeat="unsafe")),
    grace_ms=1000,
    stop_ms=3000,
    seconds=20,
)


def truth_of(kind: int = 1, life: dict | None = None, **changes: object) -> GroundTruth:
    one = Attempt("a", 0, "first", 0, 1, 0, came=S, due=3 * S, written=S + 10, over=2 * S, ending="settled")
    one = replace(one, **({"runs": [(S + 20, 2 * S, "OK")]} | changes))
    ticket = Request(0, kind, 0, 1.0, S, 2 * S, 2 * S, one.ending, tries=[one])
    lived = replace(Incarnation(0, 1, 0, ended=10 * S, how="stopped"), **(life or {}))
    return GroundTruth(0, [ticket], [lived])


@pytest.mark.parametrize(
    ("rule", "changes"),
    [
        (0, {}),
        (1, {"over": 4 * S}),
        (0, {"written": 5 * S, "over": 5 * S + 100 * MS}),
        (1, {"written": 5 * S, "over": 6 * S}),
        (0, {"ending": "turned_down", "runs": []}),
        (1, {"ending": "lost"}),
        (1, {"ending": "open", "over": 0}),
        (1, {"right": False}),
        (0, {"ending": "unreached", "written": 0, "runs": []}),
        (0, {"ending": "lost", "life": {"how": "killed", "ended": 2 * S}}),
        (1, {"ending": "lost", "life": {"how": "killed", "ended": 5 * S}}),
        (1, {"ending": "lost", "life": {"how": "drained", "notice": S, "ended": 2 * S}}),
        (2, {"runs": [(S, S + 1, "OK"), (S + 2, S + 3, "OK")]}),
        (0, {"runs": [(S, S + 1, "OK"), (S + 2, S + 3, "OK")], "kind": 0}),
        (2, {"ending": "dismissed"}),
        (0, {"ending": "dismissed", "kind": 0}),
        (0, {"calls": [(S, S, "turned_away"), (S + 1, S + 2, "good")]}),
        (2, {"calls": [(S, S, "given_up"), (S + 1, S + 2, "good")]}),
        (0, {"life": {"notice": S // 2}}),
        (3, {"came": S, "life": {"notice": -S}}),
        (3, {"life": {"how": "drained", "notice": 5 * S, "ended": 9 * S}}),
        (3, {"life": {"how": "drained", "notice": 5 * S, "ended": 6 * S, "code": -9}}),
        (4, {"life": {"how": "crashed", "code": 1, "ended": 9 * S}}),
    ],
)
def test_the_checker_sees_each_broken_rule(rule: int, changes: dict) -> None:
    found = rules.check(PLAN, truth_of(**changes))
    assert [breach.rule for breach in found] == ([rule] if rule else [])


def test_the_checker_sees_what_fell_over() -> None:
    truth = truth_of()
    truth.failures = [(S, 0, "crowd"), (2 * S, None, "what lies below")]
    assert [(b.rule, b.backend) for b in rules.check(PLAN, truth)] == [(4, 0), (4, None)]


def test_credit_counts_from_the_first_try_and_says_when_it_is_back() -> None:
    plan = replace_plan(PLAN, warm_up_s=0, faults=(Fault("kill", 5, 5, backends=(0,)),))
    truth = GroundTruth(0, [], [])
    for n in range(200):
        born = n * S // 10
        low = 5 * S <= born < 12 * S
        over = born + (1500 * MS if low else 100 * MS)
        truth.requests.append(Request(n, 0, 0, 1.0, born, born + S, over, "settled"))
    found = {phase.name: phase for phase in served_value.phases(plan, truth)}
    assert found["before"].in_time == 1.0 and found["during"].in_time == 0.0
    assert found["after"].in_time == pytest.approx(0.8) and found["after"].worst == pytest.approx(0.8)
    assert served_value.recovery(plan, truth) == 2
    assert served_value.by_second(plan, truth)[6].late == pytest.approx(10 * 0.2)
    for ticket in truth.requests[-30:]:
        ticket.ending = "dismissed"
    assert served_value.recovery(plan, truth) is None
