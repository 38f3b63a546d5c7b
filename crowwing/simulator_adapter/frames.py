"""Binary frames of the simulator's wire: batches in, replies out."""

import struct
from collections.abc import Callable, Iterator
from typing import BinaryIO

HELLO, ARRIVAL, FINISHED, WANTS_CALL, DEP_REPLY = 1000, 1010, 1020, 1030, 1040
SIGTERM, VANISHED, RING, EXIT = 1050, 1060, 1070, 1080

_BATCH = struct.Struct("<dII")
_REPLY = struct.Struct("<II")
_RECORD = struct.Struct("<HI")
_FIXED = {
    ARRIVAL: struct.Struct("<IQHHQddffBHdQ"),
    FINISHED: struct.Struct("<IQdH"),
    WANTS_CALL: struct.Struct("<IQ"),
    DEP_REPLY: struct.Struct("<IQdH"),
    SIGTERM: struct.Struct("<Id"),
    VANISHED: struct.Struct("<IQ"),
    EXIT: struct.Struct("<I"),
}
_HELLO = struct.Struct("<IQI")
_RING = struct.Struct("<IIB")
_INTERNAL = 1100


class InvalidFrameError(ValueError):
    """The input is not a frame of this wire."""


def read_batch(stream: BinaryIO) -> tuple[float, list[tuple]] | None:
    """The clock (ms) and the events of the next batch as (code, instance, fields...); None at the end."""
    head = stream.read(_BATCH.size)
    if not head:
        return None
    if len(head) < _BATCH.size:
        raise InvalidFrameError(f"batch header cut off after {len(head)} bytes")
    clock, length, count = _BATCH.unpack(head)
    if not 0 <= clock < 1e15:
        raise InvalidFrameError(f"impossible clock {clock}")
    if count * _RECORD.size > length:
        raise InvalidFrameError(f"{count} records cannot fit in {length} bytes")
    body = stream.read(length)
    if len(body) < length:
        raise InvalidFrameError(f"batch cut off: {len(body)} of {length} bytes")
    events = list(_records(body, count))
    return clock, events


def _records(body: bytes, count: int) -> Iterator[tuple]:
    offset = 0
    for _ in range(count):
        if offset + _RECORD.size > len(body):
            raise InvalidFrameError("record header cut off")
        code, size = _RECORD.unpack_from(body, offset)
        offset += _RECORD.size
        if offset + size > len(body):
            raise InvalidFrameError(f"record {code} cut off")
        yield _event(code, body[offset : offset + size])
        offset += size
    if offset != len(body):
        raise InvalidFrameError(f"{len(body) - offset} bytes after the last record")


def _event(code: int, raw: bytes) -> tuple:
    fixed = _FIXED.get(code)
    if fixed is not None:
        if len(raw) != fixed.size:
            raise InvalidFrameError(f"record {code} has {len(raw)} bytes, not {fixed.size}")
        return (code, *fixed.unpack(raw))
    if code == HELLO:
        if len(raw) < _HELLO.size:
            raise InvalidFrameError("HELLO cut off")
        instance, seed, size = _HELLO.unpack_from(raw)
        if len(raw) != _HELLO.size + size:
            raise InvalidFrameError(f"HELLO settings of {size} bytes in {len(raw) - _HELLO.size}")
        return code, instance, seed, raw[_HELLO.size :]
    if code == RING:
        if len(raw) < _RING.size:
            raise InvalidFrameError("RING cut off")
        instance, cookie, size = _RING.unpack_from(raw)
        if len(raw) != _RING.size + 4 * size:
            raise InvalidFrameError(f"RING of {size} gauges in {len(raw) - _RING.size} bytes")
        return code, instance, cookie, struct.unpack_from(f"<{size}f", raw, _RING.size)
    raise InvalidFrameError(f"unknown event code {code}")


def packer(code: int, layout: str) -> Callable[..., bytes]:
    """A function that packs the fields of one kind of record, with its header."""
    record = struct.Struct("<HI" + layout)
    size = record.size - _RECORD.size
    return lambda *fields: record.pack(code, size, *fields)


def internal_error(instance: int, message: str) -> bytes:
    """The record that reports a failure of the decision module."""
    raw = message.encode()[:60000]
    return struct.pack(f"<HIIH{len(raw)}s", _INTERNAL, 6 + len(raw), instance, len(raw), raw)


def write_reply(stream: BinaryIO, records: list[bytes]) -> None:
    body = b"".join(records)
    stream.write(_REPLY.pack(len(body), len(records)) + body)
    stream.flush()
