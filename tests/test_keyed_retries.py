"""Retries of keyed requests in each state of the first attempt: never two runs within the window."""

import pytest

from crowwing.contract import Halt, Outcome, Step
from tests.rig import MS, World

KEYED, WORK = 1, 7
WINDOW = 4000 * MS


def make_world(**changes: object) -> World:
    return World(1, quotas=(), **changes)


def runs(world: World) -> int:
    return sum(step is Step.RUN for step, _ in world.log)


def last_step(world: World, request_id: int) -> Step:
    return [
        step for step, subject in world.log if subject == request_id and step not in (Step.KEEP, Step.FORGET)
    ][-1]


def pass_time(world: World, ms: int) -> None:
    for _ in range(ms // 10):
        world.advance(10)
        world.manager.progressed = world.now  # its runs make progress, though none ends here
        world.turn()


def test_a_retry_during_the_first_run_shares_its_result() -> None:
    world = make_world()
    first = world.arrive(KEYED, 0.9, WORK)
    world.turn()
    pass_time(world, 200)
    retry = world.arrive(KEYED, 0.9, WORK)
    world.turn()
    assert (runs(world), last_step(world, retry)) == (1, Step.SHARE)
    world.end(first, Outcome.FAILED)  # the error applies to both: nothing runs again
    world.end(retry, Outcome.FAILED)
    world.turn()
    assert runs(world) == 1 and not world.state


def test_a_retry_of_a_queued_attempt_replaces_it_and_the_first_is_answered() -> None:
    world = make_world()
    for _ in range(4):
        world.arrive(KEYED, 0.99)
    first = world.arrive(KEYED, 0.5, WORK)
    world.turn()
    retry = world.arrive(KEYED, 0.5, WORK)
    world.turn()
    assert last_step(world, first) is Step.DISMISS_ALL and world.state[retry] == "held"
    assert world.kept[WORK][0] == retry


@pytest.mark.parametrize("halt", [Halt.FREEZE, Halt.DISCARD])
def test_a_retry_of_a_stopped_run_never_runs_beside_it(halt: Halt) -> None:
    world = make_world(halt=halt)
    for _ in range(4):
        world.arrive(KEYED, 0.9)
    world.turn()
    first = world.arrive(KEYED, 0.9, WORK)
    world.end(1, Outcome.GOOD)
    world.turn()
    world.arrive(0, 0.99)  # takes the core of the stopped run
    world.state[first] = "halting"
    world.end(first, Outcome.STOPPED)
    retry = world.arrive(KEYED, 0.9, WORK)
    world.turn()
    assert last_step(world, retry) is Step.SHARE and retry not in world.ran.get(WORK, [])
    pass_time(world, 5200)
    assert world.answers[first] is Step.FORFEIT and world.answers[retry] is Step.FORFEIT


def test_a_retry_after_the_answer_shares_the_result_until_the_window_ends() -> None:
    world = make_world()
    first = world.arrive(KEYED, 0.9, WORK)
    world.turn()
    world.end(first, Outcome.GOOD)
    pass_time(world, 3900)
    retry = world.arrive(KEYED, 0.9, WORK)
    world.turn()
    assert (runs(world), last_step(world, retry)) == (1, Step.SHARE)


def test_a_retry_at_the_end_of_the_window_shares_and_one_after_it_runs() -> None:
    for offset_ms, expected_runs in ((0, 1), (60, 2)):
        world = make_world()
        first = world.arrive(KEYED, 0.9, WORK)
        world.turn()
        world.end(first, Outcome.GOOD)
        world.advance((WINDOW + offset_ms * MS) // MS)
        retry = world.arrive(KEYED, 0.9, WORK)
        world.turn()
        assert (runs(world), last_step(world, retry)) == (
            expected_runs,
            Step.SHARE if expected_runs == 1 else Step.RUN,
        )


def test_a_retry_that_arrived_in_the_window_shares_even_if_it_is_read_late() -> None:
    world = make_world()
    first = world.arrive(KEYED, 0.9, WORK)
    world.turn()
    world.end(first, Outcome.GOOD)
    world.advance(WINDOW // MS + 900)
    retry = world.arrive(KEYED, 0.9, WORK, age=950 * MS)
    world.turn()
    assert (runs(world), last_step(world, retry)) == (1, Step.SHARE)


def test_a_new_incarnation_knows_no_earlier_attempt_and_runs_a_retry_once() -> None:
    previous = make_world()
    previous.arrive(KEYED, 0.9, WORK)
    previous.turn()
    world = make_world(cold=True)
    ids = [world.arrive(KEYED, 0.9, WORK) for _ in range(2)]
    world.turn()
    assert runs(world) == 1 and {last_step(world, request_id) for request_id in ids} == {
        Step.DISMISS_ALL,
        Step.RUN,
    }


def test_a_full_table_runs_no_keyed_request_that_it_could_not_recognize_again() -> None:
    world = make_world(memory_kb=3000.0, key_kb=300.0)
    for n in range(12):
        request_id = world.arrive(KEYED, 0.9, 100 + n)
        world.turn()
        if world.state.get(request_id) == "running":
            world.end(request_id, Outcome.GOOD)
        pass_time(world, 50)
    kept = len(world.manager.entries)
    unknown_key, known_key, idempotent = (
        world.arrive(KEYED, 0.9, 300),
        world.arrive(KEYED, 0.9, 100),
        world.arrive(0, 0.9),
    )
    world.turn()
    assert (
        last_step(world, unknown_key) in (Step.DISMISS, Step.DISMISS_ALL)
        and last_step(world, known_key) is Step.SHARE
    )
    assert last_step(world, idempotent) is Step.RUN, "entries take capacity from keyed requests only"
    pass_time(world, 5000)
    later = world.arrive(KEYED, 0.9, 301)
    world.turn()
    assert kept == 5 and last_step(world, later) is Step.RUN, "the window empties the table"
