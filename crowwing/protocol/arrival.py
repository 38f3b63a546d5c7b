"""A ticket as it comes in, whatever protocol brought it."""

from typing import NamedTuple


class Arrival(NamedTuple):
    """Times are in microseconds; `due` is 0 where no patience is told."""

    id: str
    type: str
    customer: str
    arrived: int
    due: int
    sidecar: int
    kb: float
    rank: float
    row: str
    key: str  # the idempotency key; empty where none came
    body: bytes
