"""What clients and operators ask of a tier that runs on a stand."""

import asyncio
import base64
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import httpx

from benchmarks.tier_test_bed.processes import FRONT, HOST_NAME, TestBed

ITEMS = 60  # of a batch job
STREAM_RETRY_LIMIT_S = 6.0
POLL_TIMEOUT_S = 40.0
POLL_S = 0.1


class TierError(Exception):
    """The tier does not do what it has to do."""


class PollTimeoutError(TierError):
    """Something did not come in time."""

    def __init__(self, what: str) -> None:
        """Names what was waited for."""
        super().__init__(f"{what}: not within {POLL_TIMEOUT_S:.0f} s")


class JobError(TierError):
    """A batch job is not what it has to be."""

    def __init__(self, job: str, found: str) -> None:
        """Names the job and what was found."""
        super().__init__(f"{job}: {found}")


class MachineError(TierError):
    """A process does not do what it has to do."""

    def __init__(self, host: str, found: str) -> None:
        """Names the host and what was found."""
        super().__init__(f"{host}: {found}")


@dataclass
class StreamCounts:
    """Streams that were asked for while the tier was being upgraded."""

    requested: int = 0
    served: int = 0
    retries: int = 0


async def poll(what: str, read: Callable[[], Awaitable[Any]]) -> Any:  # noqa: ANN401  whatever `read` gives
    """Reads until the answer is true; raises TierError after a limit."""
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
    """What clients and operators ask of the tier."""

    def __init__(self, test_bed: TestBed, http: httpx.AsyncClient) -> None:
        """`http`: kept and closed by the caller."""
        self._test_bed, self._http = test_bed, http
        self._stream_count = 0

    def _url(self, host: str, path: str) -> str:
        return f"http://{host}:{self._test_bed.port + 1}{path}"

    async def wait_until_ready(self) -> None:
        """Waits until the front serves."""

        async def ready() -> bool:
            response = await self._http.get(f"http://{FRONT}:{self._test_bed.port + 2}/ready")
            return response.status_code == 200

        await poll("a front that is ready", ready)

    async def stream(self, counts: StreamCounts) -> None:
        """Asks for one stream; comes back where the front refuses it."""
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
        """Hands a batch job in until it is accepted."""
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
        """The results so far; None while the front can't tell."""
        response = await self._http.get(
            self._url(FRONT, f"/lots/{job}?startAfter=0"), headers={"Host": HOST_NAME}
        )
        if response.status_code == 404:
            raise JobError(job, "was accepted and is unknown")
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
        """A store machine serves the configuration that was confirmed."""

        async def read() -> bytes | None:
            response = await self._http.get(self._url(host, "/config"))
            return response.content if response.status_code == 200 else None

        if await poll(f"the configuration of {host}", read) != expected:
            raise MachineError(host, "serves another configuration")
