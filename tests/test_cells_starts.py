"""A cell that starts whole: each reads one copy and gives a bounded part of it, and keepers are asked last;
news that comes close together goes out together."""

import asyncio
import random
import socket
import time
from collections import Counter

import orjson
import pytest

from crowwing.fleet.adapters import full_transfer
from crowwing.fleet.membership.cells import SPEAKERS
from crowwing.fleet.simulated_fleet import StateWorld
from crowwing.fleet.state.dissemination import Pace, Reached, Spread, Word
from crowwing.fleet.state.keyspaces import SPACES
from crowwing.fleet.state.replica import FEW, LEAVES, Copies
from tests.cellular import S, fleet, of_cell, until

LIFE = 600 * S
WALL = 3_600 * S


def filled(world: StateWorld, count: int) -> None:
    """Everybody holds so many entries for all."""
    kept = world.members["m0"].wide.copies
    rows = [kept.put(world.wall("m0"), f"said/{n}", "x" * 60, LIFE) for n in range(count)]
    for member in world.members.values():
        member.wide.copies.merge(world.wall(member.me), rows)


def counted(world: StateWorld, given: Counter, told_on: Counter) -> None:
    """By member: bytes of rows that it gives by comparing, more than a datagram at a time, and as news."""
    carry = world._carry

    def watched(name: str) -> None:
        for _, message in world.members[name].outbox:
            if message["k"] == Word.GIVE:
                copied, rows = message.get("copy", 0), len(orjson.dumps(message["rows"]))
                given[name] += rows if copied > 1 else 0
                told_on[name] += rows if not copied else 0
        carry(name)

    world._carry = watched


@pytest.mark.parametrize("seed", range(3))
def test_a_cell_that_starts_whole_gives_within_bounds_tells_nothing_on_and_holds_all(seed: int) -> None:
    world, count = fleet(75, seed, 30), 300
    filled(world, count)
    cell = of_cell(world, "m0")
    for name in cell:
        world.kill(name)
    world.run_until(world.now + 10 * S)
    given, told_on = Counter(), Counter()
    counted(world, given, told_on)
    for name in cell:
        world.restart(name, disk=False)
    began = world.now
    members = [world.members[name] for name in cell]
    assert until(world, lambda: all(m.ready and m.catch_up.whole for m in members), 5 * S)
    assert until(world, lambda: all(len(m.wide.copies.entries) >= count for m in members), 15 * S)
    world.run_until(began + 20 * S)
    pace = world.manner.pace
    most = pace.copies_burst + pace.copies_per_s * 20 + pace.gift_most
    assert max(given.values()) <= most
    assert sum(told_on[name] for name in cell) < sum(given.values()) / 4, "a copy that is read is no news"
    asked = Counter(name for _, name, _ in world.fetches)
    assert max(asked[name] for name in cell) <= 5


def test_who_starts_empty_asks_one_whose_word_does_not_count_first_then_keepers_that_do_not_speak() -> None:
    world = fleet(45, 2, 15)
    filled(world, 50)
    name = of_cell(world, "m0")[-1]
    keepers = of_cell(world, "m0")[:5]
    world.kill(name)
    world.restart(name, disk=False)
    assert until(world, lambda: world.members[name].catch_up.whole, 2 * S)
    first, *others = [other for _, who, other in world.fetches if who == name]
    assert first not in keepers and first in of_cell(world, "m0")
    assert set(others[:2]) == set(keepers[SPEAKERS:]) and others[2] in keepers[:SPEAKERS]
    rows = [brings["rows"] for _, who, event, brings in world.told if (who, event) == (name, "fetched")]
    assert rows[0] >= 50 and sum(rows[1:]) <= 5, "the others have little to add"


def test_who_starts_with_its_disk_asks_keepers_alone() -> None:
    world = fleet(45, 2, 15)
    filled(world, 50)
    name = of_cell(world, "m0")[-1]
    world.write(name)
    world.kill(name)
    world.restart(name, disk=True)
    assert until(world, lambda: world.members[name].catch_up.whole, 2 * S)
    asked = [other for _, who, other in world.fetches if who == name]
    assert len(asked) == 3 and set(asked) <= set(of_cell(world, "m0")[:5])


