"""All short paths of three replicas; `python -m tests.tier.exploration` explores longer ones."""

import pytest

from tests.tier.exploration import InvariantError, check, explore, first_state


def test_no_short_path_violates_an_invariant() -> None:
    states, depth = explore(4)
    assert depth == 4 and states > 5000


def test_a_state_with_two_lease_holders_is_detected() -> None:
    state = first_state()
    check(state)
    other = state.nodes["b"].replica
    view = state.nodes["a"].replica.view
    assert view is not None
    other.activate(state.now, view, requested_at=state.now)
    assert other.holds_lease(state.now)
    with pytest.raises(InvariantError):
        check(state)
