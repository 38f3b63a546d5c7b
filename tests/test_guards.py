"""Quotas, repeats, deadlines, drains, hung runs, idle connections and the ages of retries."""

from crowwing.contract import Halt, LoadSignal, Outcome, Step
from tests.rig import MS, World
from tests.test_mechanism import FULL, IDLE, crowded, pass_time, steps


def test_requests_beyond_the_quota_come_after_all_others() -> None:
    world = crowded()
    world.manager.facts = World(1, quotas=(0.1, 100.0)).facts
    world.manager.rates, world.manager.quota_scale = {0: 200.0, 1: 100.0}, [1.0, 1.0]
    flood, fair = world.arrive(0, 0.4, team=0), world.arrive(0, 0.99, team=1)
    world.turn(FULL)
    assert world.tickets[flood].priority < 0.1 and world.tickets[fair].priority == 0.99


def test_allowance_shrinks_for_the_heaviest_caller_first() -> None:
    manager = crowded().manager
    manager.caller_weights = {0: 30.0, 1: 2.0}
    assert manager.capacity_per_caller(4.0) < manager.capacity_per_caller(400.0)
    assert manager.capacity_per_caller(0.0) == 0


def test_a_keyed_repeat_replaces_a_queued_attempt_and_shares_a_run() -> None:
    world = World(1, quotas=())
    first, second = world.arrive(1, 0.9, work=7), world.arrive(1, 0.9, work=7)
    world.turn()
    assert first in steps(world, Step.DISMISS_ALL) and second in steps(world, Step.RUN)
    third = world.arrive(1, 0.9, work=7)
    world.turn()
    assert third in steps(world, Step.SHARE)


def test_a_run_past_its_deadline_fails_and_is_halted() -> None:
    for halt, halted in ((Halt.DISCARD, True), (Halt.FREEZE, True), (Halt.NONE, False)):
        world = World(1, halt=halt)
        op_id = world.arrive(2, 0.9)
        world.turn()
        pass_time(world, 5100, FULL)
        assert world.answers[op_id] is Step.FORFEIT and (op_id in steps(world, Step.HALT)) is halted


def test_events_of_a_closed_request_are_ignored() -> None:
    world = World(1)
    op_id = world.arrive(0, 0.9)
    world.turn()
    world.end(op_id, Outcome.GOOD)
    request = world.tickets[op_id]
    assert not request.run_ended(world.now, 1, Outcome.GOOD) and not request.call_needed(world.now)
    assert not request.call_ended(world.now, 1, Outcome.GOOD) and not request.caller_gone(world.now)


def test_a_drain_is_reported_to_health_checks_and_callers() -> None:
    for signal, value in ((LoadSignal.ALLOWANCE, 0.0), (LoadSignal.WEIGHT, 0.0), (LoadSignal.FLOOR, 1.0)):
        world = World(1, signal=signal)
        world.arrive(0, 0.9)
        world.turn()
        world.apply(world.manager.drain(world.now, world.now + 5000 * MS))
        assert Step.UNREADY in world.figures and world.figures[Step.FREE_VALUE] == value


def test_hung_runs_send_requests_to_other_backends_until_they_progress() -> None:
    world = World(1, quotas=())
    ids = [world.arrive(0, 0.5) for _ in range(6)]
    world.turn(FULL)
    pass_time(world, 1100, FULL, hung=True)
    assert set(steps(world, Step.DISMISS)) == set(ids[4:]) and not world.manager.ready
    for op_id in ids[:4]:
        world.end(op_id, Outcome.GOOD)
    pass_time(world, 100, IDLE)
    assert world.manager.ready


def test_the_timer_is_long_without_open_requests_and_short_with_one() -> None:
    world = World(1, quotas=())
    world.arrive(0, 0.5)
    world.turn(IDLE)
    assert world.asleep_until - world.now <= 40 * MS
    world.end(1, Outcome.GOOD)
    pass_time(world, 1000, IDLE)
    assert world.figures[Step.WAKE] >= 200 * MS


