"""Start of a complete cell: each member reads one replica and sends a bounded part of it, quorum members are
asked last, and changes close together are pushed together.
"""

import asyncio
import random
import socket
import time
from collections import Counter

import orjson
import pytest

from crowwing.fleet.adapters import full_transfer
from crowwing.fleet.membership.cells import SPEAKER_COUNT
from crowwing.fleet.simulated_fleet import SimulatedFleet
from crowwing.fleet.state.dissemination import (
    CellScope,
    Dissemination,
    DisseminationSettings,
    StateMessageKind,
)
from crowwing.fleet.state.keyspaces import KEYSPACES
from crowwing.fleet.state.replica import FEW_ENTRIES, LEAVES, Replica
from tests.cellular import S, fleet, of_cell, until

LIFE = 600 * S
WALL = 3_600 * S


def filled(world: SimulatedFleet, count: int) -> None:
    """Gives every member so many fleet-wide entries."""
    kept = world.members["m0"].wide_dissemination.replica
    rows = [kept.put(world.wall("m0"), f"said/{n}", "x" * 60, LIFE) for n in range(count)]
    for member in world.members.values():
        member.wide_dissemination.replica.merge(world.wall(member.me), rows)


def counted(world: SimulatedFleet, given: Counter, spread_on: Counter) -> None:
    """Counts by member the bytes of rows sent for repairs of more than a datagram, and pushed as changes."""
    carry = world._flush

    def watched(name: str) -> None:
        for _, message in world.members[name].outbox:
            if message["k"] == StateMessageKind.ROWS:
                copied, rows = message.get("copy", 0), len(orjson.dumps(message["rows"]))
                given[name] += rows if copied > 1 else 0
                spread_on[name] += rows if not copied else 0
        carry(name)

    world._flush = watched


@pytest.mark.parametrize("seed", range(3))
def test_a_cell_that_starts_completely_repairs_within_bounds_without_spreading(seed: int) -> None:
    world, count = fleet(75, seed, 30), 300
    filled(world, count)
    cell = of_cell(world, "m0")
    for name in cell:
        world.kill(name)
    world.run_until(world.now + 10 * S)
    given, spread_on = Counter(), Counter()
    counted(world, given, spread_on)
    for name in cell:
        world.restart(name, disk=False)
    began = world.now
    members = [world.members[name] for name in cell]
    assert until(world, lambda: all(m.ready and m.catch_up.is_current for m in members), 5 * S)
    assert until(
        world, lambda: all(len(m.wide_dissemination.replica.entries) >= count for m in members), 15 * S
    )
    world.run_until(began + 20 * S)
    pace = world.settings.dissemination
    most = pace.repair_burst_bytes + pace.repair_bytes_per_s * 20 + pace.max_datagram_bytes
    assert max(given.values()) <= most
    assert sum(spread_on[name] for name in cell) < sum(given.values()) / 4, "repaired rows do not spread"
    asked = Counter(name for _, name, _ in world.fetches)
    assert max(asked[name] for name in cell) <= 5


def test_an_empty_member_asks_a_bootstrap_peer_first_then_quorum_members_that_do_not_speak() -> None:
    world = fleet(45, 2, 15)
    filled(world, 50)
    name = of_cell(world, "m0")[-1]
    keepers = of_cell(world, "m0")[:5]
    world.kill(name)
    world.restart(name, disk=False)
    assert until(world, lambda: world.members[name].catch_up.is_current, 2 * S)
    first, *others = [other for _, who, other in world.fetches if who == name]
    assert first not in keepers and first in of_cell(world, "m0")
    assert set(others[:2]) == set(keepers[SPEAKER_COUNT:]) and others[2] in keepers[:SPEAKER_COUNT]
    rows = [
        brings["rows"] for _, who, event, brings in world.member_events if (who, event) == (name, "fetched")
    ]
    assert rows[0] >= 50 and sum(rows[1:]) <= 5, "the others have little to add"


