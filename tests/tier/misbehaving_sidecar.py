"""A sidecar that misbehaves at random by a seed, and a log of what it ran and answered."""

import asyncio
import hashlib
import socket
import struct
from collections import Counter
from dataclasses import dataclass, field
from random import Random

EVENTS = 5
EVENT_LINE_ENDS = ("\n", "\r\n", "\r")
STREAM_PATHS = ("/stream/", "/once/")
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # closing resets the connection


@dataclass
class Ledger:
    """What all sidecars together ran, and the complete bodies that they sent, by the request's id."""

    runs: Counter[str] = field(default_factory=Counter)
    bodies: dict[str, list[bytes]] = field(default_factory=dict)
    spoilt: list[str] = field(default_factory=list)  # requests that arrived altered


@dataclass
class ReceivedRequest:
    """One request as it arrived."""

    id: str
    path: str
    headers: dict[str, str]
    body: bytes = b""


def body_of(path: str, request_id: str) -> bytes:
    """What a client sends."""
    return hashlib.blake2b((path + request_id).encode()).hexdigest().encode() * (1 + int(request_id, 36) % 40)


def events_of(request_id: str, first: int = 1) -> bytes:
    """The events of a stream from one on. Its line ends, and a separator in its data, depend on its id."""
    number = int(request_id, 36)
    line_end = EVENT_LINE_ENDS[number % len(EVENT_LINE_ENDS)]
    separator = "\u2028\x0c\x1e:"[number % 4]
    lines = ((f"id: {n}", f"data: {request_id}{separator}{n}", "", "") for n in range(first, EVENTS + 1))
    return "".join(line_end.join(event) for event in lines).encode()


