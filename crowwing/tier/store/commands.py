"""The commands that fronts, store machines and the operator's API send to the primary.

Each is answered with an outcome (`outcomes.py`). The wire names and the order of the fields are the form that
other versions read, and stay.
"""

from dataclasses import dataclass
from typing import get_args

from crowwing.tier.state.events import BatchItem, ItemResult
from crowwing.tier.wire.codec import message


@message("PutConfiguration")
@dataclass(frozen=True)
class PutConfiguration:
    """Replaces the configuration of version `base` by this one."""

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
    """Reads a job's results from position `start` on, and waits up to `wait_ms` for the first of them."""

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
    """Ends a batch job: its open items are not run any more."""

    job_id: str


@message("Retire")
@dataclass(frozen=True)
class RetireStore:
    """Asks for the decommissioning of the store machine with this name."""

    node: str


@message("ReadRetire")
@dataclass(frozen=True)
class ReadRetirement:
    """Reads how far the decommissioning of a store machine is."""

    node: str


@message("LeaseItems")
@dataclass(frozen=True)
class LeaseItemsRequest:
    """A front renews its leases, gives some up, and asks for up to `max_items` more.

    Attributes:
        front: The front's name, unique among the incarnations of all fronts.
        max_items: How many items it can start now.
        running: The job and the item of each lease to be renewed.
        wait_ms: How long to wait for items where there are none.
        given_up: The job and the item of each lease that ended without a result.
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
    """Reports an attempt at an item that ended with a 500; it has a name, so that a retry counts once."""

    job_id: str
    item: str
    attempt: str


@message("ShowStatus")
@dataclass(frozen=True)
class GetStatus:
    """Reads the role, the view and the counts of the store machine that receives it."""


@message("Announce")
@dataclass(frozen=True)
class RegisterStore:
    """Registers the name and the address of a store machine."""

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
    """A command that another store machine or a front forwards to the primary; not forwarded once more."""

    command: Command
