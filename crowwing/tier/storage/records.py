"""The format of records in a file: a header with length and checksum, followed by the payload."""

import struct
import zlib

HEADER = struct.Struct("<II")  # length of the payload; CRC-32 of length and payload
LENGTH = struct.Struct("<I")
MAX_RECORD_BYTES = 1024 * 1024 * 1024  # a longer one is read as a torn record


def checksum_of(payload: bytes) -> int:
    """Returns the checksum of a record.

    It covers the length too, so that zeros left by a lost write are not read as a record of length 0.
    """
    return zlib.crc32(payload, zlib.crc32(LENGTH.pack(len(payload))))


def encode_record(payload: bytes) -> bytes:
    """Returns a record as it is stored in the file: header and payload."""
    assert len(payload) <= MAX_RECORD_BYTES, "a record longer than MAX_RECORD_BYTES could not be read back"
    return HEADER.pack(len(payload), checksum_of(payload)) + payload


def decode_records(data: bytes) -> tuple[list[bytes], int]:
    """Decodes records up to the first torn or corrupt one.

    Args:
        data: the content of a file.

    Returns:
        The payloads of the valid records at the start of the data, and their total encoded length in bytes.
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
