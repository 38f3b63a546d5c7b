"""Reachability of other cells: votes of speakers, when they are published, and how they are counted."""

import pytest

from crowwing.fleet.membership.cells import SPEAKER_COUNT, CellLayout
from crowwing.fleet.state.keyspaces import KEYSPACES
from crowwing.fleet.state.reachability_votes import (
    MAX_PREFIX_LIST_BYTES,
    MIN_INTERVAL_BACK,
    MIN_INTERVAL_OUT,
    STABILIZATION_DELAY,
    VOTE_LIFETIME,
    ReachabilityVotes,
)
from crowwing.fleet.state.replica import EntryRejectedError, Replica

S = 1_000_000
ZONES = [("west", "w1"), ("west", "w2"), ("east", "e1")]


def verdicts(most: int = 4) -> tuple[ReachabilityVotes, Replica, CellLayout, tuple[str, ...]]:
    places = {f"m{n}": ZONES[n % 3] for n in range(36)}
    layout = CellLayout(places, most)
    cell = layout.cell_of["m0"]
    copies = Replica("m0", KEYSPACES, 10 * S)
    return ReachabilityVotes("m0", layout, copies, 0), copies, layout, layout.rosters[cell][:SPEAKER_COUNT]


def say(copies: Replica, speaker: str, words: object) -> None:
    copies.put(S, f"reach/{speaker}", words, VOTE_LIFETIME)


def test_a_cell_is_out_of_reach_where_most_speakers_say_so() -> None:
    one, copies, layout, speakers = verdicts()
    assert len(speakers) == 3
    east = frozenset(cell for cell in layout.rosters if cell.startswith("east/e1/"))
    say(copies, speakers[0], ["east/e1/"])
    assert one.unreachable_cells(speakers) == frozenset()
    say(copies, speakers[1], ["east/e1/"])
    assert one.unreachable_cells(speakers) == east
    assert one.unreachable_cells(speakers[1:]) == frozenset(), "of two, one is not most"
    assert one.unreachable_cells(speakers[:2]) == east, "who speaks no longer does not count"
    assert one.unreachable_cells(()) == frozenset()
    say(copies, speakers[1], [])
    assert one.unreachable_cells(speakers) == frozenset()


def test_a_member_that_does_not_speak_is_not_counted_nor_are_words_that_are_none() -> None:
    one, copies, layout, speakers = verdicts()
    others = [name for name in layout.rosters[layout.cell_of["m0"]] if name not in speakers]
    for name in [*others, "m1", "m2", "x"]:
        say(copies, name, ["east/e1/"])
    for speaker, words in zip(
        speakers, ["east/e1", {"of": layout.digest, "bits": "z"}, [7, None, ["x"]]], strict=True
    ):
        say(copies, speaker, words)
    assert one.unreachable_cells(speakers) == frozenset()
    for words in (
        [one.own_cell],
        {"of": layout.digest, "bits": f"{1 << layout.cells.index(one.own_cell):x}"},
    ):
        for speaker in speakers:
            say(copies, speaker, words)
        assert one.unreachable_cells(speakers) == frozenset()
    assert one.own_cell not in one.unreachable_cells(speakers), "nobody is out of reach of its own cell"


def test_words_of_settings_one_change_older_mean_the_parts_that_a_cell_became() -> None:
    one, copies, layout, speakers = verdicts(most=2)
    parts = sorted(cell for cell in layout.rosters if cell.startswith("east/e1/0"))
    assert len(parts) > 1
    for speaker in speakers:
        say(copies, speaker, ["east/e1/0"])
    assert one.unreachable_cells(speakers) == frozenset(parts)