def test_a_helper_that_hangs_does_not_put_off_the_bound_on_waiting() -> None:
    world = fleet(45, 2, 15)
    name = of_cell(world, "m0")[-1]
    world.kill(name)
    world.run_until(world.now + S // 10)
    world.cut = lambda a, b: name in (a, b)
    world.cut_fetch = 60 * S
    world.restart(name, disk=False)
    began = world.now
    assert until(world, lambda: world.members[name].ready, 10 * S)
    assert world.now - began <= world.manner.patience.most + 50_000


# What is told of a copy


def copy(count: int, first: int = 0) -> Copies:
    kept = Copies("a", {name: space for name, space in SPACES.items() if space.wide}, 10 * S)
    for n in range(first, first + count):
        kept.put(WALL, f"said/{n}", n, LIFE)
    return kept


@pytest.mark.parametrize("count", [0, 1, FEW, FEW + 1, 440])
def test_packed_sums_tell_just_what_differs(count: int) -> None:
    kept, other = copy(count), copy(0)
    other.merge(WALL, list(kept.every()))
    told = kept.packed()
    assert len(told) <= (0 if not count else 88 if count <= FEW else 1368)
    assert other.unlike(told) == (list(range(LEAVES)) if not count else [])
    row = other.put(WALL, "said/new", 1, LIFE)
    assert row in list(other.rows(other.unlike(told)))
    if count > FEW:
        assert len(other.unlike(told)) == 1


@pytest.mark.parametrize("junk", ["x", "AAAA", "!" * 88, "é", "A" * 1372])
def test_sums_that_are_none_are_refused(junk: str) -> None:
    with pytest.raises(ValueError):
        copy(3).unlike(junk)


# News


def spread(pace: Pace | None = None) -> Spread:
    """Of m0, which is no keeper of its cell of eight."""
    peers = [f"m{n}" for n in range(1, 8)]
    reached = Reached(frozenset(peers[:5]), frozenset(peers))
    return Spread("m0", peers, copy(0), 0, random.Random(1), pace or Pace(), reached)


def pushed(one: Spread) -> list[list[str]]:
    told = [[row[0] for row in m["rows"]] for _, m in one.outbox if m["k"] == Word.GIVE]
    one.outbox.clear()
    return told


def test_news_goes_out_at_once_and_what_follows_it_closely_together() -> None:
    one = spread()
    alive = sorted(one.peers)
    one.put(WALL, "said/0", 0, LIFE)
    one.turn(0, WALL, alive)
    assert pushed(one) == [["said/0"]] * one.pace.fan
    for n in range(1, 6):
        one.put(WALL, f"said/{n}", n, LIFE)
        one.turn(n * 10_000, WALL, alive)
        assert not pushed(one)
    assert one.wake_at() == one.pace.gather
    one.turn(one.pace.gather, WALL, alive)
    assert pushed(one) == [[f"said/{n}" for n in range(1, 6)]] * one.pace.fan
    assert not one.fresh


def test_what_comes_by_comparing_much_is_no_news_and_a_little_is() -> None:
    rows = list(copy(40).every())
    much, little = spread(), spread()
    much.heard(0, WALL, {"k": int(Word.GIVE), "from": "m1", "rows": rows, "copy": 4})
    little.heard(0, WALL, {"k": int(Word.GIVE), "from": "m1", "rows": rows[:1]})
    assert len(much.copies.entries) == 40 and not much.fresh and not much.hot
    assert list(little.fresh) == list(little.hot) == [rows[0][0]]


def test_a_little_that_comes_by_comparing_is_news_but_not_to_one_that_has_just_started() -> None:
    rows, one = list(copy(2).every()), spread()
    give = {"k": int(Word.GIVE), "from": "m1", "copy": 1}
    one.heard(one.pace.eager - 1, WALL, give | {"rows": rows[:1]})
    assert len(one.copies.entries) == 1 and not one.fresh
    one.heard(one.pace.eager, WALL, give | {"rows": rows[1:]})
    assert list(one.fresh) == [rows[1][0]]


def test_much_that_differs_is_read_from_one_other_at_a_time() -> None:
    one, far = spread(), copy(300, first=1000)
    one.put(WALL, "said/mine", 1, LIFE)
    sums = {"k": int(Word.SUMS), "groups": far.groups(), "n": 300}
    for name in ("m1", "m2", "m3"):
        one.heard(0, WALL, sums | {"from": name})
    assert [to for to, told in one.outbox if told["k"] == Word.DIFFERS] == ["m1"]
    one.outbox.clear()
    one.heard(one.pace.fill, WALL, sums | {"from": "m2"})
    assert [to for to, told in one.outbox if told["k"] == Word.DIFFERS] == ["m2"]


def test_an_empty_copy_is_told_without_its_sums_and_given_all() -> None:
    one, full = spread(), spread()
    full.copies.merge(WALL, list(copy(30).every()))
    one.heard(0, WALL, {"k": int(Word.SUMS), "from": "m1", "groups": full.copies.groups(), "n": 30})
    [(to, told)] = one.outbox
    assert (to, told["k"], told["leaves"]) == ("m1", Word.DIFFERS, [])
    full.heard(0, WALL, told | {"from": "m1"})
    given = [row for _, message in full.outbox for row in message["rows"]]
    assert len(given) == 30
    full.outbox.clear()
    full.heard(0, WALL, {"k": int(Word.SUMS), "from": "m2", "groups": one.copies.groups(), "n": 0})
    assert sum(len(message["rows"]) for _, message in full.outbox) == 30


def test_what_one_gives_by_comparing_is_bounded_and_comes_back_slowly() -> None:
    one = spread()
    one.copies.merge(WALL, list(copy(400).every()))

    def gives(now: int) -> int:
        for n in range(30):
            one.heard(
                now, WALL, {"k": int(Word.WANTS), "from": f"m{1 + n % 7}", "leaves": list(range(LEAVES))}
            )
        size = sum(len(orjson.dumps(message["rows"])) for _, message in one.outbox)
        one.outbox.clear()
        return size

    pace = one.pace
    assert pace.copies_burst <= gives(0) <= pace.copies_burst + pace.gift_most
    assert gives(S) <= pace.copies_per_s + pace.gift_most
    assert gives(61 * S) <= 61 * pace.copies_per_s + pace.gift_most


def test_a_fetch_gives_up_a_connection_that_is_not_taken() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as full:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        waiting = []
        for _ in range(4):  # nobody takes them, and there is no room for one more
            one = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            one.setblocking(False)
            one.connect_ex(full.getsockname())
            waiting.append(one)
        began = time.monotonic()
        with pytest.raises(TimeoutError):
            asyncio.run(full_transfer.fetch(full.getsockname(), {"from": "a"}, 60.0))
        assert time.monotonic() - began < 30, "far from the time for a whole copy"
        for one in waiting:
            one.close()
