"""The replica's records on disk: one writer thread, one sync for all that has gathered, and a rewriter."""

import contextlib
import logging
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from crowwing.tier.clock import SYSTEM_CLOCK, Clock
from crowwing.tier.storage.compaction import CompactedFile
from crowwing.tier.storage.errors import StorageError
from crowwing.tier.storage.files import OS_FILES, Files
from crowwing.tier.storage.record_file import RecordFile
from crowwing.tier.store.workers import DiskWorkers, Outcome, ThreadWorkers
from crowwing.tier.wire.codec import decode, encode

log = logging.getLogger("crowwing.disk")

MIN_COMPACTION_BYTES = 8 * 1024 * 1024
REWRITE_FACTOR = 3
CROWDED_SHARE, CROWDED_FACTOR = 0.4, 1.5  # of the disk's room, from which a file is rewritten sooner
REWRITE_PAUSE_S = 2.0  # after a rewriting that failed
USABLE_SHARE = 0.95  # of the disk's room, for the file and its replacement together


class Disk:
    """Keeps records; `write` returns once they outlast a loss of power.

    A long file is rewritten beside the writes: what is written meanwhile goes to the file and, when the
    replacement is ready, behind its content too.
    """

    def __init__(
        self,
        folder: Path,
        room_bytes: int = 0,
        files: Files = OS_FILES,
        workers: DiskWorkers | None = None,
        clock: Clock = SYSTEM_CLOCK,
    ) -> None:
        """`room_bytes`: what the disk holds in all; 0 where that is not known."""
        self._room, self._clock = room_bytes, clock
        self._file = RecordFile(folder / "state.log", files)
        self._workers = workers or ThreadWorkers()
        self._compacted_bytes = 0
        self._preparing: Outcome[CompactedFile] | None = None
        self._tail: list[bytes] = []  # written since the rewriting began
        self._rewrite_after = 0.0

    def open(self) -> list[Any]:
        """All records that the disk holds."""
        records = [decode(record) for record in self._file.open()]
        self._compacted_bytes = self._file.size  # no rewriting in the midst of a start
        return records

    @property
    def size(self) -> int:
        """The file's length in bytes."""
        return self._file.size

    def is_long(self, compacted_bytes: int) -> bool:
        """Whether the file should be rewritten, which takes about `compacted_bytes` beside it meanwhile."""
        size = self._file.size
        if self._preparing is not None or self._clock.monotonic() < self._rewrite_after:
            return False
        if self._room and size + compacted_bytes > USABLE_SHARE * self._room:
            return False
        if size > max(MIN_COMPACTION_BYTES, REWRITE_FACTOR * self._compacted_bytes):
            return True
        crowded = self._room and size > CROWDED_SHARE * self._room
        return bool(crowded) and size > CROWDED_FACTOR * compacted_bytes

    async def write(self, records: list[Any]) -> None:
        """Appends records and syncs them; raises StorageError."""
        payloads = [encode(record) for record in records]
        preparing = self._preparing
        if preparing is not None and preparing.done():
            self._preparing, tail, self._tail = None, self._tail, []
            await self._workers.write(self._finish, preparing, tail, payloads)
            return
        if preparing is not None:
            self._tail += payloads
        await self._workers.write(self._file.append, payloads)

    def begin_rewriting(self, records: Iterable[Any]) -> None:
        """Starts to write what stands for everything written so far, for later writes to end."""
        self._preparing = self._workers.rewrite(self._prepare, records)
        self._tail = []

    async def rewrite(self, records: Iterable[Any]) -> None:
        """Replaces everything by these records; raises StorageError."""
        preparing, self._preparing = self._preparing, None
        if preparing is not None:
            await self._workers.write(_discard, preparing)
        await self._workers.write(self._replace, records)

    # In the threads

    def _prepare(self, records: Iterable[Any]) -> CompactedFile:
        return self._file.prepare_compaction(encode(record) for record in records)

    def _finish(self, preparing: Outcome[CompactedFile], tail: list[bytes], payloads: list[bytes]) -> None:
        """Switches to the replacement, or goes on with the file where that can't be."""
        try:
            replacement = preparing.result()
            compacted_bytes = replacement.size
            replacement.append([*tail, *payloads])
        except StorageError as error:
            log.warning("the file was not rewritten: %s", error)
            self._rewrite_after = self._clock.monotonic() + REWRITE_PAUSE_S
            self._file.append(payloads)
            return
        self._file.install(replacement)
        self._compacted_bytes = compacted_bytes
        log.info("rewritten as %d bytes", self._file.size)

    def _replace(self, records: Iterable[Any]) -> None:
        self._file.compact(encode(record) for record in records)
        self._compacted_bytes = self._file.size


def _discard(preparing: Outcome[CompactedFile]) -> None:
    """Waits for a rewriting that is not wanted any more."""
    with contextlib.suppress(StorageError):
        preparing.result().discard()
