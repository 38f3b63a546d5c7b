"""Random runs of the decision module by seed; World checks its invariants after every step."""

import random

import pytest

from crowwing.contract import Halt, LoadSignal, Outcome
from tests.rig import MS, World


def play(seed: int) -> World:
    chance = random.Random(seed)
    world = World(
        seed,
        halt=chance.choice(list(Halt)),
        signal=chance.choice(list(LoadSignal)),
        cold=chance.random() < 0.3,
        memory_kb=chance.choice([3000.0, 20000.0]),
        call_quota=chance.choice([0.4, 3.0]),
        max_retry_after=chance.choice([0, 1000 * MS]),
        quotas=chance.choice([(), (30.0, 10.0)]),
    )
    load = chance.choice([0.5, 3.0])  # a tenth of this many requests arrive in each step of 10 ms
    drain_at = chance.choice([0, 600])
    for step in range(1500):
        if step == drain_at > 0:
            world.notice, world.stop = world.now, world.now + 6000 * MS
            world.apply(world.manager.drain(world.now, world.stop))
        for _ in range(3 if chance.random() < load / 30 else int(chance.random() < load / 10)):
            earlier = chance.randrange(1, 40) if chance.random() < 0.5 else 0
            kind = earlier % 3 if earlier else chance.randrange(3)
            if kind == 2 or world.now // MS % 7 == 0:  # a non-idempotent request is not retried
                earlier = 0
            work = 1000 * kind + earlier if earlier else 0
            left = chance.choice([0, 0, 400 * MS, 3000 * MS])
            world.arrive(kind, chance.random(), work, chance.randrange(300 * MS), left, chance.randrange(2))
        for op_id, state in list(world.state.items()):
            request, luck = world.tickets[op_id], chance.random()
            over = op_id in world.answers or op_id in world.gone
            if state == "running" and luck < 0.05:
                if luck < 0.02 and request.cls.makes_calls and not over:
                    world.needs_call(op_id)
                else:
                    world.end(op_id, Outcome.FAILED if luck < 0.025 else Outcome.GOOD)
            elif state == "halting" or (state == "asking" and over):
                world.end(op_id, Outcome.STOPPED)
            elif state == "calling" and (luck < 0.1 or world.now >= world.calls[op_id]):
                outcome = chance.choice(list(Outcome)[:4]) if luck < 0.1 else Outcome.UNSURE
                if over:
                    world.end(op_id, Outcome.STOPPED)
                    continue
                world.state[op_id] = "running" if outcome is Outcome.GOOD else "asking"
                if outcome is not Outcome.UNSURE:
                    del world.calls[op_id]
                world.apply(request.call_ended(world.now, 50 * MS, outcome))
            elif state == "sharing" and luck < 0.05:
                world.end(op_id, Outcome.GOOD)
            elif luck > 0.998 and not over:
                world.gone.add(op_id)
                if state in ("held", "paused", "sharing"):
                    del world.state[op_id]
                world.apply(request.caller_gone(world.now))
        world.turn()
        if world.stop and world.now >= world.stop - 20 * MS:
            break
        world.advance(10)
    if world.stop:
        assert all(op_id in world.answers or op_id in world.gone for op_id in world.tickets), (
            "every request is answered"
        )
    return world


@pytest.mark.parametrize("seed", range(24))
def test_invariants_hold(seed: int) -> None:
    world = play(seed)
    assert len(world.answers) > 50


def test_the_same_events_give_the_same_steps() -> None:
    assert play(3).log == play(3).log
