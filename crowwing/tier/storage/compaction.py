"""Compaction: equivalent but shorter records are written to a second file that then replaces the first."""

import contextlib
from collections.abc import Iterable
from pathlib import Path

from crowwing.tier.storage.errors import CompactionError
from crowwing.tier.storage.files import Files, OpenFile, write_all
from crowwing.tier.storage.records import encode_record

SYNC_INTERVAL_BYTES = 1024 * 1024  # written between two fsyncs of a compacted file


class CompactedFile:
    """The compacted replacement of a record file, written next to it; removed if writing fails.

    Created by `RecordFile.prepare_compaction`, whose caller passes it to `RecordFile.install` or discards it.
    Not thread-safe: only one thread at a time may use it.
    """

    def __init__(self, path: Path, files: Files) -> None:
        """Creates an empty file.

        Args:
            path: the path of the file until it is installed.
            files: the file operations.

        Raises:
            CompactionError: the file can't be created.
        """
        self.path = path
        self.size = 0
        self._files = files
        self._unsynced_bytes = 0
        try:
            self.file: OpenFile = files.create(path)
        except OSError as error:
            raise CompactionError(str(path), str(error)) from error

    def append(self, payloads: Iterable[bytes]) -> None:
        """Writes records and fsyncs them.

        It also fsyncs every `SYNC_INTERVAL_BYTES`, since one long fsync would delay those of the record file.

        Args:
            payloads: the payloads of the records.

        Raises:
            CompactionError: writing failed; the file is removed.
        """
        try:
            for payload in payloads:
                self._append_record(payload)
            self._sync()
        except OSError as error:
            self.discard()  # frees its space, since the disk may be full
            raise CompactionError(str(self.path), str(error)) from error

    def _append_record(self, payload: bytes) -> None:
        data = encode_record(payload)
        write_all(self.file, data)
        self.size += len(data)
        self._unsynced_bytes += len(data)
        if self._unsynced_bytes >= SYNC_INTERVAL_BYTES:
            self._sync()

    def _sync(self) -> None:
        self.file.sync()
        self._unsynced_bytes = 0

    def discard(self) -> None:
        """Closes and removes the file; errors of the removal are ignored."""
        self.file.close()
        with contextlib.suppress(OSError):
            self._files.remove(self.path)
