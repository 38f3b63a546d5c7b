"""A fleet of any size on one machine: some real backends beside many stub members.

Real backends are started as in ProcessFleet, with the links between them through the relay. Stub members
share a few processes (stub_process.py), which apply delay, loss and partitions to all other links. Every
process ends with this one.
"""

import os
import select
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import asdict
from pathlib import Path

import orjson

from crowwing.emulator.fleet import member_access, topology
from crowwing.emulator.fleet.process_fleet import EXAMPLE_CONFIG, ProcessFleet, free_port
from crowwing.emulator.fleet.relay import Fault
from crowwing.emulator.fleet.topology import LinkModel
from crowwing.emulator.processes import ROOT, BackendProcess, set_parent_death_signal

RESPONSE_TIMEOUT_S = 120.0  # for one response: building thousands of members takes long
ADDRESSES_PER_BLOCK = 250  # stub addresses that differ in their last octet only
FIRST_PORT = 21_000  # first port of stub members, below the ephemeral port range


class StubProcessError(ChildProcessError):
    """A stub process has ended or does not answer: one line."""


class StubProcess:
    """The parent's side of one stub process."""

    def __init__(self, number: int, folder: Path) -> None:
        self.number, self.name, self.buffer = 0, f"hollow-{number}", b""
        environment = os.environ | {"PYTHONPATH": str(ROOT)}
        with (folder / f"{self.name}.log").open("ab") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-O", "-m", "crowwing.emulator.fleet.stub_process"],
                stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=log, env=environment, cwd=ROOT,
                preexec_fn=set_parent_death_signal,
            )  # fmt: skip

        self.poll = select.poll()  # select() takes no descriptor over 1023, and the relay uses a thousand
        self.poll.register(self.child.stdout, select.POLLIN)

    def tell(self, **fields: object) -> None:
        self.number += 1
        self.send_line(fields | {"n": self.number})

    def send_line(self, message: dict) -> None:
        try:
            self.child.stdin.write(orjson.dumps(message) + b"\n")
            self.child.stdin.flush()
        except OSError as error:
            raise StubProcessError(f"{self.name}: {error.strerror}") from None

    def read_response(self) -> dict:
        """Returns the response to the last line sent."""
        until = time.monotonic() + RESPONSE_TIMEOUT_S
        while b"\n" not in self.buffer:
            left = until - time.monotonic()
            if left <= 0 or not self.poll.poll(1000 * left):
                raise StubProcessError(f"{self.name}: no answer within {RESPONSE_TIMEOUT_S:g} s")
            chunk = os.read(self.child.stdout.fileno(), 1 << 20)
            if not chunk:
                raise StubProcessError(f"{self.name}: has ended, see its log")
            self.buffer += chunk
        line, _, self.buffer = self.buffer.partition(b"\n")
        response = orjson.loads(line)
        if response["n"] != self.number:
            raise StubProcessError(
                f"{self.name}: response {response['n']} does not match request {self.number}"
            )
        return response

    def end(self) -> None:
        self.child.kill()
        self.child.wait()
        self.child.stdin.close()
        self.child.stdout.close()


