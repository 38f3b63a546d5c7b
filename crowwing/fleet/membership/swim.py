"""Failure detector of one member: SWIM with Lifeguard's refinements. Pure.

Sources: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (DSN 2002): one probe per period to a member in a shuffled round, indirect probes through `indirect`
other members, suspicion before death, incarnation numbers that only the member itself raises, updates
piggybacked on every message. Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate
Failure Detection" (2018): a local health multiplier that stretches a member's own period and time-outs while
it misses acks or has to refute, a suspicion time-out that shrinks with each independent confirmation, and
nacks: a helper that cannot reach the target either says so, and only helpers that do not answer at all count
against our health.

Changed for a fleet whose members are named in the settings: a dead member is still probed now and then
(`revive_every` periods), with the update about its death, so that it can refute it after a partition or a
restart. A draining member announces that it has left, which is not treated as a death; it comes back the same
way. Members that the settings do not name are ignored.

Times are whole microseconds passed in, and randomness is a seeded `random.Random` passed in. No I/O: messages
to send collect in `outbox` as (member name, message), state changes in `changes` as (member name, state,
incarnation); the caller empties both after every call. Every table holds at most one entry per member, or one
per probe in flight that its time-out removes.
"""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum

ALIVE, SUSPECT, DEAD, LEFT = "alive", "suspect", "dead", "left"
RANK = {ALIVE: 0, SUSPECT: 1, DEAD: 2, LEFT: 3}  # at the same incarnation, the higher rank wins
GONE = (DEAD, LEFT)
STALL_PERIODS = 2.0  # without a tick, which normally comes at least once per period
# As decoded from JSON: "k" kind, "from", "inc", "seq", and "news" [[name, state, inc, origin]].
Message = dict


class Kind(IntEnum):
    PING, ACK, PING_REQ, NACK = 0, 1, 2, 3


@dataclass(slots=True)
class PeerState:
    name: str
    state: str
    incarnation: int
    since: int  # µs, start of this state
    origins: set[str]  # members that suspect it at this incarnation; cleared by any other state


@dataclass(slots=True)
class Rumour:
    """The latest update about one member, and how often it was sent."""

    state: str
    incarnation: int
    origin: str
    sent: int


@dataclass(slots=True)
class Probe:
    """The probe of this period."""

    target: str
    seq: int
    sent: int
    helpers: set[str] | None = None  # asked to probe it too; None: not asked yet
    nacks: set[str] = field(default_factory=set)  # helpers that cannot reach it either


@dataclass(slots=True, frozen=True)
class Timing:
    """Settings of the protocol, times in µs; the parameters are those of the papers."""

    period: int = 1_000_000
    probe_timeout: int = 300_000
    indirect: int = 3
    suspect_periods: float = 4.0  # shortest suspicion, in periods times log10 of the fleet size
    suspect_most_times: float = 3.0  # longest suspicion, as a multiple of the shortest (Lifeguard)
    confirmations: int = 3  # independent suspicions that shorten it to the shortest (Lifeguard's K)
    max_health: int = 8  # Lifeguard's S: the local health multiplier stays within 0..S
    retransmit: float = 3.0  # an update is sent this many times log10 of the fleet size, at least once
    max_updates_per_message: int = 8  # bounds the size of a datagram
    revive_every: int = 8  # periods between probes of a dead member
    revive_indirect: bool = True  # use indirect probes for dead members too
    trust_reported_deaths: bool = True  # False: a reported death is a suspicion that own probes may clear


