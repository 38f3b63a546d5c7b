"""Stand-ins for a review script: settings, processes, platform, sidecars, operator and clients, on loopback.

Standard library only. The tier's processes are started with the `run` lines of deploy/system.toml.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
SERVICE, HOST = "huvo11a", "nony24.example"
CONTACT_S, DRAIN_S, CONFIG_APPLY_S = 3.0, 3.0, 2.0


class CouldNotRunError(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, line by line in `record.txt`."""

    def __init__(self, folder: Path) -> None:
        """Empties the record of a folder."""
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Adds one line with the seconds since the start."""
        line = f"{time.monotonic() - self._began:8.3f} s  {text}"
        self._file.write(line.encode("unicode_escape").decode() + "\n")
        self._file.flush()


def with_trouble() -> bool:
    """Whether the script plays the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Bed:
    """The processes of one run, in a temporary folder; all of them end with the context."""

    def __init__(self, record: Record, stores: int = 3, fronts: int = 1) -> None:
        """Draws loopback addresses and a free port."""
        net = f"127.{random.randrange(16, 200)}.{random.randrange(1, 250)}"
        self.stores = [f"{net}.{n}" for n in range(1, stores + 1)]
        self.fronts = [f"{net}.{n}" for n in range(101, 101 + fronts)]
        self.record = record
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.platforms: dict[str, str] = {}  # the platform's address for each machine, if not the common one
        self.platform_address = ""
        self.port = _free_port([*self.stores, *self.fronts])
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self._commands = {name: role["run"].split() for name, role in roles.items()}

    def __enter__(self) -> "Bed":
        """Checks that the build of the deploy file was made."""
        if not (ROOT / "target" / "deps").is_dir():
            raise CouldNotRunError("target/deps is missing: run the build of deploy/system.toml first")
        return self

    def __exit__(self, *_: object) -> None:
        """Ends all processes and removes the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self._temporary.cleanup()

    def start(self, host: str, bootstrap: bool = False) -> None:
        """Starts the process of a machine on its existing files."""
        role = "store" if host in self.stores else "front"
        path = self.folder / f"{host}.toml"
        path.write_text(self._settings(host, role, bootstrap))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment |= {"CROWWING_SETTINGS": str(path), "PYTHONPATH": str(ROOT / "target" / "deps")}
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.folder / f"{host}.log").open("ab") as log:
            self.processes[host] = subprocess.Popen(
                self._commands[role], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(f"{self.name(host)} is started")

    def name(self, host: str) -> str:
        """The name of a machine."""
        if host in self.stores:
            return f"store-{self.stores.index(host) + 1}"
        return f"front-{self.fronts.index(host) + 1}"

    def _settings(self, host: str, role: str, bootstrap: bool) -> str:
        number = (self.stores if role == "store" else self.fronts).index(host)
        zone = ("han-hall", "con-hall", "hoa-khanh")[number % 3]
        listen = f'control = "{host}:{self.port + 1}"'
        limits = "cpuShare = 0.717\ncores = 3\nmemoryMb = 340\nmaxFds = 8200\nlinkMbps = 600.0\ndiskMb = 420"
        if role == "front":
            listen = f'front = "{host}:{self.port + 1}"\nready = "{host}:{self.port + 2}"'
            limits = (
                "cpuShare = 0.537\ncores = 2\nmemoryMb = 300\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0"
            )
        data_dir = f'dataDir = "{self.folder / host}"\n' if role == "store" else ""
        seeds = ",".join(f'"{store}:{self.port + 1}"' for store in self.stores[:3])
        platform = self.platforms.get(host, self.platform_address)
        return (
            f'node = "{self.name(host)}"\nrole = "{role}"\nmachineClass = "{role}"\n'
            f'ip = "{host}"\nzone = "{zone}"\nregion = "danang"\nportRange = [{self.port},{self.port}]\n'
            f"seeds = [{seeds}]\nbootstrap = {str(bootstrap).lower()}\n{data_dir}"
            f"countsForQuorum = {str(role == 'store').lower()}\n"
            f"[listen]\n{listen}\n[limits]\n{limits}\n"
            "[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n"
            "[bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4.8\n"
            "drainMs = 3000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\n"
            "maxSkewMs = 5000\nrecoveryS = 12\npass_ms = 120\nagain_s = 0\nfinishS = 10\nstatusS = 120\n"
            "cancelMs = 3000\nsettleMs = 1000\nquotaOvershoot = 0.1\n"
            f'[cloud]\naddress = "{platform}"\nratePerS = 47.0\nduties = []\nlagMs = 800\n'
        )

    def signal(self, host: str, number: signal.Signals) -> None:
        """Sends a signal to the process of a machine."""
        self.record.write(f"{self.name(host)} gets {number.name}")
        self.processes[host].send_signal(number)

    def log(self, host: str) -> str:
        """The log of a machine."""
        return (self.folder / f"{host}.log").read_text()

    def primary(self) -> str:
        """The store machine that was elected last."""
        elections: dict[str, str] = {}
        for host in self.stores:
            for line in self.log(host).splitlines():
                if " primary_elected " in line:
                    elections[line.split()[0]] = host
        if not elections:
            raise CouldNotRunError("no primary was elected")
        return elections[max(elections)]

    async def put(self, base: int, configuration: dict[str, object], timeout_s: float = 20.0) -> int:
        """Sends a configuration as the operator does, until there is a clear answer; returns the status."""
        text = json.dumps(configuration).encode()
        headers = {"If-Match": str(base), "Content-Type": "application/json"}
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            for store in self.stores:
                with contextlib.suppress(OSError, EOFError, TimeoutError, ValueError):
                    answer = await request(store, self.port + 1, "PUT", "/config", headers, text, 2.0)
                    if answer.status in (200, 400, 409, 412, 413, 422):
                        version = configuration["version"]
                        self.record.write(f"operator: PUT /config version {version}: {answer.status}")
                        return answer.status
            await asyncio.sleep(0.1)
        raise CouldNotRunError("a configuration got no clear answer")

    async def until_ready(self, timeout_s: float = 20.0) -> None:
        """Waits until every front answers GET /ready with 200."""
        deadline = time.monotonic() + timeout_s
        for front in self.fronts:
            while True:
                with contextlib.suppress(OSError, EOFError, TimeoutError, ValueError):
                    if (await request(front, self.port + 2, "GET", "/ready", {}, b"", 1.0)).status == 200:
                        break
                if time.monotonic() > deadline:
                    raise CouldNotRunError(f"{self.name(front)} did not become ready")
                await asyncio.sleep(0.1)
        self.record.write("all fronts are ready")


def _free_port(hosts: list[str]) -> int:
    """The first of three ports that are free at all addresses."""
    for _ in range(100):
        port = random.randrange(21_000, 31_000, 10)
        try:
            for host in hosts:
                for number in range(port, port + 3):
                    with socket.socket() as probe:
                        probe.bind((host, number))
        except OSError:
            continue
        return port
    raise CouldNotRunError("no free ports")


# HTTP


class Answer:
    """An HTTP response: status, headers by lower-case name, body, and whether it ended as complete."""

    def __init__(self, status: int, headers: dict[str, str]) -> None:
        """Starts with an empty body."""
        self.status, self.headers = status, headers
        self.body = b""
        self.complete = False


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    pairs = (line.split(":", 1) for line in lines if ":" in line)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


async def request(
    host: str, port: int, method: str, path: str, headers: dict[str, str], body: bytes, timeout_s: float
) -> Answer:
    """Sends one request on a new connection; an answer that breaks off has `complete` False."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = {"Host": f"{host}:{port}", **headers}
            if body or method in ("POST", "PUT"):
                lines["Content-Length"] = str(len(body))
            head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in lines.items())
            writer.write(head.encode("latin-1") + b"\r\n" + body)
            first, answered = await _read_head(reader)
            answer = Answer(int(first.split(" ")[1]), answered)
            await _read_body(reader, answer)
            return answer
        finally:
            writer.close()


