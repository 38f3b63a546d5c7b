"""The platform's list of sidecars: its entries, and how they are read."""

from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import httpx

from crowwing.tier.wire.codec import message

READ_TIMEOUT_S = 0.8
MAX_PAGES = 400
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


async def read_list(client: httpx.AsyncClient, address: str) -> SidecarList | ListUnreadable:
    """Reads all pages of the list.

    Args:
        client: the HTTP client.
        address: `host:port` of the platform.

    Returns:
        The sidecars by id, or why the list could not be read.
    """
    sidecars: list[Sidecar] = []
    token: str | None = None
    for _ in range(MAX_PAGES):
        parameters = {} if token is None else {"pageToken": token}
        try:
            response = await client.get(
                f"http://{address}/instances", params=parameters, timeout=READ_TIMEOUT_S
            )
            if response.status_code != HTTPStatus.OK:
                return ListUnreadable(f"status {response.status_code}")
            page = response.json()
            sidecars.extend(parse_entry(entry) for entry in page["instances"])
        except (httpx.HTTPError, *MALFORMED_PAGE) as error:
            return ListUnreadable(f"{type(error).__name__}: {error}")
        token = page.get("nextToken")
        if not token:
            return SidecarList(tuple(sorted(sidecars, key=lambda sidecar: sidecar.id)))
    return ListUnreadable(f"more than {MAX_PAGES} pages")
