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


def reachability_votes(most: int = 4) -> tuple[ReachabilityVotes, Replica, CellLayout, tuple[str, ...]]:
    places = {f"m{n}": ZONES[n % 3] for n in range(36)}
    layout = CellLayout(places, most)
    cell = layout.cell_of["m0"]
    replica = Replica("m0", KEYSPACES, 10 * S)
    return ReachabilityVotes("m0", layout, replica, 0), replica, layout, layout.rosters[cell][:SPEAKER_COUNT]


def publish(replica: Replica, speaker: str, vote: object) -> None:
    replica.put(S, f"reach/{speaker}", vote, VOTE_LIFETIME)


def test_a_cell_is_unreachable_by_a_majority_of_speakers() -> None:
    votes, replica, layout, speakers = reachability_votes()
    assert len(speakers) == 3
    east = frozenset(cell for cell in layout.rosters if cell.startswith("east/e1/"))
    publish(replica, speakers[0], ["east/e1/"])
    assert votes.unreachable_cells(speakers) == frozenset()
    publish(replica, speakers[1], ["east/e1/"])
    assert votes.unreachable_cells(speakers) == east
    assert votes.unreachable_cells(speakers[1:]) == frozenset(), "one of two is no majority"
    assert votes.unreachable_cells(speakers[:2]) == east, "former speakers do not count"
    assert votes.unreachable_cells(()) == frozenset()
    publish(replica, speakers[1], [])
    assert votes.unreachable_cells(speakers) == frozenset()


def test_votes_of_non_speakers_and_malformed_votes_do_not_count() -> None:
    votes, replica, layout, speakers = reachability_votes()
    others = [name for name in layout.rosters[layout.cell_of["m0"]] if name not in speakers]
    for name in [*others, "m1", "m2", "x"]:
        publish(replica, name, ["east/e1/"])
    for speaker, vote in zip(
        speakers, ["east/e1", {"of": layout.digest, "bits": "z"}, [7, None, ["x"]]], strict=True
    ):
        publish(replica, speaker, vote)
    assert votes.unreachable_cells(speakers) == frozenset()
    for vote in (
        [votes.own_cell],
        {"of": layout.digest, "bits": f"{1 << layout.cells.index(votes.own_cell):x}"},
    ):
        for speaker in speakers:
            publish(replica, speaker, vote)
        assert votes.unreachable_cells(speakers) == frozenset()
    assert votes.own_cell not in votes.unreachable_cells(speakers), "the own cell is never unreachable"


def test_a_vote_of_settings_one_change_older_means_the_parts_of_the_split_cell() -> None:
    votes, replica, layout, speakers = reachability_votes(most=2)
    parts = sorted(cell for cell in layout.rosters if cell.startswith("east/e1/0"))
    assert len(parts) > 1
    for speaker in speakers:
        publish(replica, speaker, ["east/e1/0"])
    assert votes.unreachable_cells(speakers) == frozenset(parts)


def test_publication_waits_for_more_changes_and_keeps_its_minimum_interval() -> None:
    votes, replica, layout, _ = reachability_votes()
    east = sorted(cell for cell in layout.rosters if cell.startswith("east/e1/"))
    w2 = [cell for cell in layout.rosters if cell.startswith("west/w2/")]

    def tell(now: int, out: list[str]) -> list[tuple[str, list[str]]]:
        said = votes.due_votes(now, frozenset(out))
        for key, value in said:
            replica.put(S + now, key, value, VOTE_LIFETIME)
        return said

    assert tell(0, []) == [] and votes.wake_at() is None
    assert tell(S, east[:1]) == [] and votes.wake_at() == S + STABILIZATION_DELAY
    assert tell(S + STABILIZATION_DELAY - 1, east) == []
    assert tell(S + STABILIZATION_DELAY, east) == [("reach/m0", ["east/"])]
    assert tell(S + STABILIZATION_DELAY + 1, east) == [] and votes.wake_at() is None
    assert tell(S + STABILIZATION_DELAY + 2, east + w2) == [], "further lost cells wait longer"
    assert tell(S + STABILIZATION_DELAY + MIN_INTERVAL_OUT - 1, east + w2) == []
    assert tell(S + STABILIZATION_DELAY + MIN_INTERVAL_OUT, east + w2) == [
        ("reach/m0", ["east/", "west/w2/"])
    ]
    then = S + STABILIZATION_DELAY + MIN_INTERVAL_OUT
    assert tell(then + 1, east) == [], "a cell that comes back is published sooner"
    assert tell(then + MIN_INTERVAL_BACK - 1, east) == []
    assert tell(then + MIN_INTERVAL_BACK, east) == [("reach/m0", ["east/"])]
    then += MIN_INTERVAL_BACK
    assert tell(then + MIN_INTERVAL_OUT, east + w2) == [] and votes.wake_at() is not None
    assert tell(then + MIN_INTERVAL_OUT + 1, east) == [], (
        "a cell that came back before publication is not published"
    )
    assert votes.wake_at() is None


def test_a_valid_vote_is_renewed_before_it_expires_and_an_outdated_one_is_not() -> None:
    votes, replica, layout, _ = reachability_votes()
    east = frozenset(cell for cell in layout.rosters if cell.startswith("east/e1/"))
    at, said = 0, []
    while at < 3 * VOTE_LIFETIME:
        replica.expire(S + at)
        for key, value in votes.due_votes(at, east if at < VOTE_LIFETIME else frozenset()):
            replica.put(S + at, key, value, VOTE_LIFETIME)
            said.append((at, value))
        if S < at < VOTE_LIFETIME:
            assert replica.get("reach/m0") == ["east/"] or at < 3 * S
        at += S
    assert 3 <= len(said) <= 5 and said[-1][1] == []


def test_many_cells_are_encoded_as_bits_that_only_equal_settings_decode() -> None:
    places = {f"m{n}": (f"r{n % 2}", f"z{n % 4}") for n in range(400)}
    layout = CellLayout(places, 4)
    replica = Replica("m0", KEYSPACES, 10 * S)
    votes = ReachabilityVotes("m0", layout, replica, 0)
    out = frozenset([cell for cell in layout.cells if cell != votes.own_cell][::2])
    assert votes.due_votes(0, out) == []
    ((key, value),) = votes.due_votes(STABILIZATION_DELAY, out)
    assert (
        value["of"] == layout.digest
        and sum(len(word) for word in layout.compact(out)) > MAX_PREFIX_LIST_BYTES
    )
    speakers = layout.rosters[votes.own_cell][:SPEAKER_COUNT]
    for speaker in speakers:
        replica.put(S, f"reach/{speaker}", value, VOTE_LIFETIME)
    assert votes.unreachable_cells(speakers) == out
    older = ReachabilityVotes("m0", CellLayout(places | {"x": ("r1", "z1")}, 3), replica, 0)
    assert older.unreachable_cells(speakers) == frozenset(), "bits under other settings are not decoded"


def test_votes_are_replicated_in_the_cell_only() -> None:
    assert not KEYSPACES["reach"].fleet_wide
    with pytest.raises(EntryRejectedError):
        Replica("m0", {name: keyspace for name, keyspace in KEYSPACES.items() if keyspace.fleet_wide}, S).put(
            S, "reach/m0/x", [], S
        )
