"""The candidate role: a replica that campaigns for a new view, or, as primary, reconfigures its own.

The two phases of Vertical Paxos (Lamport, Malkhi, Zhou 2009), with state transfer between them.
"""

from collections.abc import Iterable
from typing import ClassVar

from crowwing.tier.replication import messages, range_transfer
from crowwing.tier.replication.campaign import Campaign, Phase
from crowwing.tier.replication.core import ReplicaCore, Role, slow_disks
from crowwing.tier.replication.roles import RoleChanges, RoleState, role_handlers
from crowwing.tier.replication.terms import LogPosition, Term, View, majority
from crowwing.tier.replication.timing import (
    ACCEPT_TIMEOUT_S,
    HEARTBEAT_INTERVAL_S,
    LEARNER_RANGES_WAIT_S,
    PREPARE_TIMEOUT_S,
    SYNC_GRACE_S,
    SYNC_TIMEOUT_S,
)
from crowwing.tier.replication.view_limits import ViewLimits
from crowwing.tier.replication.view_selection import choose_witnesses, limit_members


class Candidate(RoleState):
    """Starts a term, synchronizes the future members with its data, and has the new view accepted."""

    role: ClassVar[Role] = Role.CANDIDATE

    def __init__(
        self, core: ReplicaCore, changes: RoleChanges, campaign: Campaign, limits: ViewLimits
    ) -> None:
        """A candidate that has promised the term of its own campaign."""
        super().__init__(core, changes)
        self.campaign = campaign
        self._limits = limits

    def tick(self, now: float) -> None:
        """Enters the next phase or steps down when the current phase times out."""
        campaign = self.campaign
        elapsed_s = now - campaign.since
        if campaign.phase is Phase.PREPARE:
            if campaign.majority_at is not None and now - campaign.majority_at >= campaign.grace_s:
                self._start_sync(now)
            elif elapsed_s >= PREPARE_TIMEOUT_S:
                self._changes.step_down(now, "no majority of the witnesses has promised the term")
        elif campaign.phase is Phase.SYNC:
            self._tick_sync(now, elapsed_s)
        elif elapsed_s >= ACCEPT_TIMEOUT_S:
            self._changes.step_down(now, "no majority of the witnesses has accepted the view")

    def _tick_sync(self, now: float, elapsed_s: float) -> None:
        campaign = self.campaign
        if elapsed_s >= SYNC_GRACE_S and len(campaign.synced) >= self._min_replicas():
            self._start_accept(now)
        elif elapsed_s >= campaign.sync_limit_s:
            self._changes.step_down(now, "too few members have synchronized")
        else:
            self._resend_to_unresponsive_targets(now)
            self._send_progress(now)

    def _send_progress(self, now: float) -> None:
        campaign = self.campaign
        if now - campaign.progress_sent_at >= HEARTBEAT_INTERVAL_S:
            campaign.progress_sent_at = now
            core = self._core
            for other in sorted(campaign.promises.keys() - {core.me}):
                core.send(other, messages.SyncInProgress(core.durable.promised, core.me))

    # Phase 1

    def send_prepares(self, receivers: Iterable[str]) -> None:
        """Asks replicas to promise the term."""
        core = self._core
        for other in sorted(receivers):
            self.campaign.prepared.add(other)
            core.send(other, messages.Prepare(core.durable.promised, core.me, self.campaign.released))

    def on_promise(self, now: float, promise: messages.Promise) -> None:
        """Counts one promise; also sends Prepare to the witnesses of a higher view that it reports."""
        campaign = self.campaign
        if promise.term != self._core.durable.promised or campaign.phase is not Phase.PREPARE:
            return
        if now - campaign.since >= PREPARE_TIMEOUT_S:
            return  # a witness may have lost its disk since, and recovered without this promise
        campaign.promises[promise.sender] = promise
        views = [answer.view for answer in campaign.promises.values() if answer.view is not None]
        base = max(views, key=lambda view: view.term, default=None)
        if base is None:
            return
        campaign.base = base
        for witness in base.witnesses:
            if witness not in campaign.prepared:
                self.send_prepares([witness])
        promised = set(campaign.promises) & set(base.witnesses)
        if len(promised) >= majority(len(base.witnesses)):
            campaign.majority_at = campaign.majority_at or now
            if campaign.prepared <= campaign.promises.keys() | campaign.unresponsive:
                self._start_sync(now)

    def on_nack(self, now: float, nack: messages.Nack) -> None:
        """Steps down for a higher term, or if a witness still has contact with another primary."""
        if nack.term != self._core.durable.promised:
            return
        if self._is_preempted(nack):
            self._yield_to_higher_term(now, nack)
        elif self.campaign.phase is Phase.PREPARE:
            self._changes.step_down(now, f"{nack.sender} has contact with another primary")
            self._core.request_to_join(now)

    # State transfer

    def _base(self) -> View:
        assert self.campaign.base is not None, "set before the prepare phase ends"
        return self.campaign.base

    def _min_replicas(self) -> int:
        return min(self._limits.min_replicas, len(self._base().witnesses))

    def _start_sync(self, now: float) -> None:
        core = self._core
        campaign = self.campaign
        base = self._base()
        # Only a member of the base view that is synchronized has every committed entry.
        if core.me not in base.members or core.durable.synced < base.term:
            # Knowing the higher view, it does not campaign again.
            if core.durable.view is None or core.durable.view.term < base.term:
                core.durable.adopt_view(base)
            self._changes.step_down(now, "its data is older than the base view")
            return
        campaign.enter(Phase.SYNC, now)
        campaign.targets = self._choose_targets()
        campaign.synced = {core.me}
        core.durable.mark_synced(core.durable.promised)
        for target in sorted(campaign.targets - {core.me}):
            self._send_sync(now, target, campaign.promises[target].last)
        self._accept_if_synced(now)

    def _send_sync(self, now: float, target: str, last: LogPosition) -> None:
        self.campaign.resend_at[target] = now + self._core.send_sync(target, last)

    def _resend_to_unresponsive_targets(self, now: float) -> None:
        """Resends data that may have been lost on a connection to an earlier incarnation of the target."""
        campaign = self.campaign
        for target in sorted(campaign.targets - campaign.synced):
            if now >= campaign.resend_at[target]:
                self._send_sync(now, target, campaign.promises[target].last)

    def _choose_targets(self) -> set[str]:
        """Returns the future members of the view, among the replicas that have promised.

        If enough remain, replicas with slow disks and replicas that need a range repair are left out: they
        would delay the view, and the primary brings them up to date later. At most as many as in a full view.
        """
        core = self._core
        promises = self.campaign.promises
        targets = {member for member in promises if member not in core.excluded} | {core.me}
        if len(targets) < self._min_replicas():
            targets = {*promises, core.me}  # replicas that have to leave stay until others hold the data
        sync_s = {member: promise.sync_s for member, promise in promises.items()}
        fast = targets - slow_disks({**sync_s, core.me: core.sync_s}) | {core.me}
        if len(fast) >= self._min_replicas():
            targets = fast
        without_repair = {
            member for member in targets if member == core.me or core.log.contains(promises[member].last)
        }
        eligible = without_repair if len(without_repair) >= self._min_replicas() else targets
        return limit_members(core.me, eligible, promises, self._base(), self._limits.max_replicas)

    def on_sync_response(self, now: float, response: messages.SyncResponse) -> None:
        """Sends a target more data, or counts it as synchronized."""
        core = self._core
        campaign = self.campaign
        if response.term != core.durable.promised:
            return
        if not response.matched:
            campaign.resend_at[response.sender] = now + LEARNER_RANGES_WAIT_S
            core.send_digests(response.sender)
        elif campaign.phase is Phase.SYNC and response.sender in campaign.targets:
            if response.last == core.log.last:
                campaign.synced.add(response.sender)
                self._accept_if_synced(now)
            else:
                self._extend_sync_timeout(now, response.sender)
                self._send_sync(now, response.sender, response.last)

    def _serves(self, term: Term) -> bool:
        """Whether this replica sends its data to others in a term."""
        return term == self._core.durable.promised and self.campaign.phase is not Phase.PREPARE

    def on_ranges_request(self, now: float, request: messages.RangesRequest) -> None:
        """Sends ranges to a target that needs a repair."""
        if self._serves(request.term):
            range_transfer.send_ranges(self._core, request)
            self._extend_sync_timeout(now, request.sender)

    def on_entries_request(self, now: float, request: messages.EntriesRequest) -> None:
        """Sends the entries that complete a repair."""
        if self._serves(request.term) and range_transfer.send_entries_since(self._core, request):
            self._extend_sync_timeout(now, request.sender)

    def _extend_sync_timeout(self, now: float, learner: str) -> None:
        """Extends the time-outs for a target that makes progress."""
        campaign = self.campaign
        if learner in campaign.targets:
            campaign.resend_at[learner] = now + LEARNER_RANGES_WAIT_S
            campaign.sync_limit_s = max(campaign.sync_limit_s, now - campaign.since + SYNC_TIMEOUT_S)

    def _accept_if_synced(self, now: float) -> None:
        campaign = self.campaign
        if campaign.synced >= campaign.targets and len(campaign.synced) >= self._min_replicas():
            self._start_accept(now)

    # Phase 2

    def _start_accept(self, now: float) -> None:
        core = self._core
        campaign = self.campaign
        campaign.enter(Phase.ACCEPT, now)
        members = tuple(sorted(campaign.synced))
        witnesses = self._next_witnesses()
        campaign.view = View(core.durable.promised, members, witnesses)
        for other in sorted({*self._base().witnesses, *witnesses, *members}):
            core.send(other, messages.Accept(core.me, campaign.view))

    def _next_witnesses(self) -> tuple[str, ...]:
        campaign = self.campaign
        responsive = campaign.promises.keys() - campaign.unresponsive
        min_count = min(self._limits.min_witnesses, len(campaign.synced | set(self._base().witnesses)))
        return choose_witnesses(campaign.synced, self._base(), responsive, self._core.excluded, min_count)

    def on_accepted(self, now: float, accepted: messages.Accepted) -> None:
        """Counts one acceptance; the view is decided once majorities of old and new witnesses accepted it."""
        campaign = self.campaign
        if accepted.term != self._core.durable.promised or campaign.view is None or campaign.base is None:
            return
        if now - campaign.since >= ACCEPT_TIMEOUT_S:
            return  # as in on_promise: the witness may have lost its disk since
        campaign.accepted.add(accepted.sender)
        for witnesses in (campaign.base.witnesses, campaign.view.witnesses):
            if len(campaign.accepted & set(witnesses)) < majority(len(witnesses)):
                return
        self._changes.activate(now, campaign.view, requested_at=campaign.since)

    handlers = role_handlers(
        {
            messages.Accepted: on_accepted,
            messages.EntriesRequest: on_entries_request,
            messages.Nack: on_nack,
            messages.Promise: on_promise,
            messages.RangesRequest: on_ranges_request,
            messages.SyncResponse: on_sync_response,
        }
    )
