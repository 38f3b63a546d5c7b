"""The print of what a repeat shares with its first try.

Which fields stay the same is the operator's to say.
"""

from collections.abc import Sequence

import xxhash

from crowwing.protocol.arrival import Arrival

FIELDS = ("type", "customer", "body", "kb", "rank")


def of(arrival: Arrival, fields: Sequence[str] = FIELDS) -> int:
    """64 bits; fields are set apart by their lengths, so that none runs into the next."""
    state = xxhash.xxh3_64()
    for name in fields:
        value = getattr(arrival, name)
        data = value if isinstance(value, bytes) else str(value).encode()
        state.update(b"%d:" % len(data))
        state.update(data)
    return state.intdigest()
