"""Features on the replicated state: call loans, idempotency keys, quotas, learned starts and prints."""

import random
from collections import Counter

import pytest

from crowwing.fleet.state.keyspaces import KEYSPACES
from crowwing.fleet.state.replica import Replica
from crowwing.fleet.uses import learned_start, quota
from crowwing.fleet.uses.call_budget_loans import (
    OUTSTANDING,
    RESTARTED,
    CallBudgetLoans,
    LoanTerms,
    desired_share,
)
from crowwing.fleet.uses.idempotency_keys import ClaimResult, IdempotencyKeys, home_members
from crowwing.fleet.uses.rejection_prints import MAX_PRINTS, RejectionPrints

S = 1_000_000


class Net:
    """Parts of members on a simulated network: delay, loss, duplicates, clocks at different rates, stalled
    members."""

    def __init__(self, seed: int, loss: float, rates: dict[str, float]) -> None:
        self.chance, self.loss, self.rates = random.Random(seed), loss, rates
        self.now, self.parts, self.flying, self.still = 0, {}, [], {}

    def time(self, name: str) -> int:
        return round(self.now * self.rates.get(name, 1.0))

    def carry(self, name: str) -> None:
        for to, message in self.parts[name].outbox:
            if self.chance.random() >= self.loss:
                copies = 2 if self.chance.random() < 0.1 else 1
                for _ in range(copies):
                    late = self.chance.choice([1_000, 20_000, 300_000, 2_500_000])
                    self.flying.append((self.now + late, to, message))
        self.parts[name].outbox.clear()

    def step(self, span: int) -> None:
        self.now += span
        due = sorted((one for one in self.flying if one[0] <= self.now), key=lambda one: one[0])
        self.flying = [one for one in self.flying if one[0] > self.now]
        for _, to, message in due:
            if self.still.get(to, 0) > self.now:
                self.flying.append((self.still[to], to, message))
            elif to in self.parts:
                self.parts[to].receive(self.time(to), message)
                self.carry(to)


@pytest.mark.parametrize("seed", range(12))
def test_the_sum_of_all_shares_never_exceeds_the_budget_under_network_faults(seed: int) -> None:
    names = ["a", "b", "c", "d", "e"]
    chance = random.Random(seed)
    # Clocks 2% apart; the settings allow 5%.
    net = Net(seed, 0.2, {name: 0.99 + 0.02 * chance.random() for name in names})
    lives = Counter()

    def born(name: str) -> None:
        lives[name] += 1
        others = [other for other in names if other != name]
        net.parts[name] = CallBudgetLoans(
            name, others, net.time(name), random.Random(f"{seed}{name}{lives[name]}")
        )

    for name in names:
        born(name)
    use = dict.fromkeys(names, 0.1)
    borrowed = 0.0
    for _ in range(3000):
        net.step(10_000)
        if chance.random() < 0.01:
            use[chance.choice(names)] = chance.choice([0.0, 0.2, 0.8, 3.0])
        if chance.random() < 0.004:
            net.still[chance.choice(names)] = net.now + chance.randrange(3 * S)
        if chance.random() < 0.002:
            born(chance.choice(names))  # killed, and restarted without memory of what it lent
        for name, loans in net.parts.items():
            if net.still.get(name, 0) <= net.now:
                part = loans.share(net.time(name))
                loans.tick(net.time(name), [o for o in names if o != name], min(use[name], part), use[name])
                net.carry(name)
        parts = [loans.share(net.time(name)) for name, loans in net.parts.items()]
        assert sum(parts) <= len(names) + 1e-9, parts
        borrowed = max(borrowed, max(parts))
    assert borrowed > 1.5, "a busy member got more"


