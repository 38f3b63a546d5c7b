"""The measures of benchmarks/slopes.py: each function runs one seed and returns its rows, one per size."""

import asyncio
import os
import signal
import subprocess
import sys
from collections.abc import Callable, Coroutine, Iterable
from pathlib import Path

from benchmarks.slopes_loads import Load, idle_connections, measure_load, measure_pause, wait_until_quiet
from benchmarks.slopes_test_bed import CALLERS, FLEET_RATE, ROOT, TENANTS, Process, TestBed, backend_settings

PEAK_RATE = FLEET_RATE // 5200  # requests per second of one backend at the peak
STABILIZE_S = 1.0  # wait between readiness and the first reading
MAX_SOCKETS = 12_000  # descriptor limit for measures with more connections than the default allows


class MeasurePlan:
    """Sizes and durations of a measurement; a trial is shortened, and its figures are no results."""

    def __init__(self, trial: bool) -> None:
        self.trial = trial

    def sizes(self, *sizes: int) -> Iterable[int]:
        return sizes[:2] if self.trial else sizes

    def seconds(self, seconds: float) -> float:
        return min(1.0, seconds) if self.trial else seconds


def change_quotas(test_bed: TestBed) -> None:
    """Changes every tenant's quota in the configuration file."""
    for realm in test_bed.settings["realms"]:
        realm["quota_per_s"] += 1
    test_bed.write()


def request_reload(test_bed: TestBed) -> bool:
    """Signals the backend to reload its configuration."""
    test_bed.process.child.send_signal(signal.SIGHUP)
    return True


def new_load(test_bed: TestBed, keep_alive: bool = False, **changes: int) -> Load:
    return Load(test_bed.address, test_bed.seed, keep_alive, external_s=test_bed.external_s, **changes)


async def measure_size(test_bed: TestBed, plan: MeasurePlan, **options: int) -> dict:
    """Start time, memory, cost at rest, cost and latency at the peak rate, cost of a reload of new quotas."""
    await asyncio.sleep(STABILIZE_S)
    row = {
        "file_bytes": test_bed.size, "start_ms": round(test_bed.start_ms, 1),
        "ready_ms": round(test_bed.ready_ms, 1),
        "rss_kb": test_bed.process.memory_kb(),
    }  # fmt: skip
    rest = await measure_load(test_bed, new_load(test_bed), 0, plan.seconds(2), lambda: None)
    load = new_load(test_bed, **options)
    loaded = await measure_load(test_bed, load, PEAK_RATE, plan.seconds(5), load.request)
    change_quotas(test_bed)
    pauses = await measure_pause(
        test_bed, lambda: request_reload(test_bed), lambda: test_bed.events("reloaded")
    )
    change_quotas(test_bed)
    cpu_ms = test_bed.process.cpu_ms()
    request_reload(test_bed)
    await test_bed.wait_for(lambda: len(test_bed.events("reloaded")) > 1)
    cpu_ms = test_bed.process.cpu_ms() - cpu_ms
    return row | pauses | {
        "rest_ms_per_s": rest["cpu_ms_per_s"], "ticket_ms_per_s": loaded["cpu_ms_per_s"],
        "ticket_us": round((loaded["cpu_ms_per_s"] - rest["cpu_ms_per_s"]) / loaded["per_s"] * 1000, 1),
        "added_50_ms": loaded.get("added_50_ms"), "added_99_ms": loaded.get("added_99_ms"),
        "asked": loaded["asked"], "settled": loaded["settled"], "unanswered": loaded["unanswered"],
        "busy": loaded["busy"],
        "reload_cpu_ms": round(cpu_ms, 1),
        "reload_rss_kb": test_bed.process.memory_kb(), "rss_most_kb": test_bed.process.memory_kb("VmHWM"),
    }  # fmt: skip


