"""One real backend as `run` starts it, with stub peers that record their own time, for benchmarks/slopes.py.

The stubs follow the protocol page. They share this process's event loop with the load; the backend runs in a
process of its own, whose processor time and memory are read from /proc.
"""

import asyncio
import ctypes
import itertools
import json
import os
import random
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import uvloop

ROOT = Path(__file__).parent.parent
RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
RUN_S = 0.010  # mean duration of a run at the stub worker agent, varied by up to 25%
DOWNSTREAM_CALL_S = 0.002  # duration of a call at the stub downstream
TIMEOUT_S = 60.0
PR_SET_PDEATHSIG = 1
FLEET_SIZE, FLEET_RATE, CALLERS, TENANTS = 5200, 590_000, 47_000, 170_000  # sizes of the deployment
_libc = ctypes.CDLL(None)
_bed_numbers = itertools.count(1)


class TestBedError(RuntimeError):
    """An expected event did not occur, or the backend reported a defect."""


def backend_settings(tenants: int = 1, types: int = 1, calls: bool = False) -> dict:
    """One backend's settings, with enough cores and memory that nothing waits for them."""
    return {
        "caps": {"max_retry_after": 1000, "retry_after": True},
        "family_info": {
            "calls_out": 50, "calls_over": 5000, "class_calls": [calls] * types, "cpus": 16,
            "deep_checks": False, "downstream": "one_for_all", "fresh_for": 0,
            "gauges": ["core_use", "on_cores"], "halt": "discard", "keepalive_max": 600_000, "key_kb": 100,
            "lingers": 200, "passes_deadline": True, "ram_kb": 10_000_000, "run_factor": 8,
            "signal": "allowance", "worth_without": [0] * types,
        },
        "invariants": {
            "answer_slack": 80, "cold": 15000, "cold_from": 0.25, "fall_multiple": 8,
            "stop_sending_within": 2000,
        },
        "lanes": [
            {"name": f"type-{n}", "promise": 1500, "deadline": 4000, "semantics": "safe"}
            for n in range(types)
        ],
        "over_share_worth": 0.1,
        "realms": [
            {"name": f"tenant-{n:06}", "quota_per_s": round(FLEET_RATE / tenants, 3)} for n in range(tenants)
        ],
        "servers": FLEET_SIZE,
    }  # fmt: skip


class WorkerAgent(asyncio.Protocol):
    """Stub of the worker agent; adds the time that a request spends here to `external_s` of the test bed."""

    def __init__(self, test_bed: "TestBed") -> None:
        self.test_bed, self.buffer, self.message_number = test_bed, b"", 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        now = time.perf_counter()
        self.test_bed.agent_bytes += len(data)
        data = self.buffer + data
        while (end := data.find(b"\r\n")) >= 0:
            fields, after = data[:end].split(b" "), end + 2
            if fields[0] in (b"launch", b"deliver"):
                size = int(fields[-1])
                if len(data) < after + size + 2:
                    break
                after += size + 2
            self._handle(now, fields)
            data = data[after:]
        self.buffer = data

    def _handle(self, now: float, fields: list[bytes]) -> None:
        match fields:
            case [b"subscribe", _]:
                self._write(b"greeting WARM 60000\r\n")
            case [b"sample", tag]:
                self._write(b"sampled %s 0.1 1\r\n" % tag)
            case [b"launch", ident, _, _]:
                run = RUN_S * (0.75 + 0.5 * self.test_bed.rng.random())
                next_step = self._send_request if self.test_bed.calls else self._send_outcome
                self.test_bed.loop.call_later(run, next_step, ident, now, now)
            case [b"deliver", ident, _]:
                self.test_bed.loop.call_later(RUN_S / 2, self._send_outcome, ident, now, now - RUN_S)
            case [b"exercise", tag]:
                self._write(b"exercised %s OK\r\n" % tag)

    def _send_request(self, ident: bytes, now: float, _: float) -> None:
        self.message_number += 1
        self._write(b"request %d %s 100\r\n%s\r\n" % (self.message_number, ident, b"c" * 100))
        self.test_bed.external_s[ident] = self.test_bed.external_s.get(ident, 0.0) + time.perf_counter() - now

    def _send_outcome(self, ident: bytes, now: float, began: float) -> None:
        self.message_number += 1
        took = (time.perf_counter() - began) * 1000
        self._write(b"outcome %d %s OK %.3f 500\r\n%s\r\n" % (self.message_number, ident, took, b"r" * 500))
        self.test_bed.external_s[ident] = self.test_bed.external_s.get(ident, 0.0) + time.perf_counter() - now

    def _write(self, data: bytes) -> None:
        self.test_bed.agent_bytes += len(data)
        self.transport.write(data)


class HttpServer(asyncio.Protocol):
    """Stub of the control plane (`control_response` at once) or of the downstream (200 after a delay)."""

    def __init__(self, test_bed: "TestBed", downstream: bool) -> None:
        self.test_bed, self.downstream, self.buffer = test_bed, downstream, b""

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.test_bed.control_links += not self.downstream

    def data_received(self, data: bytes) -> None:
        data = self.buffer + data
        while (end := data.find(b"\r\n\r\n")) >= 0:
            size = int(data[:end].lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
            if len(data) < end + 4 + size:
                break
            if self.downstream:
                ident = data.partition(b"Parent-Call: ")[2][:16]
                self.test_bed.loop.call_later(DOWNSTREAM_CALL_S, self._respond, ident, time.perf_counter())
            else:
                self.test_bed.reports.append(
                    (time.time(), end + 4 + size + len(self.test_bed.control_response))
                )
                self.transport.write(self.test_bed.control_response)
            data = data[end + 4 + size :]
        self.buffer = data

    def _respond(self, ident: bytes, now: float) -> None:
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + b"b" * 100)
        self.test_bed.external_s[ident] = self.test_bed.external_s.get(ident, 0.0) + time.perf_counter() - now


