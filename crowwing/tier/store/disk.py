"""The replica's records on disk: one writer thread, one sync for all that has gathered."""

import asyncio
import logging
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from crowwing.tier.storage.record_file import RecordFile
from crowwing.tier.wire.codec import decode, encode

log = logging.getLogger("crowwing.disk")

LEAST_REWRITE_BYTES = 8 * 1024 * 1024
REWRITE_FACTOR = 3
CROWDED_SHARE, CROWDED_FACTOR = 0.4, 1.5  # of the disk's room, from which a file is rewritten sooner
USABLE_SHARE = 0.95  # of the disk's room, for the file and its replacement together


class Disk:
    """Keeps records; `write` returns once they outlast a loss of power."""

    def __init__(self, folder: Path, room_bytes: int = 0) -> None:
        """`room_bytes`: what the disk holds in all; 0 where that is not known."""
        self._room = room_bytes
        self._file = RecordFile(folder / "state.log")
        self._thread = ThreadPoolExecutor(1, "disk")
        self._compacted_bytes = 0

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
        if self._room and size + compacted_bytes > USABLE_SHARE * self._room:
            return False
        if size > max(LEAST_REWRITE_BYTES, REWRITE_FACTOR * self._compacted_bytes):
            return True
        crowded = self._room and size > CROWDED_SHARE * self._room
        return bool(crowded) and size > CROWDED_FACTOR * compacted_bytes

    async def write(self, records: list[Any]) -> None:
        """Appends records and syncs them."""
        payloads = [encode(record) for record in records]
        await asyncio.get_running_loop().run_in_executor(self._thread, self._file.append, payloads)

    async def rewrite(self, records: list[Any]) -> None:
        """Replaces everything by these records."""
        payloads = [encode(record) for record in records]
        self._compacted_bytes = sum(len(payload) for payload in payloads)
        log.info("rewrites %d bytes as %d", self._file.size, self._compacted_bytes)
        await asyncio.get_running_loop().run_in_executor(self._thread, self._file.rewrite, payloads)
