"""Partition of the state's keys into ranges, by which replicas compare and repair their data."""

from binascii import crc32
from collections.abc import Iterable
from hashlib import blake2b

RANGE_COUNT = 256  # in the whole state; a comparison sends one digest per range
DIGEST_BYTES = 16
COMMON_RANGE = 0  # of state that belongs to no key


def range_of_key(key: str) -> int:
    """The range of a key; never COMMON_RANGE."""
    return 1 + crc32(key.encode()) % (RANGE_COUNT - 1)


def digest_of(parts: Iterable[bytes]) -> bytes:
    """A digest of length-prefixed parts."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
