"""The primary role: appends entries, renews the lease, and monitors and replaces members of the view."""

import logging
from collections.abc import Iterator
from typing import ClassVar

from crowwing.tier.replication import messages
from crowwing.tier.replication.backlog import Backlog
from crowwing.tier.replication.catch_up import CatchUp
from crowwing.tier.replication.core import ReplicaCore, Role
from crowwing.tier.replication.lease import Lease
from crowwing.tier.replication.member_progress import MemberProgress
from crowwing.tier.replication.peers import NEVER
from crowwing.tier.replication.records import LogEntry
from crowwing.tier.replication.roles import RoleChanges, RoleState, role_handlers
from crowwing.tier.replication.terms import View
from crowwing.tier.replication.timing import (
    ANNOUNCEMENT_INTERVAL_S,
    HEARTBEAT_INTERVAL_S,
    LEADER_STICKINESS_S,
    LEARNER_BACKOFF_S,
    MEMBER_TIMEOUT_S,
    RECONFIGURATION_PAUSE_S,
    TRANSFER_PAUSE_S,
)
from crowwing.tier.replication.view_limits import ViewLimits

log = logging.getLogger("crowwing.replication")


class Primary(RoleState):
    """Orders the entries of its view."""

    role: ClassVar[Role] = Role.PRIMARY

    def __init__(self, core: ReplicaCore, changes: RoleChanges, lease: Lease, limits: ViewLimits) -> None:
        """The primary of the current view, which begins now."""
        super().__init__(core, changes)
        self._lease = lease
        self._limits = limits
        self._progress = MemberProgress(core.me, self._view().members, core.log.last[1])
        self._catch_up = CatchUp(core, self._view(), limits, self._progress.disk_sync_s, lease.active_since)
        self._heartbeat_at = NEVER
        self._announced_at = NEVER
        self._transfer_at = NEVER

    def _view(self) -> View:
        assert self._core.durable.view is not None, "a primary has a view"
        return self._core.durable.view

    # Entries

    def propose(self, payload: bytes) -> int:
        """Appends one entry and returns its index; it is committed once `commit_index` reaches it."""
        core = self._core
        term = core.durable.promised
        entry = LogEntry(term, core.log.last[1] + 1, payload)
        core.append_entries([entry])
        core.send(core.me, messages.AppendResponse(term, core.me, entry.index), durable=True)
        return entry.index

    def send_entries(self, now: float) -> None:
        """Sends proposed entries to the other members, within their windows."""
        self._send_windows(now, list(self._progress.sent))

    def _send_windows(self, now: float, members: list[str]) -> None:
        """Reuses one message object for all members that get the same entries, so that it is encoded once."""
        core = self._core
        term = core.durable.promised
        requests: dict[tuple[int, int], messages.AppendRequest] = {}
        for member in members:
            while (span := self._progress.next_span(member, core.log)) is not None:
                if span not in requests:
                    requests[span] = messages.AppendRequest(term, core.me, core.log.after(*span))
                self._progress.mark_sent(now, member, span)
                core.send(member, requests[span])

    def on_append_response(self, now: float, response: messages.AppendResponse) -> None:
        """Handles an acknowledgement; an entry is committed once every member has it on disk."""
        core = self._core
        if response.term != core.durable.promised:
            return
        progress = self._progress
        progress.acknowledge(now, response.sender, response.index)
        if response.sender != core.me:
            core.peers.heard_at[response.sender] = now
            if response.sender in progress.sent:
                self._send_windows(now, [response.sender])
        core.commit_index = max(core.commit_index, progress.committed(self._view().members))

    def backlog(self) -> Backlog:
        """Returns the replication lag of the others."""
        core = self._core
        members = self._view().members
        lowest = min(
            [self._progress.acknowledged[member] for member in members if member != core.me], default=None
        )
        last = core.log.last[1]
        return Backlog(
            members=len(members),
            learners=len(self._catch_up.learners),
            lag_bytes=0 if lowest is None else core.log.bytes_between(max(lowest, 0), last),
            uncommitted_bytes=core.log.bytes_between(core.commit_index, last),
        )

    # The lease

    def start_heartbeat(self, now: float) -> int:
        """Sends a heartbeat at once and returns its number."""
        self.send_heartbeat(now)
        return self._lease.sequence

    def is_heartbeat_confirmed(self, number: int) -> bool:
        """Whether a majority of the witnesses has responded to this heartbeat or a later one."""
        return self._lease.is_confirmed(number, self._view().witnesses)

    def send_heartbeat(self, now: float) -> None:
        """Sends a heartbeat to witnesses, learners and joining replicas, and periodically to all replicas."""
        core = self._core
        view = self._view()
        sequence = self._lease.start_round(now, core.me)
        joining = core.peers.join_requested_within(now, 2 * HEARTBEAT_INTERVAL_S)
        receivers = {*view.witnesses, *self._catch_up.learners, *joining}
        self._heartbeat_at = now
        if now - self._announced_at >= ANNOUNCEMENT_INTERVAL_S:
            self._announced_at = now
            # A replica that lost its disk may have no other way to learn of this primary.
            receivers |= core.announced - core.excluded
            receivers |= core.spares.heard_within(now)
        heartbeat = messages.Heartbeat(core.durable.promised, core.me, sequence, view)
        for other in sorted(receivers - {core.me}):
            core.send(other, heartbeat)
        if self._lease.has_majority(sequence, view.witnesses):
            self._lease.confirmed_at = now

    def on_heartbeat_response(self, now: float, response: messages.HeartbeatResponse) -> None:
        """Renews the lease, and resends entries or sends catch-up data if the sender needs them."""
        core = self._core
        if response.term != core.durable.promised:
            return
        if not response.recovered:
            return  # counts as no response: the sender can neither promise nor store anything yet
        view = self._view()
        core.peers.heard_at[response.sender] = now
        self._progress.disk_sync_s[response.sender] = response.sync_s
        self._lease.acknowledge(response.sequence, response.sender, view.witnesses)
        if response.sender in view.members:
            self._check_member(now, response)
        elif response.sender not in core.excluded:
            self._catch_up.on_heartbeat_response(now, response)

    def transfer_leadership(self) -> None:
        """Releases the lease and asks the most up-to-date member to take over, if there is one.

        The lease is released before the message is sent, because the witnesses then promise the new
        primary its term without waiting for this lease to expire.
        """
        core = self._core
        members = self._view().members
        others = [member for member in members if member != core.me and member not in core.excluded]
        if not others:
            return
        slow = self._progress.slow_members(members)

        def preference(member: str) -> tuple[bool, int, float]:
            acknowledged = self._progress.acknowledged.get(member, 0)
            return member not in slow, acknowledged, core.peers.heard_at.get(member, 0.0)

        successor = max(others, key=preference)
        self._lease.is_released = True
        core.send(successor, messages.LeadershipTransfer(core.durable.promised, core.me))

    # Members

    def _check_member(self, now: float, response: messages.HeartbeatResponse) -> None:
        member = response.sender
        if response.synced == self._core.durable.promised:
            if self._progress.is_stalled(now, member):
                self._resend(now, response)
            return
        self._progress.mark_data_lost(member)  # the member has lost its disk since it joined the view
        if now - self._lease.active_since >= RECONFIGURATION_PAUSE_S:
            log.info("member_lost_data member=%s", member)
            self._changes.start_campaign(now)

    def _resend(self, now: float, response: messages.HeartbeatResponse) -> None:
        """Resends entries that a member has not acknowledged."""
        core = self._core
        member = response.sender
        self._progress.start_resending(now, member)
        if response.last[1] >= self._progress.sent[member]:  # only the response was lost
            core.send(member, messages.AppendRequest(core.durable.promised, core.me, ()))
        elif core.log.contains(response.last):
            self._progress.sent[member] = response.last[1]
            self._send_windows(now, [member])

    # Learners

    def on_sync_response(self, now: float, response: messages.SyncResponse) -> None:
        """Passes the response of a learner to CatchUp."""
        self._catch_up.on_sync_response(now, response)

    def on_ranges_request(self, now: float, request: messages.RangesRequest) -> None:
        """Passes the request of a learner to CatchUp."""
        self._catch_up.on_ranges_request(now, request)

    def on_entries_request(self, now: float, request: messages.EntriesRequest) -> None:
        """Passes the request of a learner to CatchUp."""
        self._catch_up.on_entries_request(now, request)

    # View changes

    def on_nack(self, now: float, nack: messages.Nack) -> None:
        """Campaigns above a higher term that a witness has promised, or steps down if it may not lead."""
        if nack.term != self._core.durable.promised or not self._is_preempted(nack):
            return
        if self._core.may_lead():
            self._changes.start_campaign(now, above=nack.promised)
        else:
            self._yield_to_higher_term(now, nack)

    def tick(self, now: float) -> None:
        """Sends heartbeats, and steps down, transfers leadership or starts a view change if required."""
        core = self._core
        if now - self._heartbeat_at >= HEARTBEAT_INTERVAL_S:
            self.send_heartbeat(now)
        if now - max(self._lease.confirmed_at, self._lease.active_since) >= MEMBER_TIMEOUT_S:
            core.monitor.heard_at = now - LEADER_STICKINESS_S
            self._changes.step_down(now, "no majority of the witnesses responds to its heartbeats")
            return
        if now - self._lease.active_since < RECONFIGURATION_PAUSE_S:
            return
        if core.disk_stalled:
            self._changes.resign(now, "its disk does not respond")
            return
        self._progress.disk_sync_s[core.me] = core.sync_s
        self._catch_up.tick(now)
        if self._should_transfer_leadership() and now - self._transfer_at >= TRANSFER_PAUSE_S:
            self._transfer_at = now
            self.transfer_leadership()
            return
        reason = next(self._reasons_to_change_view(now), None)
        if reason is not None:
            log.info("view_change_started reason=%r", reason)
            self._change_view(now)

    def _change_view(self, now: float) -> None:
        """Campaigns for a new view that includes the learners that are ready."""
        joining = self._catch_up.ready(now)
        for learner in joining:
            self._core.spares.back_off(learner, now + LEARNER_BACKOFF_S)  # cleared if the view includes it
        self._changes.start_campaign(now, joining=joining)

    def _should_transfer_leadership(self) -> bool:
        """Whether this replica has to leave, or its disk is slow and enough members have faster ones."""
        core = self._core
        members = self._view().members
        slow = self._progress.slow_members(members)
        enough_without = len(members) - len(slow) >= self._limits.min_replicas
        return core.me in core.excluded or (core.me in slow and enough_without)

    def _reasons_to_change_view(self, now: float) -> Iterator[str]:
        yield from self._reasons_to_remove_members(now)
        yield from self._reasons_to_add_or_retire(now)

    def _reasons_to_remove_members(self, now: float) -> Iterator[str]:
        core = self._core
        heard_at = core.peers.heard_at
        members = self._view().members
        unresponsive = [
            member for member in members if member != core.me and now - heard_at[member] >= MEMBER_TIMEOUT_S
        ]
        if unresponsive:
            yield f"no response from {', '.join(unresponsive)}"
        behind_log = self._progress.behind_log(core.log.base)
        if behind_log:
            yield f"the log no longer holds the entries missing at {', '.join(behind_log)}"
        slow = self._progress.slow_members(members)
        if slow and len(members) - len(slow) >= self._limits.min_replicas:
            yield f"the disk of {', '.join(sorted(slow))} is slow"

    def _reasons_to_add_or_retire(self, now: float) -> Iterator[str]:
        core = self._core
        view = self._view()
        leaving = core.excluded & {*view.members, *view.witnesses}
        if leaving and len(set(view.members) - leaving) >= self._limits.min_witnesses:
            yield f"{', '.join(sorted(leaving))} has to leave"
        ready = self._catch_up.ready(now)
        if ready:
            yield f"{', '.join(sorted(ready))} has caught up"

    handlers = role_handlers(
        {
            messages.AppendResponse: on_append_response,
            messages.EntriesRequest: on_entries_request,
            messages.HeartbeatResponse: on_heartbeat_response,
            messages.Nack: on_nack,
            messages.RangesRequest: on_ranges_request,
            messages.SyncResponse: on_sync_response,
        }
    )
