"""The outcomes of commands (`commands.py`).

Wire names and the order of fields must not change, since other versions read them.
"""

from dataclasses import dataclass
from typing import get_args

from crowwing.tier.state.events import BatchItem, ItemResult
from crowwing.tier.wire.codec import message


@message("NotPrimary")
@dataclass(frozen=True)
class NotPrimary:
    """Nothing was done: this machine is not the primary; `leader` is the primary's address if known."""

    leader: str | None


@message("Unsure")
@dataclass(frozen=True)
class Indeterminate:
    """It is not known whether the command was executed; it can be retried."""

    reason: str


@message("Done")
@dataclass(frozen=True)
class Done:
    """The command was executed, and its events are committed."""


@message("Missing")
@dataclass(frozen=True)
class NotFound:
    """The object that the command refers to does not exist."""


@message("Rejected")
@dataclass(frozen=True)
class Rejected:
    """The command was rejected and changed nothing; `status` is the HTTP status to return."""

    status: int
    reason: str


@message("CurrentConfiguration")
@dataclass(frozen=True)
class CurrentConfiguration:
    """The newest configuration."""

    version: int
    text: bytes


@message("LotPage")
@dataclass(frozen=True)
class BatchJobPage:
    """Results of a batch job from the requested position on; `total` is the job's number of items."""

    total: int
    results: tuple[ItemResult, ...]


@message("ItemBody")
@dataclass(frozen=True)
class ItemBody:
    """The body of an item."""

    body: bytes


@message("RetireState")
@dataclass(frozen=True)
class RetirementStatus:
    """Whether the decommissioning of a store machine has completed."""

    completed: bool


@message("LeasedItem")
@dataclass(frozen=True)
class LeasedItem:
    """An item to run, with the host of its job; the job was accepted `age_ms` ago."""

    job_id: str
    host: str
    item: BatchItem
    age_ms: int


@message("ItemsLeased")
@dataclass(frozen=True)
class LeaseItemsResponse:
    """Items to run, and the job and item of each running one that must be stopped."""

    items: tuple[LeasedItem, ...]
    stop: tuple[tuple[str, str], ...]


@message("Status")
@dataclass(frozen=True)
class StoreStatus:
    """The role, view and counts of a store machine.

    Attributes:
        node: The machine's name.
        role: Its role in replication.
        term: The term that it has promised: a number, and the replica that proposed it.
        members: The addresses of the view's members.
        witnesses: The addresses of the view's witnesses.
        index: The index of the last log entry.
        commit: The commit index.
        version: The version of the configuration.
        jobs: The number of batch jobs in the state.
        open_items: The number of items without a result.
        stores: The addresses of the store machines by name.
    """

    node: str
    role: str
    term: tuple[int, str]
    members: tuple[str, ...]
    witnesses: tuple[str, ...]
    index: int
    commit: int
    version: int
    jobs: int
    open_items: int
    stores: dict[str, str]


Outcome = (
    NotPrimary
    | Indeterminate
    | Done
    | NotFound
    | Rejected
    | CurrentConfiguration
    | BatchJobPage
    | ItemBody
    | RetirementStatus
    | LeaseItemsResponse
    | StoreStatus
)
RESPONSE_TYPES: tuple[type, ...] = (*get_args(Outcome), LeasedItem)  # none of these is a command
