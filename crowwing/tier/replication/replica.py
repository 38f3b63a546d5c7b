"""The decisions of one replica: no input or output, no clock and no chance of its own.

A view names the members that hold the data and the witnesses that decide failover. An entry is committed once
every member of the view has it on disk. A new view needs, in this order: promises of a majority of the
witnesses of the highest accepted view (after which nothing more is committed under it), a candidate that was
a member of that view, the candidate's data on disk at every member of the new view, and its acceptance by
majorities of the old and the new witnesses. docs/serving-tier.md has the argument why no committed entry is
lost.
"""

import logging
from collections.abc import Callable
from typing import Any

from crowwing.tier.replication import messages
from crowwing.tier.replication.prevote import PreVote
from crowwing.tier.replication.primary import Primary
from crowwing.tier.replication.records import AcceptedViewRecord, PromisedTermRecord, SyncedTermRecord
from crowwing.tier.replication.replica_state import Role
from crowwing.tier.replication.terms import Term, majority
from crowwing.tier.replication.timing import (
    JOIN_RETRY_S,
    LEADER_STICKINESS_S,
    RECOVERY_DELAY_S,
    RECOVERY_RETRY_S,
)

log = logging.getLogger("crowwing.replication")


class Replica(Primary, PreVote):
    """One replica. Feed it `tick` and `receive`, then carry out `take_output()`.

    What stands here is its part as member and witness; those as candidate and primary are its bases.
    """

    def tick(self, now: float) -> None:
        """To be called every few hundredths of a second."""
        if not self.recovered:
            if now - self.started_at >= RECOVERY_DELAY_S and now - self._asked_at >= RECOVERY_RETRY_S:
                self._asked_at = now
                for peer in sorted(self.known):
                    self._send(peer, messages.RecoveryRequest(self.me))
        elif self.role is Role.PRIMARY:
            self._tick_primary(now)
        elif self.role is Role.CANDIDATE:
            self._tick_candidate(now)
        elif now - self.leader_heard >= LEADER_STICKINESS_S and now >= max(
            self._campaign_at, self._listen_until
        ):
            self._tick_follower(now)

    def _tick_follower(self, now: float) -> None:
        if self._may_lead():
            self._ask_prevotes(now)
        else:
            self._ask_to_join(now)

    def _ask_to_join(self, now: float) -> None:
        if now - self._asked_at >= JOIN_RETRY_S:
            self._asked_at = now
            for peer in sorted(self.known):
                self._send(peer, messages.JoinRequest(self.me, False))

    def receive(self, now: float, message: messages.Message) -> None:
        """Takes one message in."""
        _HANDLERS[type(message)](self, now, message)

    def _on_recovery_request(self, now: float, request: messages.RecoveryRequest) -> None:
        self.add_peers([request.sender])
        if self.recovered:
            self._send(
                request.sender, messages.RecoveryResponse(self.me, self.promised, self.view), durable=True
            )

    def _on_recovery_response(self, now: float, response: messages.RecoveryResponse) -> None:
        """Each majority that this replica was in has another of its members among those that answered.

        It may have promised their highest term, and accepted their highest view, so it is bound to both.
        They were asked LEARN_AFTER_S into this life: whoever was to promise or accept beside it in a former
        one, for a candidate that still counts its word, had done so by then.
        """
        if self.recovered:
            return
        self._learned[response.sender] = response
        views = [answer.view for answer in self._learned.values() if answer.view is not None]
        if not views:
            return
        view = max(views, key=lambda view: view.term)
        self.add_peers(view.witnesses)
        answered = set(self._learned) & set(view.witnesses) - {self.me}
        count = len(view.witnesses)
        if len(answered) >= count - majority(count) + 1:
            self.promised = max(answer.promised for answer in self._learned.values())
            self.recovered = True
            self.view = view
            self._output.records += [PromisedTermRecord(self.promised), AcceptedViewRecord(view)]
            log.info("recovered promised=%s", self.promised)

    def _on_join_request(self, now: float, request: messages.JoinRequest) -> None:
        self.add_peers([request.sender])
        if self.role is Role.PRIMARY and request.sender not in self.excluded:
            self._joiners[request.sender] = now
        elif not request.forwarded and self.leader not in (None, self.me, request.sender):
            self._send(self.leader, messages.JoinRequest(request.sender, True))

    def _on_prepare(self, now: float, prepare: messages.Prepare) -> None:
        if not self.recovered:
            return
        released = self._may_pass_lease(prepare.released)
        if now - self.started_at < LEADER_STICKINESS_S and self._remembers and prepare.sender != self.me:
            return  # it may have vouched for a primary just before it ended
        leader_age_s = now - self.leader_heard
        is_leader_alive = self.leader not in (None, prepare.sender) and leader_age_s < LEADER_STICKINESS_S
        if self.role is Role.PRIMARY and prepare.sender != self.me:
            is_leader_alive = self.holds_lease(now)
        # One candidate a term number, so that documents of two primaries can be told apart.
        is_bound = prepare.term[0] <= self.promised[0] and prepare.term != self.promised
        if prepare.sender != self.me and (
            is_bound or prepare.term == self.promised or (is_leader_alive and not released)
        ):
            self._send(prepare.sender, messages.Nack(prepare.term, self.me, self.promised), durable=True)
            return
        if prepare.sender != self.me:
            if self.role is not Role.FOLLOWER:
                self._step_down(now, f"{prepare.sender} prepares term {prepare.term}")
            self._promise(prepare.term)
            self._campaign_at = self._turn(now)
        promise = messages.Promise(prepare.term, self.me, self.view, self.synced, self.log.last, self.sync_s)
        self._send(prepare.sender, promise, durable=True)

    def _on_sync_in_progress(self, now: float, progress: messages.SyncInProgress) -> None:
        if progress.term == self.promised and self.role is Role.FOLLOWER:
            self._campaign_at = self._turn(now)

    def _on_accept(self, now: float, accept: messages.Accept) -> None:
        if not self.recovered:
            return
        if accept.view.term < self.promised:
            self._send(accept.sender, messages.Nack(accept.view.term, self.me, self.promised), durable=True)
            return
        if accept.sender != self.me and self.role is not Role.FOLLOWER:
            self._step_down(now, f"{accept.sender} has term {accept.view.term}")
        self.promised, self.view = accept.view.term, accept.view
        self._output.records.append(AcceptedViewRecord(accept.view))
        if accept.sender != self.me:
            self._heard_leader(now, accept.sender, accept.view.term)
        self._send(accept.sender, messages.Accepted(accept.view.term, self.me), durable=True)

    def _on_heartbeat(self, now: float, heartbeat: messages.Heartbeat) -> None:
        if heartbeat.term < self.promised:
            self._send(heartbeat.sender, messages.Nack(heartbeat.term, self.me, self.promised), durable=True)
            return
        self.add_peers([heartbeat.sender, *heartbeat.view.witnesses, *heartbeat.view.members])
        if self.recovered and heartbeat.term > self.promised:
            self._promise(heartbeat.term)
        if self.recovered and (self.view is None or self.view.term < heartbeat.view.term):
            self.view = heartbeat.view
            self._output.records.append(AcceptedViewRecord(heartbeat.view))
        if self.role is not Role.FOLLOWER and heartbeat.sender != self.me:
            self._step_down(now, f"{heartbeat.sender} is primary with term {heartbeat.term}")
        self._heard_leader(now, heartbeat.sender, heartbeat.term)
        recovered = self.recovered and not self.disk_stalled
        reply = messages.HeartbeatResponse(
            heartbeat.term, self.me, heartbeat.sequence, self.log.last, self.synced, recovered, self.sync_s
        )
        self._send(heartbeat.sender, reply, durable=bool(self._output.records))

    def _follows(self, now: float, term: Term, sender: str) -> bool:
        if not self.recovered or sender == self.me:
            return False
        if term < self.promised:
            self._send(sender, messages.Nack(term, self.me, self.promised), durable=True)
            return False
        if self.role is not Role.FOLLOWER:
            self._step_down(now, f"{sender} has term {term}")
        if term > self.promised:
            self._promise(term)
        self._heard_leader(now, sender, term)
        return True

    def _on_sync_request(self, now: float, request: messages.SyncRequest) -> None:
        if not self._follows(now, request.term, request.sender):
            return
        if self._completes_repair(request):
            self._finish_repair(request)
        elif not self._append_sync(request):
            self._send(request.sender, messages.SyncResponse(request.term, self.me, self.log.last, False))
            return
        if self.log.last == request.last:
            self.synced = request.term
            self._output.records.append(SyncedTermRecord(request.term))
        self._send(
            request.sender, messages.SyncResponse(request.term, self.me, self.log.last, True), durable=True
        )

    def _append_sync(self, request: messages.SyncRequest) -> bool:
        """Takes in what follows `previous`; False where this replica's log has anything else there."""
        if not self.log.contains(request.previous):
            return False
        held = self.log.after(request.previous[1])
        if len(held) > len(request.entries):
            return False
        for mine, theirs in zip(held, request.entries, strict=False):
            if mine.term != theirs.term:
                return False
        self._take_entries(request.entries[len(held) :])
        return True

    def _on_append_request(self, now: float, request: messages.AppendRequest) -> None:
        if request.term != self.promised or self.synced != request.term:
            if request.term < self.promised:
                self._send(request.sender, messages.Nack(request.term, self.me, self.promised), durable=True)
            return
        self._heard_leader(now, request.sender, request.term)
        last = self.log.last[1]
        fresh = [entry for entry in request.entries if entry.index > last]
        if fresh and fresh[0].index != last + 1:
            return  # something was lost on the way; the next heartbeat's answer tells the primary
        self._take_entries(fresh)
        response = messages.AppendResponse(request.term, self.me, self.log.last[1])
        self._send(request.sender, response, durable=True)


