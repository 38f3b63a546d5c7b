"""The platform's list of sidecars: its entries, and how they are read."""

import logging
from dataclasses import dataclass
from typing import Any

import httpx

from crowwing.tier.wire.codec import message

log = logging.getLogger("crowwing.platform")

READ_TIMEOUT_S = 0.8
MOST_PAGES = 400


@message("Sidecar")
@dataclass(frozen=True)
class Sidecar:
    """One sidecar as the platform lists it."""

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
    """One entry of the list; raises KeyError or TypeError where it is none."""
    return Sidecar(
        str(entry["id"]),
        str(entry["service"]),
        str(entry["address"]),
        str(entry.get("zone", "")),
        int(entry.get("slots") or 1),
        entry.get("state") == "ready",
    )


async def read_list(client: httpx.AsyncClient, address: str) -> SidecarList | ListUnreadable:
    """Reads all pages of the list."""
    sidecars: list[Sidecar] = []
    token: str | None = None
    for _ in range(MOST_PAGES):
        parameters = {} if token is None else {"pageToken": token}
        try:
            answer = await client.get(
                f"http://{address}/instances", params=parameters, timeout=READ_TIMEOUT_S
            )
            if answer.status_code != 200:
                return ListUnreadable(f"status {answer.status_code}")
            page = answer.json()
            sidecars.extend(parse_entry(entry) for entry in page["instances"])
        except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
            return ListUnreadable(f"{type(error).__name__}: {error}")
        token = page.get("nextToken")
        if not token:
            return SidecarList(tuple(sorted(sidecars, key=lambda sidecar: sidecar.id)))
    return ListUnreadable(f"more than {MOST_PAGES} pages")
