"""Runs the decision module on random events by seed, and digests every step that it takes.

`python -m tests.decision_recording` writes tests/recorded/decisions.json for the version that is checked out.
"""

import hashlib
import json
import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from crowwing.contract import Halt, LoadSignal, Outcome, Result, Step
from crowwing.logic.load_manager import LoadManager
from tests.rig import MS, facts

FILE = Path(__file__).parent / "recorded" / "decisions.json"
SEEDS = range(12)
TICKS = 700
VARIANTS: dict[str, dict[str, Any]] = {
    "plain": {},
    "without halts and signals": {"halt": Halt.NONE, "signal": LoadSignal.NONE, "quotas": ()},
    "freezing, by weight": {"halt": Halt.FREEZE, "signal": LoadSignal.WEIGHT, "cache_ttl": 900 * MS},
    "cold, by floor": {"cold": True, "signal": LoadSignal.FLOOR, "backends": 5},
    "few cores, no calls below": {"cores": 1, "call_quota": 0.0, "memory_kb": 6000.0},
    "short of memory": {"memory_kb": 1200.0, "cache_ttl": 500 * MS},
}


class RecordedRun:
    """One incarnation of one backend with random events."""

    def __init__(self, variant: str, seed: int) -> None:
        self._random = random.Random(f"{variant}/{seed}")
        self._now = 10_000_000
        self._facts = facts(**VARIANTS[variant])
        self.manager = LoadManager(self._facts, self._now, random.Random(seed))
        self._requests: dict[int, Any] = {}
        self._next_id = 0
        self._wake_at = 0
        self.lines: list[str] = []

    def run(self) -> None:
        """Runs all ticks."""
        self._record(self.manager.begin(self._now))
        for number in range(TICKS):
            self._now += self._random.randint(1, 30 if number % 200 < 120 else 90) * MS
            for results in self._events(number):
                self._record(results)
            self._record(self.manager.decide(self._now))
            self._requests = {key: request for key, request in self._requests.items() if not request.closed}
            manager = self.manager
            self.lines.append(
                f"{manager.limit!r} {manager.threshold!r} {manager.timeouts} {manager.call_limit!r}"
            )

    def _record(self, results: list[Result]) -> None:
        for step, request, figure in results:
            if step is Step.WAKE:
                self._wake_at = self._now + round(figure)
            self.lines.append(f"{step.name} {request.id if request else '-'} {figure!r}")

    def _events(self, number: int) -> Iterator[list[Result]]:
        draw = self._random
        for _ in range(draw.randint(0, 6 if number % 200 < 120 else 1)):
            self._arrive()
        for request in list(self._requests.values()):
            yield from self._events_of(request)
        if self._now >= self._wake_at:
            gauges = (
                {"on_cores": draw.uniform(0, 8), "core_use": draw.random()} if draw.random() < 0.9 else {}
            )
            yield self.manager.on_timer(self._now, gauges)
        if number == 20:
            self.manager.apply_learned(self._now, ((300 * MS, 200 * MS),) * 3, 6.0, 40 * MS)
        if number % 150 == 149:
            self.manager.set_fleet_scale(
                draw.uniform(0.5, 1.5), [draw.uniform(0.5, 1.5) for _ in self._facts.quotas]
            )
        if number == TICKS - 60:
            yield self.manager.drain(self._now, self._now + 3000 * MS)

    def _arrive(self) -> None:
        draw = self._random
        self._next_id += 1
        arrived = self._now - draw.choice((0, 0, 0, 20, 700)) * MS
        repeats = draw.choice(list(self._requests)) if self._requests and draw.random() < 0.2 else 0
        due = arrived + draw.choice((5000, 5000, 2500, 900)) * MS if draw.random() < 0.8 else 0
        customer = draw.randrange(len(self._facts.quotas)) if self._facts.quotas else 0
        self._requests[self._next_id] = self.manager.receive(
            self._now, self._next_id, draw.randrange(3), customer, draw.random(), draw.uniform(5, 60),
            arrived, due, draw.randrange(7), repeats, draw.choice((0, 0, 5, 6)), draw.random() < 0.3,
            draw.random() < 0.05,
        )  # fmt: skip

    def _events_of(self, request: Any) -> Iterator[list[Result]]:  # noqa: ANN401
        draw, now = self._random, self._now
        took = draw.choice((60, 200, 300, 900, 2500)) * MS
        if draw.random() < 0.12:
            yield request.run_ended(now, took, draw.choice((*[Outcome.GOOD] * 6, *Outcome)))
        if draw.random() < 0.06:
            yield request.call_needed(now)
        if draw.random() < 0.25:
            yield request.call_ended(now, took // 4, draw.choice((*[Outcome.GOOD] * 4, *Outcome)))
        if draw.random() < 0.02:
            yield request.caller_gone(now)


def digest(variant: str, seed: int) -> str:
    """The digest of all steps of one run."""
    recorded_run = RecordedRun(variant, seed)
    recorded_run.run()
    return hashlib.sha256("\n".join(recorded_run.lines).encode()).hexdigest()


def digests() -> dict[str, list[str]]:
    """The digests of all runs."""
    return {variant: [digest(variant, seed) for seed in SEEDS] for variant in VARIANTS}


if __name__ == "__main__":
    FILE.write_text(json.dumps(digests(), indent=1) + "\n")
