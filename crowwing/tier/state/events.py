"""The events of the replicated log; each changes the state once, in the order of the log.

The wire names and the order of the fields are a stored form and stay (`crowwing/tier/wire/codec.py`).
"""

from dataclasses import dataclass

from crowwing.tier.wire.codec import message

# States of an item's result, as the batch interface names them.
COMPLETED = "completed"
DEAD_LETTER = "dead_letter"


@message("ConfigurationTaken")
@dataclass(frozen=True)
class ConfigurationAccepted:
    """A configuration is in force from now on; `base` is the version that it was built on."""

    version: int
    base: int
    text: bytes


@message("Item")
@dataclass(frozen=True)
class BatchItem:
    """One item of a batch job as it was submitted; `headers` are names and values in order."""

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
    """A batch job was accepted; `at_ms` is the time of day at the primary, in milliseconds."""

    job_id: str
    host: str
    path: str
    items: tuple[BatchItem, ...]
    at_ms: int


@message("ItemsEnded")
@dataclass(frozen=True)
class ItemsCompleted:
    """Results get the next positions of their job, in this order."""

    job_id: str
    results: tuple[ItemResult, ...]


@message("AttemptFailed")
@dataclass(frozen=True)
class AttemptFailed:
    """An attempt at an item ended with a 500 of the sidecar; `attempt` is its name."""

    job_id: str
    item: str
    attempt: str


@message("LotEnded")
@dataclass(frozen=True)
class BatchJobEnded:
    """The client ended a job: its open items are not run any more."""

    job_id: str


@message("LotDropped")
@dataclass(frozen=True)
class BatchJobRemoved:
    """A job's retention time is over."""

    job_id: str


@message("StoreSeen")
@dataclass(frozen=True)
class StoreRegistered:
    """A store machine has its data under this name, at this address."""

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
