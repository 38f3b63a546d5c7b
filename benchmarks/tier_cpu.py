"""Compares the tier's processor time with that of another checkout: `python -m benchmarks.tier_cpu OTHER`.

Measured for each version in turn (other, own, other, own, ...), in separate processes:

- one request at a front, and one item of a batch job at the store machines, by the processor time of these
  processes while they serve clients over HTTP,
- decoding and encoding a recorded message, and a complete simulated run of the control side,
- the start of a role: importing its main module.

Prints medians with minimum and maximum, and the median of the pairwise ratios. The figures depend on other
load on the machine, which is printed with them.
"""

import argparse
import asyncio
import json
import os
import resource
import subprocess
import sys
import tempfile
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median

import httpx

from benchmarks.tier_test_bed.client import ITEMS, Client, MachineError, StreamCounts
from benchmarks.tier_test_bed.processes import FRONT, ROOT, SERVICE, STORES, Platform, TestBed, environment_of
from benchmarks.tier_test_bed.stub_sidecars import start_sidecars
from crowwing.tier.http_client import NO_CERTIFICATES

ROUNDS = 5
SIDECARS = 2
CONCURRENCY, STREAMS, WARM_UP_STREAMS, JOBS = 8, 2000, 200, 20
SNIPPETS = Path(__file__).with_name("tier_cpu_snippets.py")
MESSAGES = ROOT / "tests" / "tier" / "recorded" / "messages.json"
ROLES = ("store", "front")
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
USER_TIME_FIELD = 11  # of /proc/PID/stat behind the command's name; the next one is the system's time
MICROSECONDS = 1_000_000


@dataclass
class Figures:
    """Processor seconds of one version by measure, one value per round."""

    checkout: Path
    seconds: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))

    def add(self, figures: dict[str, float]) -> None:
        """Adds the figures of one round."""
        for name, seconds in figures.items():
            self.seconds[name].append(seconds)


def processor_seconds(process: subprocess.Popen[bytes]) -> float:
    """User and system time of a running process, with its threads."""
    text = Path(f"/proc/{process.pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[USER_TIME_FIELD]) + int(fields[USER_TIME_FIELD + 1])
    return ticks / CLOCK_TICKS_PER_S


def measure_snippet(checkout: Path, *arguments: str) -> dict[str, float]:
    """Runs a snippet in a process with a version's program; returns its figures."""
    found = subprocess.run(
        [sys.executable, "-P", str(SNIPPETS), *arguments],
        cwd=checkout,
        env=environment_of(checkout),
        check=True,
        capture_output=True,
    )
    figures: dict[str, float] = json.loads(found.stdout)
    return figures


def measure_start(checkout: Path, role: str) -> dict[str, float]:
    """Imports the main module of a role in a new process."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run(
        [sys.executable, "-c", f"import crowwing.tier.{role}.main"],
        cwd=checkout,
        env=environment_of(checkout),
        check=True,
    )
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    seconds = after.ru_utime - before.ru_utime + after.ru_stime - before.ru_stime
    return {f"start of a {role}": seconds}


async def request_streams(client: Client, count: int) -> None:
    """Requests streams, CONCURRENCY at a time; raises MachineError if one is not served."""
    counts = StreamCounts()

    async def request_some(number: int) -> None:
        for _ in range(number):
            await client.stream(counts)

    await asyncio.gather(*(request_some(count // CONCURRENCY) for _ in range(CONCURRENCY)))
    if counts.served != counts.requested:
        raise MachineError(FRONT, f"served {counts.served} of {counts.requested} streams")


async def run_jobs(client: Client) -> None:
    """Submits batch jobs and reads their results."""
    jobs = [f"job-{number}" for number in range(JOBS)]
    await asyncio.gather(*(client.submit(job, "/lot/x", 0) for job in jobs))
    await asyncio.gather(*(client.results(job) for job in jobs))


async def measure_tier(folder: Path, checkout: Path) -> dict[str, float]:
    """Processor seconds of a tier of processes that serves clients over HTTP."""
    platform = Platform(await start_sidecars(SIDECARS, SERVICE))
    http = httpx.AsyncClient(trust_env=False, verify=NO_CERTIFICATES, timeout=10)
    async with TestBed(folder, platform, checkout) as test_bed, http:
        client = Client(test_bed, http)
        await test_bed.put(0, 1)
        await client.wait_until_ready()
        await request_streams(client, WARM_UP_STREAMS)
        started_s = processor_seconds(test_bed.processes[FRONT])
        await request_streams(client, STREAMS)
        front = processor_seconds(test_bed.processes[FRONT]) - started_s
        started_s = sum(processor_seconds(test_bed.processes[host]) for host in STORES)
        await run_jobs(client)
        stores = sum(processor_seconds(test_bed.processes[host]) for host in STORES) - started_s
    return {"request at a front": front / STREAMS, "item at the stores": stores / (JOBS * ITEMS)}


def measure(checkout: Path) -> dict[str, float]:
    """One round of one version."""
    figures = measure_snippet(checkout, "codec", str(MESSAGES))
    figures |= measure_snippet(checkout, "play")
    for role in ROLES:
        figures |= measure_start(checkout, role)
    with tempfile.TemporaryDirectory() as folder:
        figures |= asyncio.run(measure_tier(Path(folder), checkout))
    return figures


def format_row(name: str, other: list[float], own: list[float]) -> str:
    """A row of the table, in microseconds."""
    columns = [name.ljust(20)]
    for seconds in (other, own):
        low, middle, high = (x * MICROSECONDS for x in (min(seconds), median(seconds), max(seconds)))
        columns.append(f"{middle:12.1f} ({low:.1f} to {high:.1f})".ljust(42))
    ratios = [mine / theirs for theirs, mine in zip(other, own, strict=True)]
    columns.append(f"{median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f})")
    return " ".join(columns)


def main() -> int:
    """The command."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("other", type=Path, help="checkout of the other version")
    parser.add_argument("--rounds", type=int, default=ROUNDS)
    options = parser.parse_args()
    other, own = Figures(options.other.resolve()), Figures(ROOT)
    loads = [os.getloadavg()[0]]
    for _ in range(options.rounds):
        for version in (other, own):
            version.add(measure(version.checkout))
            loads.append(os.getloadavg()[0])
    print(f"load of the machine: {min(loads):.1f} to {max(loads):.1f}, {os.cpu_count()} cores")
    print("microseconds".ljust(20), "other".ljust(42), "own".ljust(42), "own / other, by pairs")
    for name, seconds in other.seconds.items():
        print(format_row(name, seconds, own.seconds[name]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
