"""The events of the replicated log; each is applied to the state once, in log order.

The wire names and the order of the fields are part of the stored format and must not change
(`crowwing/tier/wire/codec.py`).
"""

from dataclasses import dataclass

from crowwing.tier.wire.codec import message

# States of an item's result, as the batch API names them.
COMPLETED = "completed"
DEAD_LETTER = "dead_letter"


@message("ConfigurationTaken")
@dataclass(frozen=True)
class ConfigurationAccepted:
    """A configuration takes effect; `base` is the version that it was derived from."""

    version: int
    base: int
    text: bytes


@message("Item")
@dataclass(frozen=True)
class BatchItem:
    """One item of a batch job as submitted; `headers` are pairs of name and value in their original order."""

    id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int


@message("Result")
@dataclass(frozen=True)
class ItemResult:
    """The final result of an item; `state` is COMPLETED or DEAD_LETTER."""

    item: str
    state: str
    text: str


@message("LotTaken")
@dataclass(frozen=True)
class BatchJobAccepted:
    """A batch job was accepted; `at_ms` is the primary's wall-clock time in milliseconds."""

    job_id: str
    host: str
    path: str
    items: tuple[BatchItem, ...]
    at_ms: int


@message("ItemsEnded")
@dataclass(frozen=True)
class ItemsCompleted:
    """Results are appended to their job in this order, each at the next position."""

    job_id: str
    results: tuple[ItemResult, ...]


@message("AttemptFailed")
@dataclass(frozen=True)
class AttemptFailed:
    """The sidecar answered an attempt at an item with status 500; `attempt` is the name of the attempt."""

    job_id: str
    item: str
    attempt: str


@message("LotEnded")
@dataclass(frozen=True)
class BatchJobEnded:
    """The client ended a job; its open items are no longer run."""

    job_id: str


@message("LotDropped")
@dataclass(frozen=True)
class BatchJobRemoved:
    """A job was removed at the end of its retention time."""

    job_id: str


@message("StoreSeen")
@dataclass(frozen=True)
class StoreRegistered:
    """A store machine was registered: `node` is the name of its data, `host` its address."""

    node: str
    host: str


@message("RetireAsked")
@dataclass(frozen=True)
class RetireRequested:
    """A store machine is to be decommissioned."""

    node: str


Event = (
    ConfigurationAccepted
    | BatchJobAccepted
    | ItemsCompleted
    | AttemptFailed
    | BatchJobEnded
    | BatchJobRemoved
    | StoreRegistered
    | RetireRequested
)
