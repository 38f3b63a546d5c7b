"""One snapshot file a member: never half written, and read only if it is whole and this member's own.

    CROW 1 | format | length | xxh64 of what follows | msgpack: Snapshot

Written to a temporary file in the same folder, synced, renamed over the old one, and the folder synced: a
kill or a power cut at any moment leaves the old file or the new one. What else lies there under the name
(cut, spoilt, another member's, a later form's) is named in one line and not used.
"""

import os
import struct
from pathlib import Path

import msgspec
import xxhash

MAGIC, FORMAT_VERSION = b"CROW", 1
HEADER = struct.Struct("<4sIQQ")  # magic, form, length, checksum
MAX_SIZE = 64 << 20  # bytes; guards against reading a file that is no snapshot into memory


class UnusableSnapshotError(ValueError):
    """One line that names the file and why it is not used."""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """What one member kept when it was written."""

    who: str
    at: int  # µs, Unix
    rows: list  # of the fleet's state, as Copies gives them


def path_of(folder: Path, who: str) -> Path:
    """Of one member; a name that is no file's name is told apart by its hash."""
    plain = "".join(character if character.isalnum() or character in "-_." else "_" for character in who)
    return folder / f"{plain}-{xxhash.xxh32_hexdigest(who.encode())}.snapshot"


def check_writable(folder: Path) -> None:
    """OSError where a snapshot could not be written there."""
    probe = folder / f".probe-{os.getpid()}"
    with probe.open("wb"):
        pass
    probe.unlink()


def pack(snapshot: Snapshot) -> bytes:
    body = msgspec.msgpack.encode(snapshot)
    return HEADER.pack(MAGIC, FORMAT_VERSION, len(body), xxhash.xxh64_intdigest(body)) + body


def write(folder: Path, data: bytes, who: str) -> None:
    """OSError where it cannot be written; what stood there before then still stands."""
    path = path_of(folder, who)
    temporary = path.with_suffix(
        ".writing"
    )  # one writer a member: the next writing replaces what a kill left
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
    """None where there is none; Unusable for anything that is not this member's whole snapshot."""
    path = path_of(folder, who)
    try:
        if path.stat().st_size > MAX_SIZE:
            raise UnusableSnapshotError(f"{path}: over {MAX_SIZE >> 20} MB")
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as error:
        raise UnusableSnapshotError(f"{path}: {error.strerror}") from None
    if len(data) < HEADER.size:
        raise UnusableSnapshotError(f"{path}: cut short")
    magic, version, length, checksum = HEADER.unpack_from(data)
    body = data[HEADER.size :]
    if magic != MAGIC:
        raise UnusableSnapshotError(f"{path}: no snapshot of ours")
    if version != FORMAT_VERSION:
        raise UnusableSnapshotError(f"{path}: of form {version}, not {FORMAT_VERSION}")
    if length != len(body) or xxhash.xxh64_intdigest(body) != checksum:
        raise UnusableSnapshotError(f"{path}: cut short or spoilt")
    try:
        snapshot = msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.MsgspecError as error:
        raise UnusableSnapshotError(f"{path}: {error}") from None
    if snapshot.who != who:
        raise UnusableSnapshotError(f"{path}: is {snapshot.who}'s")
    return snapshot
