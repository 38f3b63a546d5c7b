"""Scripted sidecars on sockets behind a real request path, and clients for it."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import uvloop

from crowwing.tier.configuration import Configuration, RoutingTable
from crowwing.tier.front.service_pool import ServicePool
from crowwing.tier.platform_list import Sidecar, SidecarList
from tests.tier.exchanges import HOST, Response, read_response, serve_front


@dataclass
class Request:
    """A request as received by a sidecar."""

    headers: dict[str, str]
    at: float
    sidecars: "ScriptedSidecars"
    body: bytes = b""
    gone_at: float | None = None  # when its connection ended


Reply = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class ScriptedSidecars:
    """Scripted sidecars, and the requests that they received."""

    reply: Reply
    pool: ServicePool  # of the front that they serve
    got: list[Request] = field(default_factory=list)
    _writers: list[asyncio.StreamWriter] = field(default_factory=list)

    async def start(self, count: int) -> SidecarList:
        """Listens at `count` addresses."""
        self._servers = [await asyncio.start_server(self._serve, "127.0.0.1", 0) for _ in range(count)]
        self._ports = [server.sockets[0].getsockname()[1] for server in self._servers]
        return self.listed()

    def listed(self, ready: bool = True) -> SidecarList:
        """The endpoint list."""
        addresses = enumerate(f"127.0.0.1:{port}" for port in self._ports)
        return SidecarList(tuple(Sidecar(f"i{n}", "s", address, "z", 16, ready) for n, address in addresses))

    def stop(self) -> None:
        """Stops listening."""
        for server in self._servers:
            server.close()

    def crash(self, request: Request) -> None:
        """Closes all sockets of the sidecar that got a request, as the system does for a killed process."""
        number = int(request.headers["target-instance"].removeprefix("i"))
        self._servers[number].close()
        for writer in self._writers:
            if writer.get_extra_info("sockname")[1] == self._ports[number]:
                writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request: Request | None = None
        self._writers.append(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                fields = (line.partition(":") for line in head[1:] if line)
                headers = {name.lower(): value.strip() for name, _, value in fields}
                request = Request(headers, time.monotonic(), self)
                request.body = await reader.readexactly(int(headers.get("content-length", "0")))
                self.got.append(request)
                answering = asyncio.ensure_future(self.reply(request, writer))
                ended = asyncio.ensure_future(reader.read(1))
                await asyncio.wait({answering, ended}, return_when=asyncio.FIRST_COMPLETED)
                if ended.done() or not answering.done():
                    answering.cancel()
                    return
                ended.cancel()
                await asyncio.gather(ended, return_exceptions=True)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            if request is not None:
                request.gone_at = time.monotonic()
            writer.close()


def answer(request: Request, status: int = 200, body: bytes = b"ok", fields: str = "") -> bytes:
    """A complete response."""
    r_id = request.headers.get("request-id", "")
    head = (
        f"HTTP/1.1 {status} X\r\nRequest-Id: {r_id}\r\nServer-Stamp: t\r\n{fields}Content-Length: {len(body)}"
    )
    return head.encode() + b"\r\n\r\n" + body


def framings(request: Request, body: bytes) -> dict[str, bytes]:
    """A stream of events as a complete response of each framing; an unframed one ends with its connection."""
    head = answer(request, body=b"").partition(b"Content-Length")[0]
    chunks = b"%x\r\n" % len(body) + body + b"\r\n0\r\n\r\n"
    return {
        "unframed": head + b"\r\n" + body,
        "chunked": head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks,
        "with a length": head + b"Content-Length: %d\r\n\r\n" % len(body) + body,
    }


async def silent(_request: Request, _writer: asyncio.StreamWriter) -> None:
    """Never responds."""
    await asyncio.sleep(60)


def routes(**changes: Any) -> RoutingTable:  # noqa: ANN401
    """One route of each kind."""
    common = {"host": HOST, "timeoutMs": 400, "sloMs": 20_000, "service": "s", "maxAttempts": 2, **changes}
    kinds = {"/safe/": "safe", "/unsafe/": "unsafe", "/stream/": "stream", "/lot/": "batch_queue"}
    listed = [{"resumable": True, **common, "name": p, "pathPrefix": p, "kind": k} for p, k in kinds.items()]
    spec = {"version": 1, "routes": listed, "services": [{"name": common["service"], "maxConns": 400}]}
    return RoutingTable(Configuration.model_validate(spec))


def encoded(path: str, headers: str = "", body: bytes = b"b") -> bytes:
    """A client request, encoded."""
    head = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r1\r\n{headers}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def play(reply: Reply, work: Callable[[int], Awaitable[Any]], count: int = 2, **changes: Any) -> Any:  # noqa: ANN401
    """Runs clients against a front with scripted sidecars; returns their result, and what sidecars got."""

    async def run() -> tuple[Any, list[Request]]:
        pool = ServicePool()
        scripted = ScriptedSidecars(reply, pool)
        pool.table = routes(**changes)
        pool.apply_endpoint_list(await scripted.start(count))
        stop = asyncio.Event()
        port, serving = await serve_front(pool, stop)
        loops = asyncio.ensure_future(pool.run_loops())
        seen = await work(port)
        loops.cancel()
        stop.set()
        await serving
        scripted.stop()
        return seen, [request for request in scripted.got if "request-id" in request.headers]

    return uvloop.run(run())


async def one(port: int, request: bytes) -> tuple[Response, float]:
    """Sends one request on a new connection; returns the response and its duration."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    began = time.monotonic()
    writer.write(request)
    found = await asyncio.wait_for(read_response(reader), 10)
    writer.close()
    return found, time.monotonic() - began