def test_a_member_with_a_snapshot_asks_quorum_members_only() -> None:
    world = fleet(45, 2, 15)
    filled(world, 50)
    name = of_cell(world, "m0")[-1]
    world.write_snapshot(name)
    world.kill(name)
    world.restart(name, disk=True)
    assert until(world, lambda: world.members[name].catch_up.is_current, 2 * S)
    asked = [other for _, who, other in world.fetches if who == name]
    assert len(asked) == 3 and set(asked) <= set(of_cell(world, "m0")[:5])


def test_a_hanging_bootstrap_peer_does_not_extend_the_maximum_wait() -> None:
    world = fleet(45, 2, 15)
    name = of_cell(world, "m0")[-1]
    world.kill(name)
    world.run_until(world.now + S // 10)
    world.is_partitioned = lambda a, b: name in (a, b)
    world.failed_fetch_delay = 60 * S
    world.restart(name, disk=False)
    began = world.now
    assert until(world, lambda: world.members[name].ready, 10 * S)
    assert world.now - began <= world.settings.catch_up.max_wait + 50_000


# Encoded digests


def replica_with(count: int, first: int = 0) -> Replica:
    kept = Replica("a", {name: space for name, space in KEYSPACES.items() if space.fleet_wide}, 10 * S)
    for n in range(first, first + count):
        kept.put(WALL, f"said/{n}", n, LIFE)
    return kept


@pytest.mark.parametrize("count", [0, 1, FEW_ENTRIES, FEW_ENTRIES + 1, 440])
def test_encoded_digests_show_exactly_what_differs(count: int) -> None:
    kept, other = replica_with(count), replica_with(0)
    other.merge(WALL, list(kept.all_rows()))
    told = kept.encoded_digests()
    assert len(told) <= (0 if not count else 88 if count <= FEW_ENTRIES else 1368)
    assert other.differing_leaves(told) == (list(range(LEAVES)) if not count else [])
    row = other.put(WALL, "said/new", 1, LIFE)
    assert row in list(other.rows(other.differing_leaves(told)))
    if count > FEW_ENTRIES:
        assert len(other.differing_leaves(told)) == 1


@pytest.mark.parametrize("junk", ["x", "AAAA", "!" * 88, "é", "A" * 1372])
def test_malformed_digests_are_rejected(junk: str) -> None:
    with pytest.raises(ValueError):
        replica_with(3).differing_leaves(junk)


# Changes


def dissemination(pace: DisseminationSettings | None = None) -> Dissemination:
    """Of m0, which is not a quorum member of its cell of eight."""
    peers = [f"m{n}" for n in range(1, 8)]
    reached = CellScope(frozenset(peers[:5]), frozenset(peers))
    return Dissemination(
        "m0", peers, replica_with(0), 0, random.Random(1), pace or DisseminationSettings(), reached
    )


def pushed(one: Dissemination) -> list[list[str]]:
    told = [[row[0] for row in m["rows"]] for _, m in one.outbox if m["k"] == StateMessageKind.ROWS]
    one.outbox.clear()
    return told


def test_a_change_is_pushed_at_once_and_close_ones_together() -> None:
    one = dissemination()
    alive = sorted(one.peers)
    one.put(WALL, "said/0", 0, LIFE)
    one.tick(0, WALL, alive)
    assert pushed(one) == [["said/0"]] * one.settings.fanout
    for n in range(1, 6):
        one.put(WALL, f"said/{n}", n, LIFE)
        one.tick(n * 10_000, WALL, alive)
        assert not pushed(one)
    assert one.wake_at() == one.settings.push_interval
    one.tick(one.settings.push_interval, WALL, alive)
    assert pushed(one) == [[f"said/{n}" for n in range(1, 6)]] * one.settings.fanout
    assert not one.unpushed_keys


def test_rows_of_a_large_repair_do_not_spread_and_those_of_a_small_one_do() -> None:
    rows = list(replica_with(40).all_rows())
    much, little = dissemination(), dissemination()
    much.receive(0, WALL, {"k": int(StateMessageKind.ROWS), "from": "m1", "rows": rows, "copy": 4})
    little.receive(0, WALL, {"k": int(StateMessageKind.ROWS), "from": "m1", "rows": rows[:1]})
    assert len(much.replica.entries) == 40 and not much.unpushed_keys and not much.hot_keys
    assert list(little.unpushed_keys) == list(little.hot_keys) == [rows[0][0]]


def test_rows_of_a_small_repair_spread_except_just_after_the_start() -> None:
    rows, one = list(replica_with(2).all_rows()), dissemination()
    give = {"k": int(StateMessageKind.ROWS), "from": "m1", "copy": 1}
    one.receive(one.settings.eager_sync_period - 1, WALL, give | {"rows": rows[:1]})
    assert len(one.replica.entries) == 1 and not one.unpushed_keys
    one.receive(one.settings.eager_sync_period, WALL, give | {"rows": rows[1:]})
    assert list(one.unpushed_keys) == [rows[1][0]]


def test_large_differences_are_requested_from_one_peer_at_a_time() -> None:
    one, far = dissemination(), replica_with(300, first=1000)
    one.put(WALL, "said/mine", 1, LIFE)
    sums = {"k": int(StateMessageKind.DIGESTS), "groups": far.group_digests(), "n": 300}
    for name in ("m1", "m2", "m3"):
        one.receive(0, WALL, sums | {"from": name})
    assert [to for to, told in one.outbox if told["k"] == StateMessageKind.LEAF_DIGESTS] == ["m1"]
    one.outbox.clear()
    one.receive(one.settings.repair_timeout, WALL, sums | {"from": "m2"})
    assert [to for to, told in one.outbox if told["k"] == StateMessageKind.LEAF_DIGESTS] == ["m2"]


def test_an_empty_replica_sends_no_digests_and_gets_everything() -> None:
    one, full = dissemination(), dissemination()
    full.replica.merge(WALL, list(replica_with(30).all_rows()))
    one.receive(
        0,
        WALL,
        {"k": int(StateMessageKind.DIGESTS), "from": "m1", "groups": full.replica.group_digests(), "n": 30},
    )
    [(to, told)] = one.outbox
    assert (to, told["k"], told["leaves"]) == ("m1", StateMessageKind.LEAF_DIGESTS, [])
    full.receive(0, WALL, told | {"from": "m1"})
    given = [row for _, message in full.outbox for row in message["rows"]]
    assert len(given) == 30
    full.outbox.clear()
    full.receive(
        0,
        WALL,
        {"k": int(StateMessageKind.DIGESTS), "from": "m2", "groups": one.replica.group_digests(), "n": 0},
    )
    assert sum(len(message["rows"]) for _, message in full.outbox) == 30


def test_the_repair_budget_is_bounded_and_refills_slowly() -> None:
    one = dissemination()
    one.replica.merge(WALL, list(replica_with(400).all_rows()))

    def gives(now: int) -> int:
        for n in range(30):
            one.receive(
                now,
                WALL,
                {
                    "k": int(StateMessageKind.ROWS_WANTED),
                    "from": f"m{1 + n % 7}",
                    "leaves": list(range(LEAVES)),
                },
            )
        size = sum(len(orjson.dumps(message["rows"])) for _, message in one.outbox)
        one.outbox.clear()
        return size

    pace = one.settings
    assert pace.repair_burst_bytes <= gives(0) <= pace.repair_burst_bytes + pace.max_datagram_bytes
    assert gives(S) <= pace.repair_bytes_per_s + pace.max_datagram_bytes
    assert gives(61 * S) <= 61 * pace.repair_bytes_per_s + pace.max_datagram_bytes


def test_a_fetch_gives_up_a_connection_that_is_not_accepted() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as full:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        waiting = []
        for _ in range(4):  # nobody accepts them, and the backlog is full
            one = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            one.setblocking(False)
            one.connect_ex(full.getsockname())
            waiting.append(one)
        began = time.monotonic()
        with pytest.raises(TimeoutError):
            asyncio.run(full_transfer.fetch(full.getsockname(), {"from": "a"}, 60.0))
        assert time.monotonic() - began < 30, "far below the time-out of a full transfer"
        for one in waiting:
            one.close()