async def _read_body(reader: asyncio.StreamReader, answer: Answer) -> None:
    try:
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                answer.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        elif "content-length" in answer.headers:
            answer.body = await reader.readexactly(int(answer.headers["content-length"]))
        else:
            answer.body = await reader.read()
        answer.complete = True
    except (asyncio.IncompleteReadError, OSError):
        return


# The platform's list


class Platform:
    """Serves `GET /instances`; `entries` may change at any time."""

    def __init__(self) -> None:
        """Starts with an empty list."""
        self.entries: list[dict[str, object]] = []
        self.address = ""

    async def answer(self, writer: asyncio.StreamWriter, head: bytes, body: bytes) -> None:
        """Sends one answer."""
        writer.write(head + body)

    async def start(self) -> None:
        """Listens on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await _read_head(reader)
                body = json.dumps({"instances": self.entries, "nextToken": None}).encode()
                head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
                await self.answer(writer, head.encode(), body)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            writer.close()


def entry(instance: str, address: str, service: str = SERVICE, state: str = "ready") -> dict[str, object]:
    """An entry of the list."""
    return {
        "service": service, "address": address, "zone": "han-hall", "version": "v1", "slots": 48,
        "state": state, "coldLeftMs": 0, "stage": "both",
        "models": [{"name": "m", "version": 1, "adapters": []}], "id": instance,
    }  # fmt: skip


# Sidecars

Run = Callable[[dict[str, str], asyncio.StreamWriter], Awaitable[bool]]


class Sidecar:
    """A sidecar: answers /report, /health and 421; `run` answers a request, and returns whether to go on."""

    def __init__(self, instance: str, run: Run) -> None:
        """Starts without connections."""
        self.instance, self._run = instance, run
        self.address = ""
        self.draining = False

    async def start(self) -> None:
        """Listens on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            goes_on = True
            while goes_on:
                first, headers = await _read_head(reader)
                await reader.readexactly(int(headers.get("content-length", "0")))
                if first.startswith("GET /report "):
                    _respond(writer, 200, {}, REPORT)
                elif first.startswith("GET "):
                    _respond(writer, 503 if self.draining else 200, {"Instance-Id": self.instance}, b"")
                elif headers.get("target-instance", self.instance) != self.instance:
                    identity = {"Instance-Id": self.instance, "Request-Id": headers.get("request-id", "")}
                    _respond(writer, 421, identity, b"")
                else:
                    goes_on = await self._run(headers, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()


REPORT = (
    b'{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,'
    b'"waiting":0,"running":0,"kvUsed":0,"kvTotal":452220,"handles":0}'
)


def _respond(writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: bytes) -> None:
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    writer.write(f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body)


def stream_head(headers: dict[str, str], framing: str = "Transfer-Encoding: chunked") -> bytes:
    """The head of a stream of events."""
    return (
        f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {headers['request-id']}\r\n"
        f"Server-Stamp: stamp-{headers['request-id']}\r\nServer-Load: 1,0,48\r\nVersions: 1\r\n{framing}\r\n\r\n"
    ).encode("latin-1")


def event(number: int, data: str) -> bytes:
    """One event; a line of `data` ends at CR LF, LF or CR only, as in the format of event streams."""
    lines = data.replace("\r\n", "\n").replace("\r", "\n").split("\n")
    return (f"id: {number}\n" + "".join(f"data: {line}\n" for line in lines) + "\n").encode()


def chunk(data: bytes) -> bytes:
    """One chunk of a body."""
    return b"%x\r\n" % len(data) + data + b"\r\n"


LAST_CHUNK = b"0\r\n\r\n"


# The configuration

STREAM = {"kind": "stream", "timeoutMs": 6000, "sloMs": 200, "priority": 0, "maxAttempts": 1, "sticky": True,
          "resumable": False, "gap_aim_ms": 300}  # fmt: skip
RESUMABLE = STREAM | {"timeoutMs": 4000, "sloMs": 400, "maxAttempts": 2, "resumable": True}
BATCH = {"kind": "batch_queue", "timeoutMs": 10000, "sloMs": 400, "priority": 2, "maxAttempts": 3,
         "completionSloMs": 12000, "maxWaitS": 40, "sticky": True}  # fmt: skip


def route(name: str, prefix: str, kind: dict[str, object], service: str = SERVICE) -> dict[str, object]:
    """A route."""
    return {"name": name, "host": HOST, "pathPrefix": prefix, "service": service, **kind}


def configuration(
    version: int, routes: list[dict[str, object]], services: tuple[str, ...] = (SERVICE,)
) -> dict[str, object]:
    """A configuration."""
    return {
        "version": version, "routes": routes,
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": 310, "protocol": "h1", "tls": False,
             "engine": {"slots": 48, "kvCapacityTokens": 452220, "kvTokenBytes": 327680,
                        "linkMbps": 2200000.0, "stride": 15, "models": [{"name": "m"}]}}
            for name in services
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
    }  # fmt: skip


def new_id() -> str:
    """An id of a request, a batch job or an item."""
    return f"{random.getrandbits(64):016x}"


def main(folder: Path, case: Callable[[Record], Awaitable[int]]) -> int:
    """Runs a case for at most 115 s; returns the exit status of the script."""

    async def limited(record: Record) -> int:
        async with asyncio.timeout(115):
            return await case(record)

    record = Record(folder)
    try:
        status = asyncio.run(limited(record))
    except Exception as error:  # whatever stops the script, the rule was not judged
        record.write(f"could not run: {type(error).__name__}: {error}")
        status = NOT_RUN
    record.write({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[status])
    return status