def test_an_idle_members_share_is_used_by_a_busy_one_and_returned() -> None:
    names = ["a", "b", "c", "d"]
    net = Net(1, 0.0, {})
    net.chance.choice = lambda _: 1000  # a network without delays
    for name in names:
        net.parts[name] = CallBudgetLoans(name, [o for o in names if o != name], 0, random.Random(name))
    use = {"a": 3.0, "b": 0.1, "c": 0.1, "d": 0.9}

    def run(seconds: float) -> None:
        for _ in range(round(seconds * 100)):
            net.step(10_000)
            for name, loans in net.parts.items():
                part = loans.share(net.now)
                loans.tick(net.now, [o for o in names if o != name], min(use[name], part), use[name])
                net.carry(name)

    run(6)
    assert net.parts["a"].share(net.now) > 2.0 and net.parts["d"].share(net.now) >= 0.9
    use.update(a=0.1, b=1.0)
    run(5)
    assert net.parts["b"].share(net.now) >= 0.95


def test_a_started_member_spends_the_reserved_share_until_old_loans_expired() -> None:
    terms = LoanTerms()
    loans = CallBudgetLoans("a", ["b"], 0, random.Random(1), terms)
    assert loans.share(0) == terms.reserved_share and loans.lendable_share(0) == 0.0
    assert loans.share(round(terms.duration * 1.11)) == 1.0


def test_a_restarted_member_learns_its_loans_and_a_grant_in_flight_no_longer_counts() -> None:
    started = CallBudgetLoans("a", ["b", "c"], 0, random.Random(1))
    b, c = (CallBudgetLoans(name, ["a"], -9 * S, random.Random(name)) for name in "bc")
    b.borrowed[("a", 5)] = 0.4, S
    c.requested[("a", 6)] = 0  # granted by the earlier incarnation, and still in flight
    started.tick(0, ["b", "c"], 0.0, 0.0)
    for to, message in started.outbox:
        {"b": b, "c": c}[to].receive(0, message)
    started.outbox.clear()
    for other in (b, c):
        for _, message in other.outbox:
            started.receive(1000, message)
    assert started.share(1000) == pytest.approx(0.6) and started.share(2 * S) == 1.0
    c.receive(1000, {"k": 21, "from": "a", "n": 6, "part": 0.5, "idle": 0.0})
    assert c.share(1000) == 1.0


def test_a_member_that_may_have_lent_outside_its_peers_waits_for_the_loans_to_expire() -> None:
    """In cells: it may have been in another cell, whose members still spend what it lent."""
    for knows_all in (True, False):
        member = CallBudgetLoans("a", ["b"], 0, random.Random(1), peers_are_fixed=knows_all)
        member.tick(0, ["b"], 0.0, 0.0)
        number = next(told["n"] for _, told in member.outbox if told["k"] == RESTARTED)
        member.receive(1000, {"k": OUTSTANDING, "from": "b", "n": number, "part": 0, "left": 0})
        assert (member.share(2000) == 1.0) is knows_all
        assert member.share(2_200_001) == 1.0, "every loan of an earlier incarnation has expired"


def test_a_late_grant_counts_from_the_request_and_an_unknown_member_gets_none() -> None:
    loans = CallBudgetLoans("a", ["b"], 0, random.Random(1))
    loans.tick(3 * S, ["b"], 1.0, 2.0)
    _, ask = loans.outbox.pop()
    told = {"k": 21, "from": "b", "n": ask["n"], "part": 0.5, "idle": 0.0}
    loans.receive(4 * S, told)
    assert loans.share(4 * S) == 1.5 and loans.share(5 * S) == 1.0
    loans.receive(4 * S, told)
    assert loans.share(4 * S) == 1.5, "a duplicate request lends nothing more"
    with pytest.raises(ValueError):
        loans.receive(0, {"k": 20, "from": "z", "n": 1, "part": 0.5})
    assert desired_share(0.4, 1.0, False) == 0.5 and desired_share(0.4, 1.0, True) == 1.5


MEMBERS = ["a", "b", "c", "d", "e"]


def label_net(seed: int, loss: float = 0.0) -> Net:
    net = Net(seed, loss, {})
    net.now = 1000 * S
    for name in MEMBERS:
        net.parts[name] = IdempotencyKeys(name, MEMBERS, 0, random.Random(f"{seed}{name}"), 1000, 400_000)
    return net


