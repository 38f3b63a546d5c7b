"""An append-only file of checksummed records that is rewritten when it gets long."""

import contextlib
import os
import struct
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import BinaryIO

HEADER = struct.Struct("<II")  # the payload's length, and the CRC-32 of that length and the payload
LENGTH = struct.Struct("<I")
MAX_RECORD_BYTES = 64 * 1024 * 1024
TEMPORARY_SUFFIX = ".new"


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


class RecordFile:
    """Appends records and reads them back. A torn end, as a loss of power leaves it, is cut off on opening.

    Not thread-safe: one thread appends, syncs and rewrites.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._file: BinaryIO | None = None
        self.size = 0

    def open(self) -> list[bytes]:
        """Opens the file, creating it if need be, and gives its records."""
        try:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            temporary = self._path.with_name(self._path.name + TEMPORARY_SUFFIX)
            if temporary.exists():
                temporary.unlink()
            data = self._path.read_bytes() if self._path.exists() else b""
            records, self.size = decode_records(data)
            self._file = open(self._path, "r+b" if self._path.exists() else "w+b", buffering=0)
            if self.size < len(data):
                self._file.truncate(self.size)
            self._file.seek(self.size)
            os.fsync(self._file.fileno())
            self._sync_folder()
        except OSError as error:
            raise StorageError(str(self._path), str(error)) from error
        return records

    def append(self, payloads: Iterable[bytes]) -> None:
        """Appends records and syncs them; when this returns they outlast a loss of power."""
        assert self._file is not None, "the file is not open"
        data = b"".join(encode_record(payload) for payload in payloads)
        try:
            _write_all(self._file, data)
            os.fsync(self._file.fileno())
        except OSError as error:
            raise StorageError(str(self._path), str(error)) from error
        self.size += len(data)

    def rewrite(self, payloads: Iterable[bytes]) -> None:
        """Replaces the whole content in one step: before and after a loss of power either all old records or
        all new ones are there."""
        assert self._file is not None, "the file is not open"
        data = b"".join(encode_record(payload) for payload in payloads)
        temporary = self._path.with_name(self._path.name + TEMPORARY_SUFFIX)
        replacement: BinaryIO | None = None
        try:
            replacement = open(temporary, "w+b", buffering=0)
            _write_all(replacement, data)
            os.fsync(replacement.fileno())
            os.replace(temporary, self._path)
            self._sync_folder()
        except OSError as error:
            if replacement is not None:
                replacement.close()
            _remove_quietly(temporary)  # what was written of it takes room on a full disk
            raise StorageError(str(self._path), str(error)) from error
        self._file.close()
        self._file = replacement
        self.size = len(data)

    def close(self) -> None:
        """Closes the file; what was appended stays."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def _sync_folder(self) -> None:
        folder = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


def _remove_quietly(path: Path) -> None:
    with contextlib.suppress(OSError):
        path.unlink(missing_ok=True)


def _write_all(file: BinaryIO, data: bytes) -> None:
    view = memoryview(data)
    while view:
        written = file.write(view)
        view = view[written:]
