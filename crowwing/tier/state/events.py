"""Everything that can happen to the state. Each event is one entry of the replicated log."""

from dataclasses import dataclass

from crowwing.tier.wire.codec import message

COMPLETED, DEAD_LETTER = "completed", "dead_letter"


@message("ConfigurationTaken")
@dataclass(frozen=True)
class ConfigurationTaken:
    """A configuration is in force from now on. `base` is the version that it was built on."""

    version: int
    base: int
    text: bytes


@message("Item")
@dataclass(frozen=True)
class Item:
    """One item of a lot as it was handed in. `headers` are names and values in order."""

    id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int


@message("Result")
@dataclass(frozen=True)
class Result:
    """The final result of an item."""

    item: str
    state: str
    text: str


@message("LotTaken")
@dataclass(frozen=True)
class LotTaken:
    """A lot is this system's to keep. `at_ms` is the time of day at the primary."""

    lot: str
    host: str
    path: str
    items: tuple[Item, ...]
    at_ms: int


@message("ItemsEnded")
@dataclass(frozen=True)
class ItemsEnded:
    """Results take the next positions of their lot, in this order."""

    lot: str
    results: tuple[Result, ...]


@message("AttemptFailed")
@dataclass(frozen=True)
class AttemptFailed:
    """A sidecar answered 500 to an attempt at an item."""

    lot: str
    item: str
    attempt: str


@message("LotEnded")
@dataclass(frozen=True)
class LotEnded:
    """The client wants no more of a lot."""

    lot: str


@message("LotDropped")
@dataclass(frozen=True)
class LotDropped:
    """Nobody may ask for a lot any more."""

    lot: str


@message("StoreSeen")
@dataclass(frozen=True)
class StoreSeen:
    """A store machine has its data under this name and address."""

    node: str
    host: str


@message("RetireAsked")
@dataclass(frozen=True)
class RetireAsked:
    """A store machine is to be emptied."""

    node: str


Event = (
    ConfigurationTaken
    | LotTaken
    | ItemsEnded
    | AttemptFailed
    | LotEnded
    | LotDropped
    | StoreSeen
    | RetireAsked
)
