"""The replicated state: merging in any order, expiry, merge rules, digests and limits."""

import random
import tracemalloc

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from crowwing.fleet.state.hybrid_clock import ClockSkewError, HybridClock
from crowwing.fleet.state.replica import MAX_VALUE_BYTES, EntryRejectedError, Keyspace, MergeRule, Replica

S = 1_000_000
KEYSPACES = {
    "r": Keyspace(MergeRule.LAST_WRITER_WINS, 64, 100 * S), "c": Keyspace(MergeRule.MAXIMUM, 64, 100 * S),
    "s": Keyspace(MergeRule.REMOVE_WINS, 64, 100 * S),
    "few": Keyspace(MergeRule.LAST_WRITER_WINS, 8, 100 * S),
}  # fmt: skip


def replica(me: str = "a") -> Replica:
    return Replica(me, KEYSPACES, 10 * S)


def test_a_timestamp_outranks_all_observed_ones_whatever_the_clock_shows() -> None:
    slow, fast = HybridClock("slow", 10 * S), HybridClock("fast", 10 * S)
    theirs = fast.next_timestamp(5 * S)
    slow.observe(1 * S, theirs.time_us, theirs.counter)
    assert slow.next_timestamp(1 * S) > theirs
    with pytest.raises(ClockSkewError):
        slow.observe(1 * S, 12 * S, 0)
    assert slow.time(1 * S) == 5 * S, "a timestamp far ahead changes nothing"


def test_the_last_writer_wins_and_the_name_breaks_a_tie() -> None:
    a, b = replica("a"), replica("b")
    first, second = a.put(S, "r/x", 1, 9 * S), b.put(S, "r/x", 2, 9 * S)
    for one in (a, b):
        one.merge(S, [first, second])
        assert one.get("r/x") == 2  # same µs and counter: b's name is the greater
    later = a.put(S, "r/x", 3, 9 * S)
    b.merge(S, [later])
    assert b.get("r/x") == 3 and a.root() == b.root()


def test_counters_take_the_maximum_and_an_addition_the_remover_had_not_seen_survives() -> None:
    a, b = replica("a"), replica("b")
    a.merge(S, [b.put(S, "c/b/w1", 7, 9 * S)])
    a.merge(S, [["c/b/w1", 5, S, 9, "b", 10 * S]])
    assert a.get("c/b/w1") == 7, "a smaller count with a later timestamp changes nothing"
    added = a.add_element(S, "s/set/m1", 9 * S)
    b.merge(S, [added])
    out = b.remove_element(2 * S, "s/set/m1")
    again = a.add_element(2 * S, "s/set/m1", 9 * S)  # before it received the removal
    a.merge(2 * S, out)
    b.merge(2 * S, [again])
    assert a.contains("s/set/m1") and b.contains("s/set/m1") and a.root() == b.root()
    b.remove_element(3 * S, "s/set/m1")
    assert not b.contains("s/set/m1")


def test_a_replacement_never_expires_before_the_entry_it_replaces() -> None:
    a, b = replica("a"), replica("b")
    old = a.put(S, "r/x", "old", 50 * S)
    new = a.put(2 * S, "r/x", "new", 1)
    assert new[5] >= old[5]
    b.merge(3 * S, [new])
    b.expire(40 * S)
    b.merge(40 * S, [old])
    assert b.get("r/x") == "new"


def test_entries_expire_alike_and_an_expired_row_is_not_merged_again() -> None:
    a, b = replica("a"), replica("b")
    row = a.put(S, "r/x", 1, 2 * S)
    b.merge(S, [row])
    for one in (a, b):
        one.expire(4 * S)
        assert not one.entries and not any(one.leaf_digests) and not one.keys_by_leaf
    assert b.merge(4 * S, [row]) == [] and b.rejected["out"] == 1


