"""What a replica knows and keeps, and the steps that all of its roles share."""

import enum
import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from itertools import chain
from typing import Protocol

from crowwing.tier.replication import messages
from crowwing.tier.replication.log import EntryLog
from crowwing.tier.replication.records import (
    AcceptedViewRecord,
    LogEntry,
    PromisedTermRecord,
    RangesRecord,
    Record,
    SyncedTermRecord,
)
from crowwing.tier.replication.terms import FIRST_TERM, NO_TERM, LogPosition, Term, View
from crowwing.tier.replication.timing import (
    ELECTION_DISK_WRITES,
    ELECTION_JITTER_S,
    ELECTION_STAGGER_S,
    ELECTION_TIMEOUT_S,
    LEADER_STICKINESS_S,
    LEARNER_ENTRIES_WAIT_S,
    LEARNER_RANGES_WAIT_S,
    LEASE_S,
    MAX_SYNC_BYTES,
    SLOW_DISK_FACTOR,
    SLOW_DISK_SYNC_S,
    STARTUP_LISTEN_S,
    SYNC_TIMEOUT_S,
)

log = logging.getLogger("crowwing.replication")


class Machine(Protocol):
    """The state that the entries make up."""

    def apply(self, payload: bytes, index: int) -> None:
        """Takes in the entry with this index."""

    def freeze(self) -> Iterable[tuple[int, bytes]]:
        """All ranges that are not empty with their content as it is now, made when iterated by any thread."""

    def range_of(self, payload: bytes) -> int:
        """The one range that an entry changes."""

    def digests(self) -> tuple[bytes, ...]:
        """A digest of each range; ranges that went through the same entries have the same."""

    def dump_range(self, number: int) -> bytes:
        """The content of one range."""

    def replace_ranges(self, contents: Mapping[int, bytes]) -> None:
        """Replaces the content of some ranges."""


@dataclass
class RangeRepair:
    """A learner's way to another replica's data (range_transfer.py)."""

    start: LogPosition  # what the ranges that did not differ stand for
    wanted: list[int]
    contents: dict[int, bytes] = field(default_factory=dict)
    positions: dict[int, LogPosition] = field(default_factory=dict)  # what each fetched range stands for

    def fetched_upto(self, number: int) -> int:
        """The index of the last entry that a range holds already."""
        return self.positions.get(number, self.start)[1]


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

    records: list[Record] = field(default_factory=list)
    durable: list[tuple[str, messages.Message]] = field(default_factory=list)  # to whom, after the records
    immediate: list[tuple[str, messages.Message]] = field(default_factory=list)


@dataclass
class Campaign:
    """A candidate's way to its view."""

    phase: Phase
    since: float
    released: Term  # of the primary that has given up its lease for this campaign
    promises: dict[str, messages.Promise] = field(default_factory=dict)
    asked: set[str] = field(default_factory=set)
    majority_at: float | None = None
    base: View | None = None
    targets: set[str] = field(default_factory=set)
    sync_limit_s: float = SYNC_TIMEOUT_S
    told_at: float = -1e9  # when the others were told that it is still syncing
    synced: set[str] = field(default_factory=set)
    view: View | None = None
    accepted: set[str] = field(default_factory=set)


