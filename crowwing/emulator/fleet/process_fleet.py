"""Several real backends with fleet membership, with every link between them through the fault relay.

Each process is started as `run` starts one, with its own configuration and operator file, and is controlled
by its process id: killed (SIGKILL), paused (SIGSTOP, SIGCONT), restarted. `history()` reads the fleet's log
lines of all incarnations; `view()` and `state()` query a running member. The files needed to repeat a failing
run (seed, script, members' files) stay in its folder.
"""

import itertools
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path

import orjson

from crowwing.emulator.fleet.relay import Relay, parse_script
from crowwing.emulator.processes import ROOT, set_parent_death_signal

HOST = "127.0.0.1"
EXAMPLE_CONFIG = ROOT / "deploy" / "example.json"
HISTORY_EVENTS = {
    "member",
    "fleet_open",
    "started",
    "caught_up",
    "catching_up",
    "fetched",
    "snapshot_read",
    "snapshot_unused",
    "cells_out",
}


class MemberExitedError(RuntimeError):
    """A member's process exited with an error; carries its last log line, the log is in the folder."""


_rigs = itertools.count()


def unique_loopback_host() -> str:
    """Returns a loopback address used by this fleet only.

    Ports found free stay free until a member binds them, whatever other fleets bind meanwhile.
    """
    pid, number = os.getpid(), next(_rigs)
    return f"127.{64 + (pid >> 8) % 64}.{pid & 255}.{1 + number % 250}"


def free_port(kind: int, host: str = HOST) -> int:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def find_free_ports(count: int, taken: set[int], host: str) -> list[int]:
    """Returns distinct ports that are free on both UDP and TCP and not in `taken`."""
    chosen: list[int] = []
    while len(chosen) < count:
        port = free_port(socket.SOCK_DGRAM, host)
        if port in taken or port in chosen:
            continue
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        chosen.append(port)
    return chosen


class RequestClient:
    """Sends requests to members' fleet sockets, one at a time; ignores responses to other requests."""

    def __init__(self) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((HOST, 0))
        self.number = 0

    def ask(self, address: tuple[str, int], wait_s: float, **fields: object) -> dict | None:
        self.number += 1
        self.socket.sendto(orjson.dumps(fields | {"n": self.number}), address)
        until = time.monotonic() + wait_s
        while (left := until - time.monotonic()) > 0:
            self.socket.settimeout(left)
            try:
                answer = orjson.loads(self.socket.recv(65536))
            except TimeoutError:
                return None
            except OSError:
                continue  # ICMP error: the member is not listening, but may be soon
            if answer.get("n") == self.number:
                return answer
        return None

    def close(self) -> None:
        self.socket.close()


