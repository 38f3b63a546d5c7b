"""A process that hosts many hollow members, told what to do by lines of JSON on its standard input.

    python -O -m crowwing.emulator.fleet.stub_process

The first line says the fleet (`Told`); each later one is `{"do": ..., "n": ...}` and is answered by one line
with the same `n`, in order. It ends with its input, with `{"do": "end"}`, or with its parent. What is sent
stays on loopback.
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
from crowwing.emulator.fleet.stub_member import Hollow, Tally, now_us, wall_us
from crowwing.emulator.fleet.topology import Between, Ways
from crowwing.emulator.processes import set_parent_death_signal
from crowwing.fleet.state.replica import EntryRejectedError

LINE_MOST = 64 << 20  # bytes of one line on standard input: the first names the whole fleet
LOOK_S = 0.05  # between two looks at how late the loop is
LIFE = 3_600_000_000  # µs, of what is put in
SLICE = 50  # members built or looked at before the loop has its turn


class Told(msgspec.Struct):
    """The first line."""

    seed: int
    addresses: dict[str, tuple[str, int]]  # of every member, as hollow ones reach it
    regions: dict[str, str]
    real: list[str]
    mine: list[str]
    fleet: dict  # the fleet section's settings but for names and addresses
    ways: dict
    zones: dict[str, str] | None = None  # None: a flat fleet


class Watch:
    """Who saw something, and when."""

    def __init__(self) -> None:
        self.by: dict[str, int] = {}  # name -> µs on the machine's monotonic clock; the first time counts

    def saw(self, name: str) -> None:
        self.by.setdefault(name, now_us())


class Host:
    def __init__(self, loop: asyncio.AbstractEventLoop, told: Told) -> None:
        self.loop, self.seed, self.addresses, self.regions = loop, told.seed, told.addresses, told.regions
        self.real = frozenset(told.real)
        self.between = Between(Ways(**told.ways), random.Random(f"{told.seed}/between/{told.mine[0]}"))
        names = list(told.addresses)
        zones = told.zones
        places = None if zones is None else {name: (told.regions[name], zones[name]) for name in names}
        self.layout = member_access.layout(places, told.fleet)
        self.make = member_access.maker(names, self.layout, told.fleet)
        self.period = member_access.settings(told.fleet).period_ms * 1000
        self.members = {name: Hollow(self, name) for name in told.mine}
        self.watched: dict[str, Watch] = {}  # keys, until they are no longer asked for
        self.deaths: dict[str, Watch] = {}  # members that are said to be off
        self.dead_cells: dict[str, Watch] = {}  # cells all of whose members are
        self.gone: set[str] = set()  # members that are off, or will not be thought of as false deaths
        self.events: Counter[str] = Counter()
        self.took: list[float] = []  # ms not ready, of those who caught up
        self.dropped: Counter[str] = Counter()
        self.asked: dict[str, list[int]] = {}  # a real member -> times, bytes in, bytes out of its fetches
        self.asked_whom: dict[str, Counter[str]] = {}
        self.serving: set[asyncio.Task] = set()  # emptied by each one's end
        self.lag_most = self.lag_used = 0.0  # s late, and what of that this process had the processor
        self.before: dict[str, tuple[int, int]] = {}  # each member's bytes and datagrams at the last count
        self.counted_at = time.monotonic()

    async def watch_lag(self) -> None:
        """How late this loop comes to what was due: where it falls behind, what is measured is no fleet's."""
        while True:
            due, used = time.monotonic() + LOOK_S, time.process_time()
            await asyncio.sleep(LOOK_S)
            lag = time.monotonic() - due
            if lag > self.lag_most:
                self.lag_most, self.lag_used = lag, time.process_time() - used

    # What members tell

    def happened(self, member: Hollow, event: str, brings: dict) -> None:
        if event == "member":
            state, name = brings["state"], brings["name"]
            if state in ("dead", "left") and (watch := self.deaths.get(name)) is not None:
                watch.saw(member.name)
            event = f"{state}{'' if state != 'dead' or name in self.gone else ', false'}"
        elif event == "caught_up":
            self.took.append(brings["took_ms"])
        elif event == "cells_out":
            for cell, watch in self.dead_cells.items():
                if member_access.told_out(brings, cell):
                    watch.saw(member.name)
        self.events[event] += 1

    def asked_by(self, asker: str, whom: str, came: int, went: int) -> None:
        if asker in self.real:
            counts = self.asked.setdefault(asker, [0, 0, 0])
            counts[0] += 1
            counts[1] += came
            counts[2] += went
            self.asked_whom.setdefault(asker, Counter())[whom] += 1

    # What the parent asks; each returns what goes back

    async def open(self, _: dict) -> dict:
        for member in self.members.values():
            await member.open()
        return {"open": len(self.members)}

    async def build(self, told: dict) -> dict:
        """All members, of a fleet that is on at `at` (µs, monotonic) and runs long since; `go` begins."""
        gc.disable()
        for number, member in enumerate(self.members.values()):
            member.build(told["at"])
            member.warm()
            if number % SLICE == 0:
                await asyncio.sleep(0)
        gc.enable()
        gc.freeze()  # what stays for the whole run is not gone through again and again
        return {"built": len(self.members), "late_us": now_us() - told["at"]}

    async def go(self, told: dict) -> dict:
        await asyncio.sleep(max(0, (told["at"] - now_us()) / 1e6))
        for member in self.members.values():
            member.turn()
        return {"on": len(self.members)}

    async def off(self, told: dict) -> dict:
        """`names` are off from now on; deaths seen are noted for them."""
        self.gone |= set(told["names"])
        self.deaths |= {name: Watch() for name in told["names"]}
        self.dead_cells |= {cell: Watch() for cell in member_access.dead_cells(self.layout, self.gone)}
        for name in self._mine(told):
            self.members[name].off()
        return {"at": now_us()}

    async def on(self, told: dict) -> dict:
        """`names` start with empty memories."""
        self.gone -= set(told["names"])
        for name in self._mine(told):
            self._start(name)
        return {"at": now_us()}

    async def restart(self, told: dict) -> dict:
        """`names` drain, are off a second later, and start again after `down_s`."""
        self.gone |= set(told["names"])
        for name in self._mine(told):
            self.members[name].leave()
            self.loop.call_later(1.0, self.members[name].off)
            self.loop.call_later(1.0 + told["down_s"], self._start, name)
        self.loop.call_later(1.0 + told["down_s"], self.gone.difference_update, told["names"])
        return {"at": now_us()}

    def _start(self, name: str) -> None:
        member = self.members[name]
        if member.member is None:
            member.build(now_us())
            member.turn()

    async def cut(self, told: dict) -> dict:
        self.between.cut(told["pairs"])
        return {"at": now_us()}

    async def heal(self, _: dict) -> dict:
        self.between.heal()
        return {"at": now_us()}

    async def put(self, told: dict) -> dict:
        """Each [name, key, value] of a member of ours; when the first was said, and what was refused."""
        at, refused = now_us(), []
        for name, key, value in told["puts"]:
            if (member := self.members.get(name)) is not None:
                try:
                    member_access.put(member.member, wall_us(), key, value, LIFE)
                except EntryRejectedError as wrong:
                    refused.append(str(wrong))
                member.carry_out()
        return {"at": at, "refused": refused}

    async def watch(self, told: dict) -> dict:
        self.watched |= {key: Watch() for key in told["keys"]}
        return {}

    async def forget(self, _: dict) -> dict:
        self.watched.clear()
        self.deaths.clear()
        self.dead_cells.clear()
        for member in self.members.values():
            member.held.clear()
        return {}

    async def seen(self, told: dict) -> dict:
        """How many saw each key, and each member that is off, and when the last did; `of`: by those few."""
        of = {name: set(few) for name, few in told.get("of", {}).items()}
        return {
            "keys": {key: _last(watch.by.values()) for key, watch in self.watched.items()},
            "deaths": {name: _last(watch.by.values()) for name, watch in self.deaths.items()},
            "cells": {cell: _last(watch.by.values()) for cell, watch in self.dead_cells.items()},
            "deaths_of": {
                name: _last(at for by, at in watch.by.items() if by in of[name])
                for name, watch in self.deaths.items()
                if name in of
            },
        }

    async def views(self, told: dict) -> dict:
        """How many of the members that are on have a view without a mistake, and all mistakes."""
        gone, right, wrong, on = set(told["gone"]), 0, 0, 0
        dead = member_access.dead_cells(self.layout, gone)
        for number, member in enumerate(self.members.values()):
            if member.member is not None:
                mistakes = member_access.wrong(member.member, gone, dead)
                on, right, wrong = on + 1, right + (mistakes == 0), wrong + mistakes
            if number % SLICE == 0:
                await asyncio.sleep(0)
        return {"on": on, "right": right, "wrong": wrong, "at": now_us()}

    async def periods(self, _: dict) -> dict:
        """That went by, of all members together."""
        return {"periods": sum(member.all_periods() for member in self.members.values())}

    async def counts(self, told: dict) -> dict:
        """Sums over all members since the process began, the busiest member since the last asking, and what
        the process took."""
        sums, most_bytes, most_datagrams, speaking = Counter(), 0, 0, []
        passed, self.counted_at = time.monotonic() - self.counted_at, time.monotonic()
        for name, member in self.members.items():
            tally = member.tally
            tally.periods = member.all_periods()
            for field in Tally.__slots__:
                sums[field] += getattr(tally, field)
            now = tally.sent_bytes + tally.read_bytes + tally.stream_bytes, tally.sent + tally.read
            was = self.before.get(name, now)
            most_bytes, most_datagrams = (
                max(most_bytes, now[0] - was[0]),
                max(most_datagrams, now[1] - was[1]),
            )
            if member.member is not None and member_access.speaks(member.member):
                speaking.append(now[0] - was[0])
            self.before[name] = now
        lag, used, self.lag_most = self.lag_most, self.lag_used, 0.0
        on = [member.member for member in self.members.values() if member.member is not None]
        took, self.took = self.took, []
        whom = {name: dict(counts) for name, counts in self.asked_whom.items()} if told.get("whom") else {}
        return {
            "at": now_us(), "cpu_s": time.process_time(), "lag_s": lag, "lag_used_s": used,
            "on": len(on), "sums": dict(sums),
            "most_bytes": most_bytes, "most_datagrams": most_datagrams, "passed_s": passed,
            "events": dict(self.events),
            "ready": sum(member.ready for member in on), "dropped": dict(self.dropped), "took_ms": took,
            "asked": self.asked, "asked_whom": whom, "speakers": len(speaking),
            "speakers_bytes": sum(speaking),
        }  # fmt: skip

    def _mine(self, told: dict) -> list[str]:
        return [name for name in told["names"] if name in self.members]


def _last(moments: Iterable[int]) -> list[int]:
    """How many there are, and the last."""
    moments = list(moments)
    return [len(moments), max(moments, default=0)]


DOES: dict[str, Callable] = {
    name: getattr(Host, name)
    for name in (
        "open", "build", "go", "off", "on", "restart", "cut", "heal", "put", "watch", "forget", "seen",
        "views", "periods", "counts",
    )
}  # fmt: skip


async def serve() -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=LINE_MOST)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    first = await reader.readline()
    if not first:
        return
    host = Host(loop, msgspec.json.decode(first, type=Told))
    lag = loop.create_task(host.watch_lag())
    while line := await reader.readline():
        told = orjson.loads(line)
        if told["do"] == "end":
            break
        answer = await DOES[told["do"]](host, told)
        sys.stdout.buffer.write(orjson.dumps(answer | {"n": told["n"]}) + b"\n")
        sys.stdout.buffer.flush()
    lag.cancel()


def main() -> None:
    set_parent_death_signal()
    uvloop.run(serve())


if __name__ == "__main__":
    main()
