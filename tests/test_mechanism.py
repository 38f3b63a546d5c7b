"""The decision module on its ordinary path, and a case for each failure that benchmarks found."""

from dataclasses import replace

import pytest

from crowwing.contract import LoadSignal, Outcome, Step
from tests.rig import MS, World

FULL = {"on_cores": 6.0, "core_use": 1.0}
IDLE = {"on_cores": 0.0, "core_use": 0.1}


def steps(world: World, *wanted: Step) -> list[int]:
    return [op_id for step, op_id in world.log if step in wanted]


def pass_time(world: World, ms: int, gauges: dict[str, float], hung: bool = False) -> None:
    for _ in range(ms // 10):
        world.advance(10)
        if not hung:  # runs make progress, though none ends here
            world.manager.progressed = world.now
        world.turn(gauges)


def crowded(**changes: object) -> World:
    """A backend whose cores are full and whose queued requests wait past their time-out."""
    world = World(1, memory_kb=1e6, quotas=(), **changes)
    for n in range(300):
        if n % 10 == 0:
            world.arrive(0, 0.5)
        pass_time(world, 10, FULL)
    return world


def test_threshold_rises_and_low_priorities_are_rejected_at_once() -> None:
    world = crowded()
    assert world.manager.threshold > 0
    low, high = world.arrive(0, 0.0), world.arrive(0, 0.99)
    world.turn(FULL)
    assert low in world.answers and high not in world.answers


def test_threshold_stays_down_while_cores_idle_and_falls_with_the_waits() -> None:
    world = World(1, memory_kb=1e6, quotas=())
    for n in range(300):
        if n % 10 == 0:
            world.arrive(0, 0.5)
        pass_time(world, 10, FULL | {"core_use": 0.5})
    assert world.manager.threshold == 0
    world = crowded()
    for op_id in [op_id for op_id, state in world.state.items() if state == "running"]:
        world.end(op_id, Outcome.GOOD)
    pass_time(world, 9000, IDLE)
    assert world.manager.threshold == 0


def test_threshold_never_reaches_the_highest_tier() -> None:
    world = crowded()
    for _ in range(400):
        world.arrive(0, 0.99)
        pass_time(world, 10, FULL)
    assert world.manager.threshold <= 5 / 6


def test_highest_priority_starts_first() -> None:
    world = World(1, quotas=())
    for rank in (0.1, 0.9, 0.5, 0.7, 0.3, 0.8):
        world.arrive(0, rank)
    world.turn()
    assert [world.tickets[op_id].priority for op_id in steps(world, Step.RUN)] == [0.9, 0.8, 0.7, 0.5]


def test_queued_request_is_rejected_past_its_timeout_and_not_before() -> None:
    world = World(1, quotas=())
    ids = [world.arrive(0, 0.5) for _ in range(5)]
    world.turn(FULL)
    pass_time(world, 1900, FULL)
    assert ids[4] not in world.answers
    pass_time(world, 200, FULL)
    assert ids[4] in world.answers


def test_timeouts_are_extended_while_few_requests_are_rejected_and_none_of_them_is_retried() -> None:
    for shed, left, extended in ((0.0, 5000, True), (0.9, 5000, False), (0.0, 0, False)):
        world = World(1, quotas=(), signal=LoadSignal.NONE)
        for _ in range(80):  # runs of 400 ms: a timeout of 400 ms
            op_id = world.arrive(0, 0.5, left=left * MS)
            world.turn(IDLE)
            world.end(op_id, Outcome.GOOD, took=400 * MS)
            pass_time(world, 10, IDLE)
        queued = [world.arrive(0, 0.5, left=left * MS) for _ in range(5)][4]
        for _ in range(100):
            world.manager.shed, world.manager.rejection_rate = shed, 0.2
            pass_time(world, 10, FULL)
        assert (queued not in world.answers) is extended


def test_a_class_without_enough_runs_of_its_own_uses_all_runs() -> None:
    world = World(1, quotas=())
    for n in range(12):  # ten of one class, one each of the others
        op_id = world.arrive(max(0, n - 9), 0.5)
        world.turn(IDLE)
        world.end(op_id, Outcome.GOOD, took=400 * MS)
        pass_time(world, 10, IDLE)
    assert world.manager.timeouts == [400 * MS] * 3 and world.manager.medians == [400 * MS] * 3


def test_limit_starts_at_the_cores_climbs_while_they_idle_and_stays_under_its_maximum() -> None:
    world = World(1, quotas=(), memory_kb=1e6)
    assert world.manager.limit == 4
    for _ in range(200):
        world.arrive(0, 0.5)
    pass_time(world, 500, IDLE)
    assert 4 < world.manager.limit <= 4 * 5 * 0.75


def test_quick_failures_do_not_shorten_the_timeout_and_send_requests_to_other_backends() -> None:
    world = World(1, quotas=())
    for _ in range(60):
        op_id = world.arrive(0, 0.5)
        world.turn(IDLE)
        if world.state.get(op_id) == "running":
            world.end(op_id, Outcome.FAILED, took=MS)
    assert world.manager.timeouts[0] == 2000 * MS and world.manager.limit >= 4
    for _ in range(20):
        world.arrive(0, 0.9)
        world.turn(IDLE)
    assert len(steps(world, Step.DISMISS)) > 10 and not steps(world, Step.DISMISS_ALL)


def test_a_quota_under_one_call_still_allows_calls() -> None:
    for share in (0.1, 0.4):  # the first is hardly more than one call that lingers
        world = World(1, quotas=(), call_quota=share)
        ids = [world.arrive(2, 0.5) for _ in range(2)]
        world.turn()
        for op_id in ids:
            world.needs_call(op_id)
        world.turn()
        assert steps(world, Step.CALL) == ids[:1]
        pass_time(world, 30, IDLE)
        world.state[ids[0]] = "running"
        world.apply(world.tickets[ids[0]].call_ended(world.now, 30 * MS, Outcome.GOOD))
        for _ in range(150):
            if len(steps(world, Step.CALL)) < 2:
                pass_time(world, 10, IDLE)
        assert steps(world, Step.CALL) == ids, share


def test_calls_are_made_at_an_even_rate_while_the_downstream_is_slow() -> None:
    """Backends that use up their quota at once and then wait in step overload the downstream again and again.
    A call is not made with less time than calls take either, since it would only be given up."""
    world = World(1, quotas=(), call_quota=0.72, cores=6, memory_kb=1e6, cold=False)
    out: dict[int, int] = {}  # call -> when its reply comes
    started, known = [0] * 20, 0
    for step in range(2000):
        if step % 10 == 0:
            world.arrive(2, 0.5)
        pass_time(world, 10, IDLE)
        for op_id in [op_id for op_id, state in world.state.items() if state == "running"]:
            if world.tickets[op_id].call_since:
                world.end(op_id, Outcome.GOOD)
            else:
                world.needs_call(op_id)
        for kind, op_id in world.log[known:]:
            if kind is Step.CALL:
                started[step // 100] += 1
                bound = world.tickets[op_id].call_end - world.now
                assert step < 300 or bound >= 340 * MS, "given up before calls end"
                out[op_id] = world.now + 200 * MS
        known = len(world.log)
        for op_id in [op_id for op_id, when in out.items() if when <= world.now]:
            del out[op_id]
            if world.state.get(op_id) == "calling":
                world.state[op_id] = "running"
                world.apply(world.tickets[op_id].call_ended(world.now, 200 * MS, Outcome.GOOD))
    assert min(started[3:]) >= 1 and max(started[3:]) <= 4, started


def test_a_call_is_made_only_with_the_time_that_slow_ones_take() -> None:
    """A call given up occupies the downstream for a while, and costs more quota than several good ones."""
    world = World(1, quotas=(), call_quota=0.72, memory_kb=1e6)
    manager = world.manager
    for _ in range(20):
        manager.record_call(50 * MS, Outcome.GOOD)
    op_id = world.arrive(2, 0.5)
    world.turn(IDLE)
    world.needs_call(op_id)
    for medians, goes_out in ((7, []), (9, [op_id])):
        manager.spent = manager.call_burst - manager.facts.linger - medians * 50 * MS
        world.apply(manager.decide(world.now))
        assert steps(world, Step.CALL) == goes_out
    assert world.tickets[op_id].call_end - world.now == 450 * MS


def test_the_call_rate_follows_what_the_fleet_lends_and_the_burst_stays() -> None:
    world = World(1, quotas=(), call_quota=0.72, memory_kb=1e6)
    manager = world.manager
    burst, most = manager.call_burst, manager.max_calls
    left = {}
    for part in (0.5, 1.0, 2.0):
        manager.set_fleet_scale(part, [])
        manager.spent = burst
        manager.update_controls(manager.updated + 100 * MS)
        left[part] = burst - manager.spent
    assert left[0.5] == pytest.approx(left[1.0] / 2) and left[2.0] == pytest.approx(2 * left[1.0])
    assert manager.call_burst == burst and manager.max_calls >= most


def test_the_expected_value_follows_the_backends_part_of_the_quota() -> None:
    def expects(part: float) -> float:
        world = World(1, quotas=(6.0, 6.0))
        world.manager.set_fleet_scale(1.0, [part, 1.0])
        for _ in range(200):  # ten a second, of a quota of six
            request = world.tickets[world.arrive(0, 0.5)]
            pass_time(world, 100, IDLE)
        return world.manager.expected_value(request, world.now)

    assert 0.1 < expects(0.2) < expects(1.0) < 0.95 and expects(3.0) == 1.0


def test_a_valuable_request_beyond_the_quota_still_comes_before_cheap_ones() -> None:
    world = World(1, quotas=(0.1, 100.0))
    cheap, valuable = (replace(world.facts.classes[n], value=value) for n, value in ((0, 1.0), (2, 10.0)))
    world.manager.facts = replace(world.facts, classes=(cheap, cheap, valuable))
    t = world.tickets[world.arrive(2, 0.9)]
    t.cls = valuable
    assert (
        world.manager.effective_priority(t, 0.5) == 2 / 3
        and world.manager.effective_priority(t, 0.05) == 0.9 * 0.05
    )
    assert world.manager.effective_priority(t, 1.0) == 0.9


def test_what_others_learned_never_replaces_what_was_measured() -> None:
    world = World(1, quotas=(), call_quota=0.72, memory_kb=1e6)
    manager = world.manager
    kinds = len(manager.facts.classes)
    for _ in range(20):
        world.manager.runs.add(0, 300 * MS)
    mine = manager.timeouts[0]
    manager.apply_learned(world.now, tuple((77 * MS, 33 * MS) for _ in range(kinds)), 5.0, 40 * MS)
    assert manager.timeouts[0] == mine and manager.timeouts[1] == 77 * MS and manager.medians[1] == 33 * MS
    assert manager.usual_call == 40 * MS and manager.call_count
    manager.record_call(200 * MS, Outcome.GOOD)
    assert manager.usual_call < 70 * MS, "the first call after a cold start does not set the usual call time"
    manager.apply_learned(world.now, ((0, 0),) * kinds, 5.0, 900 * MS)
    assert manager.usual_call < 70 * MS


def test_an_overloaded_downstream_lowers_the_limit_of_calls() -> None:
    world = World(1)
    before = world.manager.call_limit
    for took in [50 * MS] * 100 + [500 * MS] * 50:
        world.manager.record_call(took, Outcome.GOOD)
    assert world.manager.call_limit < before


def test_a_long_read_delay_makes_the_backend_unready_until_it_is_over() -> None:
    world = World(1, quotas=())
    for _ in range(40):
        world.arrive(0, 0.5, age=1900 * MS)
    world.asleep_until = 0
    world.turn(FULL)
    assert Step.UNREADY in world.figures and not world.manager.ready
    pass_time(world, 2000, IDLE)
    assert world.manager.ready


def test_lost_calls_do_not_lengthen_the_timeout_of_others() -> None:
    def bound(lost: int, took: int, kind: int = 1) -> int:
        """The time-out of a call after every `lost`-th one was lost and the others took `took`."""
        world = World(1, quotas=(), memory_kb=1e6)
        for n in range(60):
            gone = lost and n % lost == 0
            world.manager.record_call(600 * MS if gone else took, Outcome.UNSURE if gone else Outcome.GOOD)
        op_id = world.arrive(kind, 0.9)
        world.turn(IDLE)
        world.needs_call(op_id)
        world.turn(IDLE)
        return world.tickets[op_id].call_end - world.now

    assert bound(0, 3 * MS) == bound(5, 3 * MS) == 60 * MS
    assert bound(0, 30 * MS) == 600 * MS  # it follows where all are slow
    assert bound(0, 90 * MS, 0) == 1000 * MS < bound(0, 90 * MS)  # an idempotent one leaves time for a retry


def test_a_queue_for_calls_gives_no_retry_after_while_cores_have_capacity() -> None:
    for gauges, retry_after in ((IDLE, False), (FULL, True)):
        world = World(1, quotas=(), memory_kb=1e6)
        world.manager.call_limit = 0
        for _ in range(4):
            op_id = world.arrive(1, 0.9)
            world.turn(gauges)
            world.needs_call(op_id)
        world.advance(100)
        world.turn(gauges)
        request = world.tickets[world.arrive(1, 0.9)]
        results = world.manager.decide(world.now)
        figure = next(figure for _, rejected, figure in results if rejected is request)
        assert (figure > 0) == retry_after


def test_requests_with_short_deadlines_are_not_taken_for_retries() -> None:
    world = World(1, quotas=())
    world.arrive(0, 0.5, left=4500 * MS)
    short = world.arrive(0, 0.5, left=1000 * MS)
    world.turn()
    assert short in steps(world, Step.RUN)
