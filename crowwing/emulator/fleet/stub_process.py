"""A process that hosts many stub members and takes commands as JSON lines on its standard input.

    python -O -m crowwing.emulator.fleet.stub_process

The first line describes the fleet (`FleetSpec`). Each later line is `{"do": ..., "n": ...}` and is answered
in order by one line with the same `n`. The process ends at the end of its input, on `{"do": "end"}`, or with
its parent. All traffic stays on loopback.
"""

import asyncio
import gc
import random
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterable

import msgspec
import orjson
import uvloop

from crowwing.emulator.fleet import member_access
from crowwing.emulator.fleet.stub_member import Counters, StubMember, now_us, wall_us
from crowwing.emulator.fleet.topology import LinkModel, RegionLinks
from crowwing.emulator.processes import set_parent_death_signal
from crowwing.fleet.state.replica import EntryRejectedError

MAX_LINE_BYTES = 64 << 20  # limit for a line on standard input; the first one lists the whole fleet
LAG_CHECK_INTERVAL_S = 0.05  # between two measurements of the event loop's lag
ENTRY_TTL_US = 3_600_000_000  # time to live of entries put by the harness
BATCH_SIZE = 50  # members processed before control returns to the event loop


class FleetSpec(msgspec.Struct):
    """First line on standard input: the fleet."""

    seed: int
    addresses: dict[str, tuple[str, int]]  # of every member, as stub members reach it
    regions: dict[str, str]
    real: list[str]
    mine: list[str]
    fleet: dict  # settings of the fleet section except names and addresses
    ways: dict
    zones: dict[str, str] | None = None  # None: a flat fleet


class Sightings:
    """Which members have seen something, and when."""

    def __init__(self) -> None:
        self.first_seen: dict[str, int] = {}  # name -> monotonic time in µs

    def record(self, name: str) -> None:
        self.first_seen.setdefault(name, now_us())


