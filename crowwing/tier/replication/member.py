"""The behaviour of a replica as a member of the view, or as a learner: it receives entries and ranges."""

from crowwing.tier.replication import messages, range_transfer
from crowwing.tier.replication.core import ReplicaCore
from crowwing.tier.replication.roles import RoleChanges
from crowwing.tier.replication.terms import Term


class Member:
    """Appends log entries and applies ranges that a candidate or primary sends."""

    def __init__(self, core: ReplicaCore, changes: RoleChanges) -> None:
        """The member role of one replica."""
        self._core = core
        self._changes = changes

    def _adopt_term(self, now: float, term: Term, sender: str) -> bool:
        """Promises the sender's term; returns False if its data must not be taken under that term."""
        core = self._core
        if not core.durable.recovered or sender == core.me:
            return False
        if term < core.durable.promised:
            core.send_nack(sender, term)
            return False
        self._changes.step_down_from_leading(now, f"{sender} has term {term}")
        if term > core.durable.promised:
            core.durable.promise(term)
        core.record_leader_contact(now, sender, term)
        return True

    def on_sync_request(self, now: float, request: messages.SyncRequest) -> None:
        """Appends the entries that this replica lacks, or completes a repair with them."""
        core = self._core
        if not self._adopt_term(now, request.term, request.sender):
            return
        repair = core.repair
        if repair is not None and repair.is_completed_by(request):
            range_transfer.finish_repair(core, repair, request)
        elif not self._append_missing(request):
            response = messages.SyncResponse(request.term, core.me, core.log.last, False)
            core.send(request.sender, response)
            return
        # Only a log that reaches the end of the sender's holds every entry committed before the term; a
        # replica that holds only a part of it must not become eligible to lead.
        if core.log.last == request.last:
            core.durable.mark_synced(request.term)
        response = messages.SyncResponse(request.term, core.me, core.log.last, True)
        core.send(request.sender, response, durable=True)

    def _append_missing(self, request: messages.SyncRequest) -> bool:
        """Appends what is missing after `previous`; False if this replica's log conflicts with it."""
        log = self._core.log
        if not log.contains(request.previous):
            return False
        present = log.after(request.previous[1])
        if len(present) > len(request.entries):
            return False
        for own, other in zip(present, request.entries, strict=False):
            if own.term != other.term:
                return False
        self._core.append_entries(request.entries[len(present) :])
        return True

    def on_append_request(self, now: float, request: messages.AppendRequest) -> None:
        """Appends new entries of the primary, in log order."""
        core = self._core
        if request.term != core.durable.promised or core.durable.synced != request.term:
            if request.term < core.durable.promised:
                core.send_nack(request.sender, request.term)
            return
        core.record_leader_contact(now, request.sender, request.term)
        last = core.log.last[1]
        fresh = [entry for entry in request.entries if entry.index > last]
        if fresh and fresh[0].index != last + 1:
            return  # a message was lost; the primary resends it after the next heartbeat response
        core.append_entries(fresh)
        response = messages.AppendResponse(request.term, core.me, core.log.last[1])
        core.send(request.sender, response, durable=True)

    def on_range_digests(self, now: float, range_digests: messages.RangeDigests) -> None:
        """Starts or continues a repair of the ranges whose digests differ."""
        if self._adopt_term(now, range_digests.term, range_digests.sender):
            range_transfer.compare_digests(self._core, range_digests)

    def on_ranges_response(self, now: float, response: messages.RangesResponse) -> None:
        """Buffers ranges that were requested."""
        adopted = self._adopt_term(now, response.term, response.sender)
        if adopted and self._core.repair is not None:
            range_transfer.buffer_ranges(self._core, self._core.repair, response)
