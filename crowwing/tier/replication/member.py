"""What a replica does as a member of the view, or as a learner that is to become one: it takes in data."""

from crowwing.tier.replication import messages, range_transfer
from crowwing.tier.replication.core import ReplicaCore
from crowwing.tier.replication.roles import RoleChanges
from crowwing.tier.replication.terms import Term


class Member:
    """Takes in the log entries and ranges of a candidate or primary."""

    def __init__(self, core: ReplicaCore, changes: RoleChanges) -> None:
        """The member's part of one replica."""
        self._core = core
        self._changes = changes

    def _adopt_term(self, now: float, term: Term, sender: str) -> bool:
        """Whether this replica takes the sender's data under a term; binds it to that term if so."""
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
        """Takes in entries that make this replica's data equal to the sender's."""
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
        # Only a log that reaches the end of the sender's holds all that was committed before the term: a part
        # of it must not make this replica one that may lead.
        if core.log.last == request.last:
            core.durable.mark_synced(request.term)
        response = messages.SyncResponse(request.term, core.me, core.log.last, True)
        core.send(request.sender, response, durable=True)

    def _append_missing(self, request: messages.SyncRequest) -> bool:
        """Takes in what follows `previous`; False where this replica's log has anything else there."""
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
        """Takes in new entries of the primary, in their order."""
        core = self._core
        if request.term != core.durable.promised or core.durable.synced != request.term:
            if request.term < core.durable.promised:
                core.send_nack(request.sender, request.term)
            return
        core.record_leader_contact(now, request.sender, request.term)
        last = core.log.last[1]
        fresh = [entry for entry in request.entries if entry.index > last]
        if fresh and fresh[0].index != last + 1:
            return  # a message was lost; the response to the next heartbeat tells the primary
        core.append_entries(fresh)
        response = messages.AppendResponse(request.term, core.me, core.log.last[1])
        core.send(request.sender, response, durable=True)

    def on_range_digests(self, now: float, range_digests: messages.RangeDigests) -> None:
        """Finds the ranges in which this replica differs from the sender."""
        if self._adopt_term(now, range_digests.term, range_digests.sender):
            range_transfer.compare_digests(self._core, range_digests)

    def on_ranges_response(self, now: float, response: messages.RangesResponse) -> None:
        """Takes in ranges that were requested."""
        adopted = self._adopt_term(now, response.term, response.sender)
        if adopted and self._core.repair is not None:
            range_transfer.buffer_ranges(self._core, self._core.repair, response)
