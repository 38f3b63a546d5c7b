"""The form of records in a file: a header with length and checksum, and the payload."""

import struct
import zlib

HEADER = struct.Struct("<II")  # the payload's length, and the CRC-32 of that length and the payload
LENGTH = struct.Struct("<I")
MAX_RECORD_BYTES = 1024 * 1024 * 1024  # a longer one would be read as a torn record


def checksum_of(payload: bytes) -> int:
    """The checksum of a record.

    It covers the length too: zeros, as a lost write leaves them, are no record of length 0.
    """
    return zlib.crc32(payload, zlib.crc32(LENGTH.pack(len(payload))))


def encode_record(payload: bytes) -> bytes:
    """One record as it stands in the file."""
    assert len(payload) <= MAX_RECORD_BYTES, "a record can be read again"
    return HEADER.pack(len(payload), checksum_of(payload)) + payload


def decode_records(data: bytes) -> tuple[list[bytes], int]:
    """Reads records up to the first one that is torn or broken.

    Args:
        data: the content of a file.

    Returns:
        The payloads of all complete records from the start, and the length in bytes that these take.
    """
    payloads: list[bytes] = []
    position = 0
    while position + HEADER.size <= len(data):
        length, checksum = HEADER.unpack_from(data, position)
        end = position + HEADER.size + length
        if length > MAX_RECORD_BYTES or end > len(data):
            break
        payload = data[position + HEADER.size : end]
        if checksum_of(payload) != checksum:
            break
        payloads.append(payload)
        position = end
    return payloads, position
