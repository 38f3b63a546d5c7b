"""What a cold backend gets from callers who have its word in mind, and what thirty backends call below.

The operators put only 2 root of N + 2 down to chance beyond a budget of N. N is read as the crowd that the
settings allow a backend at its speed then, over the time that they name, and below as the sum of what all may
have in hand.
"""

import bisect
import math
import random
from dataclasses import replace

import pytest

from crowwing.contract import Idempotency, Outcome, Result, Step
from crowwing.logic.load_manager import LoadManager
from crowwing.logic.request import Request
from tests.rig import MS, World, facts

HEEDED, FALL, LISTED = (
    1000 * MS,
    2000 * MS,
    1000 * MS,
)  # a word's life; the time of the rule; until callers know
WORK, SPEED = 300 * MS, 0.6  # mean work of a run, and of a core when warm


def allowed(n: float) -> float:
    return n + 2 * math.sqrt(n) + 2


class ColdStart:
    """One backend from its start, and callers that keep to the last allowance told, while it is in mind."""

    def __init__(self, seed: int, callers: int) -> None:
        self.chance, self.callers = random.Random(seed), callers
        base = facts(
            cold=True, warm_up=15000 * MS, cores=6, max_per_core=8.0, memory_kb=2e5, quotas=(), call_quota=0.0
        )
        kind = replace(
            base.classes[0],
            makes_calls=False,
            idempotency=Idempotency.IDEMPOTENT,
            latency_target=1800 * MS,
            deadline=4500 * MS,
        )
        self.facts = replace(base, classes=(kind,))
        self.now = self.born = 10_000_000
        self.manager = LoadManager(self.facts, self.now, random.Random(seed + 1))
        self.value, self.wake, self.ids, self.served = 0.0, 0, 0, 0
        self.told: dict[int, tuple[float, int]] = {}  # caller -> what it was told, and until when it minds
        self.away, self.out = [0] * callers, [0] * callers
        self.left: dict[int, float] = {}  # run -> work to do
        self.open: dict[int, Request] = {}
        self.by: dict[int, int] = {}
        self.got: list[tuple[int, bool]] = []  # when each came, and whether its caller had our word in mind
        self.apply(self.manager.begin(self.now))

    def apply(self, results: list[Result]) -> None:
        for step, ticket, figure in results:
            if step is Step.FREE_VALUE:
                self.value = figure
            elif step is Step.WAKE:
                self.wake = self.now + round(figure)
            elif step is Step.RUN:
                self.left[ticket.id] = self.chance.lognormvariate(math.log(WORK) - 0.18, 0.6) / SPEED
            elif step in (Step.DISMISS, Step.DISMISS_ALL, Step.FORFEIT):
                self.answered(ticket.id)
                self.away[self.by[ticket.id]] = self.now + round(figure)

    def answered(self, ident: int) -> None:
        caller = self.by[ident]
        self.out[caller] -= 1
        self.told[caller] = self.value, self.now + HEEDED

    def send(self, caller: int) -> None:
        if self.now < self.away[caller]:
            return
        value, until = self.told.get(caller, (0.0, 0))
        if minds := self.now < until:
            most = int(value) + (self.chance.random() < value % 1)
            if self.out[caller] >= most:
                return
        self.ids += 1
        self.got.append((self.now, minds))
        due = self.now + 3000 * MS
        self.by[self.ids] = caller
        self.open[self.ids] = self.manager.receive(
            self.now, self.ids, 0, 0, self.chance.random(), 25.0, self.now, due, caller, 0, 0, False
        )
        self.out[caller] += 1

    def step(self) -> None:
        """A millisecond of the machine, then the module's turn."""
        self.now += MS
        each = min(1.0, 6 / max(1, len(self.left))) * self.manager.speed(self.now) * MS
        for ident in list(self.left):
            self.left[ident] -= each
            if self.left[ident] <= 0:
                del self.left[ident]
                ticket = self.open[ident]
                if not ticket.answered:
                    self.answered(ident)
                    self.served += 1
                self.apply(ticket.run_ended(self.now, self.now - ticket.arrived, Outcome.GOOD))
        if self.now >= self.wake:
            busy = min(1.0, len(self.left) / 6)
            self.apply(self.manager.on_timer(self.now, {"on_cores": len(self.left), "core_use": busy}))
        self.apply(self.manager.decide(self.now))
        self.open = {ident: ticket for ident, ticket in self.open.items() if not ticket.closed}

    def play(self, rate: float, in_step: bool, seconds: int = 10) -> None:
        every = round(1000 * self.callers / rate)
        for ms in range(seconds * 1000):
            if self.now >= self.born + LISTED:
                for caller in range(self.callers):
                    if ms % every == 0 if in_step else self.chance.random() < 1 / every:
                        self.send(caller)
            self.step()

    def worst(self) -> float:
        """The most over what is allowed that came in a span, for the most part from who had our word."""
        times, worst = [at for at, _ in self.got], -math.inf
        for first, at in enumerate(times):
            got = self.got[first : bisect.bisect_right(times, at + FALL)]
            if sum(minded for _, minded in got) > 2 / 3 * len(got):
                speed = 0.2 + 0.8 * min(1.0, (at - self.born) / self.facts.warm_up)
                worst = max(worst, len(got) - allowed(6 * (1 + 7 * speed)))
        return worst


