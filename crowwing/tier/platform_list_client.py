"""Reads the platform's list of sidecars over HTTP."""

import functools
from http import HTTPStatus

import httpx

from crowwing.tier.http_client import NO_CERTIFICATES
from crowwing.tier.platform_list import MALFORMED_PAGE, ListUnreadable, Sidecar, SidecarList, parse_entry

READ_TIMEOUT_S = 0.8
MAX_PAGES = 400


@functools.cache
def _client() -> httpx.AsyncClient:
    """The HTTP client of this process; its connection to the platform stays open between reads."""
    return httpx.AsyncClient(trust_env=False, verify=NO_CERTIFICATES)


async def read_list(address: str) -> SidecarList | ListUnreadable:
    """Reads all pages of the list.

    Args:
        address: `host:port` of the platform.

    Returns:
        The sidecars by id, or why the list could not be read.
    """
    sidecars: list[Sidecar] = []
    token: str | None = None
    for _ in range(MAX_PAGES):
        parameters = {} if token is None else {"pageToken": token}
        try:
            response = await _client().get(
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
