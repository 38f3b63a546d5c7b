"""Stub sidecars that respond to each request with a stream of events, a few milliseconds apart."""

import asyncio
from typing import Any

from benchmarks.tier_test_bed.processes import SERVICE, sidecar_entries

DEFAULT_EVENTS = 6  # unless the request has a header `Events`
DEFAULT_PAUSE_MS = 4  # unless the request has a header `Pause-Ms`
EVENT_TEXT = b"t" * 130
LOAD_REPORT = b'{"waiting":0,"running":0}'


async def start_sidecars(count: int, service: str = SERVICE) -> list[dict[str, Any]]:
    """Starts stub sidecars of one service; returns their entries in the platform's list."""
    entries = sidecar_entries(count, "127.0.0.1", service=service)
    for entry in entries:
        server = await asyncio.start_server(_serve, "127.0.0.1", 0)
        entry["address"] = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    return entries


async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            headers = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
            await reader.readexactly(int(headers.get("content-length", "0")))
            if head.startswith("GET"):
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LOAD_REPORT) + LOAD_REPORT
                )
            else:
                await _stream(headers, writer)
    except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError, KeyError):
        writer.close()


async def _stream(headers: dict[str, str], writer: asyncio.StreamWriter) -> None:
    writer.write(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nServer-Load: 1,0,48\r\n"
        b"Server-Stamp: s\r\nRequest-Id: " + headers["request-id"].encode() + b"\r\n\r\n"
    )
    first = int(headers.get("last-event-id", "0")) + 1
    pause_s = int(headers.get("pause-ms", DEFAULT_PAUSE_MS)) / 1000
    for number in range(first, int(headers.get("events", DEFAULT_EVENTS)) + 1):
        event = b"id: %d\ndata: " % number + EVENT_TEXT + b"\n\n"
        writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
        await writer.drain()
        await asyncio.sleep(pause_s)
    writer.write(b"0\r\n\r\n")
