"""Compaction: a shorter content with the same meaning is written beside a record file, to take its place."""

import contextlib
from collections.abc import Iterable
from pathlib import Path

from crowwing.tier.storage.errors import CompactionError
from crowwing.tier.storage.files import Files, OpenFile, write_all
from crowwing.tier.storage.records import encode_record

SYNC_INTERVAL_BYTES = 1024 * 1024  # written between two syncs of a compacted file


class CompactedFile:
    """A file that is written beside a record file and then takes its place; removed where writing fails.

    `RecordFile.prepare_compaction` makes it; `RecordFile.install` takes it over, or its maker discards it.
    One thread at a time uses it.
    """

    def __init__(self, path: Path, files: Files) -> None:
        """Creates the file, empty.

        Args:
            path: the name that it has until it is installed.
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
        """Writes records and syncs them.

        It syncs each `SYNC_INTERVAL_BYTES`, since one long sync would hold up those of the record file.

        Args:
            payloads: the records' contents.

        Raises:
            CompactionError: writing failed; the file is removed.
        """
        try:
            for payload in payloads:
                self._append_record(payload)
            self._sync()
        except OSError as error:
            self.discard()  # what was written takes space on a full disk
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
        """Closes and removes the file, as far as the disk lets it."""
        self.file.close()
        with contextlib.suppress(OSError):
            self._files.remove(self.path)
