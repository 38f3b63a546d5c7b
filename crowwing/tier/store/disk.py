"""Stores the replica's records in one file: appended and fsynced in order, compacted in the background."""

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
MIN_COMPACTION_BYTES = 8 * 1024 * 1024  # shorter files are compacted only at high disk usage
COMPACTION_FACTOR = 3  # file size, relative to the size after the last compaction, that triggers the next
HIGH_DISK_USAGE_SHARE = 0.4  # share of the disk's capacity above which the file is compacted sooner
HIGH_USAGE_COMPACTION_FACTOR = 1.5  # trigger at high disk usage, relative to the expected compacted size
COMPACTION_RETRY_S = 2.0  # delay after a failed compaction
USABLE_DISK_SHARE = 0.95  # share of the disk's capacity for the file and its replacement together


@dataclass
class Compaction:
    """A compaction in progress, which writes a replacement of the file."""

    replacement: PendingResult[CompactedFile]
    concurrent_appends: list[
        bytes
    ]  # appended to the file since the start; must also be appended to the replacement


class Disk:
    """Stores records; `write` returns once they would survive a loss of power.

    Owned by the replica's node, which calls `write` and `replace_all` one at a time. Compaction runs
    concurrently with writes: records written meanwhile go to the file and, once the replacement is ready,
    are appended to it too.
    """

    def __init__(
        self,
        folder: Path,
        capacity_bytes: int = 0,
        files: Files = OS_FILES,
        workers: DiskWorkers | None = None,
        clock: Clock = SYSTEM_CLOCK,
    ) -> None:
        """Creates the store of a folder's records.

        Args:
            folder: The folder of the file.
            capacity_bytes: The disk's capacity; 0 if it is not known.
            files: The file operations.
            workers: Run blocking work; two threads by default.
            clock: Times the delay between compactions.
        """
        self._capacity_bytes = capacity_bytes
        self._clock = clock
        self._file = RecordFile(folder / FILE_NAME, files)
        self._workers = workers or ThreadWorkers()
        self._compacted_bytes = 0
        self._compaction: Compaction | None = None
        self._compact_after = 0.0

    def open(self) -> list[Record]:
        """Reads all records of the file, without a torn one at its end; raises StorageError."""
        records: list[Record] = [decode(record) for record in self._file.open()]
        self._compacted_bytes = self._file.size  # so that no compaction runs during startup
        return records

    @property
    def size(self) -> int:
        """The length of the file in bytes."""
        return self._file.size

    def needs_compaction(self, compacted_bytes: int) -> bool:
        """Whether the file should be compacted now.

        Args:
            compacted_bytes: The estimated size of the compacted file, stored beside the present one at first.
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
        """Appends records and fsyncs them; raises StorageError."""
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
        """Starts writing a replacement of the file.

        A later `write` installs the finished replacement, so that no write waits for it.

        Args:
            records: The records that replace everything written so far; iterated by another thread.
        """
        replacement = self._workers.compact(self._prepare_replacement, records)
        self._compaction = Compaction(replacement, [])

    async def replace_all(self, records: Iterable[Record]) -> None:
        """Replaces the content of the file with these records; raises StorageError."""
        compaction, self._compaction = self._compaction, None
        if compaction is not None:
            await self._workers.write(_discard_replacement, compaction)
        await self._workers.write(self._replace_file, records)

    # Run by the workers

    def _prepare_replacement(self, records: Iterable[Record]) -> CompactedFile:
        return self._file.prepare_compaction(encode(record) for record in records)

    def _finish_compaction(self, compaction: Compaction, payloads: list[bytes]) -> None:
        """Switches to the replacement, or keeps the present file if that fails.

        Until the switch, the file has all acknowledged records, so a crash at any step loses nothing. Records
        written since the start must be in the replacement before the switch.
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
    """Waits for a compaction to end, and deletes its replacement."""
    with contextlib.suppress(StorageError):
        compaction.replacement.result().discard()
