"""A rolling upgrade of a tier, both ways, between this checkout and another one.

`python -m benchmarks.rolling_upgrade OTHER_CHECKOUT` runs a tier of processes on loopback (three store
machines, one front) with the program of the other checkout, replaces the store machines one by one with
the program of this one, then the front, and then does the same back. Each process runs in its own checkout.
In each direction it checks that

- a configuration that was confirmed before is in force after,
- batch jobs that were accepted before are completed after: one whose items run during the upgrade, and one
  whose items can begin only after it,
- streams are served all the time, by a front of the old version before stores of the new one as well,
- the new front, before stores of its version, gives the same results of the jobs.

The second direction starts where the first one ended, so each version opens the files of the other. Ends
with 1 where a check fails.
"""

import argparse
import asyncio
import base64
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import httpx

from benchmarks.tier_stand.sidecar_stand_in import start_sidecars
from benchmarks.tier_stand.stand import (
    FRONT,
    HOST_NAME,
    ROOT,
    SERVICE,
    STORES,
    NotAcknowledgedError,
    Platform,
    Stand,
    configuration,
    environment_of,
)
from crowwing.tier.plain_http import NO_CERTIFICATES

SIDECARS = 2
ITEMS = 60
SLOW_PAUSE_MS = 400  # between the events of an item that runs during the upgrade: about two seconds in all
STREAM_INTERVAL_S = 0.1
STREAM_RETRY_LIMIT_S = 6.0
REJOIN_S = 2.0  # for a store machine to catch up before the next one is replaced
LIMIT_S = 40.0
POLL_S = 0.1


class UpgradeError(Exception):
    """A check failed."""


class TooLateError(UpgradeError):
    """Something did not come in time."""

    def __init__(self, what: str) -> None:
        """Names what was waited for."""
        super().__init__(f"{what}: not within {LIMIT_S:.0f} s")


class JobError(UpgradeError):
    """A batch job is not what it has to be."""

    def __init__(self, job: str, found: str) -> None:
        """Names the job and what was found."""
        super().__init__(f"{job}: {found}")


class MachineError(UpgradeError):
    """A process does not do what it has to do."""

    def __init__(self, host: str, found: str) -> None:
        """Names the host and what was found."""
        super().__init__(f"{host}: {found}")


@dataclass(frozen=True)
class Version:
    """One of the two programs."""

    name: str
    checkout: Path


@dataclass
class StreamCounts:
    """Streams that were asked for while the tier was being upgraded."""

    asked: int = 0
    served: int = 0
    retries: int = 0


async def poll(what: str, read: Callable[[], Awaitable[Any]]) -> Any:  # noqa: ANN401  whatever `read` gives
    """Reads until the answer is true; raises UpgradeError after a limit."""
    deadline = time.monotonic() + LIMIT_S
    while time.monotonic() < deadline:
        try:
            if found := await read():
                return found
        except httpx.HTTPError:
            pass
        await asyncio.sleep(POLL_S)
    raise TooLateError(what)


class Client:
    """What clients and operators ask of the tier."""

    def __init__(self, stand: Stand, http: httpx.AsyncClient) -> None:
        """`http`: kept and closed by the caller."""
        self._stand, self._http = stand, http
        self._streams_asked = 0

    def _url(self, host: str, path: str) -> str:
        return f"http://{host}:{self._stand.port + 1}{path}"

    async def wait_until_ready(self) -> None:
        """Waits until the front serves."""

        async def ready() -> bool:
            answer = await self._http.get(f"http://{FRONT}:{self._stand.port + 2}/ready")
            return answer.status_code == 200

        await poll("a front that is ready", ready)

    async def stream(self, counts: StreamCounts) -> None:
        """Asks for one stream; comes back where the front refuses it."""
        counts.asked += 1
        self._streams_asked += 1
        headers = {
            "Host": HOST_NAME, "Request-Id": f"{self._streams_asked:016x}", "Deadline-Ms": "6000",
        }  # fmt: skip
        deadline = time.monotonic() + STREAM_RETRY_LIMIT_S
        while time.monotonic() < deadline:
            answer = await self._http.post(
                self._url(FRONT, "/route0/x"), headers=headers, content=b"question"
            )
            if answer.status_code == 200 and answer.text.count("data: ") > 0:
                counts.served += 1
                return
            if answer.status_code != 503:
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
            answer = await self._http.post(
                self._url(FRONT, path), headers=headers, json={"requests": requests}
            )
            return answer.status_code == 202

        await poll(f"acceptance of {job}", accepted)

    async def listed(self, job: str) -> list[dict[str, Any]] | None:
        """The results so far; None while the front can't tell."""
        answer = await self._http.get(
            self._url(FRONT, f"/lots/{job}?startAfter=0"), headers={"Host": HOST_NAME}
        )
        if answer.status_code == 404:
            raise JobError(job, "was accepted and is unknown")
        return answer.json()["results"] if answer.status_code == 200 else None

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
            answer = await self._http.get(self._url(host, "/config"))
            return answer.content if answer.status_code == 200 else None

        if await poll(f"the configuration of {host}", read) != expected:
            raise MachineError(host, "serves another configuration")


