"""The decisions of one replica: no input or output, no clock and no chance of its own.

Primary-backup replication with reconfiguration by witnesses, after Vertical Paxos (Lamport, Malkhi, Zhou
2009).
A view names the members that hold the data and the witnesses that decide failover. An entry is committed once
every member of the view has it on disk. A new view needs, in this order: promises of a majority of the
witnesses of the highest accepted view (after which nothing more is committed under it), a candidate that was
a member of that view, the candidate's data on disk at every member of the new view, and its acceptance by
majorities of the old and the new witnesses. docs/serving-tier.md has the argument why no committed entry is
lost.
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
    """What a replica is given once.

    Attributes:
        me: its own name, by which others send to it.
        seeds: names of replicas that it knows from the start.
        faults: how many machines may fail at once without loss.
    """

    me: str
    seeds: Iterable[str]
    faults: int


class Replica(ReplicaCore):
    """One replica as a step function: feed it `tick`, `receive`, `propose`, then carry out `take_output()`.

    Owned by one Node (store/node.py), which calls it from one event loop. All times are seconds on one
    monotonic clock. It holds the one role object of the present role, and the parts that are the same in all.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        machine: Machine,
        now: float,
        random: Callable[[], float],
        started: float | None = None,
    ) -> None:
        """A follower that knows nothing yet: call `recover` or `bootstrap` next, or leave it to recover.

        Args:
            settings: who it is.
            machine: the state that committed entries are applied to.
            now: the present time.
            random: gives numbers from 0 to 1 for the jitter of elections.
            started: when this incarnation began, if before `now`; nothing was answered in it yet.
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
        """What this replica is doing."""
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
        """The term whose candidate or primary last made its data equal to its own."""
        return self.durable.synced

    @property
    def recovered(self) -> bool:
        """Whether it knows what it has promised."""
        return self.durable.recovered

    @property
    def leader(self) -> str | None:
        """The replica that it takes for the primary."""
        return self.monitor.leader

    @property
    def started_at(self) -> float:
        """When this incarnation began."""
        return self.monitor.started_at

    @property
    def confirmed_at(self) -> float:
        """When a majority of the witnesses last vouched for it as primary."""
        return self._lease.confirmed_at

    @property
    def active_since(self) -> float:
        """When the last view began that it was primary of."""
        return self._lease.active_since

    # Steps

    def tick(self, now: float) -> None:
        """Does what is due; to be called every few hundredths of a second."""
        if self.durable.recovered:
            self.role_state.tick(now)
        else:
            self._recovery.tick(now)

    def receive(self, now: float, message: messages.Message) -> None:
        """Takes one message in."""
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
        """Appends one entry; returns its index, or None where this is not the primary."""
        return self.role_state.propose(payload) if isinstance(self.role_state, Primary) else None

    def send_entries(self, now: float) -> None:
        """Sends the other members what was proposed, as far as their windows are open.

        To be called when the own disk begins a write, since a commit waits for that write anyway.
        """
        if isinstance(self.role_state, Primary):
            self.role_state.send_entries(now)

    def backlog(self) -> Backlog | None:
        """Returns how far the others are behind this replica, or None where it is not the primary."""
        return self.role_state.backlog() if isinstance(self.role_state, Primary) else None

    def take_output(self) -> Output:
        """Returns what is to be carried out since the last call."""
        return self.outbox.take()

    def add_peers(self, hosts: Iterable[str]) -> None:
        """Adds replicas that this one has heard of, to be asked where it lacks a memory or a primary."""
        self.peers.add(hosts)

    def _on_join_request(self, now: float, request: messages.JoinRequest) -> None:
        """Notes who wants to become a member, for a view of its own; forwards it once to the primary."""
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
        """Sends a heartbeat at once, and returns its number; this must be the primary."""
        assert isinstance(self.role_state, Primary), "only a primary sends heartbeats"
        return self.role_state.start_heartbeat(now)

    def is_heartbeat_confirmed(self, number: int) -> bool:
        """Whether a majority of the witnesses has answered this heartbeat or a later one of the same view."""
        return isinstance(self.role_state, Primary) and self.role_state.is_heartbeat_confirmed(number)

    # Changes of the role

    def transfer_leadership(self, _now: float) -> None:
        """Gives up the lease and hands the role over, where this is the primary and another can take it."""
        if isinstance(self.role_state, Primary):
            self.role_state.transfer_leadership()

    def resign(self, now: float, reason: str) -> None:
        """Stops leading because its own machine can't go on; another member is asked to take over."""
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
        """Becomes a candidate, under a new term.

        Args:
            now: the present time.
            released: the term whose primary has handed over. A primary releases its own by campaigning.
            above: a term that others are bound to.
            joining: replicas that are to become members.
        """
        view = self.durable.view
        assert view is not None, "only a replica that may lead campaigns"
        receivers = {*view.witnesses, *view.members, *joining, self.me}
        was_primary = self.role is Role.PRIMARY
        if was_primary:
            released = self.durable.promised
        # Members that are left beside a lost one may be too few to hold the data: others can take its place.
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
        """Replicas outside of the view that may be there to hold the data."""
        requested = self.peers.join_requested_within(now, JOIN_REQUEST_VALID_S)
        return (requested | self.announced | self.spares.heard_within(now)) - self.excluded

    def _unresponsive_replicas(self, now: float) -> frozenset[str]:
        """Replicas that this one, as primary, has not heard for long; none where it was not primary."""
        heard_at = self.peers.heard_at
        return frozenset(host for host, at in heard_at.items() if now - at >= MEMBER_TIMEOUT_S) - {self.me}

    def available_replicas(self, now: float) -> set[str]:
        """The replicas that may hold the data, as this replica knows as primary: the view's and spares."""
        witnesses = self.durable.view.witnesses if self.durable.view is not None else ()
        return {*witnesses, *self.spares.heard_within(now)}

    def activate(self, now: float, view: View, requested_at: float) -> None:
        """Becomes the primary of a view that the witnesses have accepted.

        Args:
            now: the present time.
            view: the view.
            requested_at: when they were asked to accept it; they vouch for it from then on, not from when
                their last response came, since they may have promised another candidate meanwhile.
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
        """Becomes a follower, and waits for its turn before it campaigns again."""
        if self.role is not Role.FOLLOWER:
            log.info("stepped_down role=%s term=%s reason=%r", self.role.value, self.durable.promised, reason)
            self._log_phases(now)
            self.peers.clear_heard_at()
            self._begin(Follower(self, self))
        self.monitor.campaign_at = max(self.monitor.campaign_at, self.next_campaign_at(now))

    def step_down_from_leading(self, now: float, reason: str) -> None:
        """Steps down where this replica is candidate or primary."""
        if self.role is not Role.FOLLOWER:
            self.step_down(now, reason)

    def _log_phases(self, now: float) -> None:
        """Logs how long a campaign that ends now spent in its phases, and who has no place in its view."""
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
