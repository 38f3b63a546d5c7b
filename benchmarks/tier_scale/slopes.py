"""What one more sidecar, item, route, request or event costs a process of the tier.

    python -m benchmarks.tier_scale.slopes --seeds 3 --out docs/measurements/tier_scale.json

Each row is one seed at one size; a figure is the slope of the line through the sizes, by seed.
"""

import argparse
import asyncio
import json
import statistics
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import httpx

from benchmarks.tier_scale.sidecar_stand_in import start_sidecars
from benchmarks.tier_scale.stand import FRONT, HOST_NAME, Platform, Stand, Usage, configuration, entries
from crowwing.tier.configuration import parse_configuration
from crowwing.tier.front.sidecars import Part, SidecarTable
from crowwing.tier.plain_http import NO_CERTIFICATES
from crowwing.tier.platform_list import SidecarList, parse_entry
from crowwing.tier.state import events as e
from crowwing.tier.state.views import TierState
from crowwing.tier.store.leases import GRACE_S, Leases
from crowwing.tier.wire.codec import decode, encode

Row = dict[str, float]
SIDECAR_SIZES, ITEM_SIZES = (5, 60, 600, 5200), (2_000, 10_000, 40_000)
ROUTE_SIZES, EVENT_SIZES = (10, 200, 800), (2, 20, 60)
CHOICES, STEPS, REQUESTS, AT_ONCE = 200, 20, 300, 8
BODY, TEXT_BYTES = b"x" * 1600, 2800  # of an item and its result


def timed(work: Callable[[], Any]) -> float:
    """Processor milliseconds that some work takes."""
    began = time.process_time()
    work()
    return 1000 * (time.process_time() - began)


def memory_of(make: Callable[[], Any]) -> float:
    """Bytes that what is made keeps."""
    tracemalloc.start()
    kept = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size)


def sidecars(size: int, random: Random) -> Row:
    """A front's table of sidecars, and a change of the list on its way."""
    listed = SidecarList(tuple(parse_entry(entry) for entry in entries(size)))
    table = SidecarTable()
    table.zone = "z1"
    update_ms = timed(lambda: table.update(listed.sidecars))
    for state in table.of_service("advisor"):
        state.tell_load(0.0, random.randrange(40), 0, 48)
    parts = (Part("shared", 13_300), Part("own", 3_700))

    def choose() -> None:
        for _ in range(CHOICES):
            table.choose("advisor", parts, 0.1)

    def steer() -> None:
        for step in range(STEPS):
            now = 1.0 + step
            table.places("advisor", now)
            table.load("advisor", now)
            table.survived("advisor", now)
            table.silent(now)

    document = encode(listed)
    return {
        "update_ms": update_ms,
        "choice_ms": timed(choose) / CHOICES,
        "steer_ms": timed(steer) / STEPS,
        "list_bytes": len(document),
        "list_read_ms": timed(lambda: decode(document)),
        "memory_bytes": memory_of(lambda: _filled(listed)),
    }


def _filled(listed: SidecarList) -> SidecarTable:
    table = SidecarTable()
    table.update(listed.sidecars)
    return table


