"""What fronts and the operator's API ask of the primary, and the tagged outcomes."""

from dataclasses import dataclass
from typing import Any

from crowwing.tier.state.events import Item, Result
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
class SubmitLot:
    """Hands a lot in."""

    lot: str
    host: str
    path: str
    items: tuple[Item, ...]


@message("ReadLot")
@dataclass(frozen=True)
class ReadLot:
    """Reads results from a position on, waiting up to `wait_ms` for the first."""

    lot: str
    start: int
    wait_ms: int


@message("ReadBody")
@dataclass(frozen=True)
class ReadBody:
    """Reads the body of an item that has no result yet."""

    lot: str
    item: str


@message("EndLot")
@dataclass(frozen=True)
class EndLot:
    """Ends a lot."""

    lot: str


@message("Retire")
@dataclass(frozen=True)
class Retire:
    """Asks that a store machine be emptied."""

    node: str


@message("ReadRetire")
@dataclass(frozen=True)
class ReadRetire:
    """Asks how far that is."""

    node: str


@message("LeaseItems")
@dataclass(frozen=True)
class LeaseItems:
    """A front asks for items to run, and tells which ones (lot, item) it still runs and has given up."""

    front: str
    most: int
    running: tuple[tuple[str, str], ...]
    wait_ms: int
    given_up: tuple[tuple[str, str], ...] = ()


@message("ReportItem")
@dataclass(frozen=True)
class ReportItem:
    """An item has its result."""

    lot: str
    item: str
    result: Result


@message("ReportFailure")
@dataclass(frozen=True)
class ReportFailure:
    """An attempt at an item ended with a 500. `attempt` names it, so that a report sent again counts once."""

    lot: str
    item: str
    attempt: str


@message("ShowStatus")
@dataclass(frozen=True)
class ShowStatus:
    """Asks a store machine for its role, view and numbers."""


# Outcomes.


@message("NotPrimary")
@dataclass(frozen=True)
class NotPrimary:
    """Another store machine decides, as far as this one knows."""

    leader: str | None


@message("Unsure")
@dataclass(frozen=True)
class Unsure:
    """Whether it was done is not known; it may be asked again."""

    reason: str


@message("Done")
@dataclass(frozen=True)
class Done:
    """It is done and kept."""


@message("Missing")
@dataclass(frozen=True)
class Missing:
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
class LotPage:
    """Results of a lot from the position asked for."""

    total: int
    results: tuple[Result, ...]


@message("ItemBody")
@dataclass(frozen=True)
class ItemBody:
    """The body of an item."""

    body: bytes


@message("RetireState")
@dataclass(frozen=True)
class RetireState:
    """How far the emptying of a machine is."""

    completed: bool


@message("LeasedItem")
@dataclass(frozen=True)
class LeasedItem:
    """An item to run, with the host of its lot and what is left until its lot is due."""

    lot: str
    host: str
    item: Item
    age_ms: int


@message("ItemsLeased")
@dataclass(frozen=True)
class ItemsLeased:
    """Items to run, and those among the running ones that are wanted no more."""

    items: tuple[LeasedItem, ...]
    stop: tuple[tuple[str, str], ...]


@message("Status")
@dataclass(frozen=True)
class Status:
    """A store machine's role, view and numbers."""

    node: str
    role: str
    ballot: tuple[int, str]
    members: tuple[str, ...]
    witnesses: tuple[str, ...]
    index: int
    commit: int
    version: int
    lots: int
    open_items: int
    stores: dict[str, str]


@message("Announce")
@dataclass(frozen=True)
class Announce:
    """A store machine tells its name and address."""

    node: str
    host: str


@message("Forwarded")
@dataclass(frozen=True)
class Forwarded:
    """A command that another store machine passes on to the primary; it is not passed on again."""

    command: Any
