"""Writes the records in a replica's output to disk, times the writes, and recovers from disk failures."""

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

DISK_RETRY_INTERVAL_S = 0.4  # between attempts to recover a failed disk
DISK_STALLED_S = 0.6  # time in flight after which a write counts as stalled
SYNC_SMOOTHING = 0.3  # weight of the newest write in the moving average of write times


class DiskWriter:
    """The write queue of a replica's disk; owned by `ReplicaNode`, whose disk loop calls it.

    Attributes:
        has_failed: Whether the disk lacks records that the replica's memory has. The replica is paused until
            the disk has recovered.
    """

    def __init__(self, replica: Replica, state: TierState, disk: Disk, clock: Clock) -> None:
        """Creates an empty queue.

        Args:
            replica: The replica whose records are written.
            state: The state, whose size determines when to compact.
            disk: Stores the records.
            clock: Times the writes.
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
        """Queues an output, whose records must be written before its messages are sent."""
        self._queue.append(output)
        self._has_work.set()

    async def wait_for_work(self) -> None:
        """Returns once something has been queued since the last call."""
        await self._has_work.wait()
        self._has_work.clear()

    def take_queue(self) -> list[Output]:
        """Empties the queue; its content is written as one batch with one fsync."""
        queue, self._queue = self._queue, []
        return queue

    def is_stalled(self, now: float) -> bool:
        """Whether a write has been in flight for DISK_STALLED_S or longer."""
        began_at = self._write_began_at
        return began_at is not None and now - began_at >= DISK_STALLED_S

    async def write(self, outputs: list[Output]) -> None:
        """Writes the records of outputs, and starts a compaction if one is due; raises StorageError."""
        records: list[Record] = [record for output in outputs for record in output.records]
        if not records:
            return
        needs_compaction = self._disk.needs_compaction(self._state.stored_bytes)
        # The snapshot must be taken before the write: it now covers the file and `records`, while the replica
        # may change during the write.
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
        """Returns once the disk holds everything that the replica's memory does.

        Queued outputs are dropped: their records are part of the snapshot that is written, and the messages
        that depended on the failed records are never sent, so to its peers this replica was merely paused.
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
