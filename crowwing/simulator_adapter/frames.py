"""Binary frames of the wire: batches in, replies out."""

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


class BadFrame(ValueError):
    """What came in is not a frame of this wire."""


def read_batch(stream: BinaryIO) -> tuple[float, list[tuple]] | None:
    """The clock and the events of the next batch, each event as (code, instance, fields...)."""
    head = stream.read(_BATCH.size)
    if not head:
        return None
    if len(head) < _BATCH.size:
        raise BadFrame(f"batch header cut off after {len(head)} bytes")
    clock, length, count = _BATCH.unpack(head)
    if not 0 <= clock < 1e15:
        raise BadFrame(f"impossible clock {clock}")
    if count * _RECORD.size > length:
        raise BadFrame(f"{count} records cannot fit in {length} bytes")
    body = stream.read(length)
    if len(body) < length:
        raise BadFrame(f"batch cut off: {len(body)} of {length} bytes")
    events = list(_records(body, count))
    return clock, events


def _records(body: bytes, count: int) -> Iterator[tuple]:
    at = 0
    for _ in range(count):
        if at + _RECORD.size > len(body):
            raise BadFrame("record header cut off")
        code, size = _RECORD.unpack_from(body, at)
        at += _RECORD.size
        if at + size > len(body):
            raise BadFrame(f"record {code} cut off")
        yield _event(code, body[at : at + size])
        at += size
    if at != len(body):
        raise BadFrame(f"{len(body) - at} bytes after the last record")


def _event(code: int, raw: bytes) -> tuple:
    fixed = _FIXED.get(code)
    if fixed is not None:
        if len(raw) != fixed.size:
            raise BadFrame(f"record {code} has {len(raw)} bytes, not {fixed.size}")
        return (code, *fixed.unpack(raw))
    if code == HELLO:
        if len(raw) < _HELLO.size:
            raise BadFrame("HELLO cut off")
        who, entropy, size = _HELLO.unpack_from(raw)
        if len(raw) != _HELLO.size + size:
            raise BadFrame(f"HELLO settings of {size} bytes in {len(raw) - _HELLO.size}")
        return code, who, entropy, raw[_HELLO.size :]
    if code == RING:
        if len(raw) < _RING.size:
            raise BadFrame("RING cut off")
        who, cookie, size = _RING.unpack_from(raw)
        if len(raw) != _RING.size + 4 * size:
            raise BadFrame(f"RING of {size} gauges in {len(raw) - _RING.size} bytes")
        return code, who, cookie, struct.unpack_from(f"<{size}f", raw, _RING.size)
    raise BadFrame(f"unknown event code {code}")


def packer(code: int, layout: str) -> Callable[..., bytes]:
    """A function that packs the fields of one kind of record, header included."""
    record = struct.Struct("<HI" + layout)
    size = record.size - _RECORD.size
    return lambda *fields: record.pack(code, size, *fields)


def internal_error(who: int, words: str) -> bytes:
    """The wire's word that the decision code failed."""
    raw = words.encode()[:60000]
    return struct.pack(f"<HIIH{len(raw)}s", _INTERNAL, 6 + len(raw), who, len(raw), raw)


def write_reply(stream: BinaryIO, records: list[bytes]) -> None:
    body = b"".join(records)
    stream.write(_REPLY.pack(len(body), len(records)) + body)
    stream.flush()
