"""Writes what a replica puts out to its disk, measures the writes, and gets over a disk that fails."""

import asyncio
import logging

from crowwing.tier.clock import Clock
from crowwing.tier.replication.output import Output
from crowwing.tier.replication.records import Record
from crowwing.tier.replication.replica import Replica
from crowwing.tier.state.tier_state import TierState
from crowwing.tier.storage.errors import StorageError
from crowwing.tier.store.disk import Disk

log = logging.getLogger("crowwing.store")

DISK_RETRY_INTERVAL_S = 0.4  # between attempts at a disk that has failed
DISK_STALLED_S = 0.6  # a write in flight for so long counts as stalled
SYNC_SMOOTHING = 0.3  # weight of the newest write in the smoothed time of one


class DiskWriter:
    """The queue in front of a replica's disk; owned by `ReplicaNode`, whose disk loop calls it.

    Attributes:
        has_failed: Whether the disk lacks something that the replica's memory has. The replica takes no part
            until it does not.
    """

    def __init__(self, replica: Replica, state: TierState, disk: Disk, clock: Clock) -> None:
        """An empty queue.

        Args:
            replica: The replica whose records are written.
            state: The state, whose size tells when compaction pays.
            disk: Where the records go.
            clock: The clock that writes are timed by.
        """
        self._replica = replica
        self._state = state
        self._disk = disk
        self._clock = clock
        self._queue: list[Output] = []
        self._has_work = asyncio.Event()
        self._write_began_at: float | None = None
        self.has_failed = False

    def enqueue(self, output: Output) -> None:
        """Adds an output whose records are to be written before its messages are sent."""
        self._queue.append(output)
        self._has_work.set()

    async def wait_for_work(self) -> None:
        """Returns when something was added since the last call."""
        await self._has_work.wait()
        self._has_work.clear()

    def take_queue(self) -> list[Output]:
        """Empties the queue; all that has gathered takes one sync."""
        queue, self._queue = self._queue, []
        return queue

    def is_stalled(self, now: float) -> bool:
        """Whether a write is in flight for DISK_STALLED_S or longer."""
        began_at = self._write_began_at
        return began_at is not None and now - began_at >= DISK_STALLED_S

    async def write(self, outputs: list[Output]) -> None:
        """Writes the records of outputs, and begins a compaction if one is due; raises StorageError."""
        records: list[Record] = [record for output in outputs for record in output.records]
        if not records:
            return
        needs_compaction = self._disk.needs_compaction(self._state.stored_bytes)
        # The snapshot must be made before the write: at this moment it stands for what the file holds and
        # `records`, while the replica goes on changing during the write.
        compacted = self._replica.compacted() if needs_compaction else None
        began_at = self._clock.monotonic()
        self._write_began_at = began_at
        try:
            await self._disk.write(records)
        finally:
            self._write_began_at = None
        elapsed_s = min(DISK_STALLED_S, self._clock.monotonic() - began_at)
        self._replica.sync_s += SYNC_SMOOTHING * (elapsed_s - self._replica.sync_s)
        if compacted is not None:
            log.info("compaction_started size_bytes=%d", self._disk.size)
            self._disk.begin_compaction(compacted)

    async def recover(self) -> None:
        """Returns once the disk holds all that the replica's memory does.

        What was queued is dropped: the messages that waited for the failed records are never sent, so to the
        others this replica has stood still, and its records are in the snapshot that is written.
        """
        self.has_failed = True
        while self.has_failed:
            self._queue.clear()
            await asyncio.sleep(DISK_RETRY_INTERVAL_S)
            try:
                await self._disk.replace_all(self._replica.compacted())
                self.has_failed = False
            except StorageError as error:
                log.warning("disk_retry_failed error=%r", str(error))
        log.info("disk_recovered")
