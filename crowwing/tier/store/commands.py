"""What fronts and the operator's API ask of the primary, and the tagged outcomes."""

from dataclasses import dataclass
from typing import Any

from crowwing.tier.state.events import BatchItem, ItemResult
from crowwing.tier.wire.codec import message


@message("PutConfiguration")
@dataclass(frozen=True)
class PutConfiguration:
    """Takes a configuration that was built on `base`."""

    base: int
    text: bytes


@message("GetConfiguration")
@dataclass(frozen=True)
class GetConfiguration:
    """Reads the newest configuration."""


@message("SubmitLot")
@dataclass(frozen=True)
class SubmitBatchJob:
    """Hands a lot in."""

    job_id: str
    host: str
    path: str
    items: tuple[BatchItem, ...]


@message("ReadLot")
@dataclass(frozen=True)
class ReadBatchJob:
    """Reads results from a position on, waiting up to `wait_ms` for the first."""

    job_id: str
    start: int
    wait_ms: int


@message("ReadBody")
@dataclass(frozen=True)
class ReadItemBody:
    """Reads the body of an item that has no result yet."""

    job_id: str
    item: str


@message("EndLot")
@dataclass(frozen=True)
class EndBatchJob:
    """Ends a lot."""

    job_id: str


@message("Retire")
@dataclass(frozen=True)
class RetireStore:
    """Asks that a store machine be emptied."""

    node: str


@message("ReadRetire")
@dataclass(frozen=True)
class ReadRetirement:
    """Asks how far that is."""

    node: str


@message("LeaseItems")
@dataclass(frozen=True)
class LeaseItemsRequest:
    """A front asks for items to run, and tells which ones (lot, item) it still runs and has given up."""

    front: str
    most: int
    running: tuple[tuple[str, str], ...]
    wait_ms: int
    given_up: tuple[tuple[str, str], ...] = ()


@message("ReportItem")
@dataclass(frozen=True)
class ReportItemResult:
    """An item has its result."""

    job_id: str
    item: str
    result: ItemResult


@message("ReportFailure")
@dataclass(frozen=True)
class ReportItemFailure:
    """An attempt at an item ended with a 500. `attempt` names it, so that a report sent again counts once."""

    job_id: str
    item: str
    attempt: str


@message("ShowStatus")
@dataclass(frozen=True)
class GetStatus:
    """Asks a store machine for its role, view and numbers."""


# Outcomes.


@message("NotPrimary")
@dataclass(frozen=True)
class NotPrimary:
    """Another store machine decides, as far as this one knows."""

    leader: str | None


@message("Unsure")
@dataclass(frozen=True)
class Indeterminate:
    """Whether it was done is not known; it may be asked again."""

    reason: str


@message("Done")
@dataclass(frozen=True)
class Done:
    """It is done and kept."""


@message("Missing")
@dataclass(frozen=True)
class NotFound:
    """There is no such thing, for certain."""


@message("Rejected")
@dataclass(frozen=True)
class Rejected:
    """It can't be taken: `status` is the HTTP status that says so."""

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
    """Results of a lot from the position asked for."""

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
    """How far the emptying of a machine is."""

    completed: bool


@message("LeasedItem")
@dataclass(frozen=True)
class LeasedItem:
    """An item to run, with the host of its lot and what is left until its lot is due."""

    job_id: str
    host: str
    item: BatchItem
    age_ms: int


@message("ItemsLeased")
@dataclass(frozen=True)
class LeaseItemsResponse:
    """Items to run, and those among the running ones that are wanted no more."""

    items: tuple[LeasedItem, ...]
    stop: tuple[tuple[str, str], ...]


@message("Status")
@dataclass(frozen=True)
class StoreStatus:
    """A store machine's role, view and numbers."""

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


@message("Announce")
@dataclass(frozen=True)
class RegisterStore:
    """A store machine tells its name and address."""

    node: str
    host: str


@message("Forwarded")
@dataclass(frozen=True)
class ForwardedCommand:
    """A command that another store machine passes on to the primary; it is not passed on again."""

    command: Any
