"""Frames, the units that connections exchange.

A frame is a length prefix of 4 bytes, little-endian, and that many bytes of CBOR, which contain the kind of
the frame, the call number and the body.
"""

import struct
from dataclasses import dataclass
from enum import IntEnum

from crowwing.tier.wire.codec import Decoded, decode, encode
from crowwing.tier.wire.errors import MalformedFrameError

LENGTH = struct.Struct("<I")
MAX_FRAME_BYTES = 64 * 1024 * 1024
NO_CALL = 0  # the call number of notifications, which have no response
FRAME_VALUES = 3


class FrameKind(IntEnum):
    """The kind of a frame; the values are used on the wire."""

    REQUEST = 0
    RESPONSE = 1
    NOTIFICATION = 2
    FAILURE = 3


_KINDS = {int(kind): kind for kind in FrameKind}


@dataclass(frozen=True)
class Frame:
    """A received frame. Its fields are the parameters of `encode_frame`."""

    kind: FrameKind
    call_number: int
    body: Decoded


def decode_frame(content: bytes) -> Frame:
    """Decodes a frame.

    Args:
        content: the bytes after the length prefix.

    Raises:
        MessageError: the content is not a frame, or its body not a message known to this version.
    """
    values = decode(content)
    if not isinstance(values, tuple) or len(values) != FRAME_VALUES:
        raise MalformedFrameError
    kind, call_number, body = values
    if type(kind) is not int or kind not in _KINDS or type(call_number) is not int:
        raise MalformedFrameError
    return Frame(_KINDS[kind], call_number, body)


def encode_frame(kind: FrameKind, call_number: int, body: object) -> bytes:
    """Encodes a frame.

    Args:
        kind: the kind of the frame.
        call_number: matches responses to requests on one connection; `NO_CALL` in a notification.
        body: a message or plain values; the error text in a failure.

    Returns:
        The length prefix and the content.
    """
    content = encode((int(kind), call_number, body))
    return LENGTH.pack(len(content)) + content
