"""The state and the operations that all roles of a replica share."""

import enum
from collections.abc import Callable, Iterable, Mapping
from itertools import chain

from crowwing.tier.replication import messages
from crowwing.tier.replication.durable_state import DurableState
from crowwing.tier.replication.leader_monitor import LeaderMonitor
from crowwing.tier.replication.log import EntryLog
from crowwing.tier.replication.machine import Machine
from crowwing.tier.replication.output import Outbox
from crowwing.tier.replication.peers import Peers
from crowwing.tier.replication.range_repair import RangeRepair
from crowwing.tier.replication.records import (
    AcceptedViewRecord,
    LogEntry,
    PromisedTermRecord,
    RangesRecord,
    Record,
    SyncedTermRecord,
)
from crowwing.tier.replication.spares import Spares
from crowwing.tier.replication.terms import LogPosition, Term
from crowwing.tier.replication.timing import (
    ELECTION_DISK_WRITES,
    ELECTION_JITTER_S,
    ELECTION_STAGGER_S,
    ELECTION_TIMEOUT_S,
    JOIN_FANOUT,
    JOIN_RETRY_S,
    LEADER_STICKINESS_S,
    LEARNER_ENTRIES_WAIT_S,
    LEARNER_RANGES_WAIT_S,
    MAX_SYNC_BYTES,
    SLOW_DISK_FACTOR,
    SLOW_DISK_SYNC_S,
)


