"""The decisions of one replica: no input or output, no clock and no chance of its own.

A view names the members that hold the data and the witnesses that decide failover. An entry is committed once
every member of the view has it on disk. A new view needs, in this order: promises of a majority of the
witnesses of the highest accepted view (after which nothing more is committed under it), a candidate that was
a member of that view, the candidate's data on disk at every member of the new view, and its acceptance by
majorities of the old and the new witnesses. docs/serving-tier.md has the argument why no committed entry is
lost.
"""

import enum
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol

from crowwing.tier.replication import messages as m
from crowwing.tier.replication.log import EntryLog

log = logging.getLogger("crowwing.replication")

HEARTBEAT_S = 0.07
SUSPECT_S, SUSPECT_TURN_S, SUSPECT_SPREAD_S = 0.4, 0.12, 0.05  # silence after which the first member
# campaigns, the time that each next one waits longer, and a random part
SUSPECT_SYNCS = 3.0  # writes of its own disk that it waits longer, so that slow ones don't campaign in turns
STICKY_S = 0.35  # a witness that heard the primary so lately helps nobody else
MEMBER_SILENT_S = 0.4  # after which the primary leaves a member out
LEASE_S = 0.3  # under STICKY_S: a primary confirmed so lately is the only one
PREPARE_GRACE_S, PREPARE_LIMIT_S = 0.08, 1.0
SYNC_GRACE_S, SYNC_LIMIT_S, ACCEPT_LIMIT_S = 0.6, 3.0, 1.2
RECONFIGURE_PAUSE_S = 0.3
HANDOVER_PAUSE_S = 0.4  # after a member was asked to take over
LEARNER_SYNC_S = 0.5
LEARN_S, JOIN_S = 0.2, 0.3
JOIN_FRESH_S = 1.0  # how long one request to join counts
LISTEN_S = 0.15  # after a start, for heartbeats of a primary that is there
GONE_S, REPLACED_S = 8.0, 1.0  # silence after which a witness is dropped; where another takes its place
NEAR_ENTRIES = 200  # a learner so close behind is taken in
SLOW_SYNC_S, SLOW_FACTOR = 0.1, 4.0  # a write that takes so long, and so much longer than at most other
# members, is left out where enough copies stay; with half of that time it is taken back


class Machine(Protocol):
    """The state that the entries make up."""

    def apply(self, payload: bytes) -> None:
        """Takes one entry in."""

    def dump(self) -> bytes:
        """The whole state."""

    def load(self, state: bytes) -> None:
        """Replaces the whole state."""


class Role(enum.Enum):
    """What a replica is doing."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    PRIMARY = "primary"


class Phase(enum.Enum):
    """How far a candidate has come."""

    PREPARE = "prepare"
    SYNC = "sync"
    ACCEPT = "accept"


@dataclass
class Output:
    """What a step asks for: records to be put on disk, then the messages that wait for them."""

    records: list[Any] = field(default_factory=list)
    durable: list[tuple[str, Any]] = field(default_factory=list)  # (receiver, message), after the records
    immediate: list[tuple[str, Any]] = field(default_factory=list)


@dataclass
class Campaign:
    """A candidate's way to its view."""

    phase: Phase
    since: float
    handover: bool
    promises: dict[str, m.Promise] = field(default_factory=dict)
    asked: set[str] = field(default_factory=set)
    majority_at: float | None = None
    base: m.View | None = None
    targets: set[str] = field(default_factory=set)
    synced: set[str] = field(default_factory=set)
    view: m.View | None = None
    accepted: set[str] = field(default_factory=set)


def majority(count: int) -> int:
    """The least number that two groups of out of `count` can't both have."""
    return count // 2 + 1


