"""Lending of the fleet's budget of downstream calls among its members. Pure.

The downstream service bears a certain rate of calls from the whole fleet; the settings give each member an
equal share. A member that does not need all of its share lends some for `duration` to one that asks, so a
busy member can use the share of an idle one, and the sum never exceeds the budget. The method is escrow
(O'Neil, "The Escrow Transactional Method", ACM TODS 1986), but loans expire like leases instead of being
paid back (Gray, Cheriton, "Leases", SOSP 1989):

- The lender does not spend the share from the grant until `duration` plus a margin later. The borrower spends
  it until `duration` after its request, which came before the grant. Clock readings are never compared; only
  the rates of two clocks must agree to within the margin. So the borrower always stops first, even if
  messages are lost, duplicated or late, or the network is partitioned.
- A member that has just started may have lent shares in an earlier incarnation. It asks all others what they
  have borrowed from it and does not spend that. A member that answers also drops its pending requests to the
  earlier incarnation, so that a grant still in flight has no effect. Until all have answered, or every loan
  of an earlier incarnation has expired, it spends no more than `reserved_share`, which is never lent.
- The share of a dead member stays unused, except for what it had lent: the member may be alive behind a
  partition. That is the price of never exceeding the budget; operators can take the member out of their
  settings.

Shares are multiples of the equal share: 1.0 is what the settings give this member. Times in µs.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

REQUEST, GRANT, RESTARTED, OUTSTANDING = 20, 21, 22, 23  # message kinds


@dataclass(frozen=True, slots=True)
class LoanTerms:
    duration: int = 2_000_000  # of a loan, µs
    clock_margin: float = 0.05  # maximum difference in the rates of two clocks
    reserved_share: float = 0.25  # of the own share; never lent
    headroom: float = 1.25  # the recent usage times this is not lent either
    min_loan: float = 0.05  # smaller loans are not worth a message
    max_share: float = 4.0  # limit even if more is idle: one core cannot make more calls
    max_lenders_per_round: int = 3  # members asked in one round


class CallBudgetLoans:
    def __init__(
        self, me: str, peers: Sequence[str], now: int, rng: random.Random, terms: LoanTerms | None = None,
        peers_are_fixed: bool = True,
    ) -> None:  # fmt: skip
        """`peers_are_fixed`: an earlier incarnation can have lent only to `peers`. Otherwise, as in cells
        whose members change, the loans of an earlier incarnation are waited out whatever the peers answer."""
        self.peers_are_fixed = peers_are_fixed
        self.me, self.peers, self.rng, self.terms = me, set(peers), rng, terms or LoanTerms()
        self.recovering_until = now + self._lending_period()
        # May have borrowed from an earlier incarnation; removed when they answer
        self.unanswered = set(peers)
        # (borrower, number) -> share, until; removed when expired
        self.lent: dict[tuple[str, int], tuple[float, int]] = {}
        # (lender, number) -> share, until; removed when expired
        self.borrowed: dict[tuple[str, int], tuple[float, int]] = {}
        # (lender, number) -> time; removed at the answer or after `duration`
        self.requested: dict[tuple[str, int], int] = {}
        self.idle_shares: dict[str, float] = {}  # lendable share that each member reported last
        # Random, so that it differs from that of an earlier incarnation.
        self.request_number = self.incarnation = rng.randrange(1 << 30)
        self.usage = 0.0
        self.next_request = now
        self.outbox: list[tuple[str, dict]] = []

    def _lending_period(self) -> int:
        return round(self.terms.duration * (1 + 2 * self.terms.clock_margin))

    def share(self, now: int) -> float:
        """The share that this member may spend at `now`."""
        own = max(0.0, 1.0 - sum(share for share, until in self.lent.values() if now < until))
        if now < self.recovering_until:
            own = min(own, self.terms.reserved_share)
        return own + sum(share for share, until in self.borrowed.values() if now < until)

    def lendable_share(self, now: int) -> float:
        """What it can lend now: nothing while it borrows, or after a restart, when it may have
        lent shares that it no longer knows of."""
        if now < self.recovering_until or any(now < until for _, until in self.borrowed.values()):
            return 0.0
        own = 1.0 - sum(share for share, until in self.lent.values() if now < until)
        return max(0.0, own - max(self.terms.reserved_share, self.terms.headroom * self.usage))

    def tick(self, now: int, alive: Sequence[str], usage: float, desired: float) -> None:
        """`usage`: shares spent recently; `desired`: shares it would spend. Requests the shortfall, first
        from the members with the most lendable share, the others in random order."""
        self.usage = usage
        self.lent = {loan: lent for loan, lent in self.lent.items() if now < lent[1]}
        self.borrowed = {loan: borrowed for loan, borrowed in self.borrowed.items() if now < borrowed[1]}
        self.requested = {ask: at for ask, at in self.requested.items() if now < at + self.terms.duration}
        # Half a duration ahead, so that loans about to expire are replaced in time
        shortfall = min(desired, self.terms.max_share) - self.share(now + self.terms.duration // 2)
        if now < self.next_request:
            return
        self.next_request = now + self.terms.duration // 8
        if now < self.recovering_until:
            for name in sorted(self.unanswered):
                self.outbox.append(
                    (name, {"k": RESTARTED, "from": self.me, "n": self.incarnation, "part": 0})
                )
        if shortfall < self.terms.min_loan or not alive:
            return
        order = list(alive)
        self.rng.shuffle(order)
        order.sort(key=lambda name: -self.idle_shares.get(name, 0.5))
        for name in order[: self.terms.max_lenders_per_round]:
            self.request_number += 1
            self.requested[(name, self.request_number)] = now
            request = {
                "k": REQUEST,
                "from": self.me,
                "n": self.request_number,
                "part": round(shortfall / self.terms.max_lenders_per_round, 3),
            }
            self.outbox.append((name, request))

    def receive(self, now: int, message: dict) -> None:
        """KeyError, TypeError or ValueError for a malformed message."""
        sender, number, share = message["from"], int(message["n"]), float(message["part"])
        if sender not in self.peers or not 0 <= share <= self.terms.max_share:
            raise ValueError(f"{sender}: is not a peer, or the share is out of range")
        if message["k"] == REQUEST:
            granted = self._lend(now, sender, number, share)
            response = {
                "k": GRANT,
                "from": self.me,
                "n": number,
                "part": granted,
                "idle": round(self.lendable_share(now), 3),
            }
            self.outbox.append((sender, response))
        elif message["k"] == RESTARTED:
            self.requested = {ask: at for ask, at in self.requested.items() if ask[0] != sender}
            loans = [
                loan for (lender, _), loan in self.borrowed.items() if lender == sender and now < loan[1]
            ]
            left = max((until - now for _, until in loans), default=0)
            outstanding = round(sum(share for share, _ in loans), 3)
            response = {"k": OUTSTANDING, "from": self.me, "n": number, "part": outstanding, "left": left}
            self.outbox.append((sender, response))
        elif message["k"] == OUTSTANDING:
            if number == self.incarnation and sender in self.unanswered:
                self._on_outstanding(now, sender, share, min(int(message["left"]), self.terms.duration))
        elif (at := self.requested.pop((sender, number), None)) is not None:
            self.idle_shares[sender] = float(message["idle"])
            if share and now < at + self.terms.duration:
                self.borrowed[(sender, number)] = share, at + self.terms.duration

    def _on_outstanding(self, now: int, borrower: str, share: float, left: int) -> None:
        """Records a loan that an earlier incarnation of this member granted, until it expires."""
        self.unanswered.discard(borrower)
        if share:
            self.lent[(borrower, -1)] = share, now + round(left * (1 + 2 * self.terms.clock_margin))
        if not self.unanswered and self.peers_are_fixed:
            self.recovering_until = min(self.recovering_until, now)

    def _lend(self, now: int, borrower: str, number: int, share: float) -> float:
        if (known := self.lent.get((borrower, number))) is not None:
            return known[0]  # a duplicate of the same request
        granted = round(min(share, self.lendable_share(now)) - 0.0005, 3)
        if granted < self.terms.min_loan:
            return 0.0
        self.lent[(borrower, number)] = granted, now + self._lending_period()
        return granted


def desired_share(usage: float, share: float, starved: bool) -> float:
    """The share that a member would spend; if `starved` (requests wait because the call budget is spent), at
    least half as much again as it has."""
    return max(1.5 * share, 1.25 * usage) if starved else 1.25 * usage