class StubHost:
    def __init__(self, loop: asyncio.AbstractEventLoop, spec: FleetSpec) -> None:
        self.loop, self.seed, self.addresses, self.regions = loop, spec.seed, spec.addresses, spec.regions
        self.real = frozenset(spec.real)
        self.links = RegionLinks(LinkModel(**spec.ways), random.Random(f"{spec.seed}/between/{spec.mine[0]}"))
        names = list(spec.addresses)
        zones = spec.zones
        locations = None if zones is None else {name: (spec.regions[name], zones[name]) for name in names}
        self.layout = member_access.layout(locations, spec.fleet)
        self.make_member = member_access.member_factory(names, self.layout, spec.fleet)
        self.period = member_access.settings(spec.fleet).period_ms * 1000
        self.members = {name: StubMember(self, name) for name in spec.mine}
        self.watched: dict[str, Sightings] = {}  # keys whose dissemination is measured
        self.deaths: dict[str, Sightings] = {}  # members switched off by a command
        self.dead_cells: dict[str, Sightings] = {}  # cells whose members are all off
        self.down: set[str] = set()  # members off or restarting, whose death is no false report
        self.events: Counter[str] = Counter()
        self.catch_up_ms: list[float] = []  # time until ready, of members that caught up
        self.dropped: Counter[str] = Counter()
        self.fetch_counts: dict[
            str, list[int]
        ] = {}  # real member -> number, bytes in, bytes out of its fetches
        self.fetch_targets: dict[str, Counter[str]] = {}
        self.serving: set[asyncio.Task] = set()
        self.max_lag = self.lag_cpu = 0.0  # highest lag in s, and CPU time used during it
        self.previous_traffic: dict[
            str, tuple[int, int]
        ] = {}  # bytes and datagrams of each member at the last count
        self.counted_at = time.monotonic()

    async def watch_lag(self) -> None:
        """Measures the event loop's lag; if it falls behind, the measurements do not reflect the fleet."""
        while True:
            due, used = time.monotonic() + LAG_CHECK_INTERVAL_S, time.process_time()
            await asyncio.sleep(LAG_CHECK_INTERVAL_S)
            lag = time.monotonic() - due
            if lag > self.max_lag:
                self.max_lag, self.lag_cpu = lag, time.process_time() - used

    # Events of members

    def on_event(self, member: StubMember, event: str, fields: dict) -> None:
        if event == "member":
            state, name = fields["state"], fields["name"]
            if state in ("dead", "left") and (watch := self.deaths.get(name)) is not None:
                watch.record(member.name)
            event = f"{state}{'' if state != 'dead' or name in self.down else ', false'}"
        elif event == "caught_up":
            self.catch_up_ms.append(fields["took_ms"])
        elif event == "cells_out":
            for cell, watch in self.dead_cells.items():
                if member_access.reports_cell_out(fields, cell):
                    watch.record(member.name)
        self.events[event] += 1

    def on_fetch_served(self, requester: str, server: str, bytes_in: int, bytes_out: int) -> None:
        if requester in self.real:
            counts = self.fetch_counts.setdefault(requester, [0, 0, 0])
            counts[0] += 1
            counts[1] += bytes_in
            counts[2] += bytes_out
            self.fetch_targets.setdefault(requester, Counter())[server] += 1

    # Commands of the parent; each returns the response

    async def open(self, _: dict) -> dict:
        for member in self.members.values():
            await member.open()
        return {"open": len(self.members)}

    async def build(self, command: dict) -> dict:
        """Builds all members of a caught-up fleet that starts at `at` (µs, monotonic) with `go`."""
        gc.disable()
        for number, member in enumerate(self.members.values()):
            member.build(command["at"])
            member.mark_caught_up()
            if number % BATCH_SIZE == 0:
                await asyncio.sleep(0)
        gc.enable()
        gc.freeze()  # long-lived objects are not scanned again at each collection
        return {"built": len(self.members), "late_us": now_us() - command["at"]}

    async def go(self, command: dict) -> dict:
        await asyncio.sleep(max(0, (command["at"] - now_us()) / 1e6))
        for member in self.members.values():
            member.on_wake()
        return {"on": len(self.members)}

    async def off(self, command: dict) -> dict:
        """Switches `names` off and starts to record who notices."""
        self.down |= set(command["names"])
        self.deaths |= {name: Sightings() for name in command["names"]}
        self.dead_cells |= {cell: Sightings() for cell in member_access.dead_cells(self.layout, self.down)}
        for name in self._own_names(command):
            self.members[name].stop()
        return {"at": now_us()}

    async def on(self, command: dict) -> dict:
        """Starts `names` with empty memories."""
        self.down -= set(command["names"])
        for name in self._own_names(command):
            self._start(name)
        return {"at": now_us()}

    async def restart(self, command: dict) -> dict:
        """Lets `names` drain, switches them off a second later, and starts them again after `down_s`."""
        self.down |= set(command["names"])
        for name in self._own_names(command):
            self.members[name].leave()
            self.loop.call_later(1.0, self.members[name].stop)
            self.loop.call_later(1.0 + command["down_s"], self._start, name)
        self.loop.call_later(1.0 + command["down_s"], self.down.difference_update, command["names"])
        return {"at": now_us()}

    def _start(self, name: str) -> None:
        member = self.members[name]
        if member.member is None:
            member.build(now_us())
            member.on_wake()

    async def cut(self, command: dict) -> dict:
        self.links.partition(command["pairs"])
        return {"at": now_us()}

    async def heal(self, _: dict) -> dict:
        self.links.heal()
        return {"at": now_us()}

    async def put(self, command: dict) -> dict:
        """Puts each [name, key, value] of an own member; returns when it began and what was refused."""
        at, refused = now_us(), []
        for name, key, value in command["puts"]:
            if (member := self.members.get(name)) is not None:
                try:
                    member_access.put(member.member, wall_us(), key, value, ENTRY_TTL_US)
                except EntryRejectedError as error:
                    refused.append(str(error))
                member.flush()
        return {"at": at, "refused": refused}

    async def watch(self, command: dict) -> dict:
        self.watched |= {key: Sightings() for key in command["keys"]}
        return {}

    async def forget(self, _: dict) -> dict:
        self.watched.clear()
        self.deaths.clear()
        self.dead_cells.clear()
        for member in self.members.values():
            member.seen_keys.clear()
        return {}

    async def seen(self, command: dict) -> dict:
        """Returns how many members saw each key and each death, and when the last did.

        `of` limits the count for some deaths to a few members.
        """
        of = {name: set(members) for name, members in command.get("of", {}).items()}
        return {
            "keys": {key: _count_and_last(watch.first_seen.values()) for key, watch in self.watched.items()},
            "deaths": {
                name: _count_and_last(watch.first_seen.values()) for name, watch in self.deaths.items()
            },
            "cells": {
                cell: _count_and_last(watch.first_seen.values()) for cell, watch in self.dead_cells.items()
            },
            "deaths_of": {
                name: _count_and_last(at for by, at in watch.first_seen.items() if by in of[name])
                for name, watch in self.deaths.items()
                if name in of
            },
        }

    async def views(self, command: dict) -> dict:
        """Returns how many running members have a correct view, and the number of all mistakes."""
        gone, right, wrong, on = set(command["gone"]), 0, 0, 0
        dead = member_access.dead_cells(self.layout, gone)
        for number, member in enumerate(self.members.values()):
            if member.member is not None:
                mistakes = member_access.count_mistakes(member.member, gone, dead)
                on, right, wrong = on + 1, right + (mistakes == 0), wrong + mistakes
            if number % BATCH_SIZE == 0:
                await asyncio.sleep(0)
        return {"on": on, "right": right, "wrong": wrong, "at": now_us()}

    async def periods(self, _: dict) -> dict:
        """Returns the protocol periods completed by all members together."""
        return {"periods": sum(member.all_periods() for member in self.members.values())}

    async def counts(self, command: dict) -> dict:
        """Returns sums over all members since the start, the busiest member since the last call, and the
        resources used by the process."""
        sums, most_bytes, most_datagrams, speaking = Counter(), 0, 0, []
        passed, self.counted_at = time.monotonic() - self.counted_at, time.monotonic()
        for name, member in self.members.items():
            tally = member.tally
            tally.periods = member.all_periods()
            for field in Counters.__slots__:
                sums[field] += getattr(tally, field)
            now = tally.sent_bytes + tally.read_bytes + tally.stream_bytes, tally.sent + tally.read
            was = self.previous_traffic.get(name, now)
            most_bytes, most_datagrams = (
                max(most_bytes, now[0] - was[0]),
                max(most_datagrams, now[1] - was[1]),
            )
            if member.member is not None and member_access.is_speaker(member.member):
                speaking.append(now[0] - was[0])
            self.previous_traffic[name] = now
        lag, used, self.max_lag = self.max_lag, self.lag_cpu, 0.0
        on = [member.member for member in self.members.values() if member.member is not None]
        took, self.catch_up_ms = self.catch_up_ms, []
        whom = (
            {name: dict(counts) for name, counts in self.fetch_targets.items()} if command.get("whom") else {}
        )
        return {
            "at": now_us(), "cpu_s": time.process_time(), "lag_s": lag, "lag_used_s": used,
            "on": len(on), "sums": dict(sums),
            "most_bytes": most_bytes, "most_datagrams": most_datagrams, "passed_s": passed,
            "events": dict(self.events),
            "ready": sum(member.ready for member in on), "dropped": dict(self.dropped), "took_ms": took,
            "asked": self.fetch_counts, "asked_whom": whom, "speakers": len(speaking),
            "speakers_bytes": sum(speaking),
        }  # fmt: skip

    def _own_names(self, command: dict) -> list[str]:
        return [name for name in command["names"] if name in self.members]


def _count_and_last(times: Iterable[int]) -> list[int]:
    """Returns the number of times and the latest."""
    times = list(times)
    return [len(times), max(times, default=0)]


COMMANDS: dict[str, Callable] = {
    name: getattr(StubHost, name)
    for name in (
        "open", "build", "go", "off", "on", "restart", "cut", "heal", "put", "watch", "forget", "seen",
        "views", "periods", "counts",
    )
}  # fmt: skip


async def serve() -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    first = await reader.readline()
    if not first:
        return
    host = StubHost(loop, msgspec.json.decode(first, type=FleetSpec))
    lag = loop.create_task(host.watch_lag())
    while line := await reader.readline():
        command = orjson.loads(line)
        if command["do"] == "end":
            break
        answer = await COMMANDS[command["do"]](host, command)
        sys.stdout.buffer.write(orjson.dumps(answer | {"n": command["n"]}) + b"\n")
        sys.stdout.buffer.flush()
    lag.cancel()


def main() -> None:
    set_parent_death_signal()
    uvloop.run(serve())


if __name__ == "__main__":
    main()
