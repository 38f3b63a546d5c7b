"""The platform's list of sidecars: its entries, and how they are read."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from crowwing.tier.wire.codec import message

MAX_PORT = 65535
MALFORMED_PAGE = (AttributeError, KeyError, OverflowError, RecursionError, TypeError, ValueError)


class AddressError(ValueError):
    """A sidecar whose address is not `host:port`."""

    def __init__(self, address: str) -> None:
        """Describes the error by the address."""
        super().__init__(f"the address of a sidecar: {address!r}")


@message("Sidecar")
@dataclass(frozen=True)
class Sidecar:
    """One sidecar as the platform lists it.

    Attributes:
        id: its identity.
        service: the service that it belongs to.
        address: `host:port`.
        zone: its failure domain, empty where it has none.
        slots: how many requests it runs at once.
        ready: whether it takes requests.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    ready: bool


@message("SidecarList")
@dataclass(frozen=True)
class SidecarList:
    """All sidecars at one time."""

    sidecars: tuple[Sidecar, ...]


@dataclass(frozen=True)
class ListUnreadable:
    """Why the list could not be read."""

    reason: str


def parse_entry(entry: dict[str, Any]) -> Sidecar:
    """Reads one entry of the list.

    Raises:
        AttributeError: it is no JSON object.
        KeyError: a field is missing.
        OverflowError: a number is infinite.
        TypeError: a field has another type.
        ValueError: a number or the address can't be read.
    """
    address = str(entry["address"])
    host, _, port = address.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise AddressError(address)
    return Sidecar(
        str(entry["id"]),
        str(entry["service"]),
        address,
        str(entry.get("zone", "")),
        int(entry.get("slots") or 1),
        entry.get("state") == "ready",
    )


ReadList = Callable[[], Awaitable[SidecarList | ListUnreadable]]


def make_list_reader(address: str) -> ReadList:
    """Makes a reader of the list, which loads its HTTP library when it reads for the first time.

    Args:
        address: `host:port` of the platform.
    """

    async def read() -> SidecarList | ListUnreadable:
        # A start does not wait for it: most processes hear of the list from the root.
        from crowwing.tier import platform_list_client

        return await platform_list_client.read_list(address)

    return read