def slow_disks(sync_s: dict[str, float]) -> set[str]:
    """Of some replicas, those whose disk is slow, also beside that of most others."""
    if not sync_s:
        return set()
    usual = sorted(sync_s.values())[(len(sync_s) - 1) // 2]
    return {name for name, taken in sync_s.items() if taken >= max(SLOW_SYNC_S, SLOW_FACTOR * usual)}


class Replica:
    """One replica. Feed it `tick` and `receive`, then carry out `take_output()`."""

    def __init__(
        self,
        me: str,
        seeds: Iterable[str],
        machine: Machine,
        faults: int,
        now: float,
        random: Callable[[], float],
        started: float | None = None,
    ) -> None:
        """`started`: when this life began, if that was before `now`; nothing was answered in it yet."""
        self.me, self._machine, self._random = me, machine, random
        self._seeds = set(seeds) - {me}
        self.min_copies, self.min_witnesses = faults + 1, 2 * faults + 1
        self.log = EntryLog()
        self.promised: m.Ballot = m.NO_BALLOT
        self.view: m.View | None = None
        self.synced: m.Ballot = m.NO_BALLOT
        self.whole = False  # False: without memory of what this replica has promised
        self.role = Role.FOLLOWER
        self.commit_index = 0
        self.excluded: frozenset[str] = frozenset()
        self.disk_stalled = False  # a write has been under way for long
        self.sync_s = 0.0  # that this replica's disk takes for a write, smoothed
        self.leader: str | None = None
        self.leader_heard = now if started is None else started
        self._listen_until = now + LISTEN_S
        self._output = Output()
        self._campaign: Campaign | None = None
        self._started = now if started is None else started
        self._remembers = False  # whether this is a later life
        self._campaign_at = now + SUSPECT_S
        self._asked_at = -1e9
        self._seen_round = 0
        self._learned: dict[str, m.Learned] = {}
        self._peers: set[str] = set(self._seeds)
        self._reset_primary(now)

    def _reset_primary(self, now: float) -> None:
        self._acked: dict[str, int] = {}
        self._heard: dict[str, float] = {}
        self._rounds: dict[int, float] = {}
        self._round_acks: dict[int, set[str]] = {}
        self._round = 0
        self.confirmed_at = now
        self._beat_at = -1e9
        self._active_since = now
        self._joiners: dict[str, float] = {}
        self._learner_sync: dict[str, float] = {}
        self._ready: set[str] = set()
        self._sync_s: dict[str, float] = {}
        self._unsent: list[m.Entry] = []  # entries that the other members have not been sent yet
        self._handover_at = -1e9

    # Start

    def bootstrap(self, members: Iterable[str]) -> None:
        """The first start of the whole system, with an empty disk, at a machine that the seeds name."""
        names = tuple(sorted(members))
        self.view = m.View(m.FIRST_BALLOT, names, names)
        self.promised = self.synced = m.FIRST_BALLOT
        self.whole = True
        if names and names[0] == self.me:
            self._campaign_at = self.leader_heard
        self.leader_heard -= STICKY_S
        self._output.records += [
            m.PromiseRecord(self.promised),
            m.ViewRecord(self.view),
            m.SyncedRecord(self.synced),
        ]

    def recover(self, records: Iterable[Any]) -> None:
        """Takes in what the disk holds."""
        self._remembers = True
        for record in records:
            match record:
                case m.PromiseRecord(ballot):
                    self.promised = max(self.promised, ballot)
                    self.whole = True
                case m.ViewRecord(view):
                    self.view, self.promised = view, max(self.promised, view.ballot)
                case m.SyncedRecord(ballot):
                    self.synced = ballot
                case m.SnapshotRecord(last, state):
                    self._machine.load(state)
                    self.log.reset(last)
                case m.Entry():
                    if record.index == self.log.last[1] + 1:
                        self._machine.apply(record.payload)
                        self.log.append(record)

        self._campaign_at = self._turn(self._started)

    def _turn(self, heard: float) -> float:
        """When this member campaigns if it hears nothing more: one member after another."""
        members = self.view.members if self.view is not None else ()
        others = [member for member in members if member != self.leader]
        place = others.index(self.me) if self.me in others else len(others)
        patience = SUSPECT_S + SUSPECT_SYNCS * self.sync_s
        return heard + patience + SUSPECT_TURN_S * place + SUSPECT_SPREAD_S * self._random()

    def compacted(self) -> list[Any]:
        """Records that stand for everything so far."""
        records: list[Any] = [m.SnapshotRecord(self.log.last, self._machine.dump())]
        if self.whole:
            records.append(m.PromiseRecord(self.promised))
        if self.view is not None:
            records.append(m.ViewRecord(self.view))
        return [*records, m.SyncedRecord(self.synced)]

    def take_output(self) -> Output:
        """What is to be carried out since the last call."""
        output, self._output = self._output, Output()
        return output

    def _send(self, to: str, message: Any, durable: bool = False) -> None:  # noqa: ANN401
        (self._output.durable if durable or to == self.me else self._output.immediate).append((to, message))

    # What others may ask

    @property
    def known(self) -> set[str]:
        """All replicas that this one knows of, without itself."""
        known = self._peers | set(self._joiners)
        if self.view is not None:
            known |= set(self.view.members) | set(self.view.witnesses)
        return known - {self.me}

    def holds_lease(self, now: float) -> bool:
        """Whether this replica is certainly the only primary."""
        return self.role is Role.PRIMARY and now - self.confirmed_at < LEASE_S

    def propose(self, now: float, payload: bytes) -> int | None:
        """Appends one entry; gives its index, or None where this is not the primary."""
        if self.role is not Role.PRIMARY or self.view is None:
            return None
        entry = m.Entry(self.promised, self.log.last[1] + 1, payload)
        self._take_entries([entry])
        self._unsent.append(entry)
        self._send(self.me, m.Appended(self.promised, self.me, entry.index), durable=True)
        return entry.index

    def send_entries(self) -> None:
        """Sends what was proposed since the last call to the other members, as one message.

        To be called when the own disk begins a write, since a commit waits for that write anyway.
        """
        if self.role is Role.PRIMARY and self.view is not None and self._unsent:
            append = m.Append(self.promised, self.me, tuple(self._unsent))
            for member in self.view.members:
                if member != self.me:
                    self._send(member, append)
        self._unsent = []

    def beat_now(self, now: float) -> int:
        """Starts a round of heartbeats at once, and gives its number."""
        self._beat(now)
        return self._round

    def round_confirmed(self, number: int) -> bool:
        """Whether a majority of the witnesses has answered this round or a later one."""
        return any(number <= later and self._round_majority(later) for later in self._round_acks)

    def lead_off(self, now: float) -> None:
        """Hands the role over, where this is the primary and another member can take it."""
        if self.role is not Role.PRIMARY or self.view is None:
            return
        others = [x for x in self.view.members if x != self.me and x not in self.excluded]
        if others:
            slow = self._slow_members()
            freshest = max(
                others, key=lambda x: (x not in slow, self._acked.get(x, 0), self._heard.get(x, 0.0))
            )
            self._send(freshest, m.Handover(self.promised, self.me))

    def stand_down(self, now: float, why: str) -> None:
        """Stops leading because its own machine can't go on; another member is asked to take over."""
        self.lead_off(now)
        self._step_down(now, why)
        self.leader = None

    # Time

    def tick(self, now: float) -> None:
        """To be called every few hundredths of a second."""
        if not self.whole:
            if now - self._asked_at >= LEARN_S:
                self._asked_at = now
                for peer in sorted(self.known):
                    self._send(peer, m.Learn(self.me))
        elif self.role is Role.PRIMARY:
            self._tick_primary(now)
        elif self.role is Role.CANDIDATE:
            self._tick_candidate(now)
        elif now - self.leader_heard >= STICKY_S and now >= max(self._campaign_at, self._listen_until):
            self._tick_follower(now)

    def _tick_follower(self, now: float) -> None:
        if self._may_lead():
            self._start_campaign(now, handover=False)
        else:
            self._ask_to_join(now)

    def _ask_to_join(self, now: float) -> None:
        if now - self._asked_at >= JOIN_S:
            self._asked_at = now
            for peer in sorted(self.known):
                self._send(peer, m.Join(self.me, False))

    def _may_lead(self) -> bool:
        view = self.view
        return (
            view is not None
            and self.me in view.members
            and self.synced >= view.ballot
            and self.me not in self.excluded
            and not self.disk_stalled
        )

    def _heard_leader(self, now: float, leader: str) -> None:
        self.leader, self.leader_heard = leader, now
        self._campaign_at = self._turn(now)

    def _step_down(self, now: float, why: str) -> None:
        if self.role is not Role.FOLLOWER:
            log.info("steps down from %s at ballot %s: %s", self.role.value, self.promised, why)
        self.role, self._campaign = Role.FOLLOWER, None
        self._campaign_at = max(self._campaign_at, self._turn(now))

    # Messages

    def receive(self, now: float, message: Any) -> None:  # noqa: ANN401
        """Takes one message in."""
        handler = getattr(self, "_on_" + type(message).__name__.lower())
        handler(now, message)

    def _on_learn(self, now: float, x: m.Learn) -> None:
        self._peers.add(x.sender)
        if self.whole:
            self._send(x.sender, m.Learned(self.me, self.promised, self.view), durable=True)

    def _on_learned(self, now: float, x: m.Learned) -> None:
        """Each majority that this replica was in has another of its members among those that answered."""
        if self.whole:
            return
        self._learned[x.sender] = x
        views = [answer.view for answer in self._learned.values() if answer.view is not None]
        if not views:
            return
        view = max(views, key=lambda view: view.ballot)
        self._peers |= set(view.witnesses) - {self.me}
        answered = set(self._learned) & set(view.witnesses) - {self.me}
        count = len(view.witnesses)
        if len(answered) >= count - majority(count) + 1:
            self.promised = max(answer.promised for answer in self._learned.values())
            self.whole = True
            self._output.records.append(m.PromiseRecord(self.promised))
            log.info("has learned that ballot %s was promised", self.promised)

    def _on_join(self, now: float, x: m.Join) -> None:
        self._peers.add(x.sender)
        if self.role is Role.PRIMARY and x.sender not in self.excluded:
            self._joiners[x.sender] = now
        elif not x.forwarded and self.leader not in (None, self.me, x.sender):
            self._send(self.leader, m.Join(x.sender, True))

    def _on_prepare(self, now: float, x: m.Prepare) -> None:
        if not self.whole:
            return
        if now - self._started < STICKY_S and self._remembers and x.sender != self.me and not x.handover:
            return  # it may have vouched for a primary just before it ended
        leader_lives = self.leader not in (None, x.sender) and now - self.leader_heard < STICKY_S
        if self.role is Role.PRIMARY and x.sender != self.me:
            leader_lives = self.holds_lease(now)
        if x.ballot <= self.promised and x.sender != self.me or (leader_lives and not x.handover):
            self._send(x.sender, m.Refuse(x.ballot, self.me, self.promised), durable=True)
            return
        if x.sender != self.me:
            if self.role is not Role.FOLLOWER:
                self._step_down(now, f"{x.sender} prepares ballot {x.ballot}")
            self._promise(x.ballot)
            self._campaign_at = self._turn(now)
        promise = m.Promise(x.ballot, self.me, self.view, self.synced, self.log.last, self.sync_s)
        self._send(x.sender, promise, durable=True)

    def _promise(self, ballot: m.Ballot) -> None:
        self.promised = ballot
        self._output.records.append(m.PromiseRecord(ballot))

    def _on_refuse(self, now: float, x: m.Refuse) -> None:
        if x.ballot != self.promised or self.role is Role.FOLLOWER:
            return
        if x.promised > self.promised:
            if self.role is Role.PRIMARY and self._may_lead():  # somebody tried meanwhile: go above
                self._start_campaign(now, handover=False, above=x.promised)
            else:
                self._step_down(now, f"{x.sender} is bound to {x.promised}")
                self._seen_round = max(self._seen_round, x.promised[0])
        elif self._campaign is not None and self._campaign.phase is Phase.PREPARE:
            self._step_down(now, f"{x.sender} hears another primary")
            self._ask_to_join(now)

    def _on_handover(self, now: float, x: m.Handover) -> None:
        if x.ballot == self.promised and self.role is Role.FOLLOWER and self._may_lead():
            self._start_campaign(now, handover=True)

    # Candidate

    def _start_campaign(self, now: float, handover: bool, above: m.Ballot = m.NO_BALLOT) -> None:
        assert self.view is not None
        round_number = max(self.promised[0], above[0], self._seen_round) + 1
        was_primary, leads = self.role is Role.PRIMARY, self.holds_lease(now)
        joiners = {x for x, at in self._joiners.items() if now - at < JOIN_FRESH_S} if was_primary else set()
        self._promise((round_number, self.me))
        self._unsent = []  # the new view's members get them with its data
        self.role = Role.CANDIDATE
        campaign = Campaign(Phase.PREPARE, now, handover or leads)
        self._campaign = campaign
        if not was_primary:
            log.info("campaigns with ballot %s", self.promised)
        for other in sorted({*self.view.witnesses, *self.view.members, *joiners, self.me}):
            self._ask(campaign, other)

    def _ask(self, campaign: Campaign, other: str) -> None:
        campaign.asked.add(other)
        self._send(other, m.Prepare(self.promised, self.me, campaign.handover))

    def _on_promise(self, now: float, x: m.Promise) -> None:
        campaign = self._campaign
        if campaign is None or x.ballot != self.promised or campaign.phase is not Phase.PREPARE:
            return
        campaign.promises[x.sender] = x
        views = [promise.view for promise in campaign.promises.values() if promise.view is not None]
        base = max(views, key=lambda view: view.ballot, default=None)
        if base is None:
            return
        campaign.base = base
        for witness in base.witnesses:
            if witness not in campaign.asked:
                self._ask(campaign, witness)
        promised = set(campaign.promises) & set(base.witnesses)
        if len(promised) >= majority(len(base.witnesses)):
            campaign.majority_at = campaign.majority_at or now
            if campaign.asked <= set(campaign.promises):
                self._start_sync(now)

    def _tick_candidate(self, now: float) -> None:
        campaign = self._campaign
        assert campaign is not None
        waited = now - campaign.since
        if campaign.phase is Phase.PREPARE:
            if campaign.majority_at is not None and now - campaign.majority_at >= PREPARE_GRACE_S:
                self._start_sync(now)
            elif waited >= PREPARE_LIMIT_S:
                self._step_down(now, "no majority of the witnesses answers")
        elif campaign.phase is Phase.SYNC:
            if waited >= SYNC_GRACE_S and len(campaign.synced) >= self._least_copies():
                self._start_accept(now)
            elif waited >= SYNC_LIMIT_S:
                self._step_down(now, "too few members hold the data")
        elif waited >= ACCEPT_LIMIT_S:
            self._step_down(now, "no majority of the witnesses accepts")

    def _least_copies(self) -> int:
        assert self._campaign is not None and self._campaign.base is not None
        return min(self.min_copies, len(self._campaign.base.witnesses))

    def _start_sync(self, now: float) -> None:
        campaign = self._campaign
        assert campaign is not None and campaign.base is not None
        base = campaign.base
        if self.me not in base.members or self.synced < base.ballot:
            if self.view is None or self.view.ballot < base.ballot:  # so that it does not try again
                self.view = base
                self._output.records.append(m.ViewRecord(base))
            self._step_down(now, "its data is older than the last view")
            return
        campaign.phase, campaign.since = Phase.SYNC, now
        campaign.targets = self._choose_targets(campaign)
        campaign.synced = {self.me}
        self.synced = self.promised
        self._output.records.append(m.SyncedRecord(self.synced))
        for target in sorted(campaign.targets - {self.me}):
            self._send_sync(target, campaign.promises[target].last)
        self._sync_moved(now)

    def _choose_targets(self, campaign: Campaign) -> set[str]:
        """Who is to hold the data in the new view: who promised, without slow disks where enough stay."""
        targets = {x for x in campaign.promises if x not in self.excluded} | {self.me}
        sync_s = {x: promise.sync_s for x, promise in campaign.promises.items()}
        quick = targets - slow_disks({**sync_s, self.me: self.sync_s}) | {self.me}
        return quick if len(quick) >= self._least_copies() else targets

    def _send_sync(self, target: str, last: m.Position) -> None:
        if self.log.contains(last):
            entries, previous, snapshot = self.log.after(last[1]), last, None
        else:
            entries, previous, snapshot = (), self.log.last, self._machine.dump()
        self._send(target, m.Sync(self.promised, self.me, previous, entries, snapshot))

    def _on_synced(self, now: float, x: m.Synced) -> None:
        if x.ballot != self.promised:
            return
        if not x.matched:
            self._send(x.sender, m.Sync(self.promised, self.me, self.log.last, (), self._machine.dump()))
        elif self._campaign is not None and self._campaign.phase is Phase.SYNC:
            if x.last == self.log.last and x.sender in self._campaign.targets:
                self._campaign.synced.add(x.sender)
                self._sync_moved(now)
        elif self.role is Role.PRIMARY:
            self._learner_sync.pop(x.sender, None)

    def _sync_moved(self, now: float) -> None:
        campaign = self._campaign
        assert campaign is not None
        if campaign.synced >= campaign.targets and len(campaign.synced) >= self._least_copies():
            self._start_accept(now)

    def _start_accept(self, now: float) -> None:
        campaign = self._campaign
        assert campaign is not None and campaign.base is not None
        campaign.phase, campaign.since = Phase.ACCEPT, now
        members = tuple(sorted(campaign.synced))
        witnesses = self._next_witnesses(now, campaign.base, campaign.synced)
        campaign.view = m.View(self.promised, members, witnesses)
        for other in sorted({*campaign.base.witnesses, *witnesses, *members}):
            self._send(other, m.Accept(self.me, campaign.view))

    def _next_witnesses(self, now: float, base: m.View, synced: set[str]) -> tuple[str, ...]:
        """The old witnesses and the members, without those that leave or that have long been silent."""
        wanted = set(base.witnesses) | synced
        newcomers = synced - set(base.witnesses)
        for witness in sorted(wanted - synced):
            limit = REPLACED_S if newcomers else GONE_S
            leaves = witness in self.excluded or now - self._heard.get(witness, now) >= limit
            if leaves and len(wanted) - 1 >= min(self.min_witnesses, len(base.witnesses)):
                wanted.discard(witness)
        return tuple(sorted(wanted))

    def _on_accept(self, now: float, x: m.Accept) -> None:
        if not self.whole:
            return
        if x.view.ballot < self.promised:
            self._send(x.sender, m.Refuse(x.view.ballot, self.me, self.promised), durable=True)
            return
        if x.sender != self.me and self.role is not Role.FOLLOWER:
            self._step_down(now, f"{x.sender} has ballot {x.view.ballot}")
        self.promised, self.view = x.view.ballot, x.view
        self._output.records.append(m.ViewRecord(x.view))
        if x.sender != self.me:
            self._heard_leader(now, x.sender)
        self._send(x.sender, m.Accepted(x.view.ballot, self.me), durable=True)

    def _on_accepted(self, now: float, x: m.Accepted) -> None:
        campaign = self._campaign
        if campaign is None or x.ballot != self.promised or campaign.view is None or campaign.base is None:
            return
        campaign.accepted.add(x.sender)
        for witnesses in (campaign.base.witnesses, campaign.view.witnesses):
            if len(campaign.accepted & set(witnesses)) < majority(len(witnesses)):
                return
        self._activate(now, campaign.view)

    def _activate(self, now: float, view: m.View) -> None:
        heard = dict(self._heard)
        joiners = {x: at for x, at in self._joiners.items() if x not in view.witnesses}
        self._reset_primary(now)
        self._joiners = joiners
        self.role, self._campaign, self.view = Role.PRIMARY, None, view
        self.leader, self.leader_heard = self.me, now
        for other in view.witnesses:
            self._heard[other] = now if other in view.members else heard.get(other, now)
        last = self.log.last[1]
        self._acked = dict.fromkeys(view.members, last)
        self.commit_index = last
        log.info(
            "primary with ballot %s, members %s, witnesses %s", view.ballot, view.members, view.witnesses
        )
        self._beat(now)

    # Primary

    def _beat(self, now: float) -> None:
        assert self.view is not None
        self._beat_at = now
        self._round += 1
        self._rounds[self._round] = now
        self._round_acks[self._round] = {self.me}
        for old in [number for number, at in self._rounds.items() if now - at > 2.0]:
            del self._rounds[old], self._round_acks[old]
        joiners = {x for x, at in self._joiners.items() if now - at < 2 * JOIN_FRESH_S}
        heartbeat = m.Heartbeat(self.promised, self.me, self._round, self.view)
        for other in sorted({*self.view.witnesses, *joiners} - {self.me}):
            self._send(other, heartbeat)
        if self._round_majority(self._round):
            self.confirmed_at = now

    def _round_majority(self, number: int) -> bool:
        assert self.view is not None
        answered = self._round_acks[number] & set(self.view.witnesses)
        return len(answered) >= majority(len(self.view.witnesses))

    def _on_heartbeat(self, now: float, x: m.Heartbeat) -> None:
        if x.ballot < self.promised:
            self._send(x.sender, m.Refuse(x.ballot, self.me, self.promised), durable=True)
            return
        if self.whole and x.ballot > self.promised:
            self._promise(x.ballot)
        if self.whole and (self.view is None or self.view.ballot < x.view.ballot):
            self.view = x.view
            self._output.records.append(m.ViewRecord(x.view))
        if self.role is not Role.FOLLOWER and x.sender != self.me:
            self._step_down(now, f"{x.sender} is primary with ballot {x.ballot}")
        self._heard_leader(now, x.sender)
        whole = self.whole and not self.disk_stalled
        reply = m.HeartbeatReply(x.ballot, self.me, x.round, self.log.last, self.synced, whole, self.sync_s)
        self._send(x.sender, reply, durable=bool(self._output.records))

    def _on_heartbeatreply(self, now: float, x: m.HeartbeatReply) -> None:
        if self.role is not Role.PRIMARY or x.ballot != self.promised or self.view is None:
            return
        if not x.whole:
            return  # counts as silent: it can neither promise nor keep anything yet
        self._heard[x.sender] = now
        self._sync_s[x.sender] = x.sync_s
        if x.round in self._round_acks:
            self._round_acks[x.round].add(x.sender)
            if self._round_majority(x.round):
                self.confirmed_at = max(self.confirmed_at, self._rounds[x.round])
        behind = self.log.last[1] - x.last[1]
        if x.sender in self.view.members:
            if x.synced == self.promised and behind > 0 and self._acked.get(x.sender, 0) < self.log.last[1]:
                self._resend(now, x)
            elif x.synced != self.promised:  # it has lost its disk since
                self._acked[x.sender] = -1
                self._lost_member(now, x.sender)
        elif x.sender not in self.excluded:
            near = x.synced == self.promised and 0 <= behind <= NEAR_ENTRIES
            if near and x.sync_s < SLOW_SYNC_S / 2:
                self._ready.add(x.sender)
                return
            self._ready.discard(x.sender)  # a slow disk is shown to be quick again by what is sent
            if now - self._learner_sync.get(x.sender, -1e9) >= LEARNER_SYNC_S:
                self._learner_sync[x.sender] = now
                self._send_sync(x.sender, x.last)

    def _resend(self, now: float, x: m.HeartbeatReply) -> None:
        if now - self._learner_sync.get(x.sender, -1e9) >= 2 * HEARTBEAT_S and self.log.contains(x.last):
            self._learner_sync[x.sender] = now
            self._send(x.sender, m.Append(self.promised, self.me, self.log.after(x.last[1])))

    def _lost_member(self, now: float, member: str) -> None:
        if now - self._active_since >= RECONFIGURE_PAUSE_S:
            log.info("member %s came back without its data", member)
            self._start_campaign(now, handover=False)

    def _on_appended(self, now: float, x: m.Appended) -> None:
        if self.role is not Role.PRIMARY or x.ballot != self.promised or self.view is None:
            return
        if self._acked.get(x.sender, -1) >= 0:
            self._acked[x.sender] = max(self._acked[x.sender], x.index)
        if x.sender != self.me:
            self._heard[x.sender] = now
        self.commit_index = max(self.commit_index, min(self._acked[member] for member in self.view.members))

    def _tick_primary(self, now: float) -> None:
        assert self.view is not None
        if now - self._beat_at >= HEARTBEAT_S:
            self._beat(now)
        if now - self.confirmed_at >= MEMBER_SILENT_S:
            self.leader_heard = now - STICKY_S
            self._step_down(now, "no majority of the witnesses answers its heartbeats")
            return
        if now - self._active_since < RECONFIGURE_PAUSE_S:
            return
        if self.disk_stalled:
            self.stand_down(now, "its disk does not answer")
            return
        self._sync_s[self.me] = self.sync_s
        slow = self._slow_members()
        enough_without = len(self.view.members) - len(slow) >= self.min_copies
        if self.me in self.excluded or (self.me in slow and enough_without):
            if now - self._handover_at >= HANDOVER_PAUSE_S:
                self._handover_at = now
                self.lead_off(now)
                return
        reason = self._reason_to_reconfigure(now)
        if reason:
            log.info("changes its view: %s", reason)
            self._start_campaign(now, handover=False)

    def _reason_to_reconfigure(self, now: float) -> str:
        assert self.view is not None
        silent = [x for x in self.view.members if x != self.me and now - self._heard[x] >= MEMBER_SILENT_S]
        if silent:
            return f"no answer from {', '.join(silent)}"
        slow = self._slow_members()
        if slow and len(self.view.members) - len(slow) >= self.min_copies:
            return f"the disk of {', '.join(sorted(slow))} is slow"
        leaving = self.excluded & {*self.view.members, *self.view.witnesses}
        if leaving and len(set(self.view.witnesses) - leaving) >= self.min_witnesses:
            return f"{', '.join(sorted(leaving))} is to leave"
        ready = {x for x in self._ready if now - self._heard.get(x, -1e9) < 2 * HEARTBEAT_S}
        if ready:
            return f"{', '.join(sorted(ready))} has caught up"
        gone = [w for w in self.view.witnesses if now - self._heard.get(w, now) >= GONE_S and w != self.me]
        if gone and len(self.view.witnesses) - 1 >= self.min_witnesses:
            return f"{', '.join(gone)} is gone"
        return ""

    def _slow_members(self) -> set[str]:
        assert self.view is not None
        return slow_disks({member: self._sync_s.get(member, 0.0) for member in self.view.members})

    # Member

    def _take_entries(self, entries: Iterable[m.Entry]) -> None:
        for entry in entries:
            self._machine.apply(entry.payload)
            self.log.append(entry)
            self._output.records.append(entry)

    def _on_sync(self, now: float, x: m.Sync) -> None:
        if not self.whole or x.sender == self.me:
            return
        if x.ballot < self.promised:
            self._send(x.sender, m.Refuse(x.ballot, self.me, self.promised), durable=True)
            return
        if self.role is not Role.FOLLOWER:
            self._step_down(now, f"{x.sender} has ballot {x.ballot}")
        if x.ballot > self.promised:
            self._promise(x.ballot)
        self._heard_leader(now, x.sender)
        if x.snapshot is not None:
            self._machine.load(x.snapshot)
            self.log.reset(x.previous)
            self._output.records.append(m.SnapshotRecord(x.previous, x.snapshot))
            self._take_entries(x.entries)
        elif not self._follow(x):
            self._send(x.sender, m.Synced(x.ballot, self.me, self.log.last, False))
            return
        self.synced = x.ballot
        self._output.records.append(m.SyncedRecord(x.ballot))
        self._send(x.sender, m.Synced(x.ballot, self.me, self.log.last, True), durable=True)

    def _follow(self, x: m.Sync) -> bool:
        """Takes in what follows `previous`; False where this replica's log has anything else there."""
        if not self.log.contains(x.previous):
            return False
        held = self.log.after(x.previous[1])
        if len(held) > len(x.entries):
            return False
        for mine, theirs in zip(held, x.entries, strict=False):
            if mine.ballot != theirs.ballot:
                return False
        self._take_entries(x.entries[len(held) :])
        return True

    def _on_append(self, now: float, x: m.Append) -> None:
        if x.ballot != self.promised or self.synced != x.ballot:
            if x.ballot < self.promised:
                self._send(x.sender, m.Refuse(x.ballot, self.me, self.promised), durable=True)
            return
        self._heard_leader(now, x.sender)
        last = self.log.last[1]
        fresh = [entry for entry in x.entries if entry.index > last]
        if fresh and fresh[0].index != last + 1:
            return  # something was lost on the way; the next heartbeat's answer tells the primary
        self._take_entries(fresh)
        self._send(x.sender, m.Appended(x.ballot, self.me, self.log.last[1]), durable=True)
