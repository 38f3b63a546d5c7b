"""How a speaker finds a lost zone or region: a silent cell makes it ping the neighbours of that cell."""

import random
from collections import Counter

import pytest

from crowwing.fleet.membership.cell_reachability import (
    DOUBT_PINGS_PER_PERIOD,
    MAX_DOUBT_PINGS,
    SILENT_PERIODS,
    CellReachability,
)
from crowwing.fleet.membership.cells import CellLayout
from crowwing.fleet.membership.swim import ALIVE, GONE, SUSPECT, Kind, Timing

PERIOD = 200_000
TIMING = Timing(period=PERIOD, probe_timeout=60_000)
PLACES = {f"m{n}": (f"r{n % 4 // 2}", f"z{n % 4}") for n in range(240)} | {"me": ("home", "h")}
LAYOUT = CellLayout(PLACES, 8)
LOST_ZONE = frozenset(cell for cell in LAYOUT.rosters if cell.startswith("r1/z3/"))
LOST_REGION = frozenset(cell for cell in LAYOUT.rosters if cell.startswith("r1/"))


class Alone:
    """One speaker, and cells that answer each message at once or are lost; there are no other messages."""

    def __init__(self, seed: int) -> None:
        self.reachability = CellReachability("me", LAYOUT, 0, random.Random(seed), TIMING)
        self.now, self.lost, self.deaf = 0, frozenset(), Counter()
        self.asked: Counter[str] = Counter()
        self.bare = 0

    def period(self) -> None:
        """Runs to the end of the next period; `bare` counts the pings besides the probe."""
        self.bare, before = 0, self.reachability.swim.periods
        while self.reachability.swim.periods == before:
            self.now = max(self.now + 1, self.reachability.wake_at() or 0)
            self.reachability.tick(self.now, True, frozenset(), [1, 1, 0, "0"])
            self._answer()

    def _answer(self) -> None:
        while self.reachability.outbox:
            to, told = self.reachability.outbox.pop()
            cell = LAYOUT.cell_of[to]
            if told["k"] != Kind.PING:
                continue
            self.asked[cell] += 1
            self.bare += "row" not in told
            if self.deaf[cell]:
                self.deaf[cell] -= 1
            elif cell not in self.lost:
                ack = {"k": int(Kind.ACK), "from": to, "inc": 0, "seq": told["seq"], "cell": 1}
                self.reachability.receive(self.now + 1, ack, [1, 1, 0, "0"])

    def states(self, *wanted: str) -> set[str]:
        return {cell for cell, seen in self.reachability.swim.members.items() if seen.state in wanted}

    def periods_until(self, check: object, most: int) -> int:
        for count in range(most):
            if check():
                return count
            self.period()
        raise AssertionError(f"not within {most} periods")


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("lost", [LOST_ZONE, LOST_REGION], ids=["zone", "region"])
def test_a_lost_zone_or_region_is_found_in_a_quarter_of_the_time_without_false_suspicions(
    seed: int, lost: frozenset[str]
) -> None:
    one = Alone(seed)
    for _ in range(SILENT_PERIODS + 1):
        one.period()
    one.lost = lost
    one.periods_until(lambda: one.states(SUSPECT), 4 * len(LAYOUT.rosters))
    took = one.periods_until(lambda: one.states(SUSPECT, *GONE) >= lost, len(LAYOUT.rosters))
    # With one probe per period alone, the last one is found after a round of all cells at the earliest.
    assert took <= MAX_DOUBT_PINGS * len(lost) / DOUBT_PINGS_PER_PERIOD + 12
    for _ in range(40):
        one.period()
    assert one.states(ALIVE) == set(LAYOUT.rosters) - lost - {LAYOUT.cell_of["me"]}


def test_doubted_cells_are_pinged_a_few_per_period_and_none_at_rest() -> None:
    one = Alone(7)
    for _ in range(60):
        one.period()
        assert one.bare == 0, "no cell is doubted"
    one.lost = LOST_REGION
    most = 0
    for _ in range(80):
        one.period()
        most = max(most, one.bare)
        assert (
            one.bare <= DOUBT_PINGS_PER_PERIOD and len(one.reachability.doubt_pings) <= DOUBT_PINGS_PER_PERIOD
        )
    assert most == DOUBT_PINGS_PER_PERIOD
    one.periods_until(lambda: one.states(*GONE) == LOST_REGION, 200)
    for _ in range(20):
        one.period()
        assert one.bare == 0 and not one.reachability.doubt_pings, "unreachable cells are left to the probes"


def test_a_neighbour_is_suspected_only_after_a_second_timeout() -> None:
    one = Alone(3)
    for _ in range(SILENT_PERIODS + 1):
        one.period()
    gone, *others = sorted(LOST_ZONE)
    one.lost = frozenset({gone})
    one.deaf.update(dict.fromkeys(others, 1))  # the first message to each is lost
    one.periods_until(lambda: gone in one.states(SUSPECT), 4 * len(LAYOUT.rosters))
    before = Counter(one.asked)
    for _ in range(2 * len(others)):
        one.period()
    assert all(one.asked[cell] > before[cell] for cell in others), "all of its zone were pinged"
    assert one.states(SUSPECT, *GONE) == {gone}


def test_a_member_that_becomes_speaker_again_has_no_doubted_cells() -> None:
    one = Alone(5)
    one.lost = LOST_ZONE
    one.periods_until(lambda: one.reachability.doubt_pings, 4 * len(LAYOUT.rosters))
    one.reachability.tick(one.now + 1, False, frozenset())
    one.reachability.tick(one.now + 2, True, frozenset())
    assert not one.reachability.doubt_pings