class MisbehavingSidecar:
    """Answers by the protocol, or at random with one of several faults."""

    def __init__(self, name: str, ledger: Ledger, random: Random, fault_rate: float = 0.5) -> None:
        self.name, self._ledger, self._random, self._fault_rate = name, ledger, random, fault_rate
        self._numbers = 0
        self.address = ""

    async def start(self) -> None:
        """Starts to listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stops listening."""
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            if self._random.random() < 0.02 * self._fault_rate:
                return  # closed after it was accepted
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, OSError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass  # the peer has disconnected, or the run has ended
        finally:
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in head[1:] if line)
        }
        length = int(headers.get("content-length", "0"))
        if head[0].startswith("GET /report"):
            return await self._report(writer)
        request = ReceivedRequest(headers.get("request-id", ""), head[0].split(" ")[1], headers)
        misbehaves = self._random.random() < self._fault_rate
        if misbehaves and self._random.random() < 0.08:
            await self._refuse(request, writer, early=True)
            await reader.readexactly(length)
            return True
        request.body = await reader.readexactly(length)
        if headers.get("target-instance") != self.name:
            writer.write(_head(421, request.id, [("Content-Length", "0")]))
            return True
        return await (self._misbehave(request, writer) if misbehaves else self._answer(request, writer))

    async def _report(self, writer: asyncio.StreamWriter) -> bool:
        body = b'{"waiting":0,"running":1}'
        if self._random.random() < 0.1 * self._fault_rate:
            body = b"nothing"
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        await writer.drain()
        return True

    async def _refuse(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter, early: bool = False
    ) -> None:
        body = b"full"
        fields = [("Content-Length", str(len(body))), ("Not-Executed", "1")]
        writer.write(_head(503, request.id, fields) + body)
        await writer.drain()
        if early:
            await asyncio.sleep(self._random.uniform(0, 0.003))

    def _run(self, request: ReceivedRequest) -> tuple[bytes, str]:
        """Runs a request; gives the body and the stamp of the response."""
        ledger = self._ledger
        ledger.runs[request.id] += 1
        sent = body_of(request.path, request.id)
        if request.body != sent or request.headers.get("model") != f"m-{request.id}":
            ledger.spoilt.append(request.id)
        if request.path.startswith(STREAM_PATHS):
            return events_of(request.id, int(request.headers.get("last-event-id", "0")) + 1), "stream"
        self._numbers += 1
        stamp = f"{self.name}.{self._numbers}"
        body = f"{request.id} {stamp} ".encode() * self._random.choice([1, 1, 1, 30, 3000])
        ledger.bodies.setdefault(request.id, []).append(body)
        return body, stamp

    async def _answer(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        if self._random.random() < 0.05:
            await self._refuse(request, writer)
            return True
        body, stamp = self._run(request)
        response, keeps = self._framed(request, 200, body, stamp)
        await self._write_in_chunks(writer, response)
        return keeps

    def _framed(
        self, request: ReceivedRequest, status: int, body: bytes, stamp: str, unframed: bool = False
    ) -> tuple[bytes, bool]:
        """An answer as bytes, and whether the connection stays open."""
        fields = [("Server-Stamp", stamp)]
        if unframed:
            return _head(status, request.id, fields) + body, False
        if self._random.random() < 0.5:
            return _head(status, request.id, [*fields, ("Content-Length", str(len(body)))]) + body, True
        split_at = self._random.randint(0, len(body))
        chunks = [chunk for chunk in (body[:split_at], body[split_at:]) if chunk]
        coded = b"".join(b"%x\r\n" % len(chunk) + chunk + b"\r\n" for chunk in chunks) + b"0\r\n\r\n"
        return _head(status, request.id, [*fields, ("Transfer-Encoding", "chunked")]) + coded, True

    async def _write_in_chunks(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if self._random.random() < 0.3:
            split_at = self._random.randint(0, len(data))
            writer.write(data[:split_at])
            await writer.drain()
            await asyncio.sleep(self._random.uniform(0, 0.002))
            data = data[split_at:]
        writer.write(data)
        await writer.drain()

    async def _misbehave(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        ways = [
            self._send_surplus, self._without_id, self._unframed, self._unframed_reset, self._cut_event,
            self._truncate, self._hang, self._informational, self._error, self._close_at_once,
            self._send_garbage, self._refuse_and_go_on,
        ]  # fmt: skip
        return await self._random.choice(ways)(request, writer)

    async def _send_surplus(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        """Sends a second response after a complete one: at once or later, complete or truncated."""
        body, stamp = self._run(request)
        response, _ = self._framed(request, 200, body, stamp)
        other = ReceivedRequest(self._random.choice([request.id, "zz9", ""]), request.path, request.headers)
        surplus, _ = self._framed(other, 200, b"surplus of " + request.id.encode(), "surplus")
        if self._random.random() < 0.3:
            surplus = surplus[: self._random.randint(1, len(surplus))]
        if self._random.random() < 0.4:
            writer.write(response + surplus)
        else:
            writer.write(response)
            await writer.drain()
            await asyncio.sleep(self._random.choice([0, 0.0005, 0.003]))
            split_at = self._random.randint(0, len(surplus))
            writer.write(surplus[:split_at])
            await writer.drain()
            await asyncio.sleep(self._random.choice([0, 0.001]))
            writer.write(surplus[split_at:])
        await writer.drain()
        return True

    async def _without_id(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        body, stamp = self._run(request)
        response, _ = self._framed(request, 200, body, stamp)
        writer.write(response.replace(f"Request-Id: {request.id}\r\n".encode(), b"", 1))
        await writer.drain()
        return True

    async def _unframed(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        body, stamp = self._run(request)
        response, keeps = self._framed(request, 200, body, stamp, unframed=True)
        await self._write_in_chunks(writer, response)
        return keeps

    async def _unframed_reset(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        body, stamp = self._run(request)
        response, _ = self._framed(request, 200, body, stamp, unframed=True)
        return await self._break_off(writer, response[: self._random.randint(0, len(response))], resets=True)

    async def _cut_event(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        """Ends a stream inside an event: regularly, by its framing or with its connection."""
        body, stamp = self._run(request)
        if request.path.startswith(STREAM_PATHS) and body:
            body = body[: -self._random.randint(5, 12)]  # of the last event, whose lines are longer
        unframed = self._random.random() < 0.5
        response, keeps = self._framed(request, 200, body, stamp, unframed)
        await self._write_in_chunks(writer, response)
        return keeps

    async def _truncate(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        body, stamp = self._run(request)
        response, _ = self._framed(request, 200, body, stamp)
        return await self._break_off(writer, response[: self._random.randint(0, len(response) - 1)])

    async def _break_off(self, writer: asyncio.StreamWriter, data: bytes, resets: bool | None = None) -> bool:
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(self._random.choice([0, 0.001]))
        raw = writer.get_extra_info("socket")
        if raw is not None and (self._random.random() < 0.5 if resets is None else resets):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        return False

    async def _hang(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        if self._random.random() < 0.5:
            self._run(request)
        await asyncio.sleep(self._random.uniform(0.02, 0.4))
        return False

    async def _informational(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        body, stamp = self._run(request)
        response, keeps = self._framed(request, 200, body, stamp)
        writer.write(b"HTTP/1.1 102 Processing\r\n\r\n" + response)
        await writer.drain()
        return keeps

    async def _error(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        body, stamp = self._run(request)
        response, keeps = self._framed(request, self._random.choice([500, 504]), b"error", stamp)
        writer.write(response)
        await writer.drain()
        return keeps

    async def _close_at_once(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        if self._random.random() < 0.5:
            self._run(request)
        return await self._break_off(writer, b"")

    async def _send_garbage(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        if self._random.random() < 0.5:
            self._run(request)
        writer.write(self._random.randbytes(self._random.randint(1, 200)))
        await writer.drain()
        return self._random.random() < 0.5

    async def _refuse_and_go_on(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        await self._refuse(request, writer)
        return True


def _head(status: int, request_id: str, fields: list[tuple[str, str]]) -> bytes:
    lines = [f"HTTP/1.1 {status} Told"]
    if request_id:
        lines.append(f"Request-Id: {request_id}")
    lines += [f"{name}: {value}" for name, value in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