@pytest.mark.parametrize("in_step", [True, False])
@pytest.mark.parametrize("callers", [30, 100])
def test_a_cold_backend_gets_no_more_than_chance_from_callers_that_have_its_word(
    callers: int, in_step: bool
) -> None:
    for seed, rate in enumerate((20, 40, 80, 160)):
        cold = ColdStart(seed, callers)
        cold.play(rate, in_step)
        assert cold.worst() <= 0 and cold.served > 10


def test_the_check_above_sees_a_backend_that_tells_callers_of_room_which_it_has_not() -> None:
    cold = ColdStart(1, 30)
    cold.manager.capacity_per_caller = lambda room: 20.0
    cold.play(160, False)
    assert cold.worst() > 0


@pytest.mark.parametrize("in_step", [True, False])
def test_thirty_backends_together_never_have_more_in_hand_below_than_it_survives(in_step: bool) -> None:
    """All start at once before a slow back end, with more to call than it takes; the mean of the rule."""
    chance, fleet = random.Random(4), 30
    worlds = [
        World(7 if in_step else seed, call_quota=0.4, memory_kb=2e5, quotas=(), cold=True)
        for seed in range(fleet)
    ]
    budget = fleet * worlds[0].facts.call_quota
    most = 0.0
    for step in range(650):
        begin = [chance.random() < 0.2 for _ in worlds]
        for world, own in zip(worlds, begin, strict=True):
            if begin[0] if in_step else own:
                world.arrive(2, 0.9, left=4000 * MS)
        for n, world in enumerate(worlds):
            luck = random.Random(step if in_step else step * fleet + n)
            for ident, state in list(world.state.items()):
                if state == "running" and ident not in world.answers:
                    world.needs_call(ident)
                elif state == "calling" and (luck.random() < 0.01 or world.now >= world.calls[ident]):
                    late = world.now >= world.calls[ident]  # given up: it lingers there
                    world.state[ident] = "asking" if late else "running"
                    outcome = Outcome.UNSURE if late else Outcome.GOOD
                    world.apply(world.tickets[ident].call_ended(world.now, 1000 * MS, outcome))
                    if not late:
                        world.calls.pop(ident, None)
                        world.end(ident, Outcome.GOOD)
                elif state == "asking" and ident in world.answers:
                    world.end(ident, Outcome.STOPPED)
            world.turn()
            world.advance(10)
        most = max(most, sum(sum(world.open_calls) / len(world.open_calls) for world in worlds))
    assert 0.3 * budget < most <= budget
