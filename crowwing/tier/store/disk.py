"""The replica's records in one file: appended and synced in order, and compacted beside the writes."""

import contextlib
import logging
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from crowwing.tier.clock import SYSTEM_CLOCK, Clock
from crowwing.tier.replication.records import Record
from crowwing.tier.storage.compaction import CompactedFile
from crowwing.tier.storage.errors import StorageError
from crowwing.tier.storage.files import OS_FILES, Files
from crowwing.tier.storage.record_file import RecordFile
from crowwing.tier.store.workers import DiskWorkers, PendingResult, ThreadWorkers
from crowwing.tier.wire.codec import decode, encode

log = logging.getLogger("crowwing.disk")

FILE_NAME = "state.log"
MIN_COMPACTION_BYTES = 8 * 1024 * 1024  # a shorter file is not compacted, but on a crowded disk
COMPACTION_FACTOR = 3  # times the length after the last compaction
HIGH_DISK_USAGE_SHARE = 0.4  # of the disk's capacity, from which a file is compacted sooner
HIGH_USAGE_COMPACTION_FACTOR = 1.5  # times the length that a compaction is expected to give
COMPACTION_RETRY_S = 2.0  # after a compaction that failed
USABLE_DISK_SHARE = 0.95  # of the disk's capacity, for the file and its replacement together


@dataclass
class Compaction:
    """A replacement of the file that is being written beside it."""

    replacement: PendingResult[CompactedFile]
    concurrent_appends: list[
        bytes
    ]  # what was appended to the file since, and has to follow in the replacement


class Disk:
    """Stores records; `write` returns once they outlast a loss of power.

    Owned by the replica's node, which calls `write` and `replace_all` one at a time. A long file is compacted
    beside the writes: what is written meanwhile goes to the file and, when the replacement is ready, behind
    its content too.
    """

    def __init__(
        self,
        folder: Path,
        capacity_bytes: int = 0,
        files: Files = OS_FILES,
        workers: DiskWorkers | None = None,
        clock: Clock = SYSTEM_CLOCK,
    ) -> None:
        """The records of a folder.

        Args:
            folder: Where the file is.
            capacity_bytes: What the disk holds in all; 0 where that is not known.
            files: The file operations.
            workers: Where blocking work is done; two threads by default.
            clock: The clock for the time between compactions.
        """
        self._capacity_bytes = capacity_bytes
        self._clock = clock
        self._file = RecordFile(folder / FILE_NAME, files)
        self._workers = workers or ThreadWorkers()
        self._compacted_bytes = 0
        self._compaction: Compaction | None = None
        self._compact_after = 0.0

    def open(self) -> list[Record]:
        """All records of the file, without a torn one at its end; raises StorageError."""
        records: list[Record] = [decode(record) for record in self._file.open()]
        self._compacted_bytes = self._file.size  # so that no compaction falls in the midst of a start
        return records

    @property
    def size(self) -> int:
        """The length of the file in bytes."""
        return self._file.size

    def needs_compaction(self, compacted_bytes: int) -> bool:
        """Whether the file should be compacted now.

        Args:
            compacted_bytes: About how much the compacted file takes, beside the present one meanwhile.
        """
        size = self._file.size
        if self._compaction is not None or self._clock.monotonic() < self._compact_after:
            return False
        if self._capacity_bytes and size + compacted_bytes > USABLE_DISK_SHARE * self._capacity_bytes:
            return False
        if size > max(MIN_COMPACTION_BYTES, COMPACTION_FACTOR * self._compacted_bytes):
            return True
        is_high_usage = self._capacity_bytes > 0 and size > HIGH_DISK_USAGE_SHARE * self._capacity_bytes
        return is_high_usage and size > HIGH_USAGE_COMPACTION_FACTOR * compacted_bytes

    async def write(self, records: list[Record]) -> None:
        """Appends records and syncs them; raises StorageError."""
        payloads = [encode(record) for record in records]
        compaction = self._compaction
        if compaction is not None and compaction.replacement.done():
            self._compaction = None
            await self._workers.write(self._finish_compaction, compaction, payloads)
            return
        if compaction is not None:
            compaction.concurrent_appends += payloads
        await self._workers.write(self._file.append, payloads)

    def begin_compaction(self, records: Iterable[Record]) -> None:
        """Starts to write a replacement of the file.

        A later `write` puts it in the file's place, so that no write waits for it.

        Args:
            records: What stands for everything written so far; iterated by another thread.
        """
        replacement = self._workers.compact(self._prepare_replacement, records)
        self._compaction = Compaction(replacement, [])

    async def replace_all(self, records: Iterable[Record]) -> None:
        """Replaces everything by these records; raises StorageError."""
        compaction, self._compaction = self._compaction, None
        if compaction is not None:
            await self._workers.write(_discard_replacement, compaction)
        await self._workers.write(self._replace_file, records)

    # What the workers run

    def _prepare_replacement(self, records: Iterable[Record]) -> CompactedFile:
        return self._file.prepare_compaction(encode(record) for record in records)

    def _finish_compaction(self, compaction: Compaction, payloads: list[bytes]) -> None:
        """Switches to the replacement, or goes on with the file where that fails.

        Until the switch the file has all that was acknowledged, so a crash at any step loses nothing; what
        was written meanwhile must be in the replacement before it.
        """
        tail = compaction.concurrent_appends
        try:
            replacement = compaction.replacement.result()
            compacted_bytes = replacement.size
            replacement.append([*tail, *payloads])
        except StorageError as error:
            log.warning("compaction_failed error=%r", str(error))
            self._compact_after = self._clock.monotonic() + COMPACTION_RETRY_S
            self._file.append(payloads)
            return
        self._file.install(replacement)
        self._compacted_bytes = compacted_bytes
        log.info("compaction_completed size_bytes=%d", self._file.size)

    def _replace_file(self, records: Iterable[Record]) -> None:
        self._file.compact(encode(record) for record in records)
        self._compacted_bytes = self._file.size


def _discard_replacement(compaction: Compaction) -> None:
    """Waits for the end of a compaction whose replacement is not used any more."""
    with contextlib.suppress(StorageError):
        compaction.replacement.result().discard()
