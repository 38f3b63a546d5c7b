"""The fleet's pace of calls below, lent among its members. Pure.

What lies below bears a certain pace of calls from the whole fleet; settings give each member an even part. A
member that does not need all of its part lends some, for `span`, to one that asks; so an idle member's part
is used by a busy one, and the sum never passes the whole. The method is escrow (O'Neil, "The Escrow
Transactional Method", ACM TODS 1986) with leases in place of settling (Gray, Cheriton, "Leases", SOSP 1989):

- The lender goes without from its granting until `span` and a margin later; the borrower spends from its own
  asking, which came before the granting, until `span` later. No clocks are compared; only that two clocks run
  alike to within the margin. So whatever is lost, copied, late or cut, the borrower stops first.
- A member that has just started may have lent before and forgotten. It asks all others what they have of it,
  and goes without that; who answers also lets go of what it had asked of the earlier life, so that no grant
  still under way counts. Until all have answered, or every loan of an earlier life has run out, it spends no
  more than `keep`, the part that is never lent.
- A dead member's part lies idle, but for what it had lent: it may be alive behind a cut. That is the price of
  never passing the whole; the operators can take it out of their settings.

Parts are in even parts: 1.0 is what settings give this member. Times in µs.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

ASK, LENT, STARTED, OWED = 20, 21, 22, 23  # kinds of message


@dataclass(frozen=True, slots=True)
class Terms:
    span: int = 2_000_000  # of a loan
    margin: float = 0.05  # by which two clocks may run apart, and no more
    keep: float = 0.25  # of the own part, never lent
    spare: float = 1.25  # of the use of late, kept besides
    least: float = 0.05  # smaller loans are not worth a message
    most: float = 4.0  # a member spends no more than this, however much is idle: one core makes no more calls
    at_once: int = 3  # members asked in one round


class Loans:
    def __init__(
        self, me: str, peers: Sequence[str], now: int, chance: random.Random, terms: Terms | None = None,
        knows_all: bool = True,
    ) -> None:  # fmt: skip
        """`knows_all`: an earlier life cannot have lent to anyone but `peers`; where it can, as in cells
        whose members change, old loans are waited out whatever these say."""
        self.knows_all = knows_all
        self.me, self.peers, self.chance, self.terms = me, set(peers), chance, terms or Terms()
        self.forgotten_until = now + self._withheld()
        self.unheard = set(peers)  # that may have borrowed from an earlier life; emptied by their answers
        self.lent: dict[tuple[str, int], tuple[float, int]] = {}  # (asker, number) -> part, until; run out
        self.borrowed: dict[tuple[str, int], tuple[float, int]] = {}  # (lender, number) -> the same; run out
        self.asked: dict[tuple[str, int], int] = {}  # (lender, number) -> when; answered, or out after a span
        self.idle_at: dict[str, float] = {}  # what each member said was left when it was last asked
        self.number = self.life = chance.randrange(1 << 30)  # of asks, not that of an earlier life
        self.use = 0.0
        self.next_ask = now
        self.outbox: list[tuple[str, dict]] = []

    def _withheld(self) -> int:
        return round(self.terms.span * (1 + 2 * self.terms.margin))

    def part(self, now: int) -> float:
        """What this member may spend at `now`."""
        own = max(0.0, 1.0 - sum(part for part, until in self.lent.values() if now < until))
        if now < self.forgotten_until:
            own = min(own, self.terms.keep)
        return own + sum(part for part, until in self.borrowed.values() if now < until)

    def idle(self, now: int) -> float:
        """What it can lend now: nothing while it borrows, or may have lent what it forgot."""
        if now < self.forgotten_until or any(now < until for _, until in self.borrowed.values()):
            return 0.0
        own = 1.0 - sum(part for part, until in self.lent.values() if now < until)
        return max(0.0, own - max(self.terms.keep, self.terms.spare * self.use))

    def turn(self, now: int, alive: Sequence[str], use: float, want: float) -> None:
        """`use`: what it spends of late; `want`: what it would. Asks for what it lacks, those with most idle
        first, others by chance."""
        self.use = use
        self.lent = {loan: lent for loan, lent in self.lent.items() if now < lent[1]}
        self.borrowed = {loan: had for loan, had in self.borrowed.items() if now < had[1]}
        self.asked = {ask: at for ask, at in self.asked.items() if now < at + self.terms.span}
        # the old run out meanwhile
        lacks = min(want, self.terms.most) - self.part(now + self.terms.span // 2)
        if now < self.next_ask:
            return
        self.next_ask = now + self.terms.span // 8
        if now < self.forgotten_until:
            for name in sorted(self.unheard):
                self.outbox.append((name, {"k": STARTED, "from": self.me, "n": self.life, "part": 0}))
        if lacks < self.terms.least or not alive:
            return
        order = list(alive)
        self.chance.shuffle(order)
        order.sort(key=lambda name: -self.idle_at.get(name, 0.5))
        for name in order[: self.terms.at_once]:
            self.number += 1
            self.asked[(name, self.number)] = now
            told = {"k": ASK, "from": self.me, "n": self.number, "part": round(lacks / self.terms.at_once, 3)}
            self.outbox.append((name, told))

    def heard(self, now: int, message: dict) -> None:
        """KeyError, TypeError or ValueError for what is no message of ours."""
        sender, number, part = message["from"], int(message["n"]), float(message["part"])
        if sender not in self.peers or not 0 <= part <= self.terms.most:
            raise ValueError(f"{sender}: no loan")
        if message["k"] == ASK:
            granted = self._lend(now, sender, number, part)
            told = {
                "k": LENT,
                "from": self.me,
                "n": number,
                "part": granted,
                "idle": round(self.idle(now), 3),
            }
            self.outbox.append((sender, told))
        elif message["k"] == STARTED:
            self.asked = {ask: at for ask, at in self.asked.items() if ask[0] != sender}
            had = [loan for (lender, _), loan in self.borrowed.items() if lender == sender and now < loan[1]]
            left = max((until - now for _, until in had), default=0)
            owed = round(sum(part for part, _ in had), 3)
            told = {"k": OWED, "from": self.me, "n": number, "part": owed, "left": left}
            self.outbox.append((sender, told))
        elif message["k"] == OWED:
            if number == self.life and sender in self.unheard:
                self._owed(now, sender, part, min(int(message["left"]), self.terms.span))
        elif (at := self.asked.pop((sender, number), None)) is not None:
            self.idle_at[sender] = float(message["idle"])
            if part and now < at + self.terms.span:
                self.borrowed[(sender, number)] = part, at + self.terms.span

    def _owed(self, now: int, borrower: str, part: float, left: int) -> None:
        """What an earlier life of this member has lent: gone without until it has run out."""
        self.unheard.discard(borrower)
        if part:
            self.lent[(borrower, -1)] = part, now + round(left * (1 + 2 * self.terms.margin))
        if not self.unheard and self.knows_all:
            self.forgotten_until = min(self.forgotten_until, now)

    def _lend(self, now: int, asker: str, number: int, part: float) -> float:
        if (known := self.lent.get((asker, number))) is not None:
            return known[0]  # the same ask once more: a copy on the way
        granted = round(min(part, self.idle(now)) - 0.0005, 3)
        if granted < self.terms.least:
            return 0.0
        self.lent[(asker, number)] = granted, now + self._withheld()
        return granted


def wanted(use: float, part: float, starved: bool) -> float:
    """What a member would spend: half as much again as it has while tickets wait for call time that is
    spent."""
    return max(1.5 * part, 1.25 * use) if starved else 1.25 * use
