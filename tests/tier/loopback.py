"""A tier of real processes on loopback, with fakes of the platform's list and of sidecars."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import httpx

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME, SERVICE = "shop.example", "advisor"
EVENTS = 6
START_LIMIT_S = 30.0
POLL_S = 0.05


class Sidecar:
    """A fake sidecar that streams events with a configurable pause."""

    def __init__(self, name: str, host: str) -> None:
        self.name, self.host = name, host
        self.address = ""
        self.runs: list[str] = []  # request ids in order of their start
        self.pause_s = 0.01
        self._server: asyncio.Server | None = None
        self.padding = 0  # additional bytes per event
        self.open_requests = 0  # requests in progress
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts listening."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{port}"

    def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    def reset_connections(self) -> None:
        """Resets all connections."""
        for writer in list(self._open):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                headers = {
                    line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip() for line in head[1:] if line
                }
                await reader.readexactly(int(headers.get("content-length", "0")))
                self.open_requests += 1
                try:
                    await self._respond(head[0], headers, writer)
                finally:
                    self.open_requests -= 1
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def _respond(self, line: str, headers: dict[str, str], writer: asyncio.StreamWriter) -> None:
        if line.startswith("GET /report"):
            body = b'{"waiting":0,"running":0}'
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            return
        request_id = headers["request-id"]
        if headers.get("target-instance") != self.name:
            header = b"Request-Id: " + request_id.encode()
            writer.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n" + header + b"\r\n\r\n")
            return
        self.runs.append(request_id)
        first = int(headers.get("last-event-id", "0")) + 1
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            b"Server-Load: 1,0,48\r\nServer-Stamp: s1\r\nRequest-Id: " + request_id.encode() + b"\r\n\r\n"
        )
        for number in range(first, EVENTS + 1):
            padding = b": " + b"." * self.padding + b"\n" if self.padding else b""
            event = padding + f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        writer.write(b"0\r\n\r\n")


class Platform:
    """A fake server of the platform's list."""

    def __init__(self, sidecars: list[Sidecar]) -> None:
        self.sidecars = sidecars
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts listening."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                entries = [
                    {
                        "id": x.name, "service": SERVICE, "address": x.address, "zone": "z1", "slots": 48,
                        "state": "ready",
                    }
                    for x in self.sidecars
                ]  # fmt: skip
                body = json.dumps({"instances": entries, "nextToken": None}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


def configuration(version: int) -> bytes:
    """Returns a configuration of three routes: resumable streams, other streams, and batch jobs."""
    common = {"host": HOST_NAME, "service": SERVICE, "maxAttempts": 3, "timeoutMs": 6000, "sloMs": 400}
    routes = [
        {"name": "ask", "pathPrefix": "/ask/", "kind": "stream", "resumable": True, **common},
        {"name": "once", "pathPrefix": "/once/", "kind": "stream", "resumable": False, **common},
        {"name": "lots", "pathPrefix": "/lot/", "kind": "batch_queue", "completionSloMs": 12000, **common},
    ]
    services = [{"name": SERVICE, "maxConns": 300}]
    limits = {"maxHeaderBytes": 16_000, "headerTimeoutMs": 700, "idleTimeoutMs": 800}
    document = {"version": version, "routes": routes, "services": services, "limits": limits}
    return json.dumps(document).encode()


class Loopback:
    """A tier with store machines at 127.1.x.y and fronts at 127.2.x.y."""

    def __init__(self, folder: Path, stores: int = 3, fronts: int = 2) -> None:
        self.folder = folder
        self.number = os.getpid() % 200 + 20
        self.sidecars = [Sidecar(f"i-{number}", "127.0.0.1") for number in range(2)]
        self.platform = Platform(self.sidecars)
        self.stores = [f"127.1.{self.number}.{number + 1}" for number in range(stores)]
        self.fronts = [f"127.2.{self.number}.{number + 1}" for number in range(fronts)]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.port = 20000 + os.getpid() % 9000

    async def __aenter__(self) -> "Loopback":
        for sidecar in self.sidecars:
            await sidecar.start()
        await self.platform.start()
        for host in (*self.stores, *self.fronts):
            self.launch(host, bootstrap=True)
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()
        for sidecar in self.sidecars:
            sidecar.stop()

    def launch(self, host: str, bootstrap: bool = False) -> None:
        """Starts the process of a machine; its disk keeps the data of earlier processes."""
        role = "store" if host in self.stores else "front"
        listen = (
            f'control = "{host}:{self.port + 1}"'
            if role == "store"
            else f'front = "{host}:{self.port + 1}"\nready = "{host}:{self.port + 2}"'
        )
        seeds = ", ".join(f'"{store}:{self.port + 1}"' for store in self.stores[:3])
        text = f"""
node = "{role}-{host}"
ip = "{host}"
zone = "z1"
portRange = [{self.port}, {self.port}]
seeds = [{seeds}]
bootstrap = {str(bootstrap).lower()}
dataDir = "{self.folder / host}"
[listen]
{listen}
[bounds]
graceS = 4
[cloud]
address = "{self.platform.address}"
"""
        path = self.folder / f"{host}.toml"
        path.write_text(text)
        environment = {**os.environ, "CROWWING_SETTINGS": str(path)}
        with (self.folder / f"{host}.log").open("ab") as log:
            self.processes[host] = subprocess.Popen(
                [sys.executable, "-m", "crowwing", "tier", role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def kill(self, host: str, number: int = signal.SIGKILL) -> None:
        """Sends a signal to the process of a machine."""
        self.processes[host].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[host].wait()

    def url(self, host: str, path: str) -> str:
        """The external URL of a path on a machine."""
        return f"http://{host}:{self.port + 1}{path}"

    async def wait_until(
        self, description: str, condition: Callable[[], Awaitable[Any]], limit_s: float = START_LIMIT_S
    ) -> Any:  # noqa: ANN401
        """Polls until the condition is true, and returns its value; raises AssertionError at the limit."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            try:
                result = await condition()
            except httpx.HTTPError:
                result = None
            if result:
                return result
            await asyncio.sleep(POLL_S)
        logs = "\n".join(path.read_text()[-1500:] for path in sorted(self.folder.glob("*.log")))
        raise AssertionError(f"{description}: not reached within {limit_s} s\n{logs}")