def test_a_full_keyspace_rejects_local_writes_and_evicts_alike_on_all_members() -> None:
    a = replica("a")
    rows = [a.put(S, f"few/{n}", n, (n + 1) * S) for n in range(7)]
    with pytest.raises(EntryRejectedError):
        a.put(S, "few/more", 0, S)
    a.put(S, "few/3", "again", S)  # an existing key can be overwritten
    others = [[f"few/o{n}", n, S, n, "b", 20 * S + n] for n in range(7)]
    one, two = replica("x"), replica("y")
    one.merge(S, rows + others)
    for row in reversed(rows + others):
        two.merge(S, [row])
    assert len(one.entries) == 8 and one.root() == two.root()


@pytest.mark.parametrize(
    "row",
    [
        ["r/x", 1, "soon", 0, "b", 9 * S], ["nowhere/x", 1, S, 0, "b", 9 * S], ["r/x", 1, S, -1, "b", 9 * S],
        ["c/x", "many", S, 0, "b", 9 * S], ["s/x", 1, S, 0, "b", 9 * S],
        ["r/x", "z" * MAX_VALUE_BYTES, S, 0, "b", 9 * S],
        ["r/x", 1, S, 0, "b"], 7, ["r/x", 1, True, 0, "b", 9 * S], [1, 1, S, 0, "b", 9 * S],
        ["r/x", 1, S, 0, "b", 10**18], ["r/x", 1, 99 * S, 0, "b", 100 * S],
    ],
)  # fmt: skip
def test_a_malformed_row_is_counted_and_the_others_are_merged(row: object) -> None:
    a = replica()
    assert a.merge(S, [row, ["r/good", 1, S, 0, "b", 9 * S]]) == ["r/good"]
    assert sum(a.rejected.values()) == 1


ROWS = st.lists(
    st.builds(
        lambda key, value, at, count, who, until: [
            key, value % 2 == 0 if key[0] == "s" else value, at, count, who, until
        ],
        st.sampled_from(["r/x", "r/y", "c/x", "c/y", "s/x", "s/y", "few/x"]),
        st.integers(0, 3), st.integers(S, S + 3), st.integers(0, 2), st.sampled_from("abc"),
        st.integers(50 * S, 50 * S + 3),
    ),
    max_size=14,
)  # fmt: skip


@given(ROWS, st.randoms(use_true_random=False), st.integers(1, 4))
@settings(max_examples=300, deadline=None)
def test_merging_in_any_order_grouping_and_repetition_gives_the_same(
    rows: list, chance: random.Random, parts: int
) -> None:
    straight, shuffled = replica("x"), replica("y")
    straight.merge(S, rows)
    mixed = rows + chance.sample(rows, len(rows) // 2)
    chance.shuffle(mixed)
    for part in range(parts):  # through replicas of replicas
        between = replica(f"z{part}")
        between.merge(S, mixed[part::parts])
        shuffled.merge(S, between.all_rows())
    assert straight.root() == shuffled.root()
    assert {k: e.value for k, e in straight.entries.items()} == {
        k: e.value for k, e in shuffled.entries.items()
    }


@given(ROWS, ROWS)
@settings(max_examples=100, deadline=None)
def test_equal_roots_mean_equal_entries_and_leaf_digests_show_what_differs(first: list, second: list) -> None:
    a, b = replica("x"), replica("y")
    a.merge(S, first)
    b.merge(S, second)
    rows_a, rows_b = list(a.all_rows()), list(b.all_rows())
    assert (a.root() == b.root()) == (rows_a == rows_b)
    differ = [n for n in range(256) if a.leaf_digests[n] != b.leaf_digests[n]]
    b.merge(S, a.rows(differ))
    a.merge(S, b.rows(differ))
    assert a.root() == b.root()


def test_an_entry_takes_little_memory_besides_its_own_bytes() -> None:
    """Guards against encoded values that keep their 4 kB output buffer alive."""
    one = Replica("a", {"r": Keyspace(MergeRule.LAST_WRITER_WINS, 2000, 100 * S)}, 10 * S)
    tracemalloc.start()
    try:
        for n in range(1000):
            one.put(S, f"r/{n}", "x" * 20, 9 * S)
        taken, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert taken / 1000 < 1500, f"{taken / 1000:.0f} bytes"
