"""Range transfer: brings a learner up to date that lacks entries which the sender's log no longer holds.

The sender sends a digest of each range of its state. The learner fetches the ranges that differ, in bounded
chunks and with one request outstanding at a time, so that heartbeats are not queued behind data. The sender's
state changes meanwhile, so each range carries the log position of its content. At the end the learner
fetches the entries after the position of the digests, and applies to each range those above its position.
Until then it keeps its own state, in memory and on disk; all ranges are replaced by one record.
"""

from crowwing.tier.replication import messages
from crowwing.tier.replication.core import ReplicaCore
from crowwing.tier.replication.range_repair import RangeRepair
from crowwing.tier.replication.records import RangesRecord
from crowwing.tier.replication.terms import Term

CHUNK_BYTES = 128 * 1024  # of ranges in one message, unless a single one is longer
MAX_RANGES_PER_REQUEST = 64


# The sender: a primary, or a candidate past its prepare phase


def send_ranges(core: ReplicaCore, request: messages.RangesRequest) -> None:
    """Sends as many of the requested ranges as fit into one chunk."""
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
    """Sends the entries after the lowest position of the learner's ranges.

    Returns:
        False if the log no longer holds them; the learner has been sent new digests and starts over.
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
    """Starts a repair if none is in progress or a restart is required, and requests the next ranges."""
    if core.repair is None or range_digests.restart:
        own = core.machine.digests()
        different = [number for number, digest in enumerate(range_digests.digests) if own[number] != digest]
        core.repair = RangeRepair(range_digests.last, different)
    request_next(core, core.repair, range_digests.term, range_digests.sender)


def request_next(core: ReplicaCore, repair: RangeRepair, term: Term, sender: str) -> None:
    """Requests the next pending ranges, or, once there are none, the entries that complete the repair."""
    if repair.pending:
        numbers = tuple(repair.pending[:MAX_RANGES_PER_REQUEST])
        core.send(sender, messages.RangesRequest(term, core.me, numbers))
    else:
        positions = tuple({repair.start, *repair.positions.values()})
        core.send(sender, messages.EntriesRequest(term, core.me, positions))


def buffer_ranges(core: ReplicaCore, repair: RangeRepair, response: messages.RangesResponse) -> None:
    """Buffers fetched ranges in memory and requests the next ones."""
    fresh = [(number, content) for number, content in response.contents if number in repair.pending]
    for number, content in fresh:
        repair.pending.remove(number)
        repair.contents[number] = content
        repair.positions[number] = response.last
    if fresh:  # a duplicate response does not trigger another request
        request_next(core, repair, response.term, response.sender)


def finish_repair(core: ReplicaCore, repair: RangeRepair, request: messages.SyncRequest) -> None:
    """Replaces the ranges that differed, and applies to each the entries above its position."""
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
