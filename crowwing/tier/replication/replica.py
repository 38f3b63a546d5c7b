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
from crowwing.tier.replication.replica_state import Role, majority
from crowwing.tier.replication.timing import JOIN_S, LEARN_AFTER_S, LEARN_S, STICKY_S

log = logging.getLogger("crowwing.replication")


class Replica(Primary, PreVote):
    """One replica. Feed it `tick` and `receive`, then carry out `take_output()`.

    What stands here is its part as member and witness; those as candidate and primary are its bases.
    """

    def tick(self, now: float) -> None:
        """To be called every few hundredths of a second."""
        if not self.recovered:
            if now - self._started >= LEARN_AFTER_S and now - self._asked_at >= LEARN_S:
                self._asked_at = now
                for peer in sorted(self.known):
                    self._send(peer, messages.RecoveryRequest(self.me))
        elif self.role is Role.PRIMARY:
            self._tick_primary(now)
        elif self.role is Role.CANDIDATE:
            self._tick_candidate(now)
        elif now - self.leader_heard >= STICKY_S and now >= max(self._campaign_at, self._listen_until):
            self._tick_follower(now)

    def _tick_follower(self, now: float) -> None:
        if self._may_lead():
            self._ask_prevotes(now)
        else:
            self._ask_to_join(now)

    def _ask_to_join(self, now: float) -> None:
        if now - self._asked_at >= JOIN_S:
            self._asked_at = now
            for peer in sorted(self.known):
                self._send(peer, messages.JoinRequest(self.me, False))

    def receive(self, now: float, message: messages.Message) -> None:
        """Takes one message in."""
        _HANDLERS[type(message)](self, now, message)

    def _on_recovery_request(self, now: float, x: messages.RecoveryRequest) -> None:
        self.add_peers([x.sender])
        if self.recovered:
            self._send(x.sender, messages.RecoveryResponse(self.me, self.promised, self.view), durable=True)

    def _on_recovery_response(self, now: float, x: messages.RecoveryResponse) -> None:
        """Each majority that this replica was in has another of its members among those that answered.

        It may have promised their highest ballot, and accepted their highest view, so it is bound to both.
        They were asked LEARN_AFTER_S into this life: whoever was to promise or accept beside it in a former
        one, for a candidate that still counts its word, had done so by then.
        """
        if self.recovered:
            return
        self._learned[x.sender] = x
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
            self._output.records += [
                messages.PromisedTermRecord(self.promised),
                messages.AcceptedViewRecord(view),
            ]
            log.info("has learned that ballot %s was promised", self.promised)

    def _on_join_request(self, now: float, x: messages.JoinRequest) -> None:
        self.add_peers([x.sender])
        if self.role is Role.PRIMARY and x.sender not in self.excluded:
            self._joiners[x.sender] = now
        elif not x.forwarded and self.leader not in (None, self.me, x.sender):
            self._send(self.leader, messages.JoinRequest(x.sender, True))

    def _on_prepare(self, now: float, x: messages.Prepare) -> None:
        if not self.recovered:
            return
        released = self._may_pass_lease(x.released)
        if now - self._started < STICKY_S and self._remembers and x.sender != self.me:
            return  # it may have vouched for a primary just before it ended
        leader_lives = self.leader not in (None, x.sender) and now - self.leader_heard < STICKY_S
        if self.role is Role.PRIMARY and x.sender != self.me:
            leader_lives = self.holds_lease(now)
        is_bound = x.term[0] <= self.promised[0] and x.term != self.promised  # one candidate a round
        if x.sender != self.me and (is_bound or x.term == self.promised or (leader_lives and not released)):
            self._send(x.sender, messages.Nack(x.term, self.me, self.promised), durable=True)
            return
        if x.sender != self.me:
            if self.role is not Role.FOLLOWER:
                self._step_down(now, f"{x.sender} prepares ballot {x.term}")
            self._promise(x.term)
            self._campaign_at = self._turn(now)
        promise = messages.Promise(x.term, self.me, self.view, self.synced, self.log.last, self.sync_s)
        self._send(x.sender, promise, durable=True)

    def _on_sync_in_progress(self, now: float, x: messages.SyncInProgress) -> None:
        if x.term == self.promised and self.role is Role.FOLLOWER:
            self._campaign_at = self._turn(now)

    def _on_accept(self, now: float, x: messages.Accept) -> None:
        if not self.recovered:
            return
        if x.view.term < self.promised:
            self._send(x.sender, messages.Nack(x.view.term, self.me, self.promised), durable=True)
            return
        if x.sender != self.me and self.role is not Role.FOLLOWER:
            self._step_down(now, f"{x.sender} has ballot {x.view.term}")
        self.promised, self.view = x.view.term, x.view
        self._output.records.append(messages.AcceptedViewRecord(x.view))
        if x.sender != self.me:
            self._heard_leader(now, x.sender, x.view.term)
        self._send(x.sender, messages.Accepted(x.view.term, self.me), durable=True)

    def _on_heartbeat(self, now: float, x: messages.Heartbeat) -> None:
        if x.term < self.promised:
            self._send(x.sender, messages.Nack(x.term, self.me, self.promised), durable=True)
            return
        self.add_peers([x.sender, *x.view.witnesses, *x.view.members])
        if self.recovered and x.term > self.promised:
            self._promise(x.term)
        if self.recovered and (self.view is None or self.view.term < x.view.term):
            self.view = x.view
            self._output.records.append(messages.AcceptedViewRecord(x.view))
        if self.role is not Role.FOLLOWER and x.sender != self.me:
            self._step_down(now, f"{x.sender} is primary with ballot {x.term}")
        self._heard_leader(now, x.sender, x.term)
        recovered = self.recovered and not self.disk_stalled
        reply = messages.HeartbeatResponse(
            x.term, self.me, x.sequence, self.log.last, self.synced, recovered, self.sync_s
        )
        self._send(x.sender, reply, durable=bool(self._output.records))

    def _follows(self, now: float, term: messages.Term, sender: str) -> bool:
        if not self.recovered or sender == self.me:
            return False
        if term < self.promised:
            self._send(sender, messages.Nack(term, self.me, self.promised), durable=True)
            return False
        if self.role is not Role.FOLLOWER:
            self._step_down(now, f"{sender} has ballot {term}")
        if term > self.promised:
            self._promise(term)
        self._heard_leader(now, sender, term)
        return True

    def _on_sync_request(self, now: float, x: messages.SyncRequest) -> None:
        if not self._follows(now, x.term, x.sender):
            return
        if self._completes_repair(x):
            self._finish_repair(x)
        elif not self._append_sync(x):
            self._send(x.sender, messages.SyncResponse(x.term, self.me, self.log.last, False))
            return
        if self.log.last == x.last:
            self.synced = x.term
            self._output.records.append(messages.SyncedTermRecord(x.term))
        self._send(x.sender, messages.SyncResponse(x.term, self.me, self.log.last, True), durable=True)

    def _append_sync(self, x: messages.SyncRequest) -> bool:
        """Takes in what follows `previous`; False where this replica's log has anything else there."""
        if not self.log.contains(x.previous):
            return False
        held = self.log.after(x.previous[1])
        if len(held) > len(x.entries):
            return False
        for mine, theirs in zip(held, x.entries, strict=False):
            if mine.term != theirs.term:
                return False
        self._take_entries(x.entries[len(held) :])
        return True

    def _on_append_request(self, now: float, x: messages.AppendRequest) -> None:
        if x.term != self.promised or self.synced != x.term:
            if x.term < self.promised:
                self._send(x.sender, messages.Nack(x.term, self.me, self.promised), durable=True)
            return
        self._heard_leader(now, x.sender, x.term)
        last = self.log.last[1]
        fresh = [entry for entry in x.entries if entry.index > last]
        if fresh and fresh[0].index != last + 1:
            return  # something was lost on the way; the next heartbeat's answer tells the primary
        self._take_entries(fresh)
        self._send(x.sender, messages.AppendResponse(x.term, self.me, self.log.last[1]), durable=True)


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
