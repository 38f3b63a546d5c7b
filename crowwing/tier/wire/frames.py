"""Frames: the unit that connections exchange.

A frame is its length in 4 bytes, little-endian, and that many bytes of CBOR, which hold the kind of the
frame, the number of the call and the body.
"""

import struct
from enum import IntEnum

from crowwing.tier.wire.codec import encode

LENGTH = struct.Struct("<I")
MAX_FRAME_BYTES = 64 * 1024 * 1024
NO_CALL = 0  # the number in notifications, which have no response


class FrameKind(IntEnum):
    """What a frame is; the numbers are those on the wire."""

    REQUEST = 0
    RESPONSE = 1
    NOTIFICATION = 2
    FAILURE = 3


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
