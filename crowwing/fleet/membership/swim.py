"""Who of the fleet is alive, as one member sees it: SWIM with Lifeguard's refinements. Pure.

Sources: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (DSN 2002): a probe a period to one member in a shuffled round, indirect probes through `indirect`
others, suspicion before death, incarnation numbers that only the member itself raises, news piggybacked on
every message. Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
Detection" (2018): a local health multiplier that stretches a member's own period and timeouts while it misses
acks or has to refute, a suspicion timeout that shrinks with each independent confirmation, and a nack: a
helper that cannot reach the target either says so, and only helpers that say nothing count against our
health.

Changed for a fleet whose members are named in settings: a member declared dead is still probed now and then
(`revive_every` periods), with the news of its death, so that a healed partition or a restarted member comes
back by refuting it. A member that drains says that it has left, which nobody takes for a death; it comes back
the same way. Nothing else is learned of members that the settings do not name.

Times are whole microseconds handed in; chance is a seeded `random.Random` handed in. No I/O: what is to be
sent gathers in `outbox` as (member name, message), what changed in `changes` as (member name, state,
incarnation); the caller empties both after every call. Every table here holds at most one entry a member, or
one a probe in flight that its own timeout empties.
"""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum

ALIVE, SUSPECT, DEAD, LEFT = "alive", "suspect", "dead", "left"
RANK = {ALIVE: 0, SUSPECT: 1, DEAD: 2, LEFT: 3}  # at one incarnation, the later word wins
GONE = (DEAD, LEFT)
STOOD_STILL = 2.0  # periods without a turn, which comes once in one at least
Message = (
    dict  # as orjson carries it: "k" kind, "from", "inc", "seq", and "news" [[name, state, inc, origin]]
)


class Kind(IntEnum):
    PING, ACK, PING_REQ, NACK = 0, 1, 2, 3


@dataclass(slots=True)
class Member:
    name: str
    state: str
    incarnation: int
    since: int  # µs, when it came to this state
    origins: set[str]  # who has said it is suspected at this incarnation; emptied by any other state


@dataclass(slots=True)
class Rumour:
    """The latest news of one member, and how often it has gone out."""

    state: str
    incarnation: int
    origin: str
    sent: int


@dataclass(slots=True)
class Probe:
    """Of this period."""

    target: str
    seq: int
    sent: int
    helpers: set[str] | None = None  # asked to probe it too; None: not yet
    nacks: set[str] = field(default_factory=set)  # helpers that said they cannot reach it either


@dataclass(slots=True, frozen=True)
class Timing:
    """Of one member's protocol, in µs but for the counts; the kinds of value are the papers'."""

    period: int = 1_000_000
    probe_timeout: int = 300_000
    indirect: int = 3
    suspect_periods: float = 4.0  # the shortest suspicion, in periods times log10 of the fleet
    suspect_most_times: float = 3.0  # the longest, as a multiple of the shortest (Lifeguard)
    confirmations: int = 3  # after these many independent suspicions, the shortest (Lifeguard's K)
    health_most: int = 8  # Lifeguard's S: the local health multiplier stays within 0..S
    retransmit: float = 3.0  # a rumour goes out this many times log10 of the fleet, at least once
    news_most: int = 8  # rumours on one message; bounds a datagram
    revive_every: int = 8  # periods between probes of a member held dead
    revive_indirect: bool = True  # others are asked to probe one that is held dead, too
    hearsay: bool = True  # a death is believed as told; else as a suspicion that one's own probes may lift