class Role(enum.Enum):
    """The role of a replica."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    PRIMARY = "primary"


def slow_disks(sync_s: dict[str, float]) -> set[str]:
    """Returns the replicas whose disk is slow, in absolute terms and compared with the median.

    Args:
        sync_s: seconds that a write takes on the disk of each replica.
    """
    if not sync_s:
        return set()
    median_s = sorted(sync_s.values())[(len(sync_s) - 1) // 2]
    bound_s = max(SLOW_DISK_SYNC_S, SLOW_DISK_FACTOR * median_s)
    return {name for name, duration_s in sync_s.items() if duration_s >= bound_s}


class ReplicaCore:
    """The log, durable state, peers and output of one replica; base class of Replica (replica.py).

    Attributes:
        commit_index: index up to which entries were committed when this replica was last primary.
        excluded: replicas that have to leave the view.
        announced: every store machine that is known to the replicated state.
        zones: the zone of each replica, where known.
        spares: replicas outside the view that responded to this one as primary.
        disk_stalled: whether a write to this replica's disk has been pending for too long.
        sync_s: seconds that a write takes on this replica's disk, smoothed.
        highest_seen_term_number: the highest term number that other replicas reported as promised.
        repair: the range repair that this replica, as a learner, has in progress.
    """

    def __init__(
        self,
        me: str,
        seeds: Iterable[str],
        machine: Machine,
        monitor: LeaderMonitor,
        random: Callable[[], float],
    ) -> None:
        """A replica with an empty log."""
        self.me = me
        self.machine = machine
        self._random = random
        self.log = EntryLog()
        self.outbox = Outbox(me)
        self.send = self.outbox.send
        self.durable = DurableState(self.outbox)
        self.monitor = monitor
        self.peers = Peers(me, seeds)
        self.commit_index = 0
        self.excluded: frozenset[str] = frozenset()
        self.announced: frozenset[str] = frozenset()
        self.zones: Mapping[str, str] = {}
        self.spares = Spares()
        self.disk_stalled = False
        self.sync_s = 0.0
        self.highest_seen_term_number = 0
        self.repair: RangeRepair | None = None

    def bootstrap(self, members: Iterable[str]) -> None:
        """Adopts the first view; its first member by name campaigns at once."""
        names = sorted(members)
        self.durable.bootstrap(names)
        if names and names[0] == self.me:
            self.monitor.campaign_at = self.monitor.heard_at
        self.monitor.heard_at -= LEADER_STICKINESS_S

    def recover(self, records: Iterable[Record]) -> None:
        """Restores the state from the records on disk, in the order in which they were written."""
        self.monitor.has_earlier_incarnation = True
        durable = self.durable
        for record in records:
            match record:
                case PromisedTermRecord(term):
                    durable.promised = max(durable.promised, term)
                    durable.recovered = True
                case AcceptedViewRecord(view):
                    durable.view, durable.promised = view, max(durable.promised, view.term)
                case SyncedTermRecord(term):
                    durable.synced = term
                case LogEntry():
                    if record.index == self.log.last[1] + 1:
                        self.machine.apply(record.payload, record.index)
                        self.log.append(record)
                case RangesRecord(last, contents):
                    self.machine.replace_ranges(dict(contents))
                    self.log.reset(last)
        self.reset_election_timer(self.monitor.started_at)

    def compacted(self) -> Iterable[Record]:
        """Returns records that replace all earlier ones (compaction); ranges are encoded during iteration."""
        last = self.log.last
        records: list[Record] = [RangesRecord(last, ()), SyncedTermRecord(self.durable.synced)]
        if self.durable.recovered:
            records.append(PromisedTermRecord(self.durable.promised))
        if self.durable.view is not None:
            records.append(AcceptedViewRecord(self.durable.view))
        ranges = self.machine.freeze()
        return chain(records, (RangesRecord(last, (content,)) for content in ranges))

    def may_lead(self) -> bool:
        """Whether this replica is a member of its highest view, holds its data, and has a working disk."""
        view = self.durable.view
        return (
            view is not None
            and self.me in view.members
            and self.durable.synced >= view.term
            and self.me not in self.excluded
            and not self.disk_stalled
        )

    def next_campaign_at(self, heard_at: float) -> float:
        """Returns the expiry of the election timer; staggered by member, so that one campaigns at a time."""
        view = self.durable.view
        members = view.members if view is not None else ()
        others = [member for member in members if member != self.monitor.leader]
        rank = others.index(self.me) if self.me in others else len(others)
        timeout_s = ELECTION_TIMEOUT_S + ELECTION_DISK_WRITES * self.sync_s
        return heard_at + timeout_s + ELECTION_STAGGER_S * rank + ELECTION_JITTER_S * self._random()

    def reset_election_timer(self, heard_at: float) -> None:
        """Restarts the election timer from `heard_at`."""
        self.monitor.campaign_at = self.next_campaign_at(heard_at)

    def record_leader_contact(self, now: float, leader: str, term: Term) -> None:
        """Records a message of the leader of a term and resets the election timer."""
        self.monitor.record_contact(now, leader, term)
        self.reset_election_timer(now)

    def request_to_join(self, now: float) -> None:
        """Asks some peers, round robin, to be made a member, at most once per JOIN_RETRY_S."""
        if now - self.peers.requested_at >= JOIN_RETRY_S:
            self.peers.requested_at = now
            for peer in self.peers.next_round_robin(self.durable.view, JOIN_FANOUT):
                self.send(peer, messages.JoinRequest(self.me, False))

    def send_nack(self, to: str, term: Term) -> None:
        """Refuses a message sent under `term`; reports the term that this replica has promised."""
        self.send(to, messages.Nack(term, self.me, self.durable.promised), durable=True)

    def append_entries(self, entries: Iterable[LogEntry]) -> None:
        """Applies the next log entries and records them."""
        for entry in entries:
            self.machine.apply(entry.payload, entry.index)
            self.log.append(entry)
            self.outbox.record(entry)
            self.repair = None  # its digests were compared with the state before these entries

    def send_sync(self, target: str, last: LogPosition) -> float:
        """Sends entries to a replica whose log ends at `last`, or range digests if the log lacks `last`.

        Returns:
            Seconds to wait for a response before the replica is sent more.
        """
        if self.log.contains(last):
            end = self.log.index_within(last[1], MAX_SYNC_BYTES)
            entries = self.log.after(last[1], end)
            self.send(
                target, messages.SyncRequest(self.durable.promised, self.me, last, entries, self.log.last)
            )
            return LEARNER_ENTRIES_WAIT_S
        self.send_digests(target)
        return LEARNER_RANGES_WAIT_S

    def send_digests(self, target: str, restart: bool = False) -> None:
        """Starts a repair by range digests; `restart` if the current one can't be completed."""
        digests = self.machine.digests()
        term = self.durable.promised
        self.send(target, messages.RangeDigests(term, self.me, self.log.last, digests, restart))
