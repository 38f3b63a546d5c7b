"""Store machines on a simulated network and simulated disks, played by simpy from one seed."""

import math
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any

import simpy

from crowwing.tier.replication import messages as m
from crowwing.tier.replication.ranges import RANGES, digest_of, range_of_key
from crowwing.tier.replication.replica import Replica
from crowwing.tier.replication.replica_state import Output, Role
from crowwing.tier.store.node import DATA_MESSAGES, DISK_RETRY_S, DISK_STALLED_S, SYNC_SMOOTHING
from crowwing.tier.wire.codec import decode, encode

TICK_S = 0.02
DELAY_S = (0.0005, 0.003)
SYNC_S = (0.0005, 0.012)
REWRITE_S = (0.0, 0.3)
LONG_FILE = 40  # records from which a file is rewritten


class Ledger:
    """The simplest state: the payloads by their place in the log, in ranges by their text."""

    def __init__(self) -> None:
        self.payloads: dict[int, bytes] = {}

    def apply(self, payload: bytes, index: int) -> None:
        """Takes one payload in."""
        assert index not in self.payloads, "an entry is applied once"
        self.payloads[index] = payload

    def freeze(self) -> Iterator[tuple[int, bytes]]:
        """All payloads as they are now, by range."""
        payloads = dict(self.payloads)
        ranges: dict[int, dict[int, bytes]] = {}
        for index, payload in payloads.items():
            ranges.setdefault(self.range_of(payload), {})[index] = payload
        return ((number, encode(held)) for number, held in ranges.items())

    @staticmethod
    def range_of(payload: bytes) -> int:
        """The range of a payload."""
        return range_of_key(payload.decode())

    def dump_range(self, number: int) -> bytes:
        """The payloads of a range."""
        held = {
            index: payload for index, payload in self.payloads.items() if self.range_of(payload) == number
        }
        return encode(dict(sorted(held.items())))

    def digests(self) -> tuple[bytes, ...]:
        """Digests of the payloads of each range."""
        ranges: list[list[bytes]] = [[] for _ in range(RANGES)]
        for index, payload in sorted(self.payloads.items()):
            ranges[self.range_of(payload)].append(index.to_bytes(8, "big") + payload)
        return tuple(digest_of(parts) for parts in ranges)

    def replace_ranges(self, contents: Mapping[int, bytes]) -> None:
        """Replaces the payloads of some ranges."""
        rest = {index: one for index, one in self.payloads.items() if self.range_of(one) not in contents}
        for content in contents.values():
            rest.update(decode(content))
        self.payloads = rest


@dataclass
class Rewriting:
    """A replacement of a long file, which is written beside the writes."""

    compacted: Iterable[Any]
    ready_at: float
    tail: list[Any] = field(default_factory=list)


@dataclass
class Machine:
    """One store machine: what is on its disk outlasts its lives."""

    host: str
    disk: list[Any] = field(default_factory=list)
    unsynced: list[Any] = field(default_factory=list)
    life: int = 0
    replica: Replica | None = None
    ledger: Ledger = field(default_factory=Ledger)
    queue: list[Output] = field(default_factory=list)
    frozen_until: float = 0.0
    inbox: list[Any] = field(default_factory=list)  # what came while it stood still
    disk_full_until: float = 0.0  # writes fail until then
    disk_stalled_until: float = 0.0  # writes return then at the earliest
    disk_factor: float = 1.0  # how much longer a write takes
    rewriting: Rewriting | None = None
    write_since: float = math.inf  # when the write that is under way began
    disk_failed: bool = False  # it stands aside until a rewriting is taken


@dataclass
class Wanted:
    """A payload that a client has handed in, and whether it was acknowledged."""

    payload: bytes
    index: int
    ballot: m.Ballot
    host: str
    life: int