def claim(net: Net, name: str, label: str = "L") -> list:
    told: list = []
    net.parts[name].claim(net.now, label, 60 * S, lambda what, answer: told.append((what, answer)))
    net.carry(name)
    return told


def run_labels(net: Net, seconds: float) -> None:
    for _ in range(round(seconds * 100)):
        net.step(10_000)
        for name, labels in net.parts.items():
            if net.still.get(name, 0) <= net.now:
                labels.tick(net.now)
                net.carry(name)


def test_a_keyed_request_retried_elsewhere_gets_the_answer_and_does_not_run() -> None:
    net = label_net(1)
    net.chance.choice = lambda _: 1000
    first = claim(net, "a")
    run_labels(net, 0.1)
    assert first == [(ClaimResult.OURS, None)]
    second = claim(net, "d")
    run_labels(net, 0.1)
    assert second == [(ClaimResult.ELSEWHERE, None)]
    net.parts["a"].complete(net.now, "L", "answer")
    net.carry("a")
    run_labels(net, 0.1)
    assert claim(net, "a") == [(ClaimResult.DONE, "answer")]
    third = claim(net, "e")
    run_labels(net, 0.1)
    assert third == [(ClaimResult.DONE, "answer")]


def test_with_two_homes_unreachable_a_claim_is_unsure_and_a_released_key_can_be_claimed() -> None:
    net = label_net(2)
    net.chance.choice = lambda _: 1000
    asker = next(name for name in MEMBERS if name not in home_members("L", MEMBERS))
    for home in home_members("L", MEMBERS)[:2]:
        net.still[home] = net.now + 2 * S
    told = claim(net, asker)
    run_labels(net, 0.6)
    assert told == [(ClaimResult.UNSURE, None)]
    run_labels(net, 3)
    other = next(name for name in MEMBERS if name != asker)
    got = claim(net, other)
    run_labels(net, 0.2)
    assert got == [(ClaimResult.OURS, None)], "the grants were released"
    net.parts[other].release(net.now, "L")
    net.carry(other)
    run_labels(net, 0.1)
    again = claim(net, asker)
    run_labels(net, 0.2)
    assert again == [(ClaimResult.OURS, None)]


def test_the_grant_of_a_home_that_has_just_started_does_not_count() -> None:
    net = label_net(3)
    net.chance.choice = lambda _: 1000
    young, old = home_members("L", MEMBERS)[:2], home_members("L", MEMBERS)[2]
    net.parts[young[0]] = IdempotencyKeys(young[0], MEMBERS, net.now, random.Random(9), 1000, 400_000)
    told = claim(net, old)
    run_labels(net, 0.2)
    assert told == [(ClaimResult.OURS, None)], "the two others suffice"
    for name in young:
        net.parts[name] = IdempotencyKeys(name, MEMBERS, net.now, random.Random(10), 1000, 400_000)
    net.still[old] = net.now + S
    asker = next(name for name in MEMBERS if name not in (old, *young))
    told = claim(net, asker)
    run_labels(net, 0.6)
    assert told == [(ClaimResult.UNSURE, None)], "a home that may have forgotten cannot grant"


@pytest.mark.parametrize("seed", range(10))
def test_no_key_runs_twice_under_loss_duplicates_pauses_and_restarts(seed: int) -> None:
    net, chance = label_net(seed, loss=0.15), random.Random(seed)
    ran: Counter[str] = Counter()
    tries: list[tuple[str, str, list]] = []
    for _ in range(1500):
        run_labels(net, 0.02)
        if chance.random() < 0.3:
            label = f"L{chance.randrange(20)}"
            name = chance.choice(MEMBERS)
            if net.still.get(name, 0) <= net.now:
                tries.append((name, label, claim(net, name, label)))
        if chance.random() < 0.02:
            net.still[chance.choice(MEMBERS)] = net.now + chance.randrange(S)
        if chance.random() < 0.003:
            name = chance.choice(MEMBERS)
            net.parts[name] = IdempotencyKeys(
                name, MEMBERS, net.now, random.Random(f"{seed}{net.now}"), 1000, 400_000
            )
            tries = [one for one in tries if one[0] != name]
        for one in [one for one in tries if one[2]]:
            tries.remove(one)
            name, label, told = one
            assert len(told) == 1
            if told[0][0] is ClaimResult.OURS:
                ran[label] += 1
                if chance.random() < 0.5:
                    net.parts[name].complete(net.now, label, "done")
                    net.carry(name)
    assert ran and max(ran.values()) == 1, ran


