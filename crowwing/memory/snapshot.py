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

MAGIC, FORM = b"CROW", 1
HEAD = struct.Struct("<4sIQQ")  # magic, form, length, checksum
SIZE_MOST = 64 << 20  # bytes; guards against reading a file that is no snapshot into memory


class Unusable(ValueError):
    """One line that names the file and why it is not used."""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """What one member kept when it was written."""

    who: str
    at: int  # µs, Unix
    rows: list  # of the fleet's state, as Copies gives them


def path_of(folder: Path, who: str) -> Path:
    """Of one member; a name that is no file's name is told apart by its hash."""
    plain = "".join(letter if letter.isalnum() or letter in "-_." else "_" for letter in who)
    return folder / f"{plain}-{xxhash.xxh32_hexdigest(who.encode())}.snapshot"


def check(folder: Path) -> None:
    """OSError where a snapshot could not be written there."""
    probe = folder / f".probe-{os.getpid()}"
    with probe.open("wb"):
        pass
    probe.unlink()


def pack(snapshot: Snapshot) -> bytes:
    body = msgspec.msgpack.encode(snapshot)
    return HEAD.pack(MAGIC, FORM, len(body), xxhash.xxh64_intdigest(body)) + body


def write(folder: Path, data: bytes, who: str) -> None:
    """OSError where it cannot be written; what stood there before then still stands."""
    path = path_of(folder, who)
    passing = path.with_suffix(".writing")  # one writer a member: the next writing replaces what a kill left
    with passing.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    passing.rename(path)
    place = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(place)
    finally:
        os.close(place)


def read(folder: Path, who: str) -> Snapshot | None:
    """None where there is none; Unusable for anything that is not this member's whole snapshot."""
    path = path_of(folder, who)
    try:
        if path.stat().st_size > SIZE_MOST:
            raise Unusable(f"{path}: over {SIZE_MOST >> 20} MB")
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as wrong:
        raise Unusable(f"{path}: {wrong.strerror}") from None
    if len(data) < HEAD.size:
        raise Unusable(f"{path}: cut short")
    magic, form, length, checksum = HEAD.unpack_from(data)
    body = data[HEAD.size :]
    if magic != MAGIC:
        raise Unusable(f"{path}: no snapshot of ours")
    if form != FORM:
        raise Unusable(f"{path}: of form {form}, not {FORM}")
    if length != len(body) or xxhash.xxh64_intdigest(body) != checksum:
        raise Unusable(f"{path}: cut short or spoilt")
    try:
        snapshot = msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.MsgspecError as wrong:
        raise Unusable(f"{path}: {wrong}") from None
    if snapshot.who != who:
        raise Unusable(f"{path}: is {snapshot.who}'s")
    return snapshot
