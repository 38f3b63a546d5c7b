"""Decisions stay as they were recorded, to the last digit: 700 moments of each seed and deployment."""

import json

import pytest

from crowwing.contract import Step
from tests.decision_recording import FILE, SEEDS, VARIANTS, Play, digest

RECORDED = json.loads(FILE.read_text())


@pytest.mark.parametrize("variant", VARIANTS)
@pytest.mark.parametrize("seed", SEEDS)
def test_every_step_is_as_recorded(variant: str, seed: int) -> None:
    assert digest(variant, seed) == RECORDED[variant][seed]


def test_the_plays_reach_every_step() -> None:
    seen: set[str] = set()
    for variant in VARIANTS:
        play = Play(variant, 0)
        play.run()
        seen |= {line.split()[0] for line in play.lines}
    assert {step.name for step in Step} <= seen