class Membership:
    """One member's view of a fixed set of members; call `tick` at `wake_at` or sooner and `receive` for each
    message."""

    def __init__(self, me: str, peers: Sequence[str], now: int, rng: random.Random, timing: Timing) -> None:
        if me in peers:
            raise ValueError(f"{me}: names itself among its peers")
        self.me, self.timing, self.rng = me, timing, rng
        self.incarnation = 0
        self.members = {name: PeerState(name, ALIVE, 0, now, set()) for name in peers}
        self.rumours: dict[str, Rumour] = {}  # by member; removed when sent often enough
        self.probe_order: list[str] = []
        self.seq = 0
        self.probe: Probe | None = None  # None between periods
        # Our seq -> (requester, its seq, until); removed by the ack or the time-out.
        self.relayed_probes: dict[int, tuple[str, int, int]] = {}
        self.health = 0
        self.last_tick = now
        self.leaving = False
        self.periods = 0
        self.period_at = now
        self.outbox: list[tuple[str, Message]] = []
        self.changes: list[tuple[str, str, int]] = []

    # State

    def alive(self) -> list[str]:
        return [name for name, member in self.members.items() if member.state not in GONE]

    def view(self) -> list[tuple[str, str, int, int]]:
        """(name, state, incarnation, since µs) of every member but this one."""
        return [(m.name, m.state, m.incarnation, m.since) for m in self.members.values()]

    def scaled(self, span: int) -> int:
        """A duration stretched by the local health multiplier (Lifeguard)."""
        return span * (self.health + 1)

    def wake_at(self) -> int:
        """The next time at which `tick` has something to do."""
        times = [self.period_at + self.scaled(self.timing.period)]
        if self.probe is not None and self.probe.helpers is None:
            times.append(self.probe.sent + self.scaled(self.timing.probe_timeout))
        times += [m.since + self._suspicion_timeout(m) for m in self.members.values() if m.state == SUSPECT]
        times += [until for _, _, until in self.relayed_probes.values()]
        return min(times)

    # Time

    def tick(self, now: int) -> None:
        timing = self.timing
        if now - self.last_tick > STALL_PERIODS * self.scaled(timing.period):
            # This process was stalled and received nothing: restart the probe and the suspicions, since the
            # others may have answered meanwhile.
            self.probe, self.period_at = None, now
            for member in self.members.values():
                member.since = now if member.state == SUSPECT else member.since
        self.last_tick = now
        self.expire_relays(now)
        for member in list(self.members.values()):
            if member.state == SUSPECT and now >= member.since + self._suspicion_timeout(member):
                self._set_state(member, DEAD, member.incarnation, self.me, now)
        probe = self.probe
        if probe is not None and probe.helpers is None:
            if now >= probe.sent + self.scaled(timing.probe_timeout):
                others = [name for name in self.alive() if name != probe.target]
                if not timing.revive_indirect and self.members[probe.target].state in GONE:
                    others = []
                probe.helpers = set(self.rng.sample(others, min(timing.indirect, len(others))))
                for helper in sorted(probe.helpers):
                    self._send(helper, Kind.PING_REQ, seq=probe.seq, target=probe.target)
        if now >= self.period_at + self.scaled(timing.period):
            self._end_period(now)

    def expire_relays(self, now: int) -> None:
        """Sends a nack for each relayed probe that went unanswered."""
        for seq, (requester, its_seq, until) in list(self.relayed_probes.items()):
            if now >= until:
                del self.relayed_probes[seq]
                self._send(requester, Kind.NACK, seq=its_seq)

    def _end_period(self, now: int) -> None:
        if self.probe is not None:  # no ack within the period: suspect the target, doubt our health
            target = self.members[self.probe.target]
            if target.state not in GONE:  # an unanswered revival probe says nothing about our health
                if target.state == ALIVE:
                    self._set_state(target, SUSPECT, target.incarnation, self.me, now)
                helpers = self.probe.helpers or set()
                self._adjust_health(len(helpers - self.probe.nacks) if helpers else 1)
        self.probe = None
        self.period_at, self.periods = now, self.periods + 1
        target = self._next_target()
        if target is not None:
            self.seq += 1
            self.probe = Probe(target, self.seq, now)
            self._send(target, Kind.PING, seq=self.seq)

    def _next_target(self) -> str | None:
        dead = [name for name, m in self.members.items() if m.state in GONE]
        if dead and self.periods % self.timing.revive_every == 0:
            return self.rng.choice(dead)
        while self.probe_order and self.members[self.probe_order[-1]].state in GONE:
            self.probe_order.pop()
        if not self.probe_order:
            self.probe_order = self.alive()
            self.rng.shuffle(self.probe_order)
        return self.probe_order.pop() if self.probe_order else None

    # Messages

    def receive(self, now: int, message: Message) -> None:
        """Handles a message; ValueError, without effect, for one that is malformed or not from a peer."""
        sender, kind, seq = message["from"], Kind(message["k"]), int(message["seq"])
        if sender not in self.members:
            raise ValueError(f"{sender}: is not a member of this fleet")
        updates = [(str(n), str(s), int(i), str(o)) for n, s, i, o in message.get("news", ())]
        if unknown := {state for _, state, _, _ in updates} - RANK.keys():
            raise ValueError(f"{', '.join(sorted(unknown))}: unknown state")
        target = str(message["target"]) if kind == Kind.PING_REQ else None
        self._record_incarnation(sender, int(message["inc"]), now)
        for name, state, incarnation, origin in updates:
            self._apply_update(name, state, incarnation, origin, now)
        if kind == Kind.PING:
            self._send(sender, Kind.ACK, seq=seq)
        elif kind == Kind.PING_REQ:
            if target in self.members:
                self.seq += 1
                # so that the nack arrives within the period
                until = now + self.scaled(self.timing.probe_timeout) * 4 // 5
                self.relayed_probes[self.seq] = sender, seq, until
                self._send(target, Kind.PING, seq=self.seq)
        elif kind == Kind.ACK:
            self._on_ack(sender, seq)
        elif kind == Kind.NACK and self.probe is not None and self.probe.seq == seq:
            self.probe.nacks.add(sender)

    def leave(self) -> None:
        """This member drains: announces that it leaves, and no longer refutes updates about itself."""
        self.leaving = True
        self._queue_update(self.me, LEFT, self.incarnation, self.me)
        for name in self.alive():
            self.ping(name)

    def ping(self, name: str, seq: int | None = None) -> None:
        """Sends a ping besides the periodic probe; with `seq`, one that belongs to that probe."""
        if seq is None:
            self.seq += 1
        self._send(name, Kind.PING, seq=self.seq if seq is None else seq)

    def ping_without_updates(self, name: str) -> None:
        """Sends a minimal ping without piggybacked updates."""
        self.seq += 1
        self.outbox.append((name, {"k": 0, "from": self.me, "inc": self.incarnation, "seq": self.seq}))

    def suspect(self, name: str, now: int) -> None:
        """Suspects a member that did not answer a ping besides the probes."""
        member = self.members[name]
        self._set_state(member, SUSPECT, member.incarnation, self.me, now)

    def _on_ack(self, sender: str, seq: int) -> None:
        if seq in self.relayed_probes:
            requester, its_seq, _ = self.relayed_probes.pop(seq)
            self._send(requester, Kind.ACK, seq=its_seq)
        elif self.probe is not None and self.probe.seq == seq:
            self.probe = None
            self._adjust_health(-1)

    def _record_incarnation(self, sender: str, incarnation: int, now: int) -> None:
        """A message from a member proves it alive at the incarnation in the message."""
        member = self.members[sender]
        if incarnation > member.incarnation:
            self._set_state(member, ALIVE, incarnation, sender, now)

    def _apply_update(self, name: str, state: str, incarnation: int, origin: str, now: int) -> None:
        if name == self.me:
            # refute it, and doubt our own health
            if state != ALIVE and incarnation >= self.incarnation and not self.leaving:
                self.incarnation = incarnation + 1
                self._queue_update(self.me, ALIVE, self.incarnation, self.me)
                self._adjust_health(+1)
            return
        member = self.members.get(name)
        if member is None:
            return
        if state == DEAD and member.state not in GONE and not self.timing.trust_reported_deaths:
            state = SUSPECT
        if incarnation > member.incarnation or (
            incarnation == member.incarnation and RANK[state] > RANK[member.state]
        ):
            self._set_state(member, state, incarnation, origin, now)
        elif (
            state == SUSPECT == member.state
            and incarnation == member.incarnation
            and origin not in member.origins
            and len(member.origins) <= self.timing.confirmations
        ):
            # Lifeguard: each independent suspicion shortens the time-out and spreads further. Those beyond
            # the needed confirmations do not spread: where a region is partitioned, all suspect all others
            # there.
            member.origins.add(origin)
            self._queue_update(name, SUSPECT, incarnation, origin)

    def _set_state(self, member: PeerState, state: str, incarnation: int, origin: str, now: int) -> None:
        changed = state != member.state
        member.state, member.incarnation = state, incarnation
        if changed:
            member.since = now
            self.changes.append((member.name, state, incarnation))
        member.origins = {origin} if state == SUSPECT else set()
        self._queue_update(member.name, state, incarnation, origin)

    def _suspicion_timeout(self, member: PeerState) -> int:
        """Suspicion time-out: from the longest down to the shortest as confirmations arrive."""
        timing = self.timing
        shortest = timing.suspect_periods * max(1.0, math.log10(len(self.members) + 1)) * timing.period
        longest = shortest * timing.suspect_most_times
        confirmed = max(0, len(member.origins) - 1)
        fall = math.log(confirmed + 1) / math.log(timing.confirmations + 1)
        return round(max(shortest, longest - (longest - shortest) * fall))

    def _adjust_health(self, step: int) -> None:
        self.health = min(self.timing.max_health, max(0, self.health + step))

    # Dissemination

    def _queue_update(self, name: str, state: str, incarnation: int, origin: str) -> None:
        self.rumours[name] = Rumour(state, incarnation, origin, 0)

    def _send(self, to: str, kind: Kind, **fields: object) -> None:
        message: Message = {"k": int(kind), "from": self.me, "inc": self.incarnation, **fields}
        if updates := self._select_updates(to):
            message["news"] = updates
        self.outbox.append((to, message))

    def _select_updates(self, to: str) -> list[list]:
        """The least sent updates, starting with what we believe about the addressee, so that it can refute it
        (Lifeguard)."""
        max_sends = max(1, math.ceil(self.timing.retransmit * math.log10(len(self.members) + 2)))
        chosen = sorted(self.rumours.items(), key=lambda item: (item[0] != to, item[1].sent))
        updates = []
        addressee = self.members[to]
        if addressee.state != ALIVE and to not in self.rumours:
            updates.append([to, addressee.state, addressee.incarnation, self.me])
        for name, rumour in chosen[: self.timing.max_updates_per_message - len(updates)]:
            updates.append([name, rumour.state, rumour.incarnation, rumour.origin])
            rumour.sent += 1
            if rumour.sent >= max_sends:
                del self.rumours[name]
        return updates