async def tenants(seed: int, folder: Path, plan: MeasurePlan) -> list[dict]:
    rows = []
    for size in plan.sizes(1, 1000, 10_000, 50_000, TENANTS):
        async with TestBed(folder, seed, backend_settings(tenants=size)) as test_bed:
            rows.append({"x": size} | await measure_size(test_bed, plan, tenants=size))
    return rows


async def types(seed: int, folder: Path, plan: MeasurePlan) -> list[dict]:
    rows = []
    for size in plan.sizes(1, 10, 56, 200, 1000):
        async with TestBed(folder, seed, backend_settings(types=size)) as test_bed:
            rows.append({"x": size} | await measure_size(test_bed, plan, types=size))
    return rows


async def types_all(seed: int, folder: Path, plan: MeasurePlan) -> list[dict]:
    """All routes as request classes of one backend: start time and cost at rest."""
    rows = []
    for size in plan.sizes(1000, 10_000, 78_000):
        async with TestBed(folder, seed, backend_settings(types=size)) as test_bed:
            await asyncio.sleep(STABILIZE_S)
            rest = await measure_load(test_bed, new_load(test_bed), 0, plan.seconds(2), lambda: None)
            rows.append(
                {"x": size, "file_bytes": test_bed.size, "start_ms": round(test_bed.start_ms, 1)}
                | {"rss_kb": rest["rss_kb"], "rest_ms_per_s": rest["cpu_ms_per_s"]}
            )
    return rows


async def idle(seed: int, folder: Path, plan: MeasurePlan) -> list[dict]:
    rows = []
    for size in plan.sizes(0, 500, 1000, 4000):
        async with TestBed(folder, seed, backend_settings(), sockets=MAX_SOCKETS) as test_bed:
            callers = await idle_connections(test_bed, size)
            await asyncio.sleep(STABILIZE_S)
            row = await measure_load(test_bed, new_load(test_bed), 0, plan.seconds(4), lambda: None)
            rows.append(row | {"x": size})
            for caller in callers:
                caller.transport.close()
    return rows


async def measure_rates(
    test_bed: TestBed, plan: MeasurePlan, operation: str, seconds: float, *rates: int, **options: object
) -> list[dict]:
    """Runs one kind of load at several rates in turn on one backend."""
    rows = []
    for rate in plan.sizes(*rates):
        load = new_load(test_bed, **options)
        rows.append(await measure_load(test_bed, load, rate, plan.seconds(seconds), getattr(load, operation)))
    return rows


async def opened(seed: int, folder: Path, plan: MeasurePlan) -> list[dict]:
    async with TestBed(folder, seed, backend_settings()) as test_bed:
        return await measure_rates(test_bed, plan, "connect_only", 5, 0, 200, 400, keep_alive=False)


async def checks(seed: int, folder: Path, plan: MeasurePlan) -> list[dict]:
    async with TestBed(folder, seed, backend_settings()) as test_bed:
        return await measure_rates(test_bed, plan, "health_check", 5, 0, 100, 400, 800, keep_alive=False)


async def ticket_kept(seed: int, folder: Path, plan: MeasurePlan) -> list[dict]:
    async with TestBed(folder, seed, backend_settings()) as test_bed:
        return await measure_rates(test_bed, plan, "request", 8, 0, 57, PEAK_RATE, 226, keep_alive=True)


async def ticket_new(seed: int, folder: Path, plan: MeasurePlan) -> list[dict]:
    async with TestBed(folder, seed, backend_settings()) as test_bed:
        return await measure_rates(test_bed, plan, "request", 8, 0, 57, PEAK_RATE, 226, keep_alive=False)


async def ticket_call(seed: int, folder: Path, plan: MeasurePlan) -> list[dict]:
    """Each request makes one downstream call."""
    async with TestBed(folder, seed, backend_settings(calls=True)) as test_bed:
        return await measure_rates(test_bed, plan, "request", 8, 0, 57, PEAK_RATE, keep_alive=False)


