"""Requests of clients and operators to a tier on the test bed."""

import asyncio
import base64
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import httpx

from benchmarks.tier_test_bed.processes import FRONT, HOST_NAME, TestBed

ITEMS = 60  # items of a batch job
STREAM_RETRY_LIMIT_S = 6.0
POLL_TIMEOUT_S = 40.0
POLL_S = 0.1


class TierError(Exception):
    """The tier failed a check."""


class PollTimeoutError(TierError):
    """An expected state was not reached in time."""

    def __init__(self, what: str) -> None:
        """`what`: the expected state."""
        super().__init__(f"{what}: not within {POLL_TIMEOUT_S:.0f} s")


class JobError(TierError):
    """A batch job failed a check."""

    def __init__(self, job: str, found: str) -> None:
        """`found`: what is wrong with the job."""
        super().__init__(f"{job}: {found}")


class MachineError(TierError):
    """A process of the tier failed a check."""

    def __init__(self, host: str, found: str) -> None:
        """`found`: what is wrong on the host."""
        super().__init__(f"{host}: {found}")


@dataclass
class StreamCounts:
    """Counts of requested streams, and their outcomes."""

    requested: int = 0
    served: int = 0
    retries: int = 0


async def poll(what: str, read: Callable[[], Awaitable[Any]]) -> Any:  # noqa: ANN401  whatever `read` gives
    """Calls `read` until its result is true; raises PollTimeoutError after POLL_TIMEOUT_S."""
    deadline = time.monotonic() + POLL_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            if found := await read():
                return found
        except httpx.HTTPError:
            pass
        await asyncio.sleep(POLL_S)
    raise PollTimeoutError(what)


class Client:
    """A client and operator of the tier."""

    def __init__(self, test_bed: TestBed, http: httpx.AsyncClient) -> None:
        """`http`: owned and closed by the caller."""
        self._test_bed, self._http = test_bed, http
        self._stream_count = 0

    def _url(self, host: str, path: str) -> str:
        return f"http://{host}:{self._test_bed.port + 1}{path}"

    async def wait_until_ready(self) -> None:
        """Waits until the front is ready."""

        async def ready() -> bool:
            response = await self._http.get(f"http://{FRONT}:{self._test_bed.port + 2}/ready")
            return response.status_code == 200

        await poll("a front that is ready", ready)

    async def stream(self, counts: StreamCounts) -> None:
        """Requests one stream; retries while the front rejects it with 503."""
        counts.requested += 1
        self._stream_count += 1
        headers = {
            "Host": HOST_NAME, "Request-Id": f"{self._stream_count:016x}", "Deadline-Ms": "6000",
        }  # fmt: skip
        deadline = time.monotonic() + STREAM_RETRY_LIMIT_S
        while time.monotonic() < deadline:
            response = await self._http.post(
                self._url(FRONT, "/route0/x"), headers=headers, content=b"question"
            )
            if response.status_code == 200 and response.text.count("data: ") > 0:
                counts.served += 1
                return
            if response.status_code != 503:
                return
            counts.retries += 1
            await asyncio.sleep(POLL_S)

    async def submit(self, job: str, path: str, pause_ms: int) -> None:
        """Submits a batch job until it is accepted."""
        body = base64.b64encode(b"text").decode()
        requests = [
            {"id": f"{job}-{number}", "path": path, "headers": {"Pause-Ms": str(pause_ms)}, "body": body}
            for number in range(ITEMS)
        ]
        headers = {"Host": HOST_NAME, "Request-Id": job}

        async def accepted() -> bool:
            response = await self._http.post(
                self._url(FRONT, path), headers=headers, json={"requests": requests}
            )
            return response.status_code == 202

        await poll(f"acceptance of {job}", accepted)

    async def listed(self, job: str) -> list[dict[str, Any]] | None:
        """The results so far; None while the front can't provide them."""
        response = await self._http.get(
            self._url(FRONT, f"/lots/{job}?startAfter=0"), headers={"Host": HOST_NAME}
        )
        if response.status_code == 404:
            raise JobError(job, "was accepted, but is unknown now")
        return response.json()["results"] if response.status_code == 200 else None

    async def results(self, job: str) -> list[dict[str, Any]]:
        """All results of a job, one for each item."""

        async def complete() -> list[dict[str, Any]] | None:
            found = await self.listed(job)
            return found if found is not None and len(found) >= ITEMS else None

        found: list[dict[str, Any]] = await poll(f"the results of {job}", complete)
        if sorted(result["id"] for result in found) != sorted(f"{job}-{number}" for number in range(ITEMS)):
            raise JobError(job, "not one result for each item")
        return found

    async def check_configuration(self, host: str, expected: bytes) -> None:
        """Raises MachineError unless a store machine serves the confirmed configuration."""

        async def read() -> bytes | None:
            response = await self._http.get(self._url(host, "/config"))
            return response.content if response.status_code == 200 else None

        if await poll(f"the configuration of {host}", read) != expected:
            raise MachineError(host, "serves a different configuration")
