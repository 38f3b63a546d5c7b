"""A small scale run: in a fleet with cells, the cost per member must not grow with the size of the fleet.

Stub members run beside three real backends, and costs are counted over a fixed number of protocol periods.
The same measurement on flat fleets, whose costs do grow, shows that it detects growth.
"""

import pytest

from crowwing.emulator.fleet import growth
from crowwing.emulator.fleet.growth import MemberCost

SMALL, LARGE = 96, 288
MOST = 1.3  # allowed ratio of costs with three times as many members
IN_STEP_S = growth.FLEET["probe_timeout_ms"] / 2000  # lag from which probes time out without loss
TRIES = 3


@pytest.fixture(scope="module")
def spent(tmp_path_factory: pytest.TempPathFactory) -> dict[tuple[int, bool], MemberCost]:
    """Costs by size and whether the fleet has cells.

    Repeated if the machine stalled for longer than a probe may take, since such costs are not the fleet's.
    The last attempt counts in any case.
    """
    fleets = [(size, cells) for cells in (True, False) for size in (SMALL, LARGE)]
    for number in range(TRIES):
        counted = growth.measure(tmp_path_factory.mktemp(f"try{number}"), fleets, seed=number + 1)
        if max(one.lag_s for one in counted) <= IN_STEP_S:
            break
    return dict(zip(fleets, counted, strict=True))


def test_what_a_member_in_cells_spends_does_not_grow_with_the_fleet(
    spent: dict[tuple[int, bool], MemberCost],
) -> None:
    small, large = spent[SMALL, True], spent[LARGE, True]
    assert small.messages > 4 and small.bytes > 200 and small.attempts >= 3, "no traffic was counted"
    assert growth.find_growth(small, large, MOST) == []


def test_a_backend_in_cells_that_starts_asks_at_most_five(spent: dict[tuple[int, bool], MemberCost]) -> None:
    assert max(spent[size, True].attempts for size in (SMALL, LARGE)) <= 5


def test_the_same_counting_finds_a_flat_fleet_growing(spent: dict[tuple[int, bool], MemberCost]) -> None:
    """In a flat fleet a starting member queries half of the members; a draining one notifies all others."""
    found = growth.find_growth(spent[SMALL, False], spent[LARGE, False], MOST)
    assert {"attempts", "most_messages", "most_bytes"} <= {line.partition(":")[0] for line in found}


@pytest.mark.parametrize("field", ["messages", "bytes", "most_messages", "most_bytes", "attempts"])
def test_each_figure_that_grows_is_named(field: str) -> None:
    small = MemberCost(SMALL, 10.0, 800.0, 20.0, 1800.0, 4, 0.0)
    large = small._replace(size=LARGE)
    assert growth.find_growth(small, large, MOST) == []
    within, over = (large._replace(**{field: part * getattr(small, field)}) for part in (1.29, 1.31))
    assert growth.find_growth(small, within, MOST) == []
    assert [line.partition(":")[0] for line in growth.find_growth(small, over, MOST)] == [field]
