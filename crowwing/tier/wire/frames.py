"""Frames: the unit that connections exchange.

A frame is its length in 4 bytes, little-endian, and that many bytes of CBOR, which hold the kind of the
frame, the number of the call and the body.
"""

import struct
from dataclasses import dataclass
from enum import IntEnum

from crowwing.tier.wire.codec import Decoded, decode, encode
from crowwing.tier.wire.errors import MalformedFrameError

LENGTH = struct.Struct("<I")
MAX_FRAME_BYTES = 64 * 1024 * 1024
NO_CALL = 0  # the number in notifications, which have no response
FRAME_VALUES = 3


class FrameKind(IntEnum):
    """What a frame is; the numbers are those on the wire."""

    REQUEST = 0
    RESPONSE = 1
    NOTIFICATION = 2
    FAILURE = 3


_KINDS = {int(kind): kind for kind in FrameKind}


@dataclass(frozen=True)
class Frame:
    """One frame as it was received. Its fields are the parameters of `encode_frame`."""

    kind: FrameKind
    call_number: int
    body: Decoded


def decode_frame(content: bytes) -> Frame:
    """Reads a frame.

    Args:
        content: what stands behind the length.

    Raises:
        MessageError: the content is no frame, or its body no message that this version knows.
    """
    values = decode(content)
    if not isinstance(values, tuple) or len(values) != FRAME_VALUES:
        raise MalformedFrameError
    kind, call_number, body = values
    if type(kind) is not int or kind not in _KINDS or type(call_number) is not int:
        raise MalformedFrameError
    return Frame(_KINDS[kind], call_number, body)


def encode_frame(kind: FrameKind, call_number: int, body: object) -> bytes:
    """Encodes one frame as it goes over the wire.

    Args:
        kind: what the frame is.
        call_number: matches responses to requests on one connection; `NO_CALL` in a notification.
        body: a message or plain values; the text of the error in a failure.

    Returns:
        The length and the content.
    """
    content = encode((int(kind), call_number, body))
    return LENGTH.pack(len(content)) + content
