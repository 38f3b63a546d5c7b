"""Fingerprints of the request fields that a retry has in common with its first attempt.

The operator file says which fields these are.
"""

from collections.abc import Sequence

import xxhash

from crowwing.protocol.arrival import Arrival

FIELDS = ("type", "customer", "body", "kb", "rank")


def of(arrival: Arrival, fields: Sequence[str] = FIELDS) -> int:
    """A 64-bit fingerprint. Each field is hashed with its length to keep adjacent fields apart."""
    state = xxhash.xxh3_64()
    for name in fields:
        value = getattr(arrival, name)
        data = value if isinstance(value, bytes) else str(value).encode()
        state.update(b"%d:" % len(data))
        state.update(data)
    return state.intdigest()