class StoreWorld:
    """Some store machines, the links between them, and the rules that must hold after each step."""

    def __init__(self, seed: int, hosts: Iterable[str], seeds: Iterable[str], faults: int = 1) -> None:
        self.random = Random(seed)
        self.env = simpy.Environment()
        self.seeds = tuple(seeds)
        self.faults = faults
        self.machines: dict[str, Machine] = {}
        self.cut: set[tuple[str, str]] = set()  # (from, to)
        self.loss = 0.0
        self.piece_s = 0.0  # that ranges in one message take on their way; what is sent behind them waits
        self.link_busy_until: dict[tuple[str, str], float] = {}
        self.pieces_sent = self.ranges_sent = self.entry_bytes_sent = 0
        self.bytes_per_s = math.inf  # of entries, on each link
        self.acknowledged: list[bytes] = []
        self.places: dict[bytes, int] = {}  # of what was acknowledged, in the log
        self.waiting: list[Wanted] = []
        self.excluded: frozenset[str] = frozenset()
        self.on_acknowledged: Callable[[Machine], None] = lambda machine: None
        for host in hosts:
            self.start(host, bootstrap=True)

    # Lives

    def start(self, host: str, bootstrap: bool = False) -> None:
        """Starts a machine with what its disk holds."""
        machine = self.machines.setdefault(host, Machine(host))
        machine.life += 1
        machine.ledger = Ledger()
        machine.queue, machine.inbox = [], []
        machine.disk_failed = False
        machine.frozen_until, machine.write_since = 0.0, math.inf
        replica = Replica(host, self.seeds, machine.ledger, self.faults, self.env.now, self.random.random)
        machine.replica = replica
        if machine.disk:
            replica.recover(machine.disk)
        elif bootstrap and host in self.seeds:
            replica.bootstrap(self.seeds)
        self.env.process(self._clock(machine, machine.life))
        self.env.process(self._disk(machine, machine.life))
        self.env.process(self._first_tick(machine, machine.life))

    def stop(self, host: str, power: bool = False, wipe: bool = False) -> None:
        """Ends a life; a loss of power may keep any part of what was not synced, a wipe nothing."""
        machine = self.machines[host]
        machine.life += 1
        machine.replica = machine.rewriting = None
        if power:
            kept = self.random.randint(0, len(machine.unsynced))
            machine.disk += machine.unsynced[:kept]
        machine.unsynced = []
        if wipe:
            machine.disk = []

    def freeze(self, host: str, span_s: float) -> None:
        """A machine stands still for a while; its clock goes on."""
        self.machines[host].frozen_until = self.env.now + span_s

    def alive(self) -> list[Machine]:
        """The machines that run."""
        return [machine for machine in self.machines.values() if machine.replica is not None]

    # Running

    def _first_tick(self, machine: Machine, life: int) -> Any:  # noqa: ANN401
        yield self.env.timeout(self.random.random() * TICK_S)
        if machine.life == life:
            self._step(machine)

    def _clock(self, machine: Machine, life: int) -> Any:  # noqa: ANN401
        while machine.life == life:
            if self.env.now < machine.frozen_until:
                yield self.env.timeout(machine.frozen_until - self.env.now)
                continue
            self._thaw(machine)
            assert machine.replica is not None
            if not machine.disk_failed:
                machine.replica.excluded = self.excluded
                machine.replica.disk_stalled = self.env.now - machine.write_since >= DISK_STALLED_S
                machine.replica.tick(self.env.now)
                self._step(machine)
            yield self.env.timeout(TICK_S)

    def _thaw(self, machine: Machine) -> None:
        inbox, machine.inbox = machine.inbox, []
        for message in inbox:
            if machine.replica is not None and not machine.disk_failed:
                machine.replica.receive(self.env.now, message)
                self._step(machine)

    def _disk(self, machine: Machine, life: int) -> Any:  # noqa: ANN401
        while machine.life == life:
            if not machine.queue or self.env.now < machine.frozen_until:
                yield self.env.timeout(0.001)
                continue
            queue, machine.queue = machine.queue, []
            records = [record for output in queue for record in output.records]
            if records and self.env.now < machine.disk_full_until:
                yield from self._wait_for_disk(machine, life)
                continue
            assert machine.replica is not None
            compacted = machine.replica.compacted() if self._is_long(machine) else None
            if records:
                machine.unsynced = records
                machine.write_since = began = self.env.now
                yield self.env.timeout(self.random.uniform(*SYNC_S) * machine.disk_factor)
                if self.env.now < machine.disk_stalled_until:
                    yield self.env.timeout(machine.disk_stalled_until - self.env.now)
                if machine.life != life:
                    return
                machine.write_since = math.inf
                taken = min(DISK_STALLED_S, self.env.now - began)
                machine.replica.sync_s += SYNC_SMOOTHING * (taken - machine.replica.sync_s)
                self._write(machine, records)
                if compacted is not None:
                    machine.rewriting = Rewriting(compacted, self.env.now + self.random.uniform(*REWRITE_S))
            for output in queue:
                for receiver, message in output.durable:
                    self._deliver(machine, receiver, message)
            self._step(machine)

    @staticmethod
    def _is_long(machine: Machine) -> bool:
        return machine.rewriting is None and len(machine.disk) > LONG_FILE

    def _write(self, machine: Machine, records: list[Any]) -> None:
        """As Disk does: to the file, or to its replacement once that is ready."""
        machine.unsynced = []
        rewriting = machine.rewriting
        if rewriting is None:
            machine.disk += records
        elif self.env.now < rewriting.ready_at:
            machine.disk += records
            rewriting.tail += records
        else:
            machine.disk = [*rewriting.compacted, *rewriting.tail, *records]
            machine.rewriting = None

    def _wait_for_disk(self, machine: Machine, life: int) -> Any:  # noqa: ANN401
        """As ReplicaNode does: takes no part until the disk has taken a rewriting."""
        assert machine.replica is not None
        machine.replica.stand_down(self.env.now, "its disk failed")
        self._step(machine)
        machine.disk_failed = True
        while machine.life == life and machine.disk_failed:
            machine.queue = []
            yield self.env.timeout(DISK_RETRY_S)
            if machine.life == life and self.env.now >= machine.disk_full_until:
                machine.disk = list(machine.replica.compacted())
                machine.rewriting = None
                machine.disk_failed = False

    def _step(self, machine: Machine) -> None:
        assert machine.replica is not None
        machine.replica.send_entries(self.env.now)
        output = machine.replica.take_output()
        for receiver, message in output.immediate:
            self._deliver(machine, receiver, message)
        if output.records or output.durable:
            machine.queue.append(output)
        self._settle()
        self.check()

    def _deliver(self, sender: Machine, receiver: str, message: Any) -> None:  # noqa: ANN401
        if receiver == sender.host:
            assert sender.replica is not None
            sender.replica.receive(self.env.now, message)
        elif (sender.host, receiver) not in self.cut and self.random.random() >= self.loss:
            self.env.process(self._travel(sender.host, receiver, message))

    def _travel(self, sender: str, receiver: str, message: Any) -> Any:  # noqa: ANN401
        arrives = self.env.now + self.random.uniform(*DELAY_S)
        if isinstance(message, DATA_MESSAGES):  # the others have a connection of their own
            arrives = max(arrives, self.link_busy_until.get((sender, receiver), 0.0))
            arrives += self._time_on_link(message)
            self.link_busy_until[sender, receiver] = arrives
        yield self.env.timeout(arrives - self.env.now)
        machine = self.machines.get(receiver)
        if machine is None or machine.replica is None or (sender, receiver) in self.cut:
            return
        if self.env.now < machine.frozen_until:
            machine.inbox.append(message)
            return
        if machine.disk_failed:
            return
        machine.replica.receive(self.env.now, message)
        self._step(machine)

    def _time_on_link(self, message: Any) -> float:  # noqa: ANN401
        if isinstance(message, m.Ranges):
            self.pieces_sent += 1
            self.ranges_sent += len(message.contents)
            return self.piece_s
        entries = getattr(message, "entries", ())
        size = sum(len(entry.payload) for entry in entries)
        self.entry_bytes_sent += size
        return size / self.bytes_per_s

    # Clients

    def propose(self, payload: bytes) -> bool:
        """Hands a payload to whoever says that it is the primary; False where nobody does."""
        for machine in self.alive():
            if machine.replica.role is Role.PRIMARY and self.env.now >= machine.frozen_until:
                index = machine.replica.propose(self.env.now, payload)
                assert index is not None
                ballot = machine.replica.promised
                self.waiting.append(Wanted(payload, index, ballot, machine.host, machine.life))
                self._step(machine)
                return True
        return False

    def _settle(self) -> None:
        rest: list[Wanted] = []
        for wanted in self.waiting:
            machine = self.machines[wanted.host]
            replica = machine.replica
            if machine.life != wanted.life or replica is None or replica.role is Role.FOLLOWER:
                continue
            if replica.role is Role.PRIMARY and replica.commit_index >= wanted.index:
                self.acknowledged.append(wanted.payload)
                self.places[wanted.payload] = wanted.index
                self.on_acknowledged(machine)
            else:
                rest.append(wanted)
        self.waiting = rest

    # Rules

    def check(self) -> None:
        """At most one primary holds a lease; a primary has all that was acknowledged, each in its place."""
        leased = [x.host for x in self.alive() if x.replica.holds_lease(self.env.now) and self._awake(x)]
        assert len(leased) <= 1, f"{self.env.now:.3f}: {leased} hold leases at once"
        for machine in self.alive():
            if machine.host in leased:
                payloads = machine.ledger.payloads
                for payload, index in self.places.items():
                    held = payloads.get(index)
                    assert held == payload, f"{self.env.now:.3f}: {machine.host} has {held!r} for {payload!r}"

    def _awake(self, machine: Machine) -> bool:
        return self.env.now >= machine.frozen_until

    def run_for(self, span_s: float) -> None:
        """Lets simulated time pass."""
        self.env.run(until=self.env.now + span_s)

    def primary(self) -> Machine | None:
        """The one that holds a lease."""
        return next((x for x in self.alive() if x.replica.holds_lease(self.env.now)), None)
