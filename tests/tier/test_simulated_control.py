"""Random runs of the simulated control plane; `python -m tests.tier.many_seeds` runs many more."""

import pytest

from tests.tier.simulation.plays import KINDS, play


@pytest.mark.parametrize("kind", sorted(KINDS))
@pytest.mark.parametrize("seed", range(3))
def test_random_faults_violate_no_invariant(kind: str, seed: int) -> None:
    world = play(seed, KINDS[kind])
    assert any(call.status == 200 for call in world.history.calls if call.kind == "put")


@pytest.mark.parametrize("kind", ["three", "beyond-four"])
def test_a_seed_always_gives_the_same_history(kind: str) -> None:
    first, second = (play(41, KINDS[kind]).history.lines() for _ in range(2))
    assert first == second and len(first) > 100


def test_an_election_succeeds_after_a_loss_in_a_first_view_of_three_members() -> None:
    """Seed 23 loses a member before the others have joined, with a fault tolerance of two."""
    play(23, KINDS["five-two"])
