"""The failure detector on a simulated network: detected deaths, no false deaths, healed partitions."""

import math
import random

import pytest

from crowwing.fleet.membership.swim import ALIVE, DEAD, LEFT, SUSPECT, Membership, Timing
from crowwing.fleet.simulated_fleet import SimulatedMembership

S = 1_000_000
FAST = Timing(period=200_000, probe_timeout=60_000)


def test_a_dead_member_is_detected_by_all_within_the_longest_suspicion() -> None:
    world = SimulatedMembership(10, seed=3, timing=FAST)
    world.run_until(5 * S)
    assert world.views_agree()
    world.kill("m4")
    killed = world.now
    while not world.seen_dead("m4") and world.now < killed + 30 * S:
        world.run_until(world.now + 50_000)
    longest = (
        FAST.suspect_periods * math.log10(10) * FAST.suspect_most_times * FAST.period
    )  # nine peers, log10(9 + 1)
    assert world.now - killed <= longest + 3 * FAST.period
    assert world.views_agree()


@pytest.mark.parametrize("seed", range(8))
def test_a_loss_of_a_tenth_causes_no_false_deaths(seed: int) -> None:
    world = SimulatedMembership(8, seed=seed, timing=FAST)
    world.loss = 0.1
    world.run_until(60 * S)
    assert not [change for change in world.changes if change[3] == DEAD]
    assert world.views_agree()


def test_both_sides_of_a_partition_consider_each_other_dead_and_agree_again_after_it() -> None:
    world = SimulatedMembership(6, seed=5, timing=FAST)
    left = {"m0", "m1", "m2"}
    world.run_until(3 * S)
    world.is_partitioned = lambda a, b: (a in left) != (b in left)
    world.run_until(20 * S)
    for name in left:
        assert all(world.members[name].members[o].state == DEAD for o in world.names if o not in left)
    world.is_partitioned = lambda _, __: False
    healed = world.now
    while not world.views_agree() and world.now < healed + 30 * S:
        world.run_until(world.now + 50_000)
    assert world.views_agree()
    assert world.now - healed <= 2 * FAST.revive_every * FAST.period


def test_a_suspected_member_refutes_with_a_higher_incarnation() -> None:
    chance = random.Random(1)
    member = Membership("a", ["b", "c"], 0, chance, FAST)
    member.receive(10, {"k": 0, "from": "b", "inc": 0, "seq": 1, "news": [["a", SUSPECT, 0, "b"]]})
    assert member.incarnation == 1
    to, ack = member.outbox[-1]
    assert to == "b" and ack["k"] == 1 and ["a", ALIVE, 1, "a"] in ack["news"]
    assert member.health == 1


def test_an_update_at_a_lower_incarnation_is_ignored_and_a_higher_one_wins() -> None:
    member = Membership("a", ["b", "c"], 0, random.Random(1), FAST)
    member.receive(10, {"k": 1, "from": "c", "inc": 0, "seq": 9, "news": [["b", ALIVE, 3, "b"]]})
    member.receive(20, {"k": 1, "from": "c", "inc": 0, "seq": 9, "news": [["b", DEAD, 2, "c"]]})
    assert member.members["b"].state == ALIVE and member.members["b"].incarnation == 3
    member.receive(30, {"k": 1, "from": "c", "inc": 0, "seq": 9, "news": [["b", SUSPECT, 3, "c"]]})
    assert member.members["b"].state == SUSPECT
    member.receive(40, {"k": 1, "from": "c", "inc": 0, "seq": 9, "news": [["b", ALIVE, 3, "b"]]})
    assert member.members["b"].state == SUSPECT, "only a higher incarnation clears a suspicion"


