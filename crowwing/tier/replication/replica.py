"""One replica as a deterministic state machine, without I/O, a clock or a random generator of its own.

Primary-backup replication with reconfiguration by witnesses, after Vertical Paxos (Lamport, Malkhi, Zhou
2009).
A view names the members that hold the data and the witnesses that decide failover. An entry is committed once
every member of the view has it on disk. A new view requires, in this order: promises of a majority of the
witnesses of the highest accepted view (after which nothing more is committed in it), a candidate that was
a member of that view, the candidate's data on disk at every member of the new view, and acceptance of the new
view by majorities of the old and of the new witnesses. docs/serving-tier.md has the argument why no committed
entry is lost.
"""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from crowwing.tier.replication import messages
from crowwing.tier.replication.backlog import Backlog
from crowwing.tier.replication.campaign import Campaign, Phase
from crowwing.tier.replication.candidate import Candidate
from crowwing.tier.replication.core import ReplicaCore, Role
from crowwing.tier.replication.follower import Follower
from crowwing.tier.replication.leader_monitor import LeaderMonitor
from crowwing.tier.replication.lease import Lease
from crowwing.tier.replication.machine import Machine
from crowwing.tier.replication.member import Member
from crowwing.tier.replication.output import Output
from crowwing.tier.replication.peers import NEVER
from crowwing.tier.replication.primary import Primary
from crowwing.tier.replication.recovery import Recovery
from crowwing.tier.replication.roles import Handler, RoleState
from crowwing.tier.replication.terms import NO_TERM, Term, View
from crowwing.tier.replication.timing import (
    JOIN_REQUEST_VALID_S,
    JOIN_RETRY_S,
    MEMBER_TIMEOUT_S,
    PREPARE_GRACE_S,
    RECONFIGURATION_GRACE_S,
)
from crowwing.tier.replication.view_limits import ViewLimits
from crowwing.tier.replication.witness import Witness

log = logging.getLogger("crowwing.replication")


@dataclass(frozen=True)
class ReplicaSettings:
    """The settings of a replica.

    Attributes:
        me: its own name, by which other replicas address it.
        seeds: names of replicas that it knows initially.
        faults: number of simultaneous machine failures that are tolerated without data loss.
    """

    me: str
    seeds: Iterable[str]
    faults: int