def test_idle_connections_close_soon_only_where_callers_and_rejected_requests_do_not_return() -> None:
    base, cases = (
        15000 * MS,
        ((400, FULL, 5000, 60), (400, FULL, 0, 1), (400, IDLE, 0, 3), (2, FULL, 5000, 1)),
    )
    for callers, gauges, left, parts in cases:  # `left` 0: nothing tells whether a request is a retry
        world = World(1, callers, quotas=())
        for _ in range(200):
            world.arrive(0, 0.5, left=left * MS)
            pass_time(world, 20, gauges)
            world.manager.rejection_rate = 0.2
        assert world.figures.get(Step.IDLE, base) == base // parts
    world = World(1, 400, quotas=())
    for _ in range(100):  # the first case again, once rejected requests are retried with part of their time
        for n in range(8):
            world.arrive(0, 0.5, left=(5000 if n % 4 else 2000 + 37 * (world.now // MS % 59)) * MS)
        pass_time(world, 20, FULL)
    assert world.manager.retry_rate > 0.1 and world.figures.get(Step.IDLE, base) == base


def test_a_retry_with_part_of_the_deadline_left_is_as_old_as_the_rest() -> None:
    world = World(1, quotas=())
    for n in range(100):  # two kinds of callers: one waits until the deadline, one 1.2 s for each attempt
        world.arrive(0, 0.5, left=(1200 if n % 5 == 0 else 5000) * MS)
        pass_time(world, 20, IDLE)
    for left, aim, rank in ((5000, 2000, 0.5), (1200, 1200, 0.5), (3800, 800, 0.5), (2900, 2000, 0.0)):
        request = world.tickets[world.arrive(0, 0.5, left=left * MS)]
        assert (request.target - request.arrived, request.priority) == (aim * MS, rank)
    assert len(world.manager.caller_timeouts[0]) <= 8


def test_other_backends_are_suggested_less_the_more_is_rejected() -> None:
    for shed, step in ((0.0, Step.DISMISS), (0.6, Step.DISMISS_ALL)):
        world = crowded()
        world.manager.slowdown, world.manager.shed = 3.0, shed
        world.arrive(0, 0.0)
        world.turn(FULL)
        assert world.log[-1][0] is step


def test_a_queue_for_calls_rejects_at_once_what_needs_a_call() -> None:
    world = World(1, quotas=())
    world.manager.call_limit = 0
    ids = [world.arrive(1, 0.9) for _ in range(4)]
    world.turn()
    for op_id in ids:
        world.needs_call(op_id)
    needs, optional = world.arrive(1, 0.9), world.arrive(0, 0.9)
    world.turn()
    assert needs in steps(world, Step.DISMISS, Step.DISMISS_ALL) and optional in steps(world, Step.RUN)


def test_a_quota_of_less_than_a_request_a_second_still_admits_one() -> None:
    world = World(1, quotas=(30.0, 10.0), backends=300)
    pass_time(world, 25000, IDLE)
    op_id = world.arrive(0, 0.9, team=1)
    world.turn(IDLE)
    assert world.tickets[op_id].priority == 0.9


def test_a_chance_pause_of_two_cores_is_not_taken_for_hung_runs() -> None:
    world = World(1, quotas=(), cores=2)
    for _ in range(60):  # runs end a second apart
        op_id = world.arrive(0, 0.5)
        world.turn(IDLE)
        pass_time(world, 1000, IDLE, hung=True)
        world.end(op_id, Outcome.GOOD, took=1000 * MS)
    ids = [world.arrive(0, 0.5) for _ in range(2)]
    pass_time(world, 1500, FULL, hung=True)
    assert world.manager.ready and set(ids) <= set(steps(world, Step.RUN))


def test_the_first_long_runs_of_a_cold_backend_are_not_taken_for_hung_runs() -> None:
    world = World(1, quotas=(), cores=2, cold=True)
    ids = [world.arrive(0, 0.5) for _ in range(2)]
    pass_time(world, 1500, FULL, hung=True)  # a fifth of the speed: runs of a third of a second
    assert world.manager.ready and set(ids) <= set(steps(world, Step.RUN))
    pass_time(world, 2500, FULL, hung=True)
    assert not world.manager.ready
