"""Decisions are bit for bit as recorded: 700 ticks for each seed and deployment."""

import json

import pytest

from crowwing.contract import Step
from tests.decision_recording import FILE, SEEDS, VARIANTS, RecordedRun, digest

RECORDED = json.loads(FILE.read_text())


@pytest.mark.parametrize("variant", VARIANTS)
@pytest.mark.parametrize("seed", SEEDS)
def test_every_step_is_as_recorded(variant: str, seed: int) -> None:
    assert digest(variant, seed) == RECORDED[variant][seed]


def test_the_runs_reach_every_step() -> None:
    seen: set[str] = set()
    for variant in VARIANTS:
        recorded_run = RecordedRun(variant, 0)
        recorded_run.run()
        seen |= {line.split()[0] for line in recorded_run.lines}
    assert {step.name for step in Step} <= seen