_HANDLERS: dict[type, Callable[[Replica, float, Any], None]] = {
    messages.Accept: Replica._on_accept,
    messages.Accepted: Replica._on_accepted,
    messages.AppendRequest: Replica._on_append_request,
    messages.AppendResponse: Replica._on_append_response,
    messages.EntriesRequest: Replica._on_entries_request,
    messages.Heartbeat: Replica._on_heartbeat,
    messages.HeartbeatResponse: Replica._on_heartbeat_response,
    messages.JoinRequest: Replica._on_join_request,
    messages.LeadershipTransfer: Replica._on_leadership_transfer,
    messages.Nack: Replica._on_nack,
    messages.PreVoteRequest: Replica._on_pre_vote_request,
    messages.PreVoteResponse: Replica._on_pre_vote_response,
    messages.Prepare: Replica._on_prepare,
    messages.Promise: Replica._on_promise,
    messages.RangeDigests: Replica._on_range_digests,
    messages.RangesRequest: Replica._on_ranges_request,
    messages.RangesResponse: Replica._on_ranges_response,
    messages.RecoveryRequest: Replica._on_recovery_request,
    messages.RecoveryResponse: Replica._on_recovery_response,
    messages.SyncInProgress: Replica._on_sync_in_progress,
    messages.SyncRequest: Replica._on_sync_request,
    messages.SyncResponse: Replica._on_sync_response,
}
