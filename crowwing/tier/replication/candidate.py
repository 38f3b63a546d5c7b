"""A replica that wants to become the primary of a new view, or to change its own view."""

import logging

from crowwing.tier.replication import messages
from crowwing.tier.replication.range_transfer import RangeTransfer
from crowwing.tier.replication.records import AcceptedViewRecord, SyncedTermRecord
from crowwing.tier.replication.replica_state import Campaign, Phase, Role, slow_disks
from crowwing.tier.replication.terms import NO_TERM, Term, View, majority
from crowwing.tier.replication.timing import (
    ACCEPT_TIMEOUT_S,
    HEARTBEAT_INTERVAL_S,
    JOIN_REQUEST_VALID_S,
    PREPARE_GRACE_S,
    PREPARE_TIMEOUT_S,
    SYNC_GRACE_S,
    WITNESS_GONE_S,
    WITNESS_REPLACED_S,
)

log = logging.getLogger("crowwing.replication")


class Candidate(RangeTransfer):
    """Opens a term, brings the others to its data, and has the new view accepted."""

    def start_campaign(self, now: float, released: Term = NO_TERM, above: Term = NO_TERM) -> None:
        """`released`: the term whose primary has handed over. A primary releases its own by campaigning."""
        assert self.view is not None
        term_number = max(self.promised[0], above[0], self._highest_seen_term_number) + 1
        was_primary = self.role is Role.PRIMARY
        if was_primary:
            released = self.promised
        joiners = (
            {member for member, at in self._joiners.items() if now - at < JOIN_REQUEST_VALID_S}
            if was_primary
            else set()
        )
        self._promise((term_number, self.me))
        self.role = Role.CANDIDATE
        campaign = Campaign(Phase.PREPARE, now, released)
        self._campaign = campaign
        if not was_primary:
            log.info("campaign_started term=%s", self.promised)
        for other in sorted({*self.view.witnesses, *self.view.members, *joiners, self.me}):
            self._ask(campaign, other)

    def _ask(self, campaign: Campaign, other: str) -> None:
        campaign.asked.add(other)
        self._send(other, messages.Prepare(self.promised, self.me, campaign.released))

    def _on_promise(self, now: float, promise: messages.Promise) -> None:
        campaign = self._campaign
        if campaign is None or promise.term != self.promised or campaign.phase is not Phase.PREPARE:
            return
        if now - campaign.since >= PREPARE_TIMEOUT_S:
            return  # a witness that has lost its disk since may have learned without this term
        campaign.promises[promise.sender] = promise
        views = [promise.view for promise in campaign.promises.values() if promise.view is not None]
        base = max(views, key=lambda view: view.term, default=None)
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

    def _on_nack(self, now: float, nack: messages.Nack) -> None:
        if nack.term != self.promised or self.role is Role.FOLLOWER:
            return
        if nack.promised[0] >= self.promised[0] and nack.promised != self.promised:
            if self.role is Role.PRIMARY and self._may_lead():  # somebody tried meanwhile: go above
                self.start_campaign(now, above=nack.promised)
            else:
                self._step_down(now, f"{nack.sender} is bound to {nack.promised}")
                self._highest_seen_term_number = max(self._highest_seen_term_number, nack.promised[0])
        elif self._campaign is not None and self._campaign.phase is Phase.PREPARE:
            self._step_down(now, f"{nack.sender} hears another primary")
            self._ask_to_join(now)

    def _on_leadership_transfer(self, now: float, transfer: messages.LeadershipTransfer) -> None:
        if transfer.term == self.promised and self.role is Role.FOLLOWER and self._may_lead():
            self.start_campaign(now, released=transfer.term)

    def _tick_candidate(self, now: float) -> None:
        campaign = self._campaign
        assert campaign is not None
        waited = now - campaign.since
        if campaign.phase is Phase.PREPARE:
            if campaign.majority_at is not None and now - campaign.majority_at >= PREPARE_GRACE_S:
                self._start_sync(now)
            elif waited >= PREPARE_TIMEOUT_S:
                self._step_down(now, "no majority of the witnesses answers")
        elif campaign.phase is Phase.SYNC:
            if waited >= SYNC_GRACE_S and len(campaign.synced) >= self._min_replicas_of_view():
                self._start_accept(now)
            elif waited >= campaign.sync_limit_s:
                self._step_down(now, "too few members hold the data")
            elif now - campaign.told_at >= HEARTBEAT_INTERVAL_S:
                campaign.told_at = now
                for other in sorted(campaign.promises.keys() - {self.me}):
                    self._send(other, messages.SyncInProgress(self.promised, self.me))
        elif waited >= ACCEPT_TIMEOUT_S:
            self._step_down(now, "no majority of the witnesses accepts")

    def _min_replicas_of_view(self) -> int:
        assert self._campaign is not None and self._campaign.base is not None
        return min(self.min_replicas, len(self._campaign.base.witnesses))

    def _start_sync(self, now: float) -> None:
        campaign = self._campaign
        assert campaign is not None and campaign.base is not None
        base = campaign.base
        if self.me not in base.members or self.synced < base.term:
            if self.view is None or self.view.term < base.term:  # so that it does not try again
                self.view = base
                self._output.records.append(AcceptedViewRecord(base))
            self._step_down(now, "its data is older than the last view")
            return
        campaign.phase, campaign.since = Phase.SYNC, now
        campaign.targets = self._choose_targets(campaign)
        campaign.synced = {self.me}
        self.synced = self.promised
        self._output.records.append(SyncedTermRecord(self.synced))
        for target in sorted(campaign.targets - {self.me}):
            self._send_sync(target, campaign.promises[target].last)
        self._sync_moved(now)

    def _choose_targets(self, campaign: Campaign) -> set[str]:
        """Who is to hold the data in the new view: who promised, where enough stay without slow disks and
        without those that need a repair, which would hold the view up; the primary brings them up to date.
        """
        targets = {member for member in campaign.promises if member not in self.excluded} | {self.me}
        sync_s = {member: promise.sync_s for member, promise in campaign.promises.items()}
        quick = targets - slow_disks({**sync_s, self.me: self.sync_s}) | {self.me}
        if len(quick) >= self._min_replicas_of_view():
            targets = quick
        near = {
            member
            for member in targets
            if member == self.me or self.log.contains(campaign.promises[member].last)
        }
        return near if len(near) >= self._min_replicas_of_view() else targets

    def _on_sync_response(self, now: float, response: messages.SyncResponse) -> None:
        if response.term != self.promised:
            return
        if not response.matched:
            self._send_digests(response.sender)
        elif self._campaign is not None and self._campaign.phase is Phase.SYNC:
            if response.sender not in self._campaign.targets:
                return
            if response.last == self.log.last:
                self._campaign.synced.add(response.sender)
                self._sync_moved(now)
            else:
                self._learner_moved(now, response.sender)
                self._send_sync(response.sender, response.last)
        elif self.role is Role.PRIMARY:
            self._learner_wait.pop(response.sender, None)

    def _sync_moved(self, now: float) -> None:
        campaign = self._campaign
        assert campaign is not None
        if campaign.synced >= campaign.targets and len(campaign.synced) >= self._min_replicas_of_view():
            self._start_accept(now)

    def _start_accept(self, now: float) -> None:
        campaign = self._campaign
        assert campaign is not None and campaign.base is not None
        campaign.phase, campaign.since = Phase.ACCEPT, now
        members = tuple(sorted(campaign.synced))
        witnesses = self._next_witnesses(now, campaign.base, campaign.synced)
        campaign.view = View(self.promised, members, witnesses)
        for other in sorted({*campaign.base.witnesses, *witnesses, *members}):
            self._send(other, messages.Accept(self.me, campaign.view))

    def _next_witnesses(self, now: float, base: View, synced: set[str]) -> tuple[str, ...]:
        """The old witnesses and the members, without those that leave or that have long been silent."""
        wanted = set(base.witnesses) | synced
        newcomers = synced - set(base.witnesses)
        for witness in sorted(wanted - synced):
            limit = WITNESS_REPLACED_S if newcomers else WITNESS_GONE_S
            leaves = witness in self.excluded or now - self._heard.get(witness, now) >= limit
            if leaves and len(wanted) - 1 >= min(self.min_witnesses, len(base.witnesses)):
                wanted.discard(witness)
        return tuple(sorted(wanted))

    def _on_accepted(self, now: float, accepted: messages.Accepted) -> None:
        campaign = self._campaign
        if (
            campaign is None
            or accepted.term != self.promised
            or campaign.view is None
            or campaign.base is None
        ):
            return
        if now - campaign.since >= ACCEPT_TIMEOUT_S:
            return  # as for a promise that comes too late
        campaign.accepted.add(accepted.sender)
        for witnesses in (campaign.base.witnesses, campaign.view.witnesses):
            if len(campaign.accepted & set(witnesses)) < majority(len(witnesses)):
                return
        self._activate(now, campaign.view, campaign.since)

    def _activate(self, now: float, view: View, asked_at: float) -> None:
        """`asked_at`: when the witnesses were asked to accept the view; they vouch for it from then on."""
        heard = dict(self._heard)
        joiners = {member: at for member, at in self._joiners.items() if member not in view.witnesses}
        self._reset_primary(now)
        self._joiners = joiners
        self.confirmed_at = asked_at
        self.role, self._campaign, self.view = Role.PRIMARY, None, view
        self._heard_leader(now, self.me, view.term)
        for other in view.witnesses:
            self._heard[other] = now if other in view.members else heard.get(other, now)
        last = self.log.last[1]
        self._acked = dict.fromkeys(view.members, last)
        self._sent = {member: last for member in view.members if member != self.me}
        self.commit_index = last
        log.info("primary_elected term=%s members=%s witnesses=%s", view.term, view.members, view.witnesses)
        self._send_heartbeat(now)

    def _send_heartbeat(self, now: float) -> None:
        """Sends a heartbeat as primary."""
        raise NotImplementedError

    def _ask_to_join(self, now: float) -> None:
        """Asks the primary to be taken in."""
        raise NotImplementedError