async def callers(seed: int, folder: Path, plan: MeasurePlan) -> list[dict]:
    """Requests at the peak rate, by the number of callers."""
    rows = []
    for size in plan.sizes(10, 1000, CALLERS):
        async with TestBed(folder, seed, backend_settings()) as test_bed:
            load = new_load(test_bed, callers=size)
            row = await measure_load(test_bed, load, PEAK_RATE, plan.seconds(8), load.request)
            rows.append(row | {"x": size})
    return rows


async def floor(seed: int, folder: Path, plan: MeasurePlan) -> list[dict]:
    """The same load on an echo server: the part of the latencies that the measurement itself adds."""
    rows = []
    for keep_alive in (True, False):
        host = f"127.63.{os.getpid() % 250 + 1}.{1 + keep_alive}"
        server = Process(
            [sys.executable, "-O", "-m", "benchmarks.slopes_test_bed", host],
            os.environ | {"PYTHONPATH": str(ROOT)},
            folder / "echo.log",
        )
        try:
            await asyncio.sleep(STABILIZE_S)
            load = Load((host, 7001), seed, keep_alive)
            await wait_until_quiet()
            await load.run(PEAK_RATE, plan.seconds(10), load.request)
            rows.append({"x": int(keep_alive), "unanswered": await load.drain()} | load.latency_percentiles())
        finally:
            server.end()
    return rows


async def reports(seed: int, folder: Path, plan: MeasurePlan) -> list[dict]:
    """Cost of reports at the regular rate, and at the higher rate that 503 from the control plane causes."""
    rows = []
    for answer in (b"204 No Content", b"503 Service Unavailable\r\nContent-Length: 0"):
        async with TestBed(folder, seed, backend_settings()) as test_bed:
            test_bed.control_response = b"HTTP/1.1 %s\r\n\r\n" % answer
            await asyncio.sleep(STABILIZE_S)
            before, links = len(test_bed.reports), test_bed.control_links
            row = await measure_load(test_bed, new_load(test_bed), 0, plan.seconds(10), lambda: None)
            received = test_bed.reports[before:]
            per_s = (len(received) - 1) / (received[-1][0] - received[0][0])
            size = sum(bytes_ for _, bytes_ in received) / len(received)
            links = (test_bed.control_links - links) / len(received)
            rows.append(row | {"x": round(per_s, 3), "report_bytes": size, "links": round(links, 2)})
    return rows


async def log_lines(seed: int, folder: Path, plan: MeasurePlan) -> list[dict]:
    """Cost of the `figures` log lines, by the interval set in the operator file."""
    rows = []
    for every_ms in plan.sizes(5000, 1000, 200):
        async with TestBed(folder, seed, backend_settings(), figures_ms=every_ms) as test_bed:
            lines = len(test_bed.events("figures"))
            row = await measure_load(test_bed, new_load(test_bed), 0, plan.seconds(10), lambda: None)
            lines = len(test_bed.events("figures")) - lines
            last = [line for line in test_bed.log.read_bytes().splitlines() if b'"event":"figures"' in line]
            size = len(last[-1]) + 1 if last else None
            rows.append(row | {"x": round(1000 / every_ms, 2), "lines": lines, "line_bytes": size})
    return rows


MEASURES: dict[str, Callable[[int, Path, MeasurePlan], Coroutine]] = {
    "tenants": tenants, "types": types, "types_all": types_all, "idle": idle, "opened": opened,
    "checks": checks, "ticket_kept": ticket_kept, "ticket_new": ticket_new, "ticket_call": ticket_call,
    "callers": callers, "floor": floor, "reports": reports, "log_lines": log_lines,
}  # fmt: skip


def describe_machine() -> dict:
    """Processors, Python version and commit of the measurement."""
    python = sys.version.split()[0]
    commit = subprocess.run(["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True, text=True)
    return {"processors": os.cpu_count(), "python": python, "commit": commit.stdout.strip()}
