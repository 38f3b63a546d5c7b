"""Fault-injecting relay: every link between two members passes through it, under a seeded script of faults.

Each ordered pair of members has a UDP socket and a TCP port with the same number. A script is a list of
faults, each `{"kind", "at_s", "for_s", "from", "to", ...}`: `cut` drops everything (from `from` to `to` only;
a full partition needs both directions), `loss` drops a share `size`, `delay` adds `size` ms plus up to
`jitter_ms`, `duplicate` sends a share `size` twice, `reorder` delays a share `size` by `jitter_ms` so that
later datagrams overtake it. `from` and `to` are lists of member names; empty or absent means all. `Fate`
decides about each datagram; time (seconds since the start) and random generator are passed in. A stream
behaves as TCP on the same link: a cut in either direction stalls it, a loss delays it by a retransmission,
and duplicates and reordering have no effect.
"""

import asyncio
import random
import threading
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, replace
from functools import partial

RETRANSMIT_S = 0.2  # minimum retransmission time-out of Linux
CUT_POLL_INTERVAL_S = 0.05  # how often a stalled stream checks whether the cut has ended
PORT_ATTEMPTS = 50
CHUNK_BYTES = 4096  # bytes of a stream that are delayed together
KINDS = {"cut", "loss", "delay", "duplicate", "reorder"}


class ScriptError(ValueError):
    """One line with the JSON path of the mistake in the script."""


@dataclass(frozen=True, slots=True)
class Fault:
    kind: str
    at_s: float
    for_s: float
    sources: frozenset[str]
    targets: frozenset[str]
    size: float
    jitter_ms: float

    def hits(self, now_s: float, source: str, target: str) -> bool:
        return (
            self.at_s <= now_s < self.at_s + self.for_s
            and (not self.sources or source in self.sources)
            and (not self.targets or target in self.targets)
        )


def parse_script(script: Sequence[dict], names: Sequence[str]) -> list[Fault]:
    """Parses a script and checks it against the members' names."""
    faults = []
    for number, fault in enumerate(script):
        place = f"$[{number}]"
        if fault.get("kind") not in KINDS:
            raise ScriptError(f"{place}.kind: must be one of {', '.join(sorted(KINDS))}")
        for side in ("from", "to"):
            if unknown := set(fault.get(side, ())) - set(names):
                raise ScriptError(f"{place}.{side}: {', '.join(sorted(unknown))} is no member")
        faults.append(
            Fault(
                fault["kind"], float(fault.get("at_s", 0)), float(fault.get("for_s", 1e9)),
                frozenset(fault.get("from", ())), frozenset(fault.get("to", ())),
                float(fault.get("size", 1.0)), float(fault.get("jitter_ms", 0)),
            )
        )  # fmt: skip
    return faults


class Fate:
    """Decides about a datagram: returns the delay in seconds of each copy to send; empty if dropped."""

    def __init__(self, faults: list[Fault], rng: random.Random) -> None:
        self.faults, self.rng = faults, rng

    def __call__(self, now_s: float, source: str, target: str) -> list[float]:
        delay, copies = 0.0, 1
        for fault in self.faults:
            if not fault.hits(now_s, source, target):
                continue
            if fault.kind == "cut":
                return []
            if fault.kind == "loss" and self.rng.random() < fault.size:
                return []
            if fault.kind == "delay":
                delay += fault.size / 1000 + self.rng.random() * fault.jitter_ms / 1000
            if fault.kind == "duplicate" and self.rng.random() < fault.size:
                copies = 2
            if fault.kind == "reorder" and self.rng.random() < fault.size:
                delay += fault.jitter_ms / 1000
        return [delay + n * 0.0005 for n in range(copies)]

    def stream_delay(self, now_s: float, source: str, target: str) -> float | None:
        """Returns the delay of a chunk of a stream in seconds; None while the link is cut."""
        delay = 0.0
        for fault in self.faults:
            there = fault.hits(now_s, source, target)
            if fault.kind == "cut" and (there or fault.hits(now_s, target, source)):
                return None  # a one-way cut also blocks the acknowledgements of the other direction
            if there and fault.kind == "delay":
                delay += fault.size / 1000 + self.rng.random() * fault.jitter_ms / 1000
            elif there and fault.kind == "loss" and self.rng.random() < fault.size:
                delay += RETRANSMIT_S
        return delay


class _LinkProtocol(asyncio.DatagramProtocol):
    def __init__(self, relay: "Relay", source: str, target: str) -> None:
        self.relay, self.source, self.target = relay, source, target
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, _: tuple[str, int]) -> None:
        self.relay.carry(self, data)

    def error_received(self, exc: Exception) -> None:
        self.relay.counts["refused"] += 1