def test_quota_shares_follow_use_add_up_and_leave_dead_members_theirs() -> None:
    use = Counter({"a": 90, "b": 10})
    parts = {
        me: quota.quota_share(use, me, [n for n in "abcd" if n != me], 5) for me in "abcd"
    }  # e is believed dead
    assert (
        sum(parts.values()) == pytest.approx(4)
        and parts["a"] > 3
        and parts["c"] == pytest.approx(quota.MIN_SHARE)
    )
    assert quota.quota_share(Counter(), "a", ["b"], 2) == 1.0
    left = [quota.quota_share(use, me, [n for n in "ab" if n != me], 4) for me in "ab"]
    right = [quota.quota_share(use, me, [n for n in "cd" if n != me], 4) for me in "cd"]
    assert sum(left) + sum(right) == pytest.approx(4), (
        "two sides of a partition never exceed the quota together"
    )


def test_use_is_counted_by_complete_windows_and_summed_over_incarnations() -> None:
    rows = [
        (quota.usage_key("x", 9, "m.1", "aa"), 4), (quota.usage_key("x", 9, "m.1", "bb"), 2),
        (quota.usage_key("x", 8, "n", "cc"), 5),
        (quota.usage_key("x", 10, "n", "cc"), 99), (quota.usage_key("x", 5, "n", "cc"), 99), ("use/odd", 1),
        ("use/x/no/m.a", 1),
    ]  # fmt: skip
    assert quota.usage_by_customer(rows, 10 * S, S) == {"x": Counter({"m.1": 6, "n": 5})}


def test_rejection_prints_are_sampled_published_in_a_ring_and_returned_once() -> None:
    there, here = RejectionPrints("a", random.Random(1)), RejectionPrints("b", random.Random(2))
    a, b = (Replica(name, KEYSPACES, 10 * S) for name in "ab")
    assert there.next_entry() is None
    heard = []
    for look in range(40):
        for print_ in range(look * 1000, look * 1000 + 1000):
            there.add(print_)
        assert len(there.sample) <= 400
        key, value = there.next_entry()
        row = a.put((look + 1) * S // 4, key, value, 8 * S)
        b.merge((look + 1) * S // 4, [row])
        heard += here.new_prints(b.with_prefix("turned/"))
        assert (
            here.new_prints(b.with_prefix("turned/")) == []
            and there.new_prints(a.with_prefix("turned/")) == []
        )
    assert len(heard) == 40 * MAX_PRINTS and len(set(heard)) == len(heard) and len(a.entries) == 16
    assert min(one // 1000 for one in heard) == 0 and max(one // 1000 for one in heard) == 39
    b.merge(11 * S, [["turned/c/1", ["x", -1, True, 5], 11 * S, 0, "c", 12 * S]])
    assert here.new_prints(b.with_prefix("turned/")) == [5]


def test_learned_starts_are_combined_by_median_and_malformed_ones_are_skipped() -> None:
    told = [
        learned_start.LearnedStart(((100, 50), (0, 0)), 8.0, 20).as_dict(),
        learned_start.LearnedStart(((300, 70), (90, 9)), 2.0, 30).as_dict(),
        learned_start.LearnedStart(((200, 60), (0, 0)), 6.0, 0).as_dict(),
        {"kinds": [[1, 1]], "limit": 1, "call": 1},
        None, 7,
        {"kinds": [[1, 1], [1, 1]], "limit": -1, "call": 1}, {"kinds": "x"},
    ]  # fmt: skip
    taken = learned_start.combine(told, 2)
    assert taken == learned_start.LearnedStart(((200, 60), (90, 9)), 6.0, 25)
    assert learned_start.combine([None], 2) is None
