"""A labelled ticket retried at another backend is not run again while the copies are in reach. Pure.

Rule 2 is each backend's alone, and stays so; this is more, for installations that want it. Each label has
three homes among all members that settings name, by rendezvous (Thaler, Ravishankar, 1998), so all agree on
them without a word. Before a member runs a labelled ticket it claims the label at its homes; a home grants
it to the first and tells every other who has it and, once it is over, the answer. Two of three grants, and
it runs: any two claims that both had two would have had a home in common. Otherwise the claim gives its
grants back and the caller is told to come again, or gets the answer.

- A home that started less than a label's window ago may have forgotten a grant: it says what it knows, and
  its grant does not count.
- Where two homes are out of reach, nobody can tell: the claim ends `UNSURE`, and what then is the operator's
  choice (run under rule 2 alone, or dismiss).
- Each claim has a number, and each life of a member its own name as an owner: a word about an earlier claim,
  late on the network, neither grants nor gives back a later one, and a member that starts anew does not take
  what its earlier life ran for its own.
- A claimant that dies leaves its grant standing until the window is over: the ticket may have run.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum

import xxhash

CLAIM, TOLD, OVER, BACK = 30, 31, 32, 33  # kinds: a claim, a home's word, it is over, the claim is given back
HOMES, NEEDED = 3, 2
LABEL_MOST, ANSWER_MOST = 128, 512  # bytes


class Claimed(Enum):
    OURS = "ours"  # run it
    ELSEWHERE = "elsewhere"  # another member runs it, or may have
    DONE = "done"  # it has run; here is the answer, if it was small enough
    UNSURE = "unsure"  # too few homes in reach to tell


def homes(label: str, members: Sequence[str]) -> list[str]:
    ranked = sorted(members, key=lambda name: xxhash.xxh64_intdigest(f"{name}\0{label}".encode()))
    return ranked[:HOMES]


@dataclass(slots=True)
class Grant:
    """What a home, or who runs it, knows of a label."""

    owner: str  # member.life
    until: int
    number: int  # of the claim
    over: bool = False
    answer: str | None = None


@dataclass(slots=True)
class Claim:
    """One of ours that is out."""

    label: str
    number: int
    window: int
    homes: list[str]
    until: int
    again: int
    tell: Callable[[Claimed, str | None], None]
    granted: set[str] = field(default_factory=set)
    silent: set[str] = field(default_factory=set)  # said that they cannot know


class Labels:
    """One member's part, as claimant and as home. Times in µs on a clock that only goes forward."""

    def __init__(
        self, me: str, members: Sequence[str], now: int, chance: random.Random, most: int, wait: int
    ) -> None:
        """`most` labels known here, as a home and as ours; `wait` for the homes' words."""
        self.me, self.members, self.born, self.most, self.wait = me, list(members), now, most, wait
        self.owner, self.number = f"{me}.{chance.randrange(1 << 32):08x}", 0
        self.known: dict[str, Grant] = {}  # as a home; emptied by each label's window
        self.ours: dict[str, Grant] = {}  # that run or ran here; emptied by each label's window
        self.claims: dict[str, Claim] = {}  # out, by label; emptied by their ends
        self.next_sweep = now
        self.full = 0
        self.outbox: list[tuple[str, dict]] = []

    def wake_at(self) -> int | None:
        return min((min(claim.again, claim.until) for claim in self.claims.values()), default=None)

    # As a claimant

    def claim(self, now: int, label: str, window: int, tell: Callable[[Claimed, str | None], None]) -> None:
        """Tells once, by `wait` at the latest. ValueError for what is no label."""
        if not label or len(label.encode()) > LABEL_MOST or window <= 0:
            raise ValueError(f"label {label[:20]!r}: is empty, too long or without a window")
        mine = self.ours.get(label)
        if mine is not None and mine.until > now:
            tell(Claimed.DONE if mine.over else Claimed.ELSEWHERE, mine.answer)
            return
        if label in self.claims or len(self.ours) >= self.most:
            tell(Claimed.ELSEWHERE if label in self.claims else Claimed.UNSURE, None)
            return
        self.number += 1
        at, again = homes(label, self.members), now + self.wait // 4
        claim = Claim(label, self.number, window, at, now + self.wait, again, tell)
        self.claims[label] = claim
        self._ask(now, claim)

    def _ask(self, now: int, claim: Claim) -> None:
        for home in claim.homes:
            if claim.label in self.claims and home not in claim.granted:
                told = {"k": CLAIM, "label": claim.label, "n": claim.number, "window": claim.window}
                self._to(now, home, told)

    def over(self, now: int, label: str, answer: str | None) -> None:
        """The ticket ran to its end; small answers are kept for who retries it."""
        if answer is not None and len(answer.encode()) > ANSWER_MOST:
            answer = None
        mine = self.ours.get(label)
        if mine is None:
            return
        mine.over, mine.answer = True, answer
        for home in homes(label, self.members):
            self._to(now, home, {"k": OVER, "label": label, "n": mine.number, "answer": answer})

    def never_ran(self, now: int, label: str) -> None:
        """It was granted and then not run: another try may have it."""
        mine = self.ours.pop(label, None)
        if mine is not None:
            self._give_back(now, label, mine.number)

    def _give_back(self, now: int, label: str, number: int) -> None:
        for home in homes(label, self.members):
            self._to(now, home, {"k": BACK, "label": label, "n": number})

    def _end(self, now: int, claim: Claim, what: Claimed, answer: str | None = None) -> None:
        del self.claims[claim.label]
        if what is Claimed.OURS:
            self.ours[claim.label] = Grant(self.owner, now + claim.window, claim.number)
        else:
            self._give_back(now, claim.label, claim.number)  # also what is granted but not told yet
        claim.tell(what, answer)

    # Time and messages

    def turn(self, now: int) -> None:
        for claim in list(self.claims.values()):
            if now >= claim.until:
                self._end(now, claim, Claimed.UNSURE)
            elif now >= claim.again:
                claim.again = now + self.wait // 4
                self._ask(now, claim)
        if now >= self.next_sweep:
            self.next_sweep = now + 1_000_000
            self.known = {label: grant for label, grant in self.known.items() if grant.until > now}
            self.ours = {label: grant for label, grant in self.ours.items() if grant.until > now}

    def heard(self, now: int, message: dict) -> None:
        """KeyError, TypeError or ValueError for what is no message of ours."""
        sender, kind, label = message["from"], message["k"], str(message["label"])
        number = int(message["n"])
        if sender not in self.members or len(label.encode()) > LABEL_MOST:
            raise ValueError(f"{sender}: no label of this fleet")
        if kind == CLAIM:
            self._claimed(now, sender, str(message["owner"]), label, number, int(message["window"]))
        elif kind == TOLD:
            self._told(now, sender, number, message)
        elif kind in (OVER, BACK):
            grant = self.known.get(label)
            mine = grant is not None and (grant.owner, grant.number) == (message["owner"], number)
            if mine and not grant.over:
                if kind == BACK:
                    del self.known[label]
                else:
                    grant.over, grant.answer = True, message["answer"]

    def _claimed(self, now: int, sender: str, owner: str, label: str, number: int, window: int) -> None:
        """As a home: the first has it."""
        grant = self.known.get(label)
        if grant is None or grant.until <= now:
            if len(self.known) >= self.most:
                self.full += 1
                self._to(now, sender, {"k": TOLD, "label": label, "n": number, "has": None})
                return
            grant = self.known[label] = Grant(owner, now + window, number)
        if grant.owner == owner and not grant.over:
            if number < grant.number:
                return  # a late copy of a claim that has ended
            grant.number = number
        told = {"k": TOLD, "label": label, "n": number, "has": grant.owner, "over": grant.over}
        told |= {"answer": grant.answer, "young": now - self.born < window}
        self._to(now, sender, told)

    def _told(self, now: int, sender: str, number: int, message: dict) -> None:
        claim = self.claims.get(message["label"])
        if claim is None or sender not in claim.homes or number != claim.number:
            return
        owner = message["has"]
        if owner is not None and message["over"]:
            self._end(now, claim, Claimed.DONE, message["answer"])
        elif owner is not None and owner != self.owner:
            self._end(now, claim, Claimed.ELSEWHERE)
        elif owner is None or message["young"]:
            claim.silent.add(sender)
            if len(claim.silent) > HOMES - NEEDED:
                self._end(now, claim, Claimed.UNSURE)
        else:
            claim.granted.add(sender)
            if len(claim.granted) >= NEEDED:
                self._end(now, claim, Claimed.OURS)

    def _to(self, now: int, home: str, message: dict) -> None:
        message |= {"from": self.me, "owner": self.owner}
        if home == self.me:
            self.heard(now, message)
        else:
            self.outbox.append((home, message))