def items(size: int, random: Random) -> Row:
    """Items at the primary: taken, leased, ended, dumped. One lot has 200 items."""
    lots = [_lot(number, random) for number in range(size // 200)]
    state, leases = TierState(), Leases(0.0)
    entries_ = [encode(lot) for lot in lots]
    results = [encode(_result(lot, item)) for lot in lots for item in lot.items]

    def take() -> None:
        for lot, entry in zip(lots, entries_, strict=True):
            encode(lot)
            state.apply(entry, 1)
            leases.add_lot(state.lots[lot.lot])

    def lease() -> None:
        while leases.lease(state, "front", 4, GRACE_S, lambda lot: False):
            pass

    def end() -> None:
        for result in results:
            state.apply(result, 1)

    figures = {"take_ms": timed(take), "lease_ms": timed(lease), "end_ms": timed(end)}
    figures["freeze_ms"] = timed(state.freeze)
    figures["dump_ms"] = timed(lambda: list(state.freeze()))
    figures["log_bytes"] = sum(len(entry) for entry in (*entries_, *results))
    figures["memory_bytes"] = memory_of(lambda: _replayed(entries_, results))
    return figures


def _lot(number: int, random: Random) -> e.LotTaken:
    headers = (("Model", "m"), ("Token-Usage", "540,400"), ("Prompt-Prefix", "9c2e41:300,5d07b8:240"))
    made = tuple(
        e.Item(f"{random.getrandbits(64):016x}", "/lot/3/91c4", headers, BODY, 940) for _ in range(200)
    )
    return e.LotTaken(f"lot{number}", HOST_NAME, "/lot/", made, 0)


def _result(lot: e.LotTaken, item: e.Item) -> e.ItemsEnded:
    return e.ItemsEnded(lot.lot, (e.Result(item.id, e.COMPLETED, "y" * TEXT_BYTES),))


def _replayed(taken: list[bytes], ended: list[bytes]) -> TierState:
    state = TierState()
    for entry in (*taken, *ended):
        state.apply(entry, 1)
    return state


def routes(size: int, random: Random) -> Row:
    """A configuration, read by a front."""
    text = configuration(1, size)
    return {"bytes": len(text), "parse_ms": timed(lambda: parse_configuration(text))}


async def _requests(events: int, folder: Path) -> Row:
    platform = Platform(await start_sidecars(4))
    async with Stand(folder, 0, platform) as stand:
        await stand.put(0, 1)
        url = f"http://{FRONT}:{stand.port + 1}/route0/x"
        headers = {"Host": HOST_NAME, "Events": str(events), "Deadline-Ms": "9000"}
        limits = httpx.Limits(max_connections=AT_ONCE)
        async with httpx.AsyncClient(
            trust_env=False, verify=NO_CERTIFICATES, timeout=20, limits=limits
        ) as client:

            async def ask(number: int) -> int:
                told = {**headers, "Request-Id": f"{number:016x}"}
                return (await client.post(url, headers=told, content=b"q" * 700)).status_code

            while await ask(10**6) != 200:
                await asyncio.sleep(0.2)
            before = Usage.of(stand.processes[FRONT].pid)
            began = time.monotonic()
            statuses = await asyncio.gather(*(ask(number) for number in range(REQUESTS)))
            span = time.monotonic() - began
            taken = Usage.of(stand.processes[FRONT].pid).cpu_s - before.cpu_s
    served = sum(status == 200 for status in statuses)
    return {"request_ms": 1000 * taken / served, "served": served, "span_s": span}


def requests(size: int, random: Random) -> Row:
    """Streams through a real front to stand-in sidecars; `size` events each."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_requests(size, Path(folder)))


MEASURES: dict[str, tuple[Callable[[int, Random], Row], tuple[int, ...]]] = {
    "sidecars": (sidecars, SIDECAR_SIZES),
    "items": (items, ITEM_SIZES),
    "routes": (routes, ROUTE_SIZES),
    "requests": (requests, EVENT_SIZES),
}


def worked_out(rows: dict[str, list[Row]]) -> dict[str, dict[str, float]]:
    """The slope (`NAME_FIELD_each`) and start (`NAME_FIELD_base`) of each field, over the seeds."""
    figures: dict[str, dict[str, float]] = {}
    for name, some in rows.items():
        for field in some[0].keys() - {"x", "seed"}:
            lines = [
                statistics.linear_regression(
                    [row["x"] for row in some if row["seed"] == seed],
                    [row[field] for row in some if row["seed"] == seed],
                )
                for seed in sorted({row["seed"] for row in some})
            ]
            for end, values in (("each", [x.slope for x in lines]), ("base", [x.intercept for x in lines])):
                figures[f"{name}_{field}_{end}"] = {
                    "value": statistics.median(values),
                    "least": min(values),
                    "most": max(values),
                }
    return dict(sorted(figures.items()))


def main() -> None:
    """Measures all and writes rows and figures."""
    told = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    told.add_argument("--seeds", type=int, default=3)
    told.add_argument("--out", type=Path)
    words = told.parse_args()
    rows: dict[str, list[Row]] = {}
    for name, (measure, sizes) in MEASURES.items():
        for seed in range(words.seeds):
            for size in sizes:
                row = {"x": size, "seed": seed, **measure(size, Random(seed))}
                rows.setdefault(name, []).append(row)
                print(name, json.dumps(row), flush=True)
    if words.out is not None:
        held = json.loads(words.out.read_text()) if words.out.exists() else {}
        held["slopes"] = {"rows": rows, "figures": worked_out(rows)}
        words.out.write_text(json.dumps(held, indent=1) + "\n")


if __name__ == "__main__":
    main()
