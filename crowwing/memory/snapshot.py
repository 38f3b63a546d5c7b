"""Reads and writes a member's snapshot file. Writing is atomic; reading checks the file and its owner.

    CROW | format version | length | xxh64 of the body | body (msgpack: Snapshot)

A snapshot is written to a temporary file in the same folder, synced and renamed over the old one, and then
the folder is synced: a kill or a power failure at any moment leaves either the old or the new file. A file
that is truncated, corrupted, of another member or of another format version is reported in one line and not
used.
"""

import os
import struct
from pathlib import Path

import msgspec
import xxhash

MAGIC, FORMAT_VERSION = b"CROW", 1
HEADER = struct.Struct("<4sIQQ")  # magic, format version, length, checksum
MAX_SIZE = 64 << 20  # bytes; keeps a file that is no snapshot from being read into memory


class UnusableSnapshotError(ValueError):
    """The snapshot file can't be used. The message is one line with its path and the reason."""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """A member's replicated state at the time of writing."""

    who: str
    at: int  # Unix time in microseconds
    rows: list  # of the replicated state


def path_of(folder: Path, who: str) -> Path:
    """The path of a member's snapshot; the hash keeps apart names that differ only in replaced characters."""
    plain = "".join(character if character.isalnum() or character in "-_." else "_" for character in who)
    return folder / f"{plain}-{xxhash.xxh32_hexdigest(who.encode())}.snapshot"


def check_writable(folder: Path) -> None:
    """Raises OSError if a snapshot can't be written to this folder."""
    probe = folder / f".probe-{os.getpid()}"
    with probe.open("wb"):
        pass
    probe.unlink()


def pack(snapshot: Snapshot) -> bytes:
    body = msgspec.msgpack.encode(snapshot)
    return HEADER.pack(MAGIC, FORMAT_VERSION, len(body), xxhash.xxh64_intdigest(body)) + body


def write(folder: Path, data: bytes, who: str) -> None:
    """Raises OSError if it can't be written; the previous snapshot is then still there."""
    path = path_of(folder, who)
    # Each member has one writer, so the next write replaces a temporary file left by a kill.
    temporary = path.with_suffix(".writing")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.rename(path)
    directory = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(directory)
    finally:
        os.close(directory)


def read(folder: Path, who: str) -> Snapshot | None:
    """Returns None if there is no file.

    Raises UnusableSnapshotError for anything but a complete snapshot of this member.
    """
    path = path_of(folder, who)
    try:
        if path.stat().st_size > MAX_SIZE:
            raise UnusableSnapshotError(f"{path}: larger than {MAX_SIZE >> 20} MB")
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as error:
        raise UnusableSnapshotError(f"{path}: {error.strerror}") from None
    if len(data) < HEADER.size:
        raise UnusableSnapshotError(f"{path}: truncated")
    magic, version, length, checksum = HEADER.unpack_from(data)
    body = data[HEADER.size :]
    if magic != MAGIC:
        raise UnusableSnapshotError(f"{path}: not a snapshot file")
    if version != FORMAT_VERSION:
        raise UnusableSnapshotError(f"{path}: format version {version}, expected {FORMAT_VERSION}")
    if length != len(body) or xxhash.xxh64_intdigest(body) != checksum:
        raise UnusableSnapshotError(f"{path}: truncated or corrupted")
    try:
        snapshot = msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.MsgspecError as error:
        raise UnusableSnapshotError(f"{path}: {error}") from None
    if snapshot.who != who:
        raise UnusableSnapshotError(f"{path}: belongs to {snapshot.who}, not to this member")
    return snapshot
