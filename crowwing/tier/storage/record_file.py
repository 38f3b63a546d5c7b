"""An append-only file of checksummed records that is rewritten when it gets long."""

import contextlib
import struct
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from crowwing.tier.storage.files import OS_FILES, Files, OpenFile

HEADER = struct.Struct("<II")  # the payload's length, and the CRC-32 of that length and the payload
LENGTH = struct.Struct("<I")
MAX_RECORD_BYTES = 1024 * 1024 * 1024  # a longer one would be read as a torn end
TEMPORARY_SUFFIX = ".new"
SYNC_BYTES = 1024 * 1024  # of a replacement, between two syncs


@dataclass(frozen=True)
class StorageError(Exception):
    """A file operation failed; the file's content is not known any more."""

    path: str
    reason: str


def checksum_of(payload: bytes) -> int:
    """The checksum of a record. Zeros, as a lost write leaves them, are no record of length 0."""
    return zlib.crc32(payload, zlib.crc32(LENGTH.pack(len(payload))))


def encode_record(payload: bytes) -> bytes:
    """One record as it stands in the file."""
    assert len(payload) <= MAX_RECORD_BYTES, "a record can be read again"
    return HEADER.pack(len(payload), checksum_of(payload)) + payload


def decode_records(data: bytes) -> tuple[list[bytes], int]:
    """All whole records from the start of `data`, and the length that they take."""
    records: list[bytes] = []
    position = 0
    while position + HEADER.size <= len(data):
        length, checksum = HEADER.unpack_from(data, position)
        end = position + HEADER.size + length
        if length > MAX_RECORD_BYTES or end > len(data):
            break
        payload = data[position + HEADER.size : end]
        if checksum_of(payload) != checksum:
            break
        records.append(payload)
        position = end
    return records, position


class Replacement:
    """A content that is written beside a file, to take its place; where writing fails, it is discarded."""

    def __init__(self, path: Path, files: Files) -> None:
        self.path, self._files = path, files
        self.size = 0
        self._unsynced = 0
        try:
            self.file: OpenFile = files.create(path)
        except OSError as error:
            raise StorageError(str(path), str(error)) from error

    def append(self, payloads: Iterable[bytes]) -> None:
        """Writes records and syncs them, a part at a time, so that no sync holds up those of the file."""
        try:
            for payload in payloads:
                data = encode_record(payload)
                _write_all(self.file, data)
                self.size += len(data)
                self._unsynced += len(data)
                if self._unsynced >= SYNC_BYTES:
                    self._sync()
            self._sync()
        except OSError as error:
            self.discard()  # what was written of it takes room on a full disk
            raise StorageError(str(self.path), str(error)) from error

    def _sync(self) -> None:
        self._files.sync(self.file)
        self._unsynced = 0

    def discard(self) -> None:
        """Frees its room."""
        self.file.close()
        with contextlib.suppress(OSError):
            self._files.remove(self.path)


class RecordFile:
    """Appends records and reads them back. A torn end, as a loss of power leaves it, is cut off on opening.

    Not thread-safe but for `prepare`: one thread appends and switches.
    """

    def __init__(self, path: Path, files: Files = OS_FILES) -> None:
        self._path, self._files = path, files
        self._file: OpenFile | None = None
        self.size = 0

    def open(self) -> list[bytes]:
        """Opens the file, creating it if need be, and gives its records."""
        try:
            data = self._files.read(self._path) or b""
            self._files.remove(self._temporary)
            records, self.size = decode_records(data)
            self._file = self._files.open_at(self._path, self.size)
            self._files.sync(self._file)
            self._sync_folder()
        except OSError as error:
            raise StorageError(str(self._path), str(error)) from error
        return records

    @property
    def _temporary(self) -> Path:
        return self._path.with_name(self._path.name + TEMPORARY_SUFFIX)

    def append(self, payloads: Iterable[bytes]) -> None:
        """Appends records and syncs them; when this returns they outlast a loss of power."""
        assert self._file is not None, "the file is not open"
        data = b"".join(encode_record(payload) for payload in payloads)
        try:
            _write_all(self._file, data)
            self._files.sync(self._file)
        except OSError as error:
            raise StorageError(str(self._path), str(error)) from error
        self.size += len(data)

    def prepare(self, payloads: Iterable[bytes]) -> Replacement:
        """Writes another content beside the file, which may be appended to meanwhile by another thread."""
        replacement = Replacement(self._temporary, self._files)
        replacement.append(payloads)
        return replacement

    def switch(self, replacement: Replacement) -> None:
        """Puts a prepared content in the place of the file in one step.

        Before and after a loss of power either all old records or all new ones are there. Where it fails,
        which of them is not known.
        """
        assert self._file is not None, "the file is not open"
        try:
            self._files.replace(replacement.path, self._path)
            self._file.close()
            self._file, self.size = replacement.file, replacement.size
            self._sync_folder()
        except OSError as error:
            if self._file is not replacement.file:
                replacement.discard()
            raise StorageError(str(self._path), str(error)) from error

    def rewrite(self, payloads: Iterable[bytes]) -> None:
        """Replaces the whole content at once."""
        self.switch(self.prepare(payloads))

    def close(self) -> None:
        """Closes the file; what was appended stays."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def _sync_folder(self) -> None:
        self._files.sync_folder(self._path.parent)


def _write_all(file: OpenFile, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[file.write(view) or 0 :]