def test_each_independent_suspicion_shortens_the_timeout_down_to_the_shortest() -> None:
    member = Membership("a", [f"m{n}" for n in range(9)], 0, random.Random(1), FAST)
    member.receive(0, {"k": 1, "from": "m1", "inc": 0, "seq": 1, "news": [["m0", SUSPECT, 0, "m1"]]})
    alone = member._suspicion_timeout(member.members["m0"])
    for origin in ("m2", "m3", "m4"):
        member.receive(0, {"k": 1, "from": origin, "inc": 0, "seq": 1, "news": [["m0", SUSPECT, 0, origin]]})
    confirmed = member._suspicion_timeout(member.members["m0"])
    assert confirmed * FAST.suspect_most_times == pytest.approx(alone, rel=0.01)


def test_an_unknown_sender_or_a_malformed_message_is_rejected_and_changes_nothing() -> None:
    member = Membership("a", ["b"], 0, random.Random(1), FAST)
    with pytest.raises(ValueError):
        member.receive(0, {"k": 0, "from": "z", "inc": 0, "seq": 1})
    with pytest.raises(ValueError):
        member.receive(0, {"k": 7, "from": "b", "inc": 0, "seq": 1})
    assert member.members["b"].state == ALIVE and not member.changes


def test_a_leaving_member_is_left_not_dead_and_comes_back_after_a_restart() -> None:
    world = SimulatedMembership(6, seed=4, timing=FAST)
    world.run_until(3 * S)
    world.members["m2"].leave()
    world._flush("m2")
    world.run_until(world.now + S // 2)
    world.kill("m2")
    world.run_until(world.now + 10 * S)
    others = [world.members[name] for name in world.names if name != "m2"]
    assert {member.members["m2"].state for member in others} == {LEFT}
    assert not [change for change in world.changes if change[3] in (DEAD, SUSPECT)]
    world.members["m2"] = Membership(
        "m2", [n for n in world.names if n != "m2"], world.now, random.Random(1), FAST
    )
    world.paused.discard("m2")
    world.run_until(world.now + 10 * S)
    assert {member.members["m2"].state for member in others} == {ALIVE}


def test_helpers_that_send_a_nack_do_not_affect_our_health_and_unanswering_ones_do() -> None:
    def health(answers: int) -> int:
        member = Membership("a", ["b", "c", "d", "e"], 0, random.Random(2), FAST)
        member.tick(FAST.period)
        (target, ping), *_ = member.outbox
        member.outbox.clear()
        member.tick(FAST.period + FAST.probe_timeout)
        helpers = [to for to, message in member.outbox if message["k"] == 2]
        assert len(helpers) == 3 and target not in helpers
        for helper in helpers[:answers]:
            member.receive(FAST.period + 2, {"k": 3, "from": helper, "inc": 0, "seq": ping["seq"]})
        member.tick(2 * FAST.period)
        assert member.members[target].state == SUSPECT
        return member.health

    assert [health(answers) for answers in (3, 2, 0)] == [0, 1, 3]


def test_a_stalled_member_does_not_suspect_the_others() -> None:
    member = Membership("a", ["b", "c"], 0, random.Random(1), FAST)
    member.tick(FAST.period)
    assert member.probe is not None
    member.receive(FAST.period, {"k": 1, "from": "c", "inc": 0, "seq": 99, "news": [["b", SUSPECT, 0, "c"]]})
    member.tick(60 * S)
    assert member.members["b"].state == SUSPECT and member.members["c"].state == ALIVE


def test_a_helper_without_an_ack_sends_a_nack() -> None:
    member = Membership("a", ["b", "c"], 0, random.Random(1), FAST)
    member.receive(0, {"k": 2, "from": "b", "inc": 0, "seq": 7, "target": "c"})
    member.outbox.clear()
    member.tick(FAST.probe_timeout)
    assert ("b", 3, 7) in [(to, message["k"], message["seq"]) for to, message in member.outbox]
    assert not member.relayed_probes


def test_tables_are_bounded_by_members_and_probes_in_flight() -> None:
    world = SimulatedMembership(30, seed=2, timing=FAST)
    world.loss = 0.3
    world.run_until(30 * S)
    for member in world.members.values():
        assert len(member.rumours) <= 30 and len(member.relayed_probes) <= 30 * FAST.indirect
        assert 0 <= member.health <= FAST.max_health