class Upgrade:
    """One direction: from a tier that runs `old` to one that runs `new`."""

    def __init__(self, stand: Stand, client: Client, number: int, old: Version, new: Version) -> None:
        """`number`: of the direction, from 1 on; it makes names and versions differ."""
        self._stand, self._client, self._number = stand, client, number
        self._old, self._new = old, new
        self.streams = StreamCounts()

    async def run(self) -> None:
        """The whole direction; raises UpgradeError where a check fails."""
        client, number = self._client, self._number
        expected = configuration(number, held_service=f"held-{number}")
        await self._stand.put_text(number - 1, number, expected)
        await client.wait_until_ready()
        await self._serve_one("before")
        running, held = f"running-{number}", f"held-{number}"
        await client.submit(held, "/held/x", 1)
        await client.submit(running, "/lot/x", SLOW_PAUSE_MS)
        self._say(f"configuration {number} is confirmed, two jobs of {ITEMS} items are accepted")

        asking = asyncio.ensure_future(self._ask_for_streams())
        await self._replace_stores(expected)
        if await client.listed(held):
            raise JobError(held, "had results before its sidecars were listed")
        self._stand.platform.add(await start_sidecars(SIDECARS, f"held-{number}"))
        first = {job: await client.results(job) for job in (running, held)}
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        await self._serve_one(f"front of {self._old.name}, stores of {self._new.name}")
        self._say(f"both jobs are complete: front of {self._old.name}, stores of {self._new.name}")

        await self._replace(FRONT)
        await client.wait_until_ready()
        await self._serve_one(f"front of {self._new.name}")
        for job, results in first.items():
            if await client.results(job) != results:
                raise JobError(job, "other results after the front was replaced")
        if self.streams.served != self.streams.asked:
            raise MachineError(FRONT, f"served {self.streams.served} of {self.streams.asked} streams")
        self._say(
            f"front of {self._new.name} serves; {self.streams.served} of {self.streams.asked} streams were "
            f"served, {self.streams.retries} retries"
        )

    async def _replace_stores(self, expected: bytes) -> None:
        """One by one; each serves the configuration before the next one ends."""
        for host in STORES:
            await self._replace(host)
            await self._client.check_configuration(host, expected)
            await asyncio.sleep(REJOIN_S)
            self._say(f"store {host} runs {self._new.name}, with the confirmed configuration")

    async def _replace(self, host: str) -> None:
        status = await asyncio.to_thread(self._stand.terminate, host)
        if status != 0:
            raise MachineError(host, f"ended with {status}")
        self._stand.launch(host, self._new.checkout)

    async def _serve_one(self, when: str) -> None:
        counts = StreamCounts()
        await self._client.stream(counts)
        if not counts.served:
            raise MachineError(FRONT, f"served no stream: {when}")

    async def _ask_for_streams(self) -> None:
        """One after the other, so that none is cut off where this ends."""
        while True:
            await asyncio.shield(self._client.stream(self.streams))
            await asyncio.sleep(STREAM_INTERVAL_S)

    def _say(self, text: str) -> None:
        print(f"{self._old.name} -> {self._new.name}: {text}", flush=True)


def check_checkout(version: Version) -> None:
    """Raises UpgradeError unless processes of a version import its own program."""
    found = subprocess.run(
        [sys.executable, "-c", "import crowwing; print(crowwing.__file__)"],
        cwd=version.checkout,
        env=environment_of(version.checkout),
        check=True,
        capture_output=True,
        text=True,
    ).stdout.strip()
    if Path(found).resolve().parents[1] != version.checkout.resolve():
        raise MachineError(version.name, f"would run {found}")


async def run(folder: Path, other: Version, own: Version) -> None:
    """Both directions, on one tier."""
    for version in (other, own):
        check_checkout(version)
    platform = Platform(await start_sidecars(SIDECARS, SERVICE))
    http = httpx.AsyncClient(trust_env=False, verify=NO_CERTIFICATES, timeout=10)
    async with Stand(folder, platform, other.checkout) as stand, http:
        client = Client(stand, http)
        await Upgrade(stand, client, 1, other, own).run()
        await Upgrade(stand, client, 2, own, other).run()


def main() -> int:
    """The command."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("other", type=Path, help="checkout of the other version")
    other = Version("other", parser.parse_args().other.resolve())
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        try:
            asyncio.run(run(folder, other, Version("own", ROOT)))
        except (UpgradeError, NotAcknowledgedError, subprocess.SubprocessError) as error:
            print(f"failed: {error}")
            for path in sorted(folder.glob("*.log")):
                print(f"--- {path.name}\n{path.read_text()[-1500:]}")
            return 1
    print("a rolling upgrade works both ways")
    return 0


if __name__ == "__main__":
    sys.exit(main())
