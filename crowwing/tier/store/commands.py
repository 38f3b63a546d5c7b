"""The commands that fronts, store machines and the operator's API send to the primary.

The response to each is an outcome (`outcomes.py`). Wire names and the order of fields must not change, since
other versions read them.
"""

from dataclasses import dataclass
from typing import get_args

from crowwing.tier.state.events import BatchItem, ItemResult
from crowwing.tier.wire.codec import message


@message("PutConfiguration")
@dataclass(frozen=True)
class PutConfiguration:
    """Replaces the configuration of version `base` with this one."""

    base: int
    text: bytes


@message("GetConfiguration")
@dataclass(frozen=True)
class GetConfiguration:
    """Reads the newest configuration."""


@message("SubmitLot")
@dataclass(frozen=True)
class SubmitBatchJob:
    """Submits a batch job; idempotent by `job_id`."""

    job_id: str
    host: str
    path: str
    items: tuple[BatchItem, ...]


@message("ReadLot")
@dataclass(frozen=True)
class ReadBatchJob:
    """Reads a job's results from position `start` on, waiting up to `wait_ms` for the first of them."""

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
    """Ends a batch job: its open items are no longer run."""

    job_id: str


@message("Retire")
@dataclass(frozen=True)
class RetireStore:
    """Requests the decommissioning of a store machine by name."""

    node: str


@message("ReadRetire")
@dataclass(frozen=True)
class ReadRetirement:
    """Reads the progress of the decommissioning of a store machine."""

    node: str


@message("LeaseItems")
@dataclass(frozen=True)
class LeaseItemsRequest:
    """Renews a front's leases, gives some up, and requests up to `max_items` new ones.

    Attributes:
        front: The front's name, unique among the incarnations of all fronts.
        max_items: The number of items that it can start now.
        running: The job and item of each lease to renew.
        wait_ms: How long to wait if no items are available.
        given_up: The job and item of each lease that was given up without a result.
    """

    front: str
    max_items: int
    running: tuple[tuple[str, str], ...]
    wait_ms: int
    given_up: tuple[tuple[str, str], ...] = ()


@message("ReportItem")
@dataclass(frozen=True)
class ReportItemResult:
    """Reports the final result of an item."""

    job_id: str
    item: str
    result: ItemResult


@message("ReportFailure")
@dataclass(frozen=True)
class ReportItemFailure:
    """Reports an attempt at an item that ended with a 500; the attempt's name deduplicates retries."""

    job_id: str
    item: str
    attempt: str


@message("ShowStatus")
@dataclass(frozen=True)
class GetStatus:
    """Reads the role, view and counts of the store machine that receives it."""


@message("Announce")
@dataclass(frozen=True)
class RegisterStore:
    """Registers the name and address of a store machine."""

    node: str
    host: str


ConfigurationCommand = PutConfiguration | GetConfiguration
BatchJobCommand = SubmitBatchJob | ReadBatchJob | ReadItemBody | EndBatchJob
ItemCommand = LeaseItemsRequest | ReportItemResult | ReportItemFailure
StoreCommand = RetireStore | ReadRetirement | RegisterStore | GetStatus
Command = ConfigurationCommand | BatchJobCommand | ItemCommand | StoreCommand
COMMAND_TYPES: tuple[type[Command], ...] = get_args(Command)


@message("Forwarded")
@dataclass(frozen=True)
class ForwardedCommand:
    """A command forwarded to the primary by a front or another store machine; not forwarded again."""

    command: Command