def test_a_telling_waits_for_more_and_has_its_distance_from_the_last() -> None:
    one, copies, layout, _ = verdicts()
    east = sorted(cell for cell in layout.rosters if cell.startswith("east/e1/"))
    w2 = [cell for cell in layout.rosters if cell.startswith("west/w2/")]

    def tell(now: int, out: list[str]) -> list[tuple[str, list[str]]]:
        said = one.due_votes(now, frozenset(out))
        for key, value in said:
            copies.put(S + now, key, value, VOTE_LIFETIME)
        return said

    assert tell(0, []) == [] and one.wake_at() is None
    assert tell(S, east[:1]) == [] and one.wake_at() == S + STABILIZATION_DELAY
    assert tell(S + STABILIZATION_DELAY - 1, east) == []
    assert tell(S + STABILIZATION_DELAY, east) == [("reach/m0", ["east/"])]
    assert tell(S + STABILIZATION_DELAY + 1, east) == [] and one.wake_at() is None
    assert tell(S + STABILIZATION_DELAY + 2, east + w2) == [], "more that goes waits long"
    assert tell(S + STABILIZATION_DELAY + MIN_INTERVAL_OUT - 1, east + w2) == []
    assert tell(S + STABILIZATION_DELAY + MIN_INTERVAL_OUT, east + w2) == [
        ("reach/m0", ["east/", "west/w2/"])
    ]
    then = S + STABILIZATION_DELAY + MIN_INTERVAL_OUT
    assert tell(then + 1, east) == [], "what comes back is told sooner"
    assert tell(then + MIN_INTERVAL_BACK - 1, east) == []
    assert tell(then + MIN_INTERVAL_BACK, east) == [("reach/m0", ["east/"])]
    then += MIN_INTERVAL_BACK
    assert tell(then + MIN_INTERVAL_OUT, east + w2) == [] and one.wake_at() is not None
    assert tell(then + MIN_INTERVAL_OUT + 1, east) == [], (
        "one that came back before it was told of is not told of"
    )
    assert one.wake_at() is None


def test_what_holds_is_said_again_before_it_runs_out_and_what_is_over_is_not() -> None:
    one, copies, layout, _ = verdicts()
    east = frozenset(cell for cell in layout.rosters if cell.startswith("east/e1/"))
    at, said = 0, []
    while at < 3 * VOTE_LIFETIME:
        copies.expire(S + at)
        for key, value in one.due_votes(at, east if at < VOTE_LIFETIME else frozenset()):
            copies.put(S + at, key, value, VOTE_LIFETIME)
            said.append((at, value))
        if S < at < VOTE_LIFETIME:
            assert copies.get("reach/m0") == ["east/"] or at < 3 * S
        at += S
    assert 3 <= len(said) <= 5 and said[-1][1] == []


def test_many_cells_are_told_by_bits_which_only_the_same_settings_read() -> None:
    places = {f"m{n}": (f"r{n % 2}", f"z{n % 4}") for n in range(400)}
    layout = CellLayout(places, 4)
    copies = Replica("m0", KEYSPACES, 10 * S)
    one = ReachabilityVotes("m0", layout, copies, 0)
    out = frozenset([cell for cell in layout.cells if cell != one.own_cell][::2])
    assert one.due_votes(0, out) == []
    ((key, value),) = one.due_votes(STABILIZATION_DELAY, out)
    assert (
        value["of"] == layout.digest
        and sum(len(word) for word in layout.compact(out)) > MAX_PREFIX_LIST_BYTES
    )
    speakers = layout.rosters[one.own_cell][:SPEAKER_COUNT]
    for speaker in speakers:
        copies.put(S, f"reach/{speaker}", value, VOTE_LIFETIME)
    assert one.unreachable_cells(speakers) == out
    older = ReachabilityVotes("m0", CellLayout(places | {"x": ("r1", "z1")}, 3), copies, 0)
    assert older.unreachable_cells(speakers) == frozenset(), "bits of another copy mean nothing here"


def test_words_are_kept_in_the_cell_only() -> None:
    assert not KEYSPACES["reach"].fleet_wide
    with pytest.raises(EntryRejectedError):
        Replica("m0", {name: one for name, one in KEYSPACES.items() if one.fleet_wide}, S).put(
            S, "reach/m0/x", [], S
        )
