"""How the keys of the state fall into ranges, by which two replicas compare and repair what they hold."""

from binascii import crc32
from collections.abc import Iterable
from hashlib import blake2b

RANGE_COUNT = 256  # of the whole state; a comparison sends one digest for each
DIGEST_BYTES = 16
COMMON_RANGE = 0  # of what belongs to no key


def range_of_key(key: str) -> int:
    """The range of a key; never the common one."""
    return 1 + crc32(key.encode()) % (RANGE_COUNT - 1)


def digest_of(parts: Iterable[bytes]) -> bytes:
    """A digest of some bytes, each part with its length."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