class Membership:
    """One member's view of a fleet named beforehand: `turn` at `wake_at` or sooner, `heard` on each."""

    def __init__(
        self, me: str, peers: Sequence[str], now: int, chance: random.Random, timing: Timing
    ) -> None:
        if me in peers:
            raise ValueError(f"{me}: names itself among its peers")
        self.me, self.timing, self.chance = me, timing, chance
        self.incarnation = 0
        self.members = {name: Member(name, ALIVE, 0, now, set()) for name in peers}
        self.rumours: dict[
            str, Rumour
        ] = {}  # a member's name -> the latest news; emptied as sent often enough
        self.round: list[str] = []
        self.seq = 0
        self.probe: Probe | None = None  # None between periods
        self.relayed: dict[
            int, tuple[str, int, int]
        ] = {}  # our seq -> (asker, its seq, until); emptied by timeout
        self.health = 0
        self.looked = now
        self.leaving = False
        self.periods = 0
        self.period_at = now
        self.outbox: list[tuple[str, Message]] = []
        self.changes: list[tuple[str, str, int]] = []

    # What it knows

    def alive(self) -> list[str]:
        return [name for name, member in self.members.items() if member.state not in GONE]

    def view(self) -> list[tuple[str, str, int, int]]:
        """(name, state, incarnation, since µs) of every member but this one."""
        return [(m.name, m.state, m.incarnation, m.since) for m in self.members.values()]

    def scaled(self, span: int) -> int:
        """A span stretched by the local health multiplier (Lifeguard)."""
        return span * (self.health + 1)

    def wake_at(self) -> int:
        """The next moment at which `turn` has something to do."""
        moments = [self.period_at + self.scaled(self.timing.period)]
        if self.probe is not None and self.probe.helpers is None:
            moments.append(self.probe.sent + self.scaled(self.timing.probe_timeout))
        moments += [m.since + self._suspicion(m) for m in self.members.values() if m.state == SUSPECT]
        moments += [until for _, _, until in self.relayed.values()]
        return min(moments)

    # Time

    def turn(self, now: int) -> None:
        timing = self.timing
        if now - self.looked > STOOD_STILL * self.scaled(timing.period):
            # Guards against a process that stood still and takes the silence for the others': it heard
            # nobody.
            self.probe, self.period_at = None, now
            for member in self.members.values():
                member.since = now if member.state == SUSPECT else member.since
        self.looked = now
        self.end_relays(now)
        for member in list(self.members.values()):
            if member.state == SUSPECT and now >= member.since + self._suspicion(member):
                self._become(member, DEAD, member.incarnation, self.me, now)
        probe = self.probe
        if probe is not None and probe.helpers is None:
            if now >= probe.sent + self.scaled(timing.probe_timeout):
                others = [name for name in self.alive() if name != probe.target]
                if not timing.revive_indirect and self.members[probe.target].state in GONE:
                    others = []
                probe.helpers = set(self.chance.sample(others, min(timing.indirect, len(others))))
                for helper in sorted(probe.helpers):
                    self._send(helper, Kind.PING_REQ, seq=probe.seq, target=probe.target)
        if now >= self.period_at + self.scaled(timing.period):
            self._end_period(now)

    def end_relays(self, now: int) -> None:
        """Whoever asked us to probe hears that it went unanswered."""
        for seq, (asker, its_seq, until) in list(self.relayed.items()):
            if now >= until:
                del self.relayed[seq]
                self._send(asker, Kind.NACK, seq=its_seq)

    def _end_period(self, now: int) -> None:
        if self.probe is not None:  # no ack within the period: suspected, and our own health is less sure
            target = self.members[self.probe.target]
            if target.state not in GONE:  # a revival that goes unanswered says nothing of our health
                if target.state == ALIVE:
                    self._become(target, SUSPECT, target.incarnation, self.me, now)
                helpers = self.probe.helpers or set()
                self._health(len(helpers - self.probe.nacks) if helpers else 1)
        self.probe = None
        self.period_at, self.periods = now, self.periods + 1
        target = self._next_target()
        if target is not None:
            self.seq += 1
            self.probe = Probe(target, self.seq, now)
            self._send(target, Kind.PING, seq=self.seq)

    def _next_target(self) -> str | None:
        held_dead = [name for name, m in self.members.items() if m.state in GONE]
        if held_dead and self.periods % self.timing.revive_every == 0:
            return self.chance.choice(held_dead)
        while self.round and self.members[self.round[-1]].state in GONE:
            self.round.pop()
        if not self.round:
            self.round = self.alive()
            self.chance.shuffle(self.round)
        return self.round.pop() if self.round else None

    # Messages

    def heard(self, now: int, message: Message) -> None:
        """A message from a peer; one not of this fleet or not whole is a ValueError, and changes nothing."""
        sender, kind, seq = message["from"], Kind(message["k"]), int(message["seq"])
        if sender not in self.members:
            raise ValueError(f"{sender}: no member of this fleet")
        news = [(str(n), str(s), int(i), str(o)) for n, s, i, o in message.get("news", ())]
        if strange := {state for _, state, _, _ in news} - RANK.keys():
            raise ValueError(f"{', '.join(sorted(strange))}: no state")
        target = str(message["target"]) if kind == Kind.PING_REQ else None
        self._direct(sender, int(message["inc"]), now)
        for name, state, incarnation, origin in news:
            self._news(name, state, incarnation, origin, now)
        if kind == Kind.PING:
            self._send(sender, Kind.ACK, seq=seq)
        elif kind == Kind.PING_REQ:
            if target in self.members:
                self.seq += 1
                # the nack comes within the period
                until = now + self.scaled(self.timing.probe_timeout) * 4 // 5
                self.relayed[self.seq] = sender, seq, until
                self._send(target, Kind.PING, seq=self.seq)
        elif kind == Kind.ACK:
            self._acked(sender, seq)
        elif kind == Kind.NACK and self.probe is not None and self.probe.seq == seq:
            self.probe.nacks.add(sender)

    def leave(self) -> None:
        """This member drains: it says so to all, and does not refute what they then hold."""
        self.leaving = True
        self._rumour(self.me, LEFT, self.incarnation, self.me)
        for name in self.alive():
            self.ping(name)

    def ping(self, name: str, seq: int | None = None) -> None:
        """Beside the probes of the periods; with `seq`, as another of the probe that has it."""
        if seq is None:
            self.seq += 1
        self._send(name, Kind.PING, seq=self.seq if seq is None else seq)

    def ask(self, name: str) -> None:
        """Whether it is there, in the fewest bytes: a ping that brings no news."""
        self.seq += 1
        self.outbox.append((name, {"k": 0, "from": self.me, "inc": self.incarnation, "seq": self.seq}))

    def suspect(self, name: str, now: int) -> None:
        """One that was asked beside the probes and did not answer."""
        member = self.members[name]
        self._become(member, SUSPECT, member.incarnation, self.me, now)

    def _acked(self, sender: str, seq: int) -> None:
        if seq in self.relayed:
            asker, its_seq, _ = self.relayed.pop(seq)
            self._send(asker, Kind.ACK, seq=its_seq)
        elif self.probe is not None and self.probe.seq == seq:
            self.probe = None
            self._health(-1)

    def _direct(self, sender: str, incarnation: int, now: int) -> None:
        """A message from a member proves it alive at the incarnation it tells."""
        member = self.members[sender]
        if incarnation > member.incarnation:
            self._become(member, ALIVE, incarnation, sender, now)

    def _news(self, name: str, state: str, incarnation: int, origin: str, now: int) -> None:
        if name == self.me:
            # refuted, and our own health is less sure
            if state != ALIVE and incarnation >= self.incarnation and not self.leaving:
                self.incarnation = incarnation + 1
                self._rumour(self.me, ALIVE, self.incarnation, self.me)
                self._health(+1)
            return
        member = self.members.get(name)
        if member is None:
            return
        if state == DEAD and member.state not in GONE and not self.timing.hearsay:
            state = SUSPECT
        if incarnation > member.incarnation or (
            incarnation == member.incarnation and RANK[state] > RANK[member.state]
        ):
            self._become(member, state, incarnation, origin, now)
        elif (
            state == SUSPECT == member.state
            and incarnation == member.incarnation
            and origin not in member.origins
            and len(member.origins) <= self.timing.confirmations
        ):
            # Lifeguard: each independent suspicion shortens the wait, and goes on. One more than shortens it
            # is not told on: where a whole region is cut off, everybody suspects everybody there.
            member.origins.add(origin)
            self._rumour(name, SUSPECT, incarnation, origin)

    def _become(self, member: Member, state: str, incarnation: int, origin: str, now: int) -> None:
        changed = state != member.state
        member.state, member.incarnation = state, incarnation
        if changed:
            member.since = now
            self.changes.append((member.name, state, incarnation))
        member.origins = {origin} if state == SUSPECT else set()
        self._rumour(member.name, state, incarnation, origin)

    def _suspicion(self, member: Member) -> int:
        """How long a suspicion stands: from the longest down to the shortest as confirmations come."""
        timing = self.timing
        shortest = timing.suspect_periods * max(1.0, math.log10(len(self.members) + 1)) * timing.period
        longest = shortest * timing.suspect_most_times
        told = max(0, len(member.origins) - 1)
        fall = math.log(told + 1) / math.log(timing.confirmations + 1)
        return round(max(shortest, longest - (longest - shortest) * fall))

    def _health(self, step: int) -> None:
        self.health = min(self.timing.health_most, max(0, self.health + step))

    # Dissemination

    def _rumour(self, name: str, state: str, incarnation: int, origin: str) -> None:
        self.rumours[name] = Rumour(state, incarnation, origin, 0)

    def _send(self, to: str, kind: Kind, **fields: object) -> None:
        message: Message = {"k": int(kind), "from": self.me, "inc": self.incarnation, **fields}
        if news := self._gossip(to):
            message["news"] = news
        self.outbox.append((to, message))

    def _gossip(self, to: str) -> list[list]:
        """The least sent rumours; what we believe of the addressee first, so that it can refute
        (Lifeguard)."""
        most = max(1, math.ceil(self.timing.retransmit * math.log10(len(self.members) + 2)))
        chosen = sorted(self.rumours.items(), key=lambda item: (item[0] != to, item[1].sent))
        news = []
        addressee = self.members[to]
        if addressee.state != ALIVE and to not in self.rumours:
            news.append([to, addressee.state, addressee.incarnation, self.me])
        for name, rumour in chosen[: self.timing.news_most - len(news)]:
            news.append([name, rumour.state, rumour.incarnation, rumour.origin])
            rumour.sent += 1
            if rumour.sent >= most:
                del self.rumours[name]
        return news
