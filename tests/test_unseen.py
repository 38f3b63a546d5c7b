"""Tests the comparison of two versions on unseen deployments: the summary of pairs, and ranges of seeds."""

import pytest

from benchmarks.unseen import DayResult, ResultPair, describe, parse_seeds


def test_pairs_tell_gains_and_rules() -> None:
    pairs = [
        ResultPair("a quiet-1", DayResult(0.5, 0.9, ()), DayResult(0.6, 0.9, ())),
        ResultPair("a scale-1", DayResult(0.5, 0.9, ("LOST",)), DayResult(0.4, 0.9, ())),
        ResultPair("b quiet-1", DayResult(0.5, 0.9, ()), DayResult(0.8, 0.9, ())),
    ]
    text = describe(pairs)
    assert "mean gain +0.100" in text and "better in 2 of 3" in text
    assert "LOST; none" in text


@pytest.mark.parametrize(("text", "seeds"), [("3-5", [3, 4, 5]), ("7", [7])])
def test_seeds_are_a_range_with_both_ends(text: str, seeds: list[int]) -> None:
    assert list(parse_seeds(text)) == seeds
