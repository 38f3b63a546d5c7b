"""Repeats of labelled tickets, at each place where the first try can be: never two runs within the window."""

import pytest

from crowwing.contract import Halt, Outcome, Step
from tests.rig import MS, World

LABELLED, WORK = 1, 7
WINDOW = 4000 * MS


def world(**changes: object) -> World:
    return World(1, quotas=(), **changes)


def runs(w: World) -> int:
    return sum(step is Step.RUN for step, _ in w.log)


def step_of(w: World, op_id: int) -> Step:
    return [step for step, told in w.log if told == op_id and step not in (Step.KEEP, Step.FORGET)][-1]


def pass_time(w: World, ms: int) -> None:
    for _ in range(ms // 10):
        w.advance(10)
        w.manager.progressed = w.now  # its runs move, though none ends here
        w.turn()


def test_a_repeat_while_the_first_runs_shares_its_result() -> None:
    w = world()
    first = w.arrive(LABELLED, 0.9, WORK)
    w.turn()
    pass_time(w, 200)
    again = w.arrive(LABELLED, 0.9, WORK)
    w.turn()
    assert (runs(w), step_of(w, again)) == (1, Step.SHARE)
    w.end(first, Outcome.FAILED)  # the other's error is this one's too: nothing is run again
    w.end(again, Outcome.FAILED)
    w.turn()
    assert runs(w) == 1 and not w.state


def test_a_repeat_of_a_held_try_takes_its_place_and_the_first_is_answered() -> None:
    w = world()
    for _ in range(4):
        w.arrive(LABELLED, 0.99)
    first = w.arrive(LABELLED, 0.5, WORK)
    w.turn()
    again = w.arrive(LABELLED, 0.5, WORK)
    w.turn()
    assert step_of(w, first) is Step.DISMISS_ALL and w.state[again] == "held"
    assert w.kept[WORK][0] == again


@pytest.mark.parametrize("halt", [Halt.FREEZE, Halt.DISCARD])
def test_a_repeat_of_stopped_work_never_runs_beside_it(halt: Halt) -> None:
    w = world(halt=halt)
    for _ in range(4):
        w.arrive(LABELLED, 0.9)
    w.turn()
    first = w.arrive(LABELLED, 0.9, WORK)
    w.end(1, Outcome.GOOD)
    w.turn()
    w.arrive(0, 0.99)  # takes the core that the stopped one leaves
    w.state[first] = "halting"
    w.end(first, Outcome.STOPPED)
    again = w.arrive(LABELLED, 0.9, WORK)
    w.turn()
    assert step_of(w, again) is Step.SHARE and again not in w.ran.get(WORK, [])
    pass_time(w, 5200)
    assert w.answers[first] is Step.FORFEIT and w.answers[again] is Step.FORFEIT


def test_a_repeat_of_what_was_answered_but_is_kept_shares_until_the_window_ends() -> None:
    w = world()
    first = w.arrive(LABELLED, 0.9, WORK)
    w.turn()
    w.end(first, Outcome.GOOD)
    pass_time(w, 3900)
    again = w.arrive(LABELLED, 0.9, WORK)
    w.turn()
    assert (runs(w), step_of(w, again)) == (1, Step.SHARE)


def test_a_repeat_at_the_edge_of_the_window_shares_and_one_after_it_runs() -> None:
    for late, ran in ((0, 1), (60, 2)):
        w = world()
        first = w.arrive(LABELLED, 0.9, WORK)
        w.turn()
        w.end(first, Outcome.GOOD)
        w.advance((WINDOW + late * MS) // MS)
        again = w.arrive(LABELLED, 0.9, WORK)
        w.turn()
        assert (runs(w), step_of(w, again)) == (ran, Step.SHARE if ran == 1 else Step.RUN)


def test_a_repeat_read_long_after_it_came_within_the_window_shares() -> None:
    w = world()
    first = w.arrive(LABELLED, 0.9, WORK)
    w.turn()
    w.end(first, Outcome.GOOD)
    w.advance(WINDOW // MS + 900)
    again = w.arrive(LABELLED, 0.9, WORK, age=950 * MS)
    w.turn()
    assert (runs(w), step_of(w, again)) == (1, Step.SHARE)


def test_a_new_life_knows_no_repeat_and_runs_it_once() -> None:
    before = world()
    before.arrive(LABELLED, 0.9, WORK)
    before.turn()
    w = world(cold=True)
    ids = [w.arrive(LABELLED, 0.9, WORK) for _ in range(2)]
    w.turn()
    assert runs(w) == 1 and {step_of(w, op_id) for op_id in ids} == {Step.DISMISS_ALL, Step.RUN}


def test_a_memory_full_of_entries_runs_nothing_it_could_not_know_again() -> None:
    w = world(memory_kb=3000.0, key_kb=300.0)
    for n in range(12):
        op_id = w.arrive(LABELLED, 0.9, 100 + n)
        w.turn()
        if w.state.get(op_id) == "running":
            w.end(op_id, Outcome.GOOD)
        pass_time(w, 50)
    kept = len(w.manager.entries)
    new, known, redoable = w.arrive(LABELLED, 0.9, 300), w.arrive(LABELLED, 0.9, 100), w.arrive(0, 0.9)
    w.turn()
    assert step_of(w, new) in (Step.DISMISS, Step.DISMISS_ALL) and step_of(w, known) is Step.SHARE
    assert step_of(w, redoable) is Step.RUN, "entries may take room from labelled tickets alone"
    pass_time(w, 5000)
    late = w.arrive(LABELLED, 0.9, 301)
    w.turn()
    assert kept == 5 and step_of(w, late) is Step.RUN, "the window empties the table"