def choose_real(cells: Sequence[Sequence[str]], count: int) -> list[str]:
    """Chooses which members are real backends.

    Alternates between the first of a cell's roster (a speaker) and the last of another's (not a speaker),
    with cells as far apart as possible.
    """
    if count > sum(map(len, cells)):
        raise ValueError(f"{count} members requested, but the fleet has fewer")
    step = max(1, len(cells) // count)
    apart = [list(cells[n]) for begin in range(step) for n in range(begin, len(cells), step)]
    chosen: list[str] = []
    while len(chosen) < count:
        for cell in [cell for cell in apart if cell][: count - len(chosen)]:
            chosen.append(cell.pop(0 if len(chosen) % 2 == 0 else -1))
    return chosen


class MixedFleet(ProcessFleet):
    """A fleet of `size` members, `real` of them real backends.

    `cells` puts locations into the settings; `fleet` has the other settings of the fleet section, the same
    for both kinds of members.
    """

    def __init__(
        self, folder: Path, size: int, real: int, seed: int, *, cells: bool = False, processes: int = 1,
        links: LinkModel | None = None, fleet: dict | None = None, build_s: float = 1.0, silent: bool = False,
    ) -> None:  # fmt: skip
        """`processes` host the stub members; with 0, nothing listens at their addresses.

        `build_s` is the expected time to build them; with `silent` they have sockets but never send anything.
        """
        self.all_names = [f"m{n}" for n in range(size)]
        self.locations = topology.assign_locations(self.all_names)
        self.layout = member_access.layout(self.locations if cells else None, fleet or {})
        chosen = choose_real(member_access.cells(self.all_names, self.layout), real)
        super().__init__(folder, real, seed, [], names=chosen, **(fleet or {}))
        self.stubs = [name for name in self.all_names if name not in set(chosen)]
        self.initial_speakers = member_access.initial_speakers(self.layout)
        self.cells, self.links, self.build_s, self.silent = cells, links or LinkModel(), build_s, silent
        block = 128 + os.getpid() % 120
        number = int(self.host.rpartition(".")[2])  # distinguishes fleets of this process
        port = FIRST_PORT + (os.getpid() // 120 * 250 + number) % 10_000
        self.stub_addresses = {
            name: (f"127.{block}.{n // ADDRESSES_PER_BLOCK}.{1 + n % ADDRESSES_PER_BLOCK}", port)
            for n, name in enumerate(self.stubs)
        }
        self.stub_processes: list[StubProcess] = []
        processes = processes if self.stubs else 0
        self.assigned_stubs = [self.stubs[n::processes] for n in range(processes)]
        self.standalone: BackendProcess | None = None
        self.partition_faults: list[Fault] = []
        self.request_counts: dict[str, Counter[str]] = {name: Counter() for name in chosen}

    # Start

    def connect(self) -> None:
        super().connect()
        self._delay_real_links()
        for name in self.names:
            self.operator_overrides[name] = self.operator_overrides.get(name, {}) | self._fleet_section(name)
        addresses = self.fleet_addresses | self.stub_addresses
        message = {
            "seed": self.seed, "addresses": addresses, "real": self.names, "fleet": self.fleet,
            "regions": {name: place[0] for name, place in self.locations.items()}, "ways": asdict(self.links),
            "zones": {name: place[1] for name, place in self.locations.items()} if self.cells else None,
        }  # fmt: skip
        for number, mine in enumerate(self.assigned_stubs):
            self.stub_processes.append(StubProcess(number, self.folder))
            self.stub_processes[-1].send_line(message | {"mine": mine})
        self.tell("open")

    def __enter__(self) -> "MixedFleet":
        try:
            return super().__enter__()
        except BaseException:
            self.end()
            raise

    def start(self) -> None:
        """Starts the stub members first, as a running fleet; the real backends then join it."""
        self.connect()
        if self.silent or not self.stub_processes:
            for name in self.names:
                self.launch(name)
            return
        at = time.monotonic_ns() // 1000 + round((self.build_s + 1.0) * 1e6)
        self.tell("build", at=at)
        at = max(at, time.monotonic_ns() // 1000 + 200_000)
        for host in self.stub_processes:
            host.tell(do="go", at=at)
        for name in self.names:
            self.launch(name)
        for host in self.stub_processes:
            host.read_response()

    def start_standalone(self) -> None:
        """Starts one more real backend without a fleet section, as the baseline for resource usage."""
        configuration = orjson.loads(EXAMPLE_CONFIG.read_bytes())
        ports = {key: f"{self.host}:{free_port(1, self.host)}" for key in ("listen", "agent")}
        self.standalone = BackendProcess(self.folder, configuration | ports | {"name": "alone"}, None, None)

    def _fleet_section(self, name: str) -> dict:
        """Returns the settings of a real member about its location and its peers."""
        peers = [
            {"name": other, "address": f"{self.host}:{self.relay.ports[(name, other)]}"}
            for other in self.names
            if other != name
        ]
        peers += [
            {"name": other, "address": f"{host}:{port}"}
            for other, (host, port) in self.stub_addresses.items()
        ]
        if not self.cells:
            return {"peers": peers}
        for peer in peers:
            peer["region"], peer["zone"] = self.locations[peer["name"]]
        region, zone = self.locations[name]
        return {"peers": peers, "region": region, "zone": zone}

    def _delay_real_links(self) -> None:
        links = self.links
        near = {"kind": "delay", "size": 1000 * links.near_least}
        self.relay.impose([near | {"jitter_ms": 1000 * (links.near_most - links.near_least)}])
        for region in topology.ZONES:
            between_regions = {
                "from": self.real_members_in(region),
                "to": self.real_members_in(region, outside=True),
            }
            if all(between_regions.values()):
                self.relay.impose([between_regions | {"kind": "delay", "size": 1000 * links.far}])
                if links.loss:
                    self.relay.impose([between_regions | {"kind": "loss", "size": links.loss}])

    def real_members_in(self, region: str, outside: bool = False) -> list[str]:
        return [name for name in self.names if (self.locations[name][0] == region) != outside]

    # Commands to stub members

    def tell(self, what: str, **fields: object) -> list[dict]:
        """Sends a command to all stub processes and returns their responses."""
        for host in self.stub_processes:
            host.tell(do=what, **fields)
        return [host.read_response() for host in self.stub_processes]

    def put(self, puts: Sequence[tuple[str, str, object]]) -> int:
        """Puts each (stub member, key, value) at once; returns the time of the first in µs.

        Raises StubProcessError if one is refused.
        """
        responses = self.tell("put", puts=puts)
        if refused := [why for one in responses for why in one["refused"]]:
            raise StubProcessError(f"entry refused: {refused[0]}")
        return min(one["at"] for one in responses)

    def partition(self, pairs: Sequence[tuple[str, str]]) -> None:
        """Blocks the links between each pair of regions."""
        self.tell("cut", pairs=pairs)
        for one, other in pairs:
            side_a, side_b = self.real_members_in(one), self.real_members_in(other)
            if side_a and side_b:
                faults = [
                    {"kind": "cut", "from": side_a, "to": side_b},
                    {"kind": "cut", "from": side_b, "to": side_a},
                ]
                self.partition_faults += self.relay.impose(faults)

    def heal(self) -> None:
        self.relay.lift(self.partition_faults)
        self.partition_faults = []
        self.tell("heal")

    def in_zone(self, zone: str) -> list[str]:
        return [name for name in self.all_names if self.locations[name][1] == zone]

    def ask(self, name: str, wait_s: float = 1.0, **fields: object) -> dict | None:
        """Sends a request to a real member; answered ones are added to `request_counts`.

        Its own counters include them, so the harness can subtract its share.
        """
        answer = super().ask(name, wait_s, **fields)
        if answer is not None:
            counts = self.request_counts[name]
            counts["read"] += 1
            counts["read_bytes"] += len(orjson.dumps(fields | {"n": answer["n"]}))
            counts["sent"] += 1
            counts["sent_bytes"] += len(orjson.dumps(answer))
        return answer

    def end(self) -> None:
        for host in self.stub_processes:
            host.end()
        if self.standalone is not None and self.standalone.exit_code() is None:
            self.standalone.kill()
        super().end()

    # Resource usage

    def pids(self, names: Iterable[str]) -> dict[str, int]:
        return {name: self.children[name].pid for name in names if self.children[name].poll() is None}


def cpu_s(pid: int) -> float:
    """Returns the CPU time of all running threads in seconds, finer than a tick; OSError if it has ended."""
    threads = Path(f"/proc/{pid}/task")
    return sum(int((thread / "schedstat").read_text().split()[0]) for thread in threads.iterdir()) / 1e9


def memory_kb(pid: int) -> tuple[int, int]:
    """Returns the current and the peak resident memory; OSError if the process has ended."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    found = {line.split(":")[0]: line.split()[1] for line in lines if line.startswith(("VmRSS", "VmHWM"))}
    return int(found["VmRSS"]), int(found["VmHWM"])
