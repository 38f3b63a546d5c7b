"""Brings a replica that needs more than the log holds to another one's data, range by range.

The sender tells a digest of each range of its state. The learner fetches the ranges in which it differs, a
bounded piece at a time, each asked for once the last has come, so that heartbeats find their way between
them. The sender's state moves on meanwhile, so each range comes with the position that it stands for; at the
end the learner fetches the entries since the first digests, and applies to each range those behind its
position. Until then it keeps its own state, in memory and on disk; the exchange is one record.
"""

from crowwing.tier.replication import messages
from crowwing.tier.replication.records import RangesRecord
from crowwing.tier.replication.replica_state import Phase, RangeRepair, ReplicaState, Role
from crowwing.tier.replication.terms import Term
from crowwing.tier.replication.timing import LEARNER_RANGES_WAIT_S, SYNC_TIMEOUT_S

CHUNK_BYTES = 128 * 1024  # of ranges in one message, unless a single one is longer
MAX_RANGES_PER_REQUEST = 64  # asked for at once at most


class RangeTransfer(ReplicaState):
    """Both sides of a repair by range digests."""

    # The sender

    def _send_digests(self, target: str, restart: bool = False) -> None:
        digests = self._machine.digests()
        self._send(target, messages.RangeDigests(self.promised, self.me, self.log.last, digests, restart))

    def _serves(self, term: Term) -> bool:
        """Whether this replica's data is what others are to be brought to under a term."""
        if term != self.promised:
            return False
        if self.role is Role.CANDIDATE:
            return self._campaign is not None and self._campaign.phase is not Phase.PREPARE
        return self.role is Role.PRIMARY

    def _on_ranges_request(self, now: float, request: messages.RangesRequest) -> None:
        if not self._serves(request.term):
            return
        contents: list[tuple[int, bytes]] = []
        size = 0
        for number in request.ranges:
            content = self._machine.dump_range(number)
            if contents and size + len(content) > CHUNK_BYTES:
                break
            contents.append((number, content))
            size += len(content)
        self._send(
            request.sender, messages.RangesResponse(self.promised, self.me, self.log.last, tuple(contents))
        )
        self._learner_moved(now, request.sender)

    def _learner_moved(self, now: float, learner: str) -> None:
        """A learner that gets on is not sent digests again, and a candidate waits for it a while longer."""
        self._learner_wait[learner] = now + LEARNER_RANGES_WAIT_S
        campaign = self._campaign
        if campaign is not None and learner in campaign.targets:
            campaign.sync_limit_s = max(campaign.sync_limit_s, now - campaign.since + SYNC_TIMEOUT_S)

    def _on_entries_request(self, now: float, request: messages.EntriesRequest) -> None:
        if not self._serves(request.term):
            return
        if all(self.log.contains(position) for position in request.positions):
            start = min(request.positions, key=lambda position: position[1])
            entries = self.log.after(start[1])
            self._send(
                request.sender, messages.SyncRequest(self.promised, self.me, start, entries, self.log.last)
            )
            self._learner_moved(now, request.sender)
        else:
            self._send_digests(request.sender, restart=True)

    # The learner

    def _on_range_digests(self, now: float, range_digests: messages.RangeDigests) -> None:
        if not self._follows(now, range_digests.term, range_digests.sender):
            return
        if self._repair is None or range_digests.restart:
            own = self._machine.digests()
            differ = [number for number, digest in enumerate(range_digests.digests) if own[number] != digest]
            self._repair = RangeRepair(range_digests.last, differ)
        self._fetch_next(range_digests.term, range_digests.sender)

    def _fetch_next(self, term: Term, sender: str) -> None:
        repair = self._repair
        assert repair is not None
        if repair.wanted:
            self._send(
                sender, messages.RangesRequest(term, self.me, tuple(repair.wanted[:MAX_RANGES_PER_REQUEST]))
            )
        else:
            positions = tuple({repair.start, *repair.positions.values()})
            self._send(sender, messages.EntriesRequest(term, self.me, positions))

    def _on_ranges_response(self, now: float, response: messages.RangesResponse) -> None:
        if not self._follows(now, response.term, response.sender) or self._repair is None:
            return
        repair = self._repair
        fresh = [(number, content) for number, content in response.contents if number in repair.wanted]
        for number, content in fresh:
            repair.wanted.remove(number)
            repair.contents[number], repair.positions[number] = content, response.last
        if fresh:  # what was asked for twice is not followed twice
            self._fetch_next(response.term, response.sender)

    def _completes_repair(self, request: messages.SyncRequest) -> bool:
        """Whether these entries reach from the first digests to the newest range that was fetched."""
        repair = self._repair
        if repair is None or repair.wanted or request.previous != repair.start:
            return False
        newest = max((position[1] for position in repair.positions.values()), default=repair.start[1])
        return request.previous[1] + len(request.entries) >= newest

    def _finish_repair(self, request: messages.SyncRequest) -> None:
        """Replaces the ranges that differed and applies the entries to each from its position on."""
        repair, self._repair = self._repair, None
        assert repair is not None
        self._machine.replace_ranges(repair.contents)
        self.log.reset(request.previous)
        contents = dict(repair.contents)
        moved_on: set[int] = set()
        for entry in request.entries:
            number = self._machine.range_of(entry.payload)
            if entry.index > repair.fetched_upto(number):
                self._machine.apply(entry.payload, entry.index)
                moved_on.add(number)
            self.log.append(entry)
        for number in moved_on:
            contents[number] = self._machine.dump_range(number)
        self._output.records.append(RangesRecord(self.log.last, tuple(sorted(contents.items()))))

    def _follows(self, now: float, term: Term, sender: str) -> bool:
        """Whether this replica takes the sender's data under a term; binds it to that term if so."""
        raise NotImplementedError
