"""The behaviour of a replica as a witness, in every role: it decides which term and view are valid.

Phases 1 and 2 of a view change, after Vertical Paxos (Lamport, Malkhi, Zhou 2009).
"""

from crowwing.tier.replication import messages
from crowwing.tier.replication.core import ReplicaCore
from crowwing.tier.replication.lease import Lease
from crowwing.tier.replication.roles import RoleChanges


class Witness:
    """Promises terms, accepts views and responds to heartbeats."""

    def __init__(self, core: ReplicaCore, changes: RoleChanges) -> None:
        """The witness role of one replica."""
        self._core = core
        self._changes = changes
        self.own_lease: Lease | None = None  # while this replica is primary

    def on_prepare(self, now: float, prepare: messages.Prepare) -> None:
        """Promises a term, unless a higher one is promised or another primary may hold a lease."""
        core = self._core
        if not core.durable.recovered:
            return
        if prepare.sender != core.me:
            if core.monitor.may_have_granted_lease_before_restart(now):
                return  # a lease that it acknowledged just before its restart may still be valid
            if self._refuses(now, prepare):
                core.send_nack(prepare.sender, prepare.term)
                return
            self._changes.step_down_from_leading(now, f"{prepare.sender} prepares term {prepare.term}")
            core.durable.promise(prepare.term)
            core.reset_election_timer(now)
        durable = core.durable
        promise = messages.Promise(
            prepare.term, core.me, durable.view, durable.synced, core.log.last, core.sync_s
        )
        core.send(prepare.sender, promise, durable=True)

    def _refuses(self, now: float, prepare: messages.Prepare) -> bool:
        promised = self._core.durable.promised
        # At most one candidate per term number, so that documents of two primaries can be distinguished.
        is_bound = prepare.term[0] <= promised[0] and prepare.term != promised
        if is_bound or prepare.term == promised:
            return True
        is_leader_alive = self._is_leader_alive(now, prepare.sender)
        return is_leader_alive and not self._core.monitor.is_lease_released(prepare.released)

    def _is_leader_alive(self, now: float, candidate: str) -> bool:
        if self.own_lease is not None:
            return self.own_lease.is_valid(now)
        return self._core.monitor.is_alive(now, candidate)

    def on_accept(self, now: float, accept: messages.Accept) -> None:
        """Accepts a view, unless a higher term is promised."""
        core = self._core
        term = accept.view.term
        if not core.durable.recovered:
            return
        if term < core.durable.promised:
            core.send_nack(accept.sender, term)
            return
        if accept.sender != core.me:
            self._changes.step_down_from_leading(now, f"{accept.sender} has term {term}")
        core.durable.accept(accept.view)
        if accept.sender != core.me:
            core.record_leader_contact(now, accept.sender, term)
        core.send(accept.sender, messages.Accepted(term, core.me), durable=True)

    def on_heartbeat(self, now: float, heartbeat: messages.Heartbeat) -> None:
        """Acknowledges the primary, unless a higher term is promised; the response renews its lease."""
        core = self._core
        durable = core.durable
        if heartbeat.term < durable.promised:
            core.send_nack(heartbeat.sender, heartbeat.term)
            return
        core.peers.add([heartbeat.sender, *heartbeat.view.witnesses, *heartbeat.view.members])
        if durable.recovered and heartbeat.term > durable.promised:
            durable.promise(heartbeat.term)
        if durable.recovered and (durable.view is None or durable.view.term < heartbeat.view.term):
            durable.adopt_view(heartbeat.view)
        if heartbeat.sender != core.me:
            reason = f"{heartbeat.sender} is primary with term {heartbeat.term}"
            self._changes.step_down_from_leading(now, reason)
        core.record_leader_contact(now, heartbeat.sender, heartbeat.term)
        response = messages.HeartbeatResponse(
            heartbeat.term,
            core.me,
            heartbeat.sequence,
            core.log.last,
            durable.synced,
            durable.recovered and not core.disk_stalled,
            core.sync_s,
        )
        core.send(heartbeat.sender, response, durable=core.outbox.has_records)

    def on_pre_vote_request(self, now: float, request: messages.PreVoteRequest) -> None:
        """Responds whether this replica would promise a higher term now."""
        if self._core.durable.recovered:
            willing = self._would_promise(now, request.sender)
            response = messages.PreVoteResponse(request.term, self._core.me, willing)
            self._core.send(request.sender, response)

    def _would_promise(self, now: float, candidate: str) -> bool:
        if self.own_lease is not None:
            return not self.own_lease.is_valid(now)
        if self._core.monitor.may_have_granted_lease_before_restart(now):
            return False
        return not self._core.monitor.is_alive(now, candidate)
