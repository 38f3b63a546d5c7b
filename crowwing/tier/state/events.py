"""Everything that can happen to the state. Each event is one entry of the replicated log."""

from dataclasses import dataclass

from crowwing.tier.wire.codec import message

COMPLETED, DEAD_LETTER = "completed", "dead_letter"


@message("ConfigurationTaken")
@dataclass(frozen=True)
class ConfigurationAccepted:
    """A configuration is in force from now on. `base` is the version that it was built on."""

    version: int
    base: int
    text: bytes


@message("Item")
@dataclass(frozen=True)
class BatchItem:
    """One item of a lot as it was handed in. `headers` are names and values in order."""

    id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int


@message("Result")
@dataclass(frozen=True)
class ItemResult:
    """The final result of an item."""

    item: str
    state: str
    text: str


@message("LotTaken")
@dataclass(frozen=True)
class BatchJobAccepted:
    """A lot is this system's to keep. `at_ms` is the time of day at the primary."""

    job_id: str
    host: str
    path: str
    items: tuple[BatchItem, ...]
    at_ms: int


@message("ItemsEnded")
@dataclass(frozen=True)
class ItemsCompleted:
    """Results take the next positions of their lot, in this order."""

    job_id: str
    results: tuple[ItemResult, ...]


@message("AttemptFailed")
@dataclass(frozen=True)
class AttemptFailed:
    """A sidecar answered 500 to an attempt at an item."""

    job_id: str
    item: str
    attempt: str


@message("LotEnded")
@dataclass(frozen=True)
class BatchJobEnded:
    """The client wants no more of a lot."""

    job_id: str


@message("LotDropped")
@dataclass(frozen=True)
class BatchJobRemoved:
    """Nobody may ask for a lot any more."""

    job_id: str


@message("StoreSeen")
@dataclass(frozen=True)
class StoreRegistered:
    """A store machine has its data under this name and address."""

    node: str
    host: str


@message("RetireAsked")
@dataclass(frozen=True)
class RetireRequested:
    """A store machine is to be emptied."""

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
