"""Idempotency keys across members: a keyed request retried at another backend runs only once. Pure.

This holds as long as the home members of the key (see below) can be reached.

Each backend by itself already runs work that must not be repeated only once (rule 2). This module extends the
rule over the fleet, for installations that want it. Each key has three home members among all that the
settings name, by rendezvous hashing (Thaler, Ravishankar, 1998), so all members agree on them without a
message. Before a member runs a keyed request it claims the key at its homes. A home grants the key to the
first claimant; later claimants are told who owns it and, once the request has completed, the answer. With two
of three grants the request runs; no other claim can get two as well, because two pairs of homes always share
one. Otherwise the claim releases its grants, and the caller is told to retry later or gets the answer.

- A home that started less than a key's window ago may have forgotten a grant: it reports what it knows, and
  its grant does not count.
- Where two homes cannot be reached, the claim ends `UNSURE`, and the operator's settings decide whether the
  request runs with rule 2 of its backend alone or is rejected.
- Each claim has a number and each incarnation of a member its own owner name: a late message about an earlier
  claim neither grants nor releases a later one, and a restarted member does not treat what its earlier
  incarnation ran as its own.
- A claimant that dies leaves its grant in place until the window is over: the request may have run.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum

import xxhash

# Message kinds; a home answers a claim with GRANT_STATE.
CLAIM, GRANT_STATE, COMPLETED, RELEASED = 30, 31, 32, 33
HOME_COUNT, REQUIRED_GRANTS = 3, 2
MAX_KEY_BYTES, MAX_ANSWER_BYTES = 128, 512


class ClaimResult(Enum):
    OURS = "ours"  # the caller may run it
    ELSEWHERE = "elsewhere"  # another member runs it or may have run it
    DONE = "done"  # it has completed; the answer is given if it was small enough
    UNSURE = "unsure"  # too few homes answered


def home_members(key: str, members: Sequence[str]) -> list[str]:
    ranked = sorted(members, key=lambda name: xxhash.xxh64_intdigest(f"{name}\0{key}".encode()))
    return ranked[:HOME_COUNT]


@dataclass(slots=True)
class Grant:
    """What a home member or the owner knows about a key."""

    owner: str  # member.incarnation
    until: int
    claim_number: int
    completed: bool = False
    answer: str | None = None


@dataclass(slots=True)
class Claim:
    """A pending claim of this member."""

    key: str
    claim_number: int
    window: int
    home_members: list[str]
    deadline: int
    resend_at: int
    on_result: Callable[[ClaimResult, str | None], None]
    granted_by: set[str] = field(default_factory=set)
    uncertain: set[str] = field(default_factory=set)  # homes whose grant does not count


class IdempotencyKeys:
    """One member's part, as claimant and as home. Times in µs on a monotonic clock."""

    def __init__(
        self, me: str, members: Sequence[str], now: int, rng: random.Random, max_keys: int, claim_timeout: int
    ) -> None:
        """`max_keys`: limit of the keys kept as home, and of those kept as owner."""
        self.me, self.members, self.started_at, self.max_keys, self.claim_timeout = (
            me,
            list(members),
            now,
            max_keys,
            claim_timeout,
        )
        self.owner, self.claim_number = f"{me}.{rng.randrange(1 << 32):08x}", 0
        self.grants: dict[str, Grant] = {}  # as a home; removed after each key's window
        self.own_grants: dict[
            str, Grant
        ] = {}  # of requests that run or ran here; removed after each key's window
        self.claims: dict[str, Claim] = {}  # pending, by key; removed at their end
        self.next_expiry = now
        self.rejected_claims = 0
        self.outbox: list[tuple[str, dict]] = []

    def wake_at(self) -> int | None:
        return min((min(claim.resend_at, claim.deadline) for claim in self.claims.values()), default=None)

    # Claimant

    def claim(
        self, now: int, key: str, window: int, on_result: Callable[[ClaimResult, str | None], None]
    ) -> None:
        """Calls `on_result` once, after `claim_timeout` at the latest. ValueError for an invalid key."""
        if not key or len(key.encode()) > MAX_KEY_BYTES or window <= 0:
            raise ValueError(f"idempotency key {key[:20]!r}: is empty, too long or without a window")
        own_grant = self.own_grants.get(key)
        if own_grant is not None and own_grant.until > now:
            on_result(ClaimResult.DONE if own_grant.completed else ClaimResult.ELSEWHERE, own_grant.answer)
            return
        if key in self.claims or len(self.own_grants) >= self.max_keys:
            on_result(ClaimResult.ELSEWHERE if key in self.claims else ClaimResult.UNSURE, None)
            return
        self.claim_number += 1
        homes, resend_at = home_members(key, self.members), now + self.claim_timeout // 4
        claim = Claim(key, self.claim_number, window, homes, now + self.claim_timeout, resend_at, on_result)
        self.claims[key] = claim
        self._send_claims(now, claim)

    def _send_claims(self, now: int, claim: Claim) -> None:
        for home in claim.home_members:
            if claim.key in self.claims and home not in claim.granted_by:
                message = {"k": CLAIM, "label": claim.key, "n": claim.claim_number, "window": claim.window}
                self._send(now, home, message)

    def complete(self, now: int, key: str, answer: str | None) -> None:
        """The request has completed; small answers are kept for its retries."""
        if answer is not None and len(answer.encode()) > MAX_ANSWER_BYTES:
            answer = None
        own_grant = self.own_grants.get(key)
        if own_grant is None:
            return
        own_grant.completed, own_grant.answer = True, answer
        for home in home_members(key, self.members):
            self._send(
                now, home, {"k": COMPLETED, "label": key, "n": own_grant.claim_number, "answer": answer}
            )

    def release(self, now: int, key: str) -> None:
        """The key was granted but the request did not run: another attempt may claim it."""
        own_grant = self.own_grants.pop(key, None)
        if own_grant is not None:
            self._send_release(now, key, own_grant.claim_number)

    def _send_release(self, now: int, key: str, number: int) -> None:
        for home in home_members(key, self.members):
            self._send(now, home, {"k": RELEASED, "label": key, "n": number})

    def _finish(self, now: int, claim: Claim, result: ClaimResult, answer: str | None = None) -> None:
        del self.claims[claim.key]
        if result is ClaimResult.OURS:
            self.own_grants[claim.key] = Grant(self.owner, now + claim.window, claim.claim_number)
        else:
            # Also releases grants whose message is still on its way.
            self._send_release(now, claim.key, claim.claim_number)
        claim.on_result(result, answer)

    # Time and messages

    def tick(self, now: int) -> None:
        for claim in list(self.claims.values()):
            if now >= claim.deadline:
                self._finish(now, claim, ClaimResult.UNSURE)
            elif now >= claim.resend_at:
                claim.resend_at = now + self.claim_timeout // 4
                self._send_claims(now, claim)
        if now >= self.next_expiry:
            self.next_expiry = now + 1_000_000
            self.grants = {key: grant for key, grant in self.grants.items() if grant.until > now}
            self.own_grants = {key: grant for key, grant in self.own_grants.items() if grant.until > now}

    def receive(self, now: int, message: dict) -> None:
        """KeyError, TypeError or ValueError for a malformed message."""
        sender, kind, key = message["from"], message["k"], str(message["label"])
        number = int(message["n"])
        if sender not in self.members or len(key.encode()) > MAX_KEY_BYTES:
            raise ValueError(f"{sender}: is not a member of this fleet, or the key is too long")
        if kind == CLAIM:
            self._on_claim(now, sender, str(message["owner"]), key, number, int(message["window"]))
        elif kind == GRANT_STATE:
            self._on_grant_state(now, sender, number, message)
        elif kind in (COMPLETED, RELEASED):
            grant = self.grants.get(key)
            matches = grant is not None and (grant.owner, grant.claim_number) == (message["owner"], number)
            if matches and not grant.completed:
                if kind == RELEASED:
                    del self.grants[key]
                else:
                    grant.completed, grant.answer = True, message["answer"]

    def _on_claim(self, now: int, sender: str, owner: str, key: str, number: int, window: int) -> None:
        """As a home member: grants the key to the first claimant."""
        grant = self.grants.get(key)
        if grant is None or grant.until <= now:
            if len(self.grants) >= self.max_keys:
                self.rejected_claims += 1
                self._send(now, sender, {"k": GRANT_STATE, "label": key, "n": number, "has": None})
                return
            grant = self.grants[key] = Grant(owner, now + window, number)
        if grant.owner == owner and not grant.completed:
            if number < grant.claim_number:
                return  # a late duplicate of a claim that has ended
            grant.claim_number = number
        response = {"k": GRANT_STATE, "label": key, "n": number, "has": grant.owner, "over": grant.completed}
        response |= {"answer": grant.answer, "young": now - self.started_at < window}
        self._send(now, sender, response)

    def _on_grant_state(self, now: int, sender: str, number: int, message: dict) -> None:
        claim = self.claims.get(message["label"])
        if claim is None or sender not in claim.home_members or number != claim.claim_number:
            return
        owner = message["has"]
        if owner is not None and message["over"]:
            self._finish(now, claim, ClaimResult.DONE, message["answer"])
        elif owner is not None and owner != self.owner:
            self._finish(now, claim, ClaimResult.ELSEWHERE)
        elif owner is None or message["young"]:
            claim.uncertain.add(sender)
            if len(claim.uncertain) > HOME_COUNT - REQUIRED_GRANTS:
                self._finish(now, claim, ClaimResult.UNSURE)
        else:
            claim.granted_by.add(sender)
            if len(claim.granted_by) >= REQUIRED_GRANTS:
                self._finish(now, claim, ClaimResult.OURS)

    def _send(self, now: int, home: str, message: dict) -> None:
        message |= {"from": self.me, "owner": self.owner}
        if home == self.me:
            self.receive(now, message)
        else:
            self.outbox.append((home, message))
