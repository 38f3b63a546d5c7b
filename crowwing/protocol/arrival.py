"""A request as it arrives, independent of the protocol."""

from typing import NamedTuple


class Arrival(NamedTuple):
    """Times are in microseconds; `due`, the deadline, is 0 if the request states none."""

    id: str
    type: str
    customer: str
    arrived: int
    due: int
    sidecar: int
    kb: float
    rank: float
    row: str
    key: str  # the idempotency key, or empty
    body: bytes
