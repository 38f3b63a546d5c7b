"""Cells in isolation: layout, speakers, the failure detector for cells, and malformed messages."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from crowwing.fleet.membership.cell_reachability import MAX_CONTACTS, SWEEP_EVERY, CellReachability
from crowwing.fleet.membership.cells import QUORUM_MEMBER_COUNT, SPEAKER_COUNT, CellLayout, covers
from crowwing.fleet.membership.swim import ALIVE, DEAD, SUSPECT, Kind, Timing

S = 1_000_000
TIMING = Timing(period=200_000, probe_timeout=60_000)
ZONES = [("west", "w1"), ("west", "w2"), ("east", "e1")]
fleets = st.dictionaries(
    st.text("abcdefgh0123456789", min_size=1, max_size=6), st.sampled_from(ZONES), min_size=1, max_size=80
)
mosts = st.integers(2, 9)


# Layout


@settings(max_examples=150, derandomize=True, deadline=None)
@given(places=fleets, most=mosts)
def test_every_member_is_in_one_cell_of_its_zone_within_the_maximum_size(
    places: dict[str, tuple[str, str]], most: int
) -> None:
    layout = CellLayout(places, most)
    assert sorted(name for roster in layout.rosters.values() for name in roster) == sorted(places)
    for cell, roster in layout.rosters.items():
        assert 1 <= len(roster) <= most
        assert {places[name] for name in roster} == {tuple(cell.split("/")[:2])}
        assert all(layout.cell_of[name] == cell for name in roster)
        assert layout.quorum_members(cell) == roster[:QUORUM_MEMBER_COUNT]
    for name in places:
        assert {name, *layout.peers(name)} == set(layout.rosters[layout.cell_of[name]])


@settings(max_examples=100, derandomize=True, deadline=None)
@given(places=fleets, most=mosts, chance=st.randoms(use_true_random=False))
def test_the_layout_does_not_depend_on_the_order_of_the_list(
    places: dict[str, tuple[str, str]], most: int, chance: random.Random
) -> None:
    order = list(places)
    chance.shuffle(order)
    one, other = CellLayout(places, most), CellLayout({name: places[name] for name in order}, most)
    assert one.cell_of == other.cell_of
    assert list(one.rosters.items()) == list(other.rosters.items()), (
        "in a fixed order, so that equal lists are equal"
    )


@settings(max_examples=300, derandomize=True, deadline=None)
@given(places=fleets, most=mosts, which=st.integers(0, 200), zone=st.sampled_from(ZONES))
def test_a_list_changed_by_one_moves_members_of_one_cell_only(
    places: dict[str, tuple[str, str]], most: int, which: int, zone: tuple[str, str]
) -> None:
    """One member is added; in reverse, one is removed. Other members see no change of another cell."""
    before = CellLayout(places, most)
    after = CellLayout(places | {f"new{which}": zone}, most)
    moved = [name for name in places if before.cell_of[name] != after.cell_of[name]]
    assert len({before.cell_of[name] for name in moved}) <= 1
    assert len(moved) <= most + 1
    assert {zone} >= {places[name] for name in moved}
    for name in moved:  # a cell's name is a prefix of those of its parts
        assert covers(before.cell_of[name], after.cell_of[name])
    left = set(before.rosters) - {before.cell_of[name] for name in moved}
    joined = after.cell_of[f"new{which}"]
    assert all(before.rosters[cell] == after.rosters[cell] for cell in left - {joined})


def test_a_zone_is_one_cell_up_to_the_maximum_size_and_two_above() -> None:
    places = {f"m{n}": ("west", "w1") for n in range(50)}
    assert set(CellLayout(places, 50).rosters) == {"west/w1/"}
    split = CellLayout(places | {"m50": ("west", "w1")}, 50)
    assert set(split.rosters) == {"west/w1/0", "west/w1/1"}


def test_speakers_are_the_first_alive_by_rank_and_the_same_for_equal_views() -> None:
    layout = CellLayout({f"m{n}": ("west", "w1") for n in range(8)}, 8)
    roster = layout.rosters["west/w1/"]
    assert layout.speakers("west/w1/", set(roster)) == roster[:SPEAKER_COUNT]
    assert layout.speakers("west/w1/", list(roster[2:])) == roster[2 : 2 + SPEAKER_COUNT]
    assert layout.speakers("west/w1/", {roster[7]}) == (roster[7],)
    assert layout.speakers("west/w1/", ()) == ()
    assert layout.quorum_members("west/w1/") == roster[:QUORUM_MEMBER_COUNT], "whoever is alive"


def test_unreachable_cells_are_listed_with_the_fewest_prefixes() -> None:
    places = {f"m{n}": ZONES[n % 3] for n in range(60)}
    layout = CellLayout(places, 8)
    east = [cell for cell in layout.rosters if cell.startswith("east/")]
    w1 = [cell for cell in layout.rosters if cell.startswith("west/w1/")]
    w2 = [cell for cell in layout.rosters if cell.startswith("west/w2/")]
    assert min(len(east), len(w1), len(w2)) > 1
    assert layout.compact([]) == []
    assert layout.compact(reversed(east)) == ["east/"]
    assert layout.compact([*w1, w2[0]]) == ["west/w1/", w2[0]]
    assert layout.compact(layout.rosters) == ["east/", "west/"]
    assert layout.compact(w2[:-1]) == sorted(w2[:-1])


# Reachability


def reachability(cell: str = "a", seed: int = 1, speaks: bool = True) -> tuple[CellReachability, CellLayout]:
    places = {f"{zone}{n}": ("r", zone) for zone in "abc" for n in range(4)}
    layout = CellLayout(places, 4)
    one = CellReachability(layout.rosters[f"r/{cell}/"][0], layout, 0, random.Random(seed), TIMING)
    one.tick(0, speaks, frozenset())
    return one, layout


def ping(sender: str, seq: int = 7, **fields: object) -> dict:
    return {"k": int(Kind.PING), "from": sender, "inc": 0, "seq": seq, "cell": 1} | fields


def state(one: CellReachability) -> dict[str, tuple]:
    return {cell: (seen.state, seen.incarnation) for cell, seen in one.swim.members.items()}


NONE_OF_OURS = [
    ping("x9"),  # unknown member
    ping("a1") | {"k": int(Kind.ACK)}, ping("a1") | {"k": int(Kind.NACK)},  # of our own cell
    ping("a3"),  # with our own name
    ping("b0") | {"k": 17}, ping("b0") | {"inc": "z"}, ping("b0") | {"inc": None},
    {"k": 0, "from": "b0"}, {"k": 0, "from": "b0", "inc": 5},
    ping("b0", inc=9, news=[["r/c/", DEAD, 3]]), ping("b0", inc=9, news=[["r/c/", DEAD, "x", "r/b/"]]),
    ping("b0", inc=9, news=7), ping("b0", inc=9, news=[["r/c/", "asleep", 3, "r/b/"]]),
    ping("b0", inc=9, news=[["r/c/", DEAD, 3, "r/b/"], ["r/c/", "asleep", 9, "r/b/"]]),
    ping("b0", inc=9) | {"k": int(Kind.PING_REQ)}, ping("b0", inc=9) | {"k": int(Kind.NACK), "seq": None},
    ping("b0", [], inc=9), ping("b0", [], inc=9) | {"k": int(Kind.ACK)},
    ping("b0", inc=9, row=[1, 2]), ping("b0", inc=9, row=7), ping("b0", inc=9, row=["x", 4, 0, ""]),
    ping("b0", inc=9, row=[1, 2, 3, 4, 5]), ping("b0", inc=9, row=[None, 4, 0, ""]),
]  # fmt: skip


@pytest.mark.parametrize("message", NONE_OF_OURS)
def test_a_message_that_is_not_from_another_cell_changes_nothing(message: dict) -> None:
    one, _ = reachability()
    one.outbox.clear()
    before = (
        state(one),
        dict(one.contacts),
        dict(one.cell_status),
        dict(one.relay_requesters),
        one.swim.incarnation,
    )
    with pytest.raises((KeyError, TypeError, ValueError)):
        one.receive(S, message, [4, 4, 0, ""])
    assert (state(one), one.contacts, one.cell_status, one.relay_requesters, one.swim.incarnation) == before
    assert one.outbox == []


def test_a_member_of_our_cell_with_newer_settings_gets_an_answer_and_a_refutation() -> None:
    """The other member has newer settings, in which our part of the cell has another name."""
    one, _ = reachability()
    one.outbox.clear()
    before = state(one), dict(one.contacts)
    one.receive(S, ping("a1", news=[["r/a/0", DEAD, 3, "r/a/1"], ["r/b/", DEAD, 9, "r/a/1"]]), [4, 4, 0, ""])
    assert (state(one), one.contacts) == before, "nothing else in it has an effect"
    assert one.outbox == [("a1", {"k": int(Kind.ACK), "from": one.me, "inc": 4, "seq": 7, "cell": 1})]


def test_an_update_about_an_unknown_cell_is_ignored_and_its_message_counts() -> None:
    one, _ = reachability()
    told = [["r/z/", DEAD, 3, "r/b/"], ["q/a/", SUSPECT, 0, "r/b/"], ["r/b/0", DEAD, 9, "r/b/"]]
    one.receive(S, ping("b1", news=told))
    assert state(one) == {"r/b/": (ALIVE, 0), "r/c/": (ALIVE, 0)} and one.unreachable_cells() == frozenset()
    assert one.contacts == {"r/b/": ["b1"]}


def test_one_status_is_stored_per_cell_and_a_long_digest_is_truncated() -> None:
    one, _ = reachability()
    one.receive(S, ping("b1", row=[3, 4, 1000, "f" * 5000]))
    one.receive(S, ping("b2", row=[2, 4, 2000, "e"]))
    assert one.cell_status == {"r/b/": [2, 4, 2000, "e"]}
    one.receive(S, ping("b1", row=[3, 4, 1000, "f" * 5000]))
    assert one.cell_status["r/b/"][3] == "f" * 16


def test_every_member_answers_for_its_cell_with_its_status_and_only_speakers_probe() -> None:
    silent, layout = reachability(speaks=False)
    assert silent.wake_at() is None
    for at in range(1, 40):
        silent.tick(at * 100_000, False, frozenset())
    assert silent.outbox == []
    silent.receive(5 * S, ping("b3"), None)
    [(to, told)] = silent.outbox
    assert to == "b3" and told["k"] == Kind.ACK and told["cell"] == 1 and "row" not in told
    speaker, _ = reachability()
    speaker.receive(S, ping("b3"), [4, 4, 0, "d"])
    acks = [(to, told["row"]) for to, told in speaker.outbox if told["k"] == Kind.ACK]
    assert acks == [("b3", [4, 4, 0, "d"])]


def test_a_reported_death_is_a_suspicion_that_an_answer_clears() -> None:
    one, _ = reachability()
    one.receive(S, ping("c0", news=[["r/b/", DEAD, 0, "r/c/"]]))
    assert state(one)["r/b/"] == (SUSPECT, 0) and one.unreachable_cells() == frozenset()
    one.receive(S + 1, ping("b2", inc=1))
    assert state(one)["r/b/"] == (ALIVE, 1)


def test_any_member_refutes_the_death_of_its_cell_to_the_member_that_answered() -> None:
    one, _ = reachability(speaks=False)
    one.outbox.clear()
    # A non-speaker gets answers only to relayed probes.
    one.receive(S, ping("b1", news=[["r/a/", DEAD, 4, "r/b/"]]))
    [(to, told)] = one.outbox
    assert to == "b1" and told["inc"] == 5 and ["r/a/", ALIVE, 5, "r/a/"] in told["news"]
    speaker, _ = reachability()
    speaker.outbox.clear()
    ack = {"k": int(Kind.ACK), "from": "b1", "inc": 0, "seq": 0, "cell": 1}
    speaker.receive(S, ack | {"news": [["r/a/", DEAD, 4, "r/b/"]]})
    assert [(to, told["k"], told["inc"]) for to, told in speaker.outbox] == [("b1", Kind.PING, 5)]


def test_an_unanswered_probe_goes_to_another_member_of_the_cell_as_well() -> None:
    for seed in range(20):
        one, layout = reachability(seed=seed)
        now = 0
        while one.swim.probe is None:
            now = one.wake_at()
            one.tick(now, True, frozenset())
        asked = one.swim.probe.target
        (first,) = [to for to, told in one.outbox if told["k"] == Kind.PING and layout.cell_of[to] == asked]
        one.outbox.clear()
        one.tick(now + TIMING.probe_timeout, True, frozenset())
        second = [to for to, told in one.outbox if told["k"] == Kind.PING]
        assert len(second) == 1 and layout.cell_of[second[0]] == asked
        assert second[0] != first, "not the one that did not answer"
        acked = {"k": int(Kind.ACK), "from": second[0], "inc": 0, "seq": one.swim.probe.seq, "cell": 1}
        one.receive(now + 70_000, acked)
        assert one.swim.probe is None


def test_a_cell_that_comes_back_triggers_a_rate_limited_sweep() -> None:
    one, layout = reachability()
    for seen in one.swim.members.values():
        seen.state = DEAD
    one.outbox.clear()

    def back(at: int) -> list[str]:
        one.swim.members["r/b/"].state = DEAD
        one.receive(at, ping("b1", inc=at))
        pinged = [layout.cell_of[to] for to, told in one.outbox if told["k"] == Kind.PING]
        one.outbox.clear()
        return pinged

    assert back(S) == ["r/c/"]
    assert back(S + SWEEP_EVERY - 1) == []
    assert back(S + SWEEP_EVERY) == ["r/c/"]
    one.tick(9 * S, False, frozenset())
    assert back(19 * S) == [], "only speakers send pings"


def test_a_new_speaker_starts_from_the_votes_of_its_cell() -> None:
    one, _ = reachability(speaks=False)
    one.receive(S, ping("b1", news=[["r/c/", SUSPECT, 0, "r/b/"]]))
    one.tick(2 * S, True, frozenset({"r/b/"}))
    assert {cell: seen for cell, (seen, _) in state(one).items()} == {"r/b/": DEAD, "r/c/": ALIVE}
    one.tick(3 * S, False, frozenset())
    one.tick(4 * S, True, frozenset())
    assert one.unreachable_cells() == frozenset()


def test_contacts_are_bounded_and_dropped_after_a_timeout() -> None:
    one, layout = reachability()
    for n in range(4):
        one.receive(S + n, ping(f"b{n}"))
    assert one.contacts == {"r/b/": ["b1", "b2", "b3"]} and len(one.contacts["r/b/"]) == MAX_CONTACTS
    one._on_unanswered("r/b/")
    roster = layout.rosters["r/b/"]
    asked = []
    for _ in range(8):
        asked.append(one._contact("r/b/"))
        one._on_unanswered("r/b/")
    assert set(asked) == set(roster) and asked[:4] == asked[4:], "in turn"
    one.receive(2 * S, ping("b0"))
    assert one._contact("r/b/") == "b0"


def test_relayed_probes_are_answered_to_the_requester_and_removed() -> None:
    one, _ = reachability(speaks=False)
    for n in range(50):
        one.receive(S, ping(f"b{n % 4}", seq=n) | {"k": int(Kind.PING_REQ), "target": "r/c/"})
    assert len(one.relay_requesters) == 50 and one.wake_at() is not None
    one.outbox.clear()
    one.tick(2 * S, False, frozenset())
    assert [told["k"] for _, told in one.outbox] == [Kind.NACK] * 50
    assert {to for to, _ in one.outbox} == {"b0", "b1", "b2", "b3"}
    assert not one.relay_requesters and not one.swim.relayed_probes and one.wake_at() is None
