"""Choice of the members and the witnesses of a new view."""

from crowwing.tier.replication.messages import Promise
from crowwing.tier.replication.terms import FIRST_TERM, View
from crowwing.tier.replication.view_limits import ViewLimits
from crowwing.tier.replication.view_selection import choose_witnesses, limit_members

FIVE = ("a", "b", "c", "d", "e")
BASE = View((3, "a"), FIVE, FIVE)


def promise(sender: str, index: int) -> Promise:
    """A promise of a replica whose log ends at an index."""
    return Promise((4, "a"), sender, BASE, BASE.term, (BASE.term, index), 0.0)


def test_a_full_view_has_members_for_a_majority_beyond_the_faults() -> None:
    assert [ViewLimits.for_faults(faults).max_replicas for faults in (0, 1, 2, 3)] == [3, 3, 5, 7]
    assert [ViewLimits.for_faults(faults).min_replicas for faults in (0, 1, 2, 3)] == [1, 2, 3, 4]
    assert [ViewLimits.for_faults(faults).min_witnesses for faults in (0, 1, 2, 3)] == [1, 3, 5, 7]


def test_members_of_the_last_view_come_before_others_and_longer_logs_before_shorter() -> None:
    promises = {host: promise(host, index) for host, index in zip("bcdefg", (9, 7, 9, 8, 9, 9), strict=True)}
    assert limit_members("a", {*promises, "a"}, promises, BASE, 4) == {"a", "b", "d", "e"}
    assert limit_members("a", {*promises, "a"}, promises, BASE, 6) == {"a", "b", "c", "d", "e", "f"}
    assert limit_members("a", {"a", "g"}, promises, BASE, 5) == {"a", "g"}


def test_the_candidate_is_a_member_however_few_there_are() -> None:
    assert limit_members("g", {"b"}, {"b": promise("b", 9)}, BASE, 1) == {"g"}


def test_a_full_view_has_its_members_for_witnesses_alone() -> None:
    members = {"a", "b", "c", "f", "g"}
    assert choose_witnesses(members, BASE, {"d", "e"}, frozenset(), 5) == tuple(sorted(members))


def test_a_former_witness_that_promised_comes_before_an_unresponsive_one_and_a_leaving_one_last() -> None:
    members = {"a", "b", "c"}
    assert choose_witnesses(members, BASE, {"e"}, frozenset(), 4) == ("a", "b", "c", "e")
    assert choose_witnesses(members, BASE, {"e"}, frozenset({"e"}), 4) == ("a", "b", "c", "d")
    assert choose_witnesses(members, BASE, set(), frozenset(), 5) == FIVE


def test_where_there_are_no_other_witnesses_the_members_alone_are_witnesses() -> None:
    first = View(FIRST_TERM, ("a",), ("a",))
    assert choose_witnesses({"a", "b"}, first, set(), frozenset(), 3) == ("a", "b")
