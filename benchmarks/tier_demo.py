"""Demonstrates a tier of real processes on loopback that loses its primary: `make demo-tier`.

Runs three store machines, one front and four stub sidecars. While streams are requested continuously, a batch
job is submitted, the primary of the store machines is killed, and the configuration is changed. Exits with 0
if every stream was served, each item of the job has exactly one result, and the change was acknowledged.
"""

import asyncio
import base64
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import httpx

from benchmarks.tier_test_bed.processes import FRONT, HOST_NAME, Platform, TestBed
from benchmarks.tier_test_bed.stub_sidecars import start_sidecars
from crowwing.tier.http_client import NO_CERTIFICATES

SIDECARS, ITEMS = 4, 100
STREAM_INTERVAL_S = 0.05
BEFORE_KILL_S, AFTER_CHANGE_S = 2.0, 2.0
JOB_TIMEOUT_S = 20.0
RETRY_TIMEOUT_S = 4.0


@dataclass
class Streams:
    """Counts of the requested streams and their outcomes."""

    requested: int = 0
    served: int = 0
    rejected: int = 0  # attempts
    slowest_s: float = 0.0
    open: set["asyncio.Task[None]"] = field(default_factory=set)


class Demo:
    """The clients of the demonstration."""

    def __init__(self, test_bed: TestBed, client: httpx.AsyncClient) -> None:
        """`client`: kept and closed by the caller."""
        self._test_bed, self._client = test_bed, client
        self._front = f"http://{FRONT}:{test_bed.port + 1}"
        self.streams = Streams()

    async def request_streams(self) -> None:
        """Starts a stream every STREAM_INTERVAL_S, whether earlier ones have ended or not."""
        while True:
            task = asyncio.ensure_future(self._request(self.streams.requested))
            self.streams.requested += 1
            self.streams.open.add(task)
            task.add_done_callback(self.streams.open.discard)
            await asyncio.sleep(STREAM_INTERVAL_S)

    async def _request(self, number: int) -> None:
        headers = {"Host": HOST_NAME, "Request-Id": f"{number:016x}", "Deadline-Ms": "6000"}
        began = time.monotonic()
        while True:
            response = await self._client.post(
                f"{self._front}/route0/x", headers=headers, content=b"question"
            )
            if response.status_code != 503 or time.monotonic() - began > RETRY_TIMEOUT_S:
                break
            self.streams.rejected += 1  # not executed, so it is retried after the time in Retry-After
            await asyncio.sleep(float(response.headers["retry-after"]))
        if response.status_code == 200:
            self.streams.served += 1
            self.streams.slowest_s = max(self.streams.slowest_s, time.monotonic() - began)

    async def wait_until_ready(self) -> None:
        """Waits until the front is ready."""
        while True:
            try:
                response = await self._client.get(f"http://{FRONT}:{self._test_bed.port + 2}/")
            except httpx.HTTPError:
                response = None
            if response is not None and response.status_code == 200:
                return
            await asyncio.sleep(0.1)

    async def submit_batch_job(self, job_id: str) -> None:
        """Submits a batch job until it is accepted."""
        body = base64.b64encode(b"text").decode()
        requests = [
            {"id": f"{job_id}-{n}", "path": "/lot/x", "headers": {}, "body": body} for n in range(ITEMS)
        ]
        headers = {"Host": HOST_NAME, "Request-Id": job_id}
        while True:
            response = await self._client.post(
                f"{self._front}/lot/x", headers=headers, json={"requests": requests}
            )
            if response.status_code == 202:
                return
            await asyncio.sleep(0.1)

    async def read_batch_job(self, job_id: str) -> list[str]:
        """The ids of the items with a result, once all have one or the time-out expires."""
        deadline = time.monotonic() + JOB_TIMEOUT_S
        while True:
            url = f"{self._front}/lots/{job_id}?startAfter=0"
            response = await self._client.get(url, headers={"Host": HOST_NAME})
            results = response.json()["results"] if response.status_code == 200 else []
            if len(results) == ITEMS or time.monotonic() > deadline:
                return [result["id"] for result in results]
            await asyncio.sleep(0.2)


async def run_demo(folder: Path) -> bool:
    """Runs the demonstration; returns whether it succeeded."""
    platform = Platform(await start_sidecars(SIDECARS))
    client = httpx.AsyncClient(trust_env=False, verify=NO_CERTIFICATES, timeout=10)
    async with TestBed(folder, platform) as test_bed, client:
        demo = Demo(test_bed, client)
        await test_bed.put(0, 1)
        await demo.wait_until_ready()
        print("configuration 1 is in force, the front is ready")
        stream_task = asyncio.ensure_future(demo.request_streams())
        await asyncio.sleep(BEFORE_KILL_S)
        await demo.submit_batch_job("lot-1")
        killed = test_bed.primary()
        test_bed.kill(killed)
        killed_at = time.time()
        print(f"a batch job of {ITEMS} items is accepted; the primary {killed} is killed")
        acknowledged_s = await test_bed.put(1, 2) - killed_at
        print(f"configuration 2 is acknowledged {acknowledged_s:.2f} s later by the others")
        results = await demo.read_batch_job("lot-1")
        await asyncio.sleep(AFTER_CHANGE_S)
        stream_task.cancel()
        await asyncio.gather(*demo.streams.open)
    streams = demo.streams
    print(
        f"streams: {streams.served} of {streams.requested} served, the slowest in {streams.slowest_s:.2f} s, "
        f"{streams.rejected} attempts rejected"
    )
    print(f"batch job: {len(set(results))} of {ITEMS} items have a result, at {len(results)} positions")
    return streams.served == streams.requested and len(results) == len(set(results)) == ITEMS


def main() -> int:
    """The command."""
    with tempfile.TemporaryDirectory() as folder:
        return 0 if asyncio.run(run_demo(Path(folder))) else 1


if __name__ == "__main__":
    sys.exit(main())