def slow_disks(sync_s: dict[str, float]) -> set[str]:
    """Of some replicas, those whose disk is slow, also beside that of most others."""
    if not sync_s:
        return set()
    usual = sorted(sync_s.values())[(len(sync_s) - 1) // 2]
    return {
        name for name, taken in sync_s.items() if taken >= max(SLOW_DISK_SYNC_S, SLOW_DISK_FACTOR * usual)
    }


class ReplicaState:
    """The state of one replica, changed by its roles: member and witness, candidate, primary."""

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
        self.min_replicas, self.min_witnesses = faults + 1, 2 * faults + 1
        self.log = EntryLog()
        self.promised: Term = NO_TERM
        self.view: View | None = None
        self.synced: Term = NO_TERM
        self.recovered = False  # False: without memory of what this replica has promised
        self.role = Role.FOLLOWER
        self.commit_index = 0
        self.excluded: frozenset[str] = frozenset()
        self.announced: frozenset[str] = frozenset()  # every store machine that the state knows of
        self.disk_stalled = False  # a write has been under way for long
        self.sync_s = 0.0  # that this replica's disk takes for a write, smoothed
        self.leader: str | None = None
        self._vouched = NO_TERM  # the highest term whose leader this replica may have answered
        self._lease_released = False  # under the present term no lease is held any more
        self.leader_heard = now if started is None else started
        self._listen_until = now + STARTUP_LISTEN_S
        self._output = Output()
        self._campaign: Campaign | None = None
        self.started_at = now if started is None else started
        self._remembers = False  # whether this is a later life
        self._campaign_at = now + ELECTION_TIMEOUT_S
        self._asked_at = -1e9
        self._prevote_at = -1e9
        self._willing: set[str] = set()  # who would help this replica to a term
        self._highest_seen_term_number = 0
        self._learned: dict[str, messages.RecoveryResponse] = {}
        self._repair: RangeRepair | None = None
        self._peers: set[str] = set(self._seeds)
        self._reset_primary(now)

    def _reset_primary(self, now: float) -> None:
        self._acked: dict[str, int] = {}
        self._heard: dict[str, float] = {}
        self._lease_released = False
        self._heartbeat_sent_at: dict[int, float] = {}
        self._heartbeat_acks: dict[int, set[str]] = {}
        self._heartbeat_sequence = 0
        self.confirmed_at = now
        self._heartbeat_at = self._announced_at = -1e9
        self.active_since = now
        self._joiners: dict[str, float] = {}
        self._learner_wait: dict[str, float] = {}  # until when a learner is not sent more
        self._ready: set[str] = set()
        self._sync_s: dict[str, float] = {}
        self._sent: dict[str, int] = {}  # up to which index each other member was sent entries
        self._moved_at: dict[str, float] = {}  # when it last acknowledged more, or began to have to
        self._handover_at = -1e9

    def bootstrap(self, members: Iterable[str]) -> None:
        """The first start of the whole system, with an empty disk, at a machine that the seeds name."""
        names = tuple(sorted(members))
        self.view = View(FIRST_TERM, names, names)
        self.promised = self.synced = FIRST_TERM
        self.recovered = True
        if names and names[0] == self.me:
            self._campaign_at = self.leader_heard
        self.leader_heard -= LEADER_STICKINESS_S
        self._output.records += [
            PromisedTermRecord(self.promised),
            AcceptedViewRecord(self.view),
            SyncedTermRecord(self.synced),
        ]

    def recover(self, records: Iterable[Record]) -> None:
        """Takes in what the disk holds."""
        self._remembers = True
        for record in records:
            match record:
                case PromisedTermRecord(term):
                    self.promised = max(self.promised, term)
                    self.recovered = True
                case AcceptedViewRecord(view):
                    self.view, self.promised = view, max(self.promised, view.term)
                case SyncedTermRecord(term):
                    self.synced = term
                case LogEntry():
                    if record.index == self.log.last[1] + 1:
                        self._machine.apply(record.payload, record.index)
                        self.log.append(record)
                case RangesRecord(last, contents):
                    self._machine.replace_ranges(dict(contents))
                    self.log.reset(last)
        self._campaign_at = self._turn(self.started_at)

    def _turn(self, heard: float) -> float:
        """When this member campaigns if it hears nothing more: one member after another."""
        members = self.view.members if self.view is not None else ()
        others = [member for member in members if member != self.leader]
        place = others.index(self.me) if self.me in others else len(others)
        patience = ELECTION_TIMEOUT_S + ELECTION_DISK_WRITES * self.sync_s
        return heard + patience + ELECTION_STAGGER_S * place + ELECTION_JITTER_S * self._random()

    def compacted(self) -> Iterable[Record]:
        """Records that stand for everything so far; those of the state are made when iterated."""
        records: list[Record] = [RangesRecord(self.log.last, ()), SyncedTermRecord(self.synced)]
        if self.recovered:
            records.append(PromisedTermRecord(self.promised))
        if self.view is not None:
            records.append(AcceptedViewRecord(self.view))
        ranges = self._machine.freeze()
        last = self.log.last
        return chain(records, (RangesRecord(last, (content,)) for content in ranges))

    def take_output(self) -> Output:
        """What is to be carried out since the last call."""
        output, self._output = self._output, Output()
        return output

    def _send(self, to: str, message: messages.Message, durable: bool = False) -> None:
        (self._output.durable if durable or to == self.me else self._output.immediate).append((to, message))

    def add_peers(self, hosts: Iterable[str]) -> None:
        """Other replicas that this one has heard of, to be asked where it lacks a memory or a primary."""
        self._peers.update(hosts)
        self._peers.discard(self.me)

    @property
    def known(self) -> set[str]:
        """All replicas that this one knows of, without itself."""
        known = self._peers | set(self._joiners)
        if self.view is not None:
            known |= set(self.view.members) | set(self.view.witnesses)
        return known - {self.me}

    def holds_lease(self, now: float) -> bool:
        """Whether this replica is certainly the only primary."""
        if self._lease_released or self.role is not Role.PRIMARY:
            return False
        return now - self.confirmed_at < LEASE_S

    def _may_pass_lease(self, released: Term) -> bool:
        """Whether the one lease that this replica may have vouched for has been given up."""
        return released != NO_TERM and released >= self._vouched

    def _may_lead(self) -> bool:
        view = self.view
        return (
            view is not None
            and self.me in view.members
            and self.synced >= view.term
            and self.me not in self.excluded
            and not self.disk_stalled
        )

    def _promise(self, term: Term) -> None:
        self.promised = term
        self._output.records.append(PromisedTermRecord(term))

    def _heard_leader(self, now: float, leader: str, term: Term) -> None:
        self.leader, self.leader_heard = leader, now
        self._vouched = max(self._vouched, term)
        self._campaign_at = self._turn(now)

    def _step_down(self, now: float, why: str) -> None:
        if self.role is not Role.FOLLOWER:
            log.info("stepped_down role=%s term=%s reason=%r", self.role.value, self.promised, why)
        self.role, self._campaign = Role.FOLLOWER, None
        self._campaign_at = max(self._campaign_at, self._turn(now))

    def _take_entries(self, entries: Iterable[LogEntry]) -> None:
        for entry in entries:
            self._machine.apply(entry.payload, entry.index)
            self.log.append(entry)
            self._output.records.append(entry)
            self._repair = None  # it was compared with the state before

    def _send_sync(self, target: str, last: LogPosition) -> float:
        """Sends some of what a replica at `last` lacks, or digests; gives the time to wait for an answer."""
        if self.log.contains(last):
            end = self.log.index_within(last[1], MAX_SYNC_BYTES)
            entries = self.log.after(last[1], end)
            self._send(target, messages.SyncRequest(self.promised, self.me, last, entries, self.log.last))
            return LEARNER_ENTRIES_WAIT_S
        self._send_digests(target)
        return LEARNER_RANGES_WAIT_S

    def _send_digests(self, target: str, restart: bool = False) -> None:
        """Begins a repair by range digests."""
        raise NotImplementedError
