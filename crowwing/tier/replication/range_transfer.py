"""Brings a replica that needs more than the log holds to another one's data, range by range.

The sender tells a digest of each range of its state. The learner fetches the ranges in which it differs, a
bounded chunk at a time, each requested once the last has come, so that heartbeats find their way between
them. The sender's state moves on meanwhile, so each range comes with the position that it stands for; at the
end the learner fetches the entries since the first digests, and applies to each range those behind its
position. Until then it keeps its own state, in memory and on disk; the exchange is one record.
"""

from crowwing.tier.replication import messages
from crowwing.tier.replication.core import ReplicaCore
from crowwing.tier.replication.range_repair import RangeRepair
from crowwing.tier.replication.records import RangesRecord
from crowwing.tier.replication.terms import Term

CHUNK_BYTES = 128 * 1024  # of ranges in one message, unless a single one is longer
MAX_RANGES_PER_REQUEST = 64


# The sender, which is a candidate with promises or a primary


def send_ranges(core: ReplicaCore, request: messages.RangesRequest) -> None:
    """Sends the requested ranges, as many as fit into one chunk."""
    contents: list[tuple[int, bytes]] = []
    size = 0
    for number in request.ranges:
        content = core.machine.dump_range(number)
        if contents and size + len(content) > CHUNK_BYTES:
            break
        contents.append((number, content))
        size += len(content)
    term = core.durable.promised
    core.send(request.sender, messages.RangesResponse(term, core.me, core.log.last, tuple(contents)))


def send_entries_since(core: ReplicaCore, request: messages.EntriesRequest) -> bool:
    """Sends the entries behind the first of the positions that the learner's ranges stand for.

    Returns:
        False where the log does not hold them any more: the learner has to begin anew with new digests.
    """
    if not all(core.log.contains(position) for position in request.positions):
        core.send_digests(request.sender, restart=True)
        return False
    start = min(request.positions, key=lambda position: position[1])
    entries = core.log.after(start[1])
    term = core.durable.promised
    core.send(request.sender, messages.SyncRequest(term, core.me, start, entries, core.log.last))
    return True


# The learner


def compare_digests(core: ReplicaCore, range_digests: messages.RangeDigests) -> None:
    """Begins a repair where none is under way, and requests the next ranges."""
    if core.repair is None or range_digests.restart:
        own = core.machine.digests()
        different = [number for number, digest in enumerate(range_digests.digests) if own[number] != digest]
        core.repair = RangeRepair(range_digests.last, different)
    request_next(core, core.repair, range_digests.term, range_digests.sender)


def request_next(core: ReplicaCore, repair: RangeRepair, term: Term, sender: str) -> None:
    """Requests the ranges that are still wanted, and at the end the entries behind them."""
    if repair.pending:
        numbers = tuple(repair.pending[:MAX_RANGES_PER_REQUEST])
        core.send(sender, messages.RangesRequest(term, core.me, numbers))
    else:
        positions = tuple({repair.start, *repair.positions.values()})
        core.send(sender, messages.EntriesRequest(term, core.me, positions))


def buffer_ranges(core: ReplicaCore, repair: RangeRepair, response: messages.RangesResponse) -> None:
    """Keeps ranges that were fetched, in memory, and requests the next ones."""
    fresh = [(number, content) for number, content in response.contents if number in repair.pending]
    for number, content in fresh:
        repair.pending.remove(number)
        repair.contents[number] = content
        repair.positions[number] = response.last
    if fresh:  # the second response to what was requested twice is not followed by one more request
        request_next(core, repair, response.term, response.sender)


def finish_repair(core: ReplicaCore, repair: RangeRepair, request: messages.SyncRequest) -> None:
    """Replaces the ranges that differed and applies the entries to each from its position on."""
    core.repair = None
    core.machine.replace_ranges(repair.contents)
    core.log.reset(request.previous)
    contents = dict(repair.contents)
    changed: set[int] = set()
    for entry in request.entries:
        number = core.machine.range_of(entry.payload)
        if entry.index > repair.fetched_index(number):
            core.machine.apply(entry.payload, entry.index)
            changed.add(number)
        core.log.append(entry)
    for number in changed:
        contents[number] = core.machine.dump_range(number)
    core.outbox.record(RangesRecord(core.log.last, tuple(sorted(contents.items()))))
