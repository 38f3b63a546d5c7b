"""What is believed of other cells: speakers' words, their telling and their counting."""

import pytest

from crowwing.fleet.membership.cells import SPEAKERS, Layout
from crowwing.fleet.state.keyspaces import SPACES
from crowwing.fleet.state.reachability_votes import GAP_BACK, GAP_OUT, LIFE, SETTLE, WORDS_MOST, Verdicts
from crowwing.fleet.state.replica import Copies, NotKept

S = 1_000_000
ZONES = [("west", "w1"), ("west", "w2"), ("east", "e1")]


def verdicts(most: int = 4) -> tuple[Verdicts, Copies, Layout, tuple[str, ...]]:
    places = {f"m{n}": ZONES[n % 3] for n in range(36)}
    layout = Layout(places, most)
    cell = layout.cell_of["m0"]
    copies = Copies("m0", SPACES, 10 * S)
    return Verdicts("m0", layout, copies, 0), copies, layout, layout.rosters[cell][:SPEAKERS]


def say(copies: Copies, speaker: str, words: object) -> None:
    copies.put(S, f"reach/{speaker}", words, LIFE)


def test_a_cell_is_out_of_reach_where_most_speakers_say_so() -> None:
    one, copies, layout, speakers = verdicts()
    assert len(speakers) == 3
    east = frozenset(cell for cell in layout.rosters if cell.startswith("east/e1/"))
    say(copies, speakers[0], ["east/e1/"])
    assert one.out(speakers) == frozenset()
    say(copies, speakers[1], ["east/e1/"])
    assert one.out(speakers) == east
    assert one.out(speakers[1:]) == frozenset(), "of two, one is not most"
    assert one.out(speakers[:2]) == east, "who speaks no longer does not count"
    assert one.out(()) == frozenset()
    say(copies, speakers[1], [])
    assert one.out(speakers) == frozenset()


def test_a_member_that_does_not_speak_is_not_counted_nor_are_words_that_are_none() -> None:
    one, copies, layout, speakers = verdicts()
    others = [name for name in layout.rosters[layout.cell_of["m0"]] if name not in speakers]
    for name in [*others, "m1", "m2", "x"]:
        say(copies, name, ["east/e1/"])
    for speaker, words in zip(
        speakers, ["east/e1", {"of": layout.digest, "bits": "z"}, [7, None, ["x"]]], strict=True
    ):
        say(copies, speaker, words)
    assert one.out(speakers) == frozenset()
    for words in ([one.own], {"of": layout.digest, "bits": f"{1 << layout.cells.index(one.own):x}"}):
        for speaker in speakers:
            say(copies, speaker, words)
        assert one.out(speakers) == frozenset()
    assert one.own not in one.out(speakers), "nobody is out of reach of its own cell"


def test_words_of_settings_one_change_older_mean_the_parts_that_a_cell_became() -> None:
    one, copies, layout, speakers = verdicts(most=2)
    parts = sorted(cell for cell in layout.rosters if cell.startswith("east/e1/0"))
    assert len(parts) > 1
    for speaker in speakers:
        say(copies, speaker, ["east/e1/0"])
    assert one.out(speakers) == frozenset(parts)


def test_a_telling_waits_for_more_and_has_its_distance_from_the_last() -> None:
    one, copies, layout, _ = verdicts()
    east = sorted(cell for cell in layout.rosters if cell.startswith("east/e1/"))
    w2 = [cell for cell in layout.rosters if cell.startswith("west/w2/")]

    def tell(now: int, out: list[str]) -> list[tuple[str, list[str]]]:
        said = one.tell(now, frozenset(out))
        for key, value in said:
            copies.put(S + now, key, value, LIFE)
        return said

    assert tell(0, []) == [] and one.wake_at() is None
    assert tell(S, east[:1]) == [] and one.wake_at() == S + SETTLE
    assert tell(S + SETTLE - 1, east) == []
    assert tell(S + SETTLE, east) == [("reach/m0", ["east/"])]
    assert tell(S + SETTLE + 1, east) == [] and one.wake_at() is None
    assert tell(S + SETTLE + 2, east + w2) == [], "more that goes waits long"
    assert tell(S + SETTLE + GAP_OUT - 1, east + w2) == []
    assert tell(S + SETTLE + GAP_OUT, east + w2) == [("reach/m0", ["east/", "west/w2/"])]
    then = S + SETTLE + GAP_OUT
    assert tell(then + 1, east) == [], "what comes back is told sooner"
    assert tell(then + GAP_BACK - 1, east) == []
    assert tell(then + GAP_BACK, east) == [("reach/m0", ["east/"])]
    then += GAP_BACK
    assert tell(then + GAP_OUT, east + w2) == [] and one.wake_at() is not None
    assert tell(then + GAP_OUT + 1, east) == [], "one that came back before it was told of is not told of"
    assert one.wake_at() is None


def test_what_holds_is_said_again_before_it_runs_out_and_what_is_over_is_not() -> None:
    one, copies, layout, _ = verdicts()
    east = frozenset(cell for cell in layout.rosters if cell.startswith("east/e1/"))
    at, said = 0, []
    while at < 3 * LIFE:
        copies.turn(S + at)
        for key, value in one.tell(at, east if at < LIFE else frozenset()):
            copies.put(S + at, key, value, LIFE)
            said.append((at, value))
        if S < at < LIFE:
            assert copies.look("reach/m0") == ["east/"] or at < 3 * S
        at += S
    assert 3 <= len(said) <= 5 and said[-1][1] == []


def test_many_cells_are_told_by_bits_which_only_the_same_settings_read() -> None:
    places = {f"m{n}": (f"r{n % 2}", f"z{n % 4}") for n in range(400)}
    layout = Layout(places, 4)
    copies = Copies("m0", SPACES, 10 * S)
    one = Verdicts("m0", layout, copies, 0)
    out = frozenset([cell for cell in layout.cells if cell != one.own][::2])
    assert one.tell(0, out) == []
    ((key, value),) = one.tell(SETTLE, out)
    assert value["of"] == layout.digest and sum(len(word) for word in layout.short(out)) > WORDS_MOST
    speakers = layout.rosters[one.own][:SPEAKERS]
    for speaker in speakers:
        copies.put(S, f"reach/{speaker}", value, LIFE)
    assert one.out(speakers) == out
    older = Verdicts("m0", Layout(places | {"x": ("r1", "z1")}, 3), copies, 0)
    assert older.out(speakers) == frozenset(), "bits of another copy mean nothing here"


def test_words_are_kept_in_the_cell_only() -> None:
    assert not SPACES["reach"].wide
    with pytest.raises(NotKept):
        Copies("m0", {name: one for name, one in SPACES.items() if one.wide}, S).put(S, "reach/m0/x", [], S)
