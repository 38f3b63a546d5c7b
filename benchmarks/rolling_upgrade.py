"""Tests rolling upgrades of a tier, in both directions, between this checkout and another one.

`python -m benchmarks.rolling_upgrade OTHER_CHECKOUT` runs a tier of processes on loopback (three store
machines, one front) with the program of the other checkout, replaces the store machines one by one with
the program of this one, then the front, and then does the same in reverse. In each direction it checks that

- a configuration that was confirmed before the upgrade is in force after it,
- batch jobs that were accepted before are completed after: one whose items run during the upgrade, and one
  whose items can start only after it,
- streams are served throughout, also by a front of the old version with stores of the new one,
- the new front, with stores of its version, returns the same results of the jobs.

The second direction continues on the same files, so each version opens the files of the other. Exits with 1
if a check fails.
"""

import argparse
import asyncio
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

import httpx

from benchmarks.tier_test_bed.client import ITEMS, Client, JobError, MachineError, StreamCounts, TierError
from benchmarks.tier_test_bed.processes import (
    FRONT,
    ROOT,
    SERVICE,
    STORES,
    NotAcknowledgedError,
    Platform,
    TestBed,
    configuration,
    environment_of,
)
from benchmarks.tier_test_bed.stub_sidecars import start_sidecars
from crowwing.tier.http_client import NO_CERTIFICATES

SIDECARS = 2
SLOW_PAUSE_MS = 400  # between the events of an item that runs during the upgrade; about 2 s in total
STREAM_INTERVAL_S = 0.1
CATCH_UP_S = 2.0  # for a store machine to catch up before the next one is replaced


@dataclass(frozen=True)
class Version:
    """One of the two programs."""

    name: str
    checkout: Path


class Upgrade:
    """One direction: from a tier that runs `old` to one that runs `new`."""

    def __init__(self, test_bed: TestBed, client: Client, number: int, old: Version, new: Version) -> None:
        """`number`: of the direction, from 1; it is part of names and versions."""
        self._test_bed, self._client, self._number = test_bed, client, number
        self._old, self._new = old, new
        self.streams = StreamCounts()

    async def run(self) -> None:
        """Runs the upgrade in this direction; raises TierError if a check fails."""
        client, number = self._client, self._number
        expected = configuration(number, pending_service=f"held-{number}")
        await self._test_bed.put_text(number - 1, number, expected)
        await client.wait_until_ready()
        await self._serve_one("before")
        running, pending_job = f"running-{number}", f"held-{number}"
        await client.submit(pending_job, "/held/x", 1)
        await client.submit(running, "/lot/x", SLOW_PAUSE_MS)
        self._report(f"configuration {number} is confirmed, two jobs of {ITEMS} items are accepted")

        stream_task = asyncio.ensure_future(self._request_streams())
        await self._replace_stores(expected)
        if await client.listed(pending_job):
            raise JobError(pending_job, "had results before its sidecars were listed")
        self._test_bed.platform.add(await start_sidecars(SIDECARS, f"held-{number}"))
        results_before = {job: await client.results(job) for job in (running, pending_job)}
        stream_task.cancel()
        await asyncio.gather(stream_task, return_exceptions=True)
        await self._serve_one(f"front of {self._old.name}, stores of {self._new.name}")
        self._report(f"both jobs are complete: front of {self._old.name}, stores of {self._new.name}")

        await self._replace(FRONT)
        await client.wait_until_ready()
        await self._serve_one(f"front of {self._new.name}")
        for job, results in results_before.items():
            if await client.results(job) != results:
                raise JobError(job, "other results after the front was replaced")
        if self.streams.served != self.streams.requested:
            raise MachineError(FRONT, f"served {self.streams.served} of {self.streams.requested} streams")
        self._report(
            f"front of {self._new.name} serves; {self.streams.served} of {self.streams.requested} streams "
            f"were served, {self.streams.retries} retries"
        )

    async def _replace_stores(self, expected: bytes) -> None:
        """Replaces the stores one by one, each after the one before serves the configuration."""
        for host in STORES:
            await self._replace(host)
            await self._client.check_configuration(host, expected)
            await asyncio.sleep(CATCH_UP_S)
            self._report(f"store {host} runs {self._new.name}, with the confirmed configuration")

    async def _replace(self, host: str) -> None:
        status = await asyncio.to_thread(self._test_bed.terminate, host)
        if status != 0:
            raise MachineError(host, f"exited with status {status}")
        self._test_bed.launch(host, self._new.checkout)

    async def _serve_one(self, when: str) -> None:
        counts = StreamCounts()
        await self._client.stream(counts)
        if not counts.served:
            raise MachineError(FRONT, f"served no stream: {when}")

    async def _request_streams(self) -> None:
        """Requests streams one after the other; shielded, so that cancellation doesn't abort a stream."""
        while True:
            await asyncio.shield(self._client.stream(self.streams))
            await asyncio.sleep(STREAM_INTERVAL_S)

    def _report(self, text: str) -> None:
        print(f"{self._old.name} -> {self._new.name}: {text}", flush=True)


def check_checkout(version: Version) -> None:
    """Raises TierError unless processes of a version import its own program."""
    found = subprocess.run(
        [sys.executable, "-c", "import crowwing; print(crowwing.__file__)"],
        cwd=version.checkout,
        env=environment_of(version.checkout),
        check=True,
        capture_output=True,
        text=True,
    ).stdout.strip()
    if Path(found).resolve().parents[1] != version.checkout.resolve():
        raise MachineError(version.name, f"would import {found}")


async def run(folder: Path, other: Version, own: Version) -> None:
    """Upgrades one tier in both directions."""
    for version in (other, own):
        check_checkout(version)
    platform = Platform(await start_sidecars(SIDECARS, SERVICE))
    http = httpx.AsyncClient(trust_env=False, verify=NO_CERTIFICATES, timeout=10)
    async with TestBed(folder, platform, other.checkout) as test_bed, http:
        client = Client(test_bed, http)
        await Upgrade(test_bed, client, 1, other, own).run()
        await Upgrade(test_bed, client, 2, own, other).run()


def main() -> int:
    """The command."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("other", type=Path, help="checkout of the other version")
    other = Version("other", parser.parse_args().other.resolve())
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        try:
            asyncio.run(run(folder, other, Version("own", ROOT)))
        except (TierError, NotAcknowledgedError, subprocess.SubprocessError) as error:
            print(f"failed: {error}")
            for path in sorted(folder.glob("*.log")):
                print(f"--- {path.name}\n{path.read_text()[-1500:]}")
            return 1
    print("a rolling upgrade works both ways")
    return 0


if __name__ == "__main__":
    sys.exit(main())