class Process:
    """A child process and its figures from /proc."""

    def __init__(self, command: list[str], environment: dict, log: Path) -> None:
        with log.open("wb") as out:
            self.began = time.time()
            self.child = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=out, stderr=out, env=environment, cwd=ROOT,
                preexec_fn=lambda: _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL),
            )  # fmt: skip
        self.proc = Path(f"/proc/{self.child.pid}")

    def cpu_ms(self) -> float:
        """Processor time of all threads so far."""
        cpu_times = (int(path.read_text().split()[0]) for path in self.proc.glob("task/*/schedstat"))
        return sum(cpu_times) / 1e6

    def memory_kb(self, what: str = "VmRSS") -> int:
        return int((self.proc / "status").read_text().partition(f"{what}:")[2].split()[0])

    def descriptors(self) -> int:
        return len(os.listdir(self.proc / "fd"))

    def end(self) -> None:
        self.child.kill()
        self.child.wait()


class TestBed:
    """The backend and its stub peers, at addresses that are unique to this test bed."""

    def __init__(
        self, folder: Path, seed: int, settings: dict, sockets: int = 1024, figures_ms: int | None = None
    ) -> None:
        self.folder, self.seed, self.settings, self.sockets = folder, seed, settings, sockets
        self.rng = random.Random(seed)
        self.calls = any(settings["family_info"]["class_calls"])
        self.host = (
            f"127.{64 + os.getpid() // 250 % 64}.{os.getpid() % 250 + 1}.{next(_bed_numbers) % 250 + 1}"
        )
        self.address = self.host, 7001
        self.external_s: dict[bytes, float] = {}
        self.reports: list[tuple[float, int]] = []  # time, and bytes in both directions
        self.control_response = b"HTTP/1.1 204 No Content\r\n\r\n"
        self.control_links = self.agent_bytes = 0
        self.path, self.log = folder / "configuration.json", folder / "backend.log"
        self.operator = folder / "operator.json" if figures_ms else None
        if figures_ms:
            records = {"version": 1, "records": {"figures_every_ms": figures_ms}}
            self.operator.write_text(json.dumps(records))

    def write(self) -> int:
        """Writes the current configuration; returns its size in bytes."""
        settings = {
            "name": "n1", "listen": f"{self.host}:7001", "agent": f"{self.host}:7300",
            "control": f"{self.host}:8500", "backend": f"{self.host}:5432", "seed": f"{self.seed:016x}",
            "stop_ms": 3200, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "settings": self.settings,
        }  # fmt: skip
        return self.path.write_text(json.dumps(settings))

    async def __aenter__(self) -> "TestBed":
        self.loop = asyncio.get_running_loop()
        makers = {
            7300: lambda: WorkerAgent(self),
            5432: lambda: HttpServer(self, True),
            8500: lambda: HttpServer(self, False),
        }
        self.servers = [
            await self.loop.create_server(maker, self.host, port) for port, maker in makers.items()
        ]
        self.size = self.write()
        environment = os.environ | {"PROXY_CONFIG": str(self.path), "PYTHONPATH": str(ROOT)}
        environment.pop("CROWWING_OPERATOR", None)
        if self.operator:
            environment["CROWWING_OPERATOR"] = str(self.operator)
        self.process = Process(["/bin/sh", "-c", RUN], environment, self.log)
        await self.wait_for(lambda: self.reports and self.events("started"))
        self.start_ms = (self.events("started")[0]["at"] / 1e6 - self.process.began) * 1000
        self.ready_ms = (self.reports[0][0] - self.process.began) * 1000
        return self

    async def __aexit__(self, *_: object) -> None:
        self.process.end()
        for server in self.servers:
            server.close()

    def events(self, name: str) -> list[dict]:
        lines = self.log.read_text().splitlines()
        return [line for line in map(json.loads, lines) if line["event"] == name]

    async def wait_for(self, condition: object) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                if self.process.child.poll() is not None:
                    raise TestBedError(f"the backend has exited: {self.log.read_text()[-500:]}")
                await asyncio.sleep(0.01)

    def check_counters(self) -> None:
        """Raises TestBedError if the log lines count a defect or a broken invariant."""
        for line in self.events("figures"):
            if broken := [name for name in line["counts"] if name.startswith(("broken", "defect", "stray"))]:
                raise TestBedError(f"the backend reports {broken}")


class EchoServer(asyncio.Protocol):
    """Responds to each request at once like a backend, to measure the overhead of the load itself."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport, self.buffer = transport, b""

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head, end, body = self.buffer.partition(b"\r\n\r\n")
        size = int(head.partition(b"Content-Length: ")[2].split(b"\r\n")[0] or 0) if end else 0
        if end and len(body) >= size:
            self.buffer = b""
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n" + b"r" * 500)


async def _serve_echo(host: str) -> None:
    await (await asyncio.get_running_loop().create_server(EchoServer, host, 7001)).serve_forever()


if __name__ == "__main__":
    uvloop.run(_serve_echo(sys.argv[1]))