class Relay:
    """Runs an event loop in its own thread; `ports[(a, b)]` is the port to which `a` sends to reach `b`."""

    def __init__(self, names: Sequence[str], faults: list[Fault], seed: int, host: str) -> None:
        # `members` has each member's own address. It is filled after the pairs' sockets are open: one of them
        # could take a port chosen earlier, and that member could not start.
        self.names, self.host = list(names), host
        self.members: dict[str, tuple[str, int]] = {}
        self.fate = Fate(faults, random.Random(f"{seed}/relay"))
        self.ports: dict[tuple[str, str], int] = {}
        self.counts: Counter[str] = Counter()
        self.loop = asyncio.new_event_loop()
        self.began = 0.0
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True, name="relay")
        self.pairs: list[_LinkProtocol] = []
        self.servers: list[asyncio.Server] = []
        self.tasks: set[asyncio.Task] = set()  # of open streams

    def start(self) -> None:
        """Opens the sockets of all pairs; OSError if one cannot be bound."""
        self.thread.start()
        asyncio.run_coroutine_threadsafe(self._open(), self.loop).result(10)

    async def _open(self) -> None:
        self.began = self.loop.time()
        for source in self.names:
            for target in self.names:
                if source == target:
                    continue
                pair = _LinkProtocol(self, source, target)
                self.ports[(source, target)] = await self._open_ports(pair)
                self.pairs.append(pair)

    async def _open_ports(self, pair: _LinkProtocol) -> int:
        """Opens the pair's UDP socket and a TCP listener on the same port number."""
        for _ in range(PORT_ATTEMPTS):
            transport, _ = await self.loop.create_datagram_endpoint(lambda: pair, local_addr=(self.host, 0))
            port = transport.get_extra_info("sockname")[1]
            try:
                server = await asyncio.start_server(partial(self._stream, pair), self.host, port)
            except OSError:
                transport.close()  # the port is taken on TCP
                continue
            self.servers.append(server)
            return port
        raise OSError(f"{self.host}: no port is free on UDP and TCP")

    async def _stream(
        self, pair: _LinkProtocol, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.counts["streams"] += 1
        task = asyncio.current_task()
        self.tasks.add(task)
        writers = [writer]
        try:
            there, back = await asyncio.open_connection(*self.members[pair.target])
            writers.append(back)
            async with asyncio.TaskGroup() as ways:
                ways.create_task(self._forward(reader, back, pair.source, pair.target))
                ways.create_task(self._forward(there, writer, pair.target, pair.source))
        except (OSError, asyncio.CancelledError, ExceptionGroup):
            pass  # if one side closes, both directions end
        finally:
            self.tasks.discard(task)
            for one in writers:
                one.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, source: str, target: str
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            while (delay := self.fate.stream_delay(self.loop.time() - self.began, source, target)) is None:
                await asyncio.sleep(CUT_POLL_INTERVAL_S)
            if delay:
                await asyncio.sleep(delay)
            writer.write(chunk)
            await writer.drain()
        writer.write_eof()

    def carry(self, pair: _LinkProtocol, data: bytes) -> None:
        delays = self.fate(self.loop.time() - self.began, pair.source, pair.target)
        self.counts["sent" if delays else "dropped"] += 1
        where = self.members[pair.target]
        for delay in delays:
            if delay <= 0:
                pair.transport.sendto(data, where)
            else:
                self.loop.call_later(delay, self._send_delayed, pair, data, where)

    @staticmethod
    def _send_delayed(pair: _LinkProtocol, data: bytes, where: tuple[str, int]) -> None:
        if not pair.transport.is_closing():  # the relay may have been stopped during the delay
            pair.transport.sendto(data, where)

    def impose(self, script: Sequence[dict]) -> list[Fault]:
        """Adds faults whose `at_s` counts from now, so a test can wait for a condition instead of a time."""
        faults = parse_script(script, self.names)
        began = asyncio.run_coroutine_threadsafe(self._now(), self.loop).result(5)
        moved = [replace(fault, at_s=fault.at_s + began) for fault in faults]
        self.loop.call_soon_threadsafe(self.fate.faults.extend, moved)
        return moved

    def lift(self, faults: list[Fault]) -> None:
        """Ends faults returned by `impose`."""

        def end() -> None:
            self.fate.faults[:] = [fault for fault in self.fate.faults if fault not in faults]

        self.loop.call_soon_threadsafe(end)

    async def _now(self) -> float:
        return self.loop.time() - self.began

    def stop(self) -> None:
        def close() -> None:
            for pair in self.pairs:
                if pair.transport is not None:
                    pair.transport.close()
            for server in self.servers:
                server.close()
            for task in self.tasks:
                task.cancel()
            self.loop.call_later(0.05, self.loop.stop)  # after the cancelled tasks have ended

        if not self.thread.is_alive():
            return
        self.loop.call_soon_threadsafe(close)
        self.thread.join(5)
