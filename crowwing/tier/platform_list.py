"""The platform's list of sidecars: its entries and their parser."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from crowwing.tier.wire.codec import message

MAX_PORT = 65535
MALFORMED_PAGE = (AttributeError, KeyError, OverflowError, RecursionError, TypeError, ValueError)


class AddressError(ValueError):
    """The address of a sidecar is not `host:port`."""

    def __init__(self, address: str) -> None:
        """Describes the error."""
        super().__init__(f"invalid sidecar address: {address!r}")


@message("Sidecar")
@dataclass(frozen=True)
class Sidecar:
    """A sidecar in the platform's list.

    Attributes:
        id: the sidecar's id.
        service: the service that it belongs to.
        address: `host:port`.
        zone: its failure domain; empty if it has none.
        slots: how many requests it runs concurrently.
        ready: whether it accepts requests.
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
    """A snapshot of all sidecars."""

    sidecars: tuple[Sidecar, ...]


@dataclass(frozen=True)
class ListUnreadable:
    """Why the list could not be read."""

    reason: str


def parse_entry(entry: dict[str, Any]) -> Sidecar:
    """Parses one entry of the list.

    Raises:
        AttributeError: it is not a JSON object.
        KeyError: a field is missing.
        OverflowError: a number is infinite.
        TypeError: a field has the wrong type.
        ValueError: a number or the address is invalid.
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
    """Returns a function that reads the list, and loads its HTTP library on first use.

    Args:
        address: `host:port` of the platform.
    """

    async def read() -> SidecarList | ListUnreadable:
        # Loaded lazily to keep startup fast: most processes get the list from the relay tree's root.
        from crowwing.tier import platform_list_client

        return await platform_list_client.read_list(address)

    return read
