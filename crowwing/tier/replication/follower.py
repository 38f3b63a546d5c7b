"""The follower role: monitors the primary, and campaigns when the primary has timed out.

The pre-vote of Raft (Ongaro 2014, section 9.6): before it starts a new term, a member asks the witnesses
whether they would promise it one. A partitioned machine gets no majority of pre-votes and so starts no term,
and the primary does not have to change its view to a higher term when the partition heals. Pre-votes are not
written to disk.
"""

from typing import ClassVar

from crowwing.tier.replication import messages
from crowwing.tier.replication.core import ReplicaCore, Role
from crowwing.tier.replication.peers import NEVER
from crowwing.tier.replication.roles import RoleChanges, RoleState, role_handlers
from crowwing.tier.replication.terms import majority
from crowwing.tier.replication.timing import PRE_VOTE_RETRY_S, SPARE_JOIN_TIMEOUT_S


class Follower(RoleState):
    """Collects the pre-votes for this replica's next campaign."""

    role: ClassVar[Role] = Role.FOLLOWER

    def __init__(self, core: ReplicaCore, changes: RoleChanges) -> None:
        """A follower that has not requested pre-votes yet."""
        super().__init__(core, changes)
        self._pre_votes_requested_at = NEVER
        self._willing: set[str] = set()

    def tick(self, now: float) -> None:
        """If the election timer has expired: requests pre-votes as a member, else asks to join."""
        if not self._core.monitor.may_campaign(now):
            return
        if self._core.may_lead():
            self._request_pre_votes(now)
        elif not self._is_announced_spare(now):
            self._core.request_to_join(now)

    def _is_announced_spare(self, now: float) -> bool:
        """Whether this replica is no member, and receives the heartbeats that a primary sends to spares."""
        core = self._core
        view = core.durable.view
        is_member = view is not None and core.me in view.members
        if is_member or core.monitor.leader is None:
            return False
        return now - core.monitor.heard_at < SPARE_JOIN_TIMEOUT_S

    def _request_pre_votes(self, now: float) -> None:
        """Requests pre-votes of all witnesses, periodically; campaigns at once if its own vote is enough."""
        if now - self._pre_votes_requested_at < PRE_VOTE_RETRY_S:
            return
        core = self._core
        assert core.durable.view is not None, "a replica that may lead has a view"
        self._pre_votes_requested_at = now
        self._willing = {core.me}
        for witness in sorted(set(core.durable.view.witnesses) - {core.me}):
            core.send(witness, messages.PreVoteRequest(core.durable.promised, core.me))
        self._count_pre_votes(now)

    def on_pre_vote_response(self, now: float, response: messages.PreVoteResponse) -> None:
        """Counts a pre-vote; a refusal means that a primary is alive, so this replica asks to join."""
        if response.term != self._core.durable.promised or now < self._core.monitor.campaign_at:
            return
        if response.willing:
            self._willing.add(response.sender)
            self._count_pre_votes(now)
        else:
            self._core.request_to_join(now)

    def _count_pre_votes(self, now: float) -> None:
        view = self._core.durable.view
        witnesses = view.witnesses if view is not None else ()
        if len(self._willing & set(witnesses)) >= majority(len(witnesses)) and self._core.may_lead():
            self._changes.start_campaign(now)

    def on_leadership_transfer(self, now: float, transfer: messages.LeadershipTransfer) -> None:
        """Campaigns at once: the primary has released its lease."""
        if transfer.term == self._core.durable.promised and self._core.may_lead():
            self._changes.start_campaign(now, released=transfer.term)

    def on_sync_in_progress(self, now: float, progress: messages.SyncInProgress) -> None:
        """Resets the election timer."""
        if progress.term == self._core.durable.promised:
            self._core.reset_election_timer(now)

    handlers = role_handlers(
        {
            messages.LeadershipTransfer: on_leadership_transfer,
            messages.PreVoteResponse: on_pre_vote_response,
            messages.SyncInProgress: on_sync_in_progress,
        }
    )