class ProcessFleet:
    def __init__(
        self, folder: Path, size: int, seed: int, faults: list[dict],
        places: dict[str, tuple[str, str]] | None = None, names: Sequence[str] = (), **fleet: object,
    ) -> None:  # fmt: skip
        """`places` is the region and zone of every member, for a fleet in cells.

        `names` replaces the default names m0, m1, ...
        """
        self.folder, self.seed, self.host = folder, seed, unique_loopback_host()
        folder.mkdir(parents=True, exist_ok=True)
        self.names = list(names) or [f"m{n}" for n in range(size)]
        # Chosen all at once after the relay's sockets are open: until a member has bound its port, the system
        # could assign it to another socket, and the member could not start.
        self.fleet_addresses: dict[str, tuple[str, int]] = {}
        self.service_addresses: dict[
            str, tuple[str, str]
        ] = {}  # listen address and worker agent address; no agent runs there
        self.options = {"size": size, "seed": seed, "faults": faults, "places": places, "fleet": fleet}
        (folder / "rig.json").write_bytes(orjson.dumps(self.options, option=orjson.OPT_INDENT_2))
        self.relay = Relay(self.names, parse_script(faults, self.names), seed, self.host)
        self.fleet, self.places = fleet, places or {}
        self.operator_overrides: dict[str, dict] = {}  # additional fleet settings of single members
        self.children: dict[str, subprocess.Popen] = {}
        self.client = RequestClient()

    def start(self) -> None:
        self.connect()
        for name in self.names:
            self.launch(name)

    def connect(self) -> None:
        """Opens the relay's sockets and chooses each member's own addresses."""
        self.relay.start()
        size = len(self.names)
        ports = find_free_ports(3 * size, set(self.relay.ports.values()), self.host)
        self.fleet_addresses.update(
            (name, (self.host, port)) for name, port in zip(self.names, ports, strict=False)
        )
        others = (f"{self.host}:{port}" for port in ports[size:])
        self.service_addresses.update((name, (next(others), next(others))) for name in self.names)
        self.relay.members.update(self.fleet_addresses)

    def _write_files(self, name: str) -> tuple[Path, Path]:
        listen, agent = self.service_addresses[name]
        configuration = orjson.loads(EXAMPLE_CONFIG.read_bytes()) | {
            "name": name, "listen": listen, "agent": agent,
            "seed": f"{self.seed:08x}{self.names.index(name):08x}",
        }  # fmt: skip
        peers = [
            {"name": other, "address": f"{self.host}:{self.relay.ports[(name, other)]}"}
            | self._location(other)
            for other in self.names
            if other != name
        ]
        listen = "{}:{}".format(*self.fleet_addresses[name])
        operator = {
            "version": 1,
            "fleet": {"listen": listen, "peers": peers}
            | self._location(name)
            | self.fleet
            | self.operator_overrides.get(name, {}),
        }
        paths = self.folder / f"{name}.json", self.folder / f"{name}.operator.json"
        paths[0].write_bytes(orjson.dumps(configuration))
        paths[1].write_bytes(orjson.dumps(operator))
        return paths

    def _location(self, name: str) -> dict[str, str]:
        return dict(zip(("region", "zone"), self.places.get(name, ()), strict=False))

    def launch(self, name: str, **operator: object) -> None:
        """Starts or restarts a member; it appends to the same log."""
        configuration, operator_file = self._write_files(name)
        if operator:
            settings = orjson.loads(operator_file.read_bytes())
            settings["fleet"] |= operator
            operator_file.write_bytes(orjson.dumps(settings))
        environment = os.environ | {
            "PROXY_CONFIG": str(configuration), "CROWWING_OPERATOR": str(operator_file),
            "PYTHONPATH": str(ROOT),
        }  # fmt: skip
        with (self.folder / f"{name}.log").open("ab") as log:
            self.children[name] = subprocess.Popen(
                [sys.executable, "-O", "-m", "crowwing"], stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env=environment, cwd=ROOT, preexec_fn=set_parent_death_signal,
            )  # fmt: skip

    def kill(self, name: str) -> None:
        child = self.children[name]
        child.send_signal(signal.SIGKILL)
        child.wait()

    def pause(self, name: str) -> None:
        self.children[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        self.children[name].send_signal(signal.SIGCONT)

    def end(self) -> None:
        """Ends every started process by its id, then the relay."""
        for child in self.children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
                child.wait()
        self.relay.stop()
        self.client.close()

    def __enter__(self) -> "ProcessFleet":
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.end()

    # Observation

    def history(self) -> list[dict]:
        """Returns the fleet's log lines (HISTORY_EVENTS) of all incarnations, by time."""
        lines = []
        for name in self.names:
            path = self.folder / f"{name}.log"
            for raw in path.read_bytes().splitlines() if path.exists() else ():
                try:
                    line = orjson.loads(raw)
                except orjson.JSONDecodeError:
                    continue  # a line truncated by a kill
                if isinstance(line, dict) and line.get("event") in HISTORY_EVENTS:
                    lines.append(line)
        return sorted(lines, key=lambda line: line["at"])

    def ask(self, name: str, wait_s: float = 1.0, **fields: object) -> dict | None:
        """Sends one request to a running member; None if it does not answer within `wait_s`."""
        return self.client.ask(self.fleet_addresses[name], wait_s, **fields)

    def view(self, name: str, wait_s: float = 1.0) -> dict | None:
        """Returns a running member's current view of the others."""
        return self.ask(name, wait_s, k="members")

    def state(self, name: str, prefix: str = "", wait_s: float = 1.0) -> dict | None:
        """Returns all entries that a running member stores under `prefix`, read page by page."""
        state, after = None, ""
        while (page := self.ask(name, wait_s, k="state", prefix=prefix, after=after)) is not None:
            page["rows"] = (state["rows"] if state else []) + page["rows"]
            state = page
            if not page["more"]:
                return state
            after = page["rows"][-1][0]
        return None

    def alive_in(self, name: str) -> set[str] | None:
        view = self.view(name)
        if view is None:
            return None
        return {view["me"]} | {m["name"] for m in view["members"] if m["state"] in ("alive", "suspect")}

    def until(self, check: object, most_s: float, every_s: float = 0.1) -> float | None:
        """Returns the seconds until `check()` holds, or None if it did not within `most_s`.

        Raises MemberExitedError if a member failed meanwhile, which would otherwise show only as a time-out.
        """
        began = time.monotonic()
        while time.monotonic() - began < most_s:
            if check():
                return time.monotonic() - began
            self._check_processes()
            time.sleep(every_s)
        return None

    def _check_processes(self) -> None:
        for name, child in self.children.items():
            if (code := child.poll()) is not None and code > 0:
                lines = (self.folder / f"{name}.log").read_text(errors="replace").splitlines()
                raise MemberExitedError(f"{name} ended with {code}: {lines[-1] if lines else 'no output'}")