class Replica(ReplicaCore):
    """One replica as a step function: feed it `tick`, `receive`, `propose`, then carry out `take_output()`.

    Owned by one Node (store/node.py), which calls it from one event loop. All times are seconds on one
    monotonic clock. It holds the object of its current role, and the components that every role shares.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        machine: Machine,
        now: float,
        random: Callable[[], float],
        started: float | None = None,
    ) -> None:
        """A follower without state: call `recover` or `bootstrap` next, or let it recover from its peers.

        Args:
            settings: its name, seeds and fault tolerance.
            machine: the state that committed entries are applied to.
            now: the current time.
            random: returns numbers from 0 to 1 for election jitter.
            started: when this incarnation began, if before `now`; it has sent no responses yet.
        """
        super().__init__(settings.me, settings.seeds, machine, LeaderMonitor(now, started), random)
        self.limits = ViewLimits.for_faults(settings.faults)
        self._lease = Lease(now, confirmed_at=now)
        self._recovery = Recovery(self)
        self._witness = Witness(self, self)
        self._member = Member(self, self)
        self.role_state: RoleState = Follower(self, self)

    @property
    def role(self) -> Role:
        """The current role."""
        return self.role_state.role

    @property
    def promised(self) -> Term:
        """The highest term that it has promised; its own term while it is candidate or primary."""
        return self.durable.promised

    @property
    def view(self) -> View | None:
        """The highest view that it knows of."""
        return self.durable.view

    @property
    def synced(self) -> Term:
        """The term whose candidate or primary last synchronized this replica with its data."""
        return self.durable.synced

    @property
    def recovered(self) -> bool:
        """Whether it knows which term it has promised; False after the loss of its disk."""
        return self.durable.recovered

    @property
    def leader(self) -> str | None:
        """The presumed primary, if any."""
        return self.monitor.leader

    @property
    def started_at(self) -> float:
        """When this incarnation began."""
        return self.monitor.started_at

    @property
    def confirmed_at(self) -> float:
        """The start of its lease: when the last message was sent that a witness majority acknowledged."""
        return self._lease.confirmed_at

    @property
    def active_since(self) -> float:
        """When the last view began in which it was primary."""
        return self._lease.active_since

    # Steps

    def tick(self, now: float) -> None:
        """Runs the timers; to be called every few hundredths of a second."""
        if self.durable.recovered:
            self.role_state.tick(now)
        else:
            self._recovery.tick(now)

    def receive(self, now: float, message: messages.Message) -> None:
        """Handles one message."""
        kind = type(message)
        if kind in _MEMBER_HANDLERS:
            _MEMBER_HANDLERS[kind](self._member, now, message)
        elif kind in _WITNESS_HANDLERS:
            _WITNESS_HANDLERS[kind](self._witness, now, message)
        elif kind in _RECOVERY_HANDLERS:
            _RECOVERY_HANDLERS[kind](self._recovery, now, message)
        elif isinstance(message, messages.JoinRequest):
            self._on_join_request(now, message)
        else:
            self.role_state.handlers[kind](self.role_state, now, message)

    def propose(self, _now: float, payload: bytes) -> int | None:
        """Appends one entry; returns its index, or None if this is not the primary."""
        return self.role_state.propose(payload) if isinstance(self.role_state, Primary) else None

    def send_entries(self, now: float) -> None:
        """Sends proposed entries to the other members, within their windows.

        To be called when the own disk starts a write: a commit waits for that write anyway.
        """
        if isinstance(self.role_state, Primary):
            self.role_state.send_entries(now)

    def backlog(self) -> Backlog | None:
        """Returns the replication lag of the others, or None if this is not the primary."""
        return self.role_state.backlog() if isinstance(self.role_state, Primary) else None

    def take_output(self) -> Output:
        """Returns the records to write and the messages to send since the last call."""
        return self.outbox.take()

    def add_peers(self, hosts: Iterable[str]) -> None:
        """Adds replicas to ask for recovery or for membership."""
        self.peers.add(hosts)

    def _on_join_request(self, now: float, request: messages.JoinRequest) -> None:
        """Records the request, for a view of this replica's own; forwards it to the primary at most once."""
        self.peers.add([request.sender])
        is_duplicate = now - self.peers.join_requested_at.get(request.sender, NEVER) < JOIN_RETRY_S / 2
        if request.sender not in self.excluded:
            self.peers.join_requested_at[request.sender] = now
        if self.role is Role.PRIMARY or request.forwarded or is_duplicate:
            return
        if self.leader is not None and self.leader not in (self.me, request.sender):
            self.send(self.leader, messages.JoinRequest(request.sender, True))

    # The lease

    def holds_lease(self, now: float) -> bool:
        """Whether this replica is certainly the only primary."""
        return self.role is Role.PRIMARY and self._lease.is_valid(now)

    def start_heartbeat(self, now: float) -> int:
        """Sends a heartbeat at once and returns its number; only for a primary."""
        assert isinstance(self.role_state, Primary), "only a primary sends heartbeats"
        return self.role_state.start_heartbeat(now)

    def is_heartbeat_confirmed(self, number: int) -> bool:
        """Whether a majority of the witnesses responded to this heartbeat or a later one of the same view."""
        return isinstance(self.role_state, Primary) and self.role_state.is_heartbeat_confirmed(number)

    # Role transitions

    def transfer_leadership(self, _now: float) -> None:
        """As the primary, releases the lease and asks another member to take over, if there is one."""
        if isinstance(self.role_state, Primary):
            self.role_state.transfer_leadership()

    def resign(self, now: float, reason: str) -> None:
        """Transfers leadership and steps down, because this machine can't continue as primary."""
        self.transfer_leadership(now)
        self.step_down(now, reason)
        self.monitor.leader = None

    def start_campaign(
        self,
        now: float,
        released: Term = NO_TERM,
        above: Term = NO_TERM,
        joining: frozenset[str] = frozenset(),
    ) -> None:
        """Becomes a candidate in a new term.

        Args:
            now: the current time.
            released: term of the primary that released its lease. A primary releases its own by campaigning.
            above: a term promised by others, which the new one has to exceed.
            joining: replicas to add as members.
        """
        view = self.durable.view
        assert view is not None, "only a replica that may lead campaigns"
        receivers = {*view.witnesses, *view.members, *joining, self.me}
        was_primary = self.role is Role.PRIMARY
        if was_primary:
            released = self.durable.promised
        # If one member is lost, the remaining ones may be too few: ask for replacements as well.
        if len(set(view.members) - self.excluded) - 1 < self.limits.min_replicas:
            receivers |= self._replacements(now)
        campaign = Campaign(
            Phase.PREPARE,
            now,
            released,
            RECONFIGURATION_GRACE_S if was_primary else PREPARE_GRACE_S,
            self._unresponsive_replicas(now),
        )
        number = max(self.durable.promised[0], above[0], self.highest_seen_term_number) + 1
        self.durable.promise((number, self.me))
        candidate = Candidate(self, self, campaign, self.limits)
        self._begin(candidate)
        if not was_primary:
            log.info("campaign_started term=%s", self.durable.promised)
        candidate.send_prepares(receivers)

    def _replacements(self, now: float) -> set[str]:
        """Replicas outside the view that may be available as members."""
        requested = self.peers.join_requested_within(now, JOIN_REQUEST_VALID_S)
        return (requested | self.announced | self.spares.heard_within(now)) - self.excluded

    def _unresponsive_replicas(self, now: float) -> frozenset[str]:
        """Replicas that have not responded to this one as primary for long; none if it was not primary."""
        heard_at = self.peers.heard_at
        return frozenset(host for host, at in heard_at.items() if now - at >= MEMBER_TIMEOUT_S) - {self.me}

    def available_replicas(self, now: float) -> set[str]:
        """The witnesses of the view and the responding spares, as known to this replica as primary."""
        witnesses = self.durable.view.witnesses if self.durable.view is not None else ()
        return {*witnesses, *self.spares.heard_within(now)}

    def activate(self, now: float, view: View, requested_at: float) -> None:
        """Becomes the primary of a view that the witnesses have accepted.

        Args:
            now: the current time.
            view: the view.
            requested_at: when they were asked to accept it. The lease runs from then, not from their last
                response, because they may have promised another candidate in between.
        """
        self._lease = Lease(now, confirmed_at=requested_at)
        self.durable.view = view
        self.record_leader_contact(now, self.me, view.term)
        self.peers.begin_view(now, view)
        self.spares.forget(view.members)
        self.commit_index = self.log.last[1]
        primary = Primary(self, self, self._lease, self.limits)
        self._log_phases(now)
        self._begin(primary)
        log.info("primary_elected term=%s members=%s witnesses=%s", view.term, view.members, view.witnesses)
        primary.send_heartbeat(now)

    def step_down(self, now: float, reason: str) -> None:
        """Becomes a follower and extends the election timer."""
        if self.role is not Role.FOLLOWER:
            log.info("stepped_down role=%s term=%s reason=%r", self.role.value, self.durable.promised, reason)
            self._log_phases(now)
            self.peers.clear_heard_at()
            self._begin(Follower(self, self))
        self.monitor.campaign_at = max(self.monitor.campaign_at, self.next_campaign_at(now))

    def step_down_from_leading(self, now: float, reason: str) -> None:
        """Steps down if this replica is candidate or primary."""
        if self.role is not Role.FOLLOWER:
            self.step_down(now, reason)

    def _log_phases(self, now: float) -> None:
        """Logs how long the phases of a campaign that ends now took, and which replicas it left out."""
        if isinstance(self.role_state, Candidate):
            campaign = self.role_state.campaign
            durations, left_out = campaign.durations(now), campaign.left_out()
            log.info("campaign_ended term=%s %s left_out=%r", self.durable.promised, durations, left_out)

    def _begin(self, role_state: RoleState) -> None:
        self.role_state = role_state
        self._witness.own_lease = self._lease if role_state.role is Role.PRIMARY else None


_MEMBER_HANDLERS: dict[type, Handler] = {
    messages.AppendRequest: Member.on_append_request,
    messages.RangeDigests: Member.on_range_digests,
    messages.RangesResponse: Member.on_ranges_response,
    messages.SyncRequest: Member.on_sync_request,
}
_WITNESS_HANDLERS: dict[type, Handler] = {
    messages.Accept: Witness.on_accept,
    messages.Heartbeat: Witness.on_heartbeat,
    messages.PreVoteRequest: Witness.on_pre_vote_request,
    messages.Prepare: Witness.on_prepare,
}
_RECOVERY_HANDLERS: dict[type, Handler] = {
    messages.RecoveryRequest: Recovery.on_request,
    messages.RecoveryResponse: Recovery.on_response,
}
