"""The table of mutations quotes lines of code; each must still occur exactly once."""

import pytest

from tests.tier.mutations import ROOT, Mutation, read_mutations

GUARDS = 31


def test_no_guard_is_dropped_from_the_table() -> None:
    assert len(read_mutations()) >= GUARDS


@pytest.mark.parametrize("mutation", read_mutations(), ids=lambda mutation: mutation.name)
def test_each_guard_occurs_once_in_the_code(mutation: Mutation) -> None:
    text = (ROOT / "crowwing" / "tier" / mutation.path).read_text()
    assert text.count(mutation.old) == 1
