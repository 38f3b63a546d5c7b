"""Full transfer of a member's entries over a stream to a member far behind: TCP over IPv4, on the fleet's
port.

The requester sends one line, `{"from": name, "leaves": [256 digests]}`; in a fleet with cells the digests are
encoded, or empty if it has no entries, and `wide` has the digests of the fleet-wide state. It receives lines
of rows from the leaves that differ, then `{"end": lines, "sum": checksum}`. Without that last line, or with a
wrong checksum, nothing is stored: a truncated stream would otherwise pass for a complete one.
"""

import asyncio
from collections.abc import Callable, Iterable

import orjson
import xxhash

from crowwing.fleet.state.replica import Row

MAX_LINE_BYTES = 16_384  # a request has up to two lists of 256 digests, 5,400 bytes each
ROWS_PER_LINE = 20
REQUEST_TIMEOUT_S, SEND_TIMEOUT_S = 2.0, 20.0  # for the request line; for the whole response
CONNECT_TIMEOUT_S = 1.0  # then the next peer is tried: a starting member has 5 s in all
MAX_STREAMS = 4  # served at once; bounds processor and memory use while many members catch up


class TransferTruncatedError(ConnectionError):
    """The stream ended early, or its checksum does not match."""


class Server:
    """Serves full transfers; `missing(requester, request)` returns the rows, `known` says who may ask."""

    def __init__(self, missing: Callable[[str, dict], Iterable[Row]], known: Callable[[str], bool]) -> None:
        self.missing, self.known = missing, known
        self.server: asyncio.Server | None = None
        self.serving: set[asyncio.Task] = set()  # removed at their end
        self.rejected = 0

    async def open(self, listen: tuple[str, int]) -> None:
        self.server = await asyncio.start_server(self._serve, *listen, limit=MAX_LINE_BYTES)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in self.serving:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        try:
            if len(self.serving) >= MAX_STREAMS:
                self.rejected += 1
                return
            self.serving.add(task)
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                request = orjson.loads(await reader.readline())
            if not self.known(request["from"]):
                self.rejected += 1
                return
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await self._send(writer, self.missing(request["from"], request))
        except (OSError, ValueError, KeyError, TypeError, TimeoutError):
            # Malformed request, or the requester is gone; either way the stream has no end line
            self.rejected += 1
        finally:
            self.serving.discard(task)
            writer.close()

    async def _send(self, writer: asyncio.StreamWriter, missing: Iterable[Row]) -> None:
        checksum, count = xxhash.xxh64(), 0
        rows = list(missing)
        for begin in range(0, len(rows), ROWS_PER_LINE):
            line = orjson.dumps(rows[begin : begin + ROWS_PER_LINE]) + b"\n"
            checksum.update(line)
            writer.write(line)
            count += 1
            await writer.drain()  # lets the loop run between two lines
        writer.write(orjson.dumps({"end": count, "sum": checksum.intdigest()}) + b"\n")
        await writer.drain()


async def fetch(where: tuple[str, int], request: dict, within: float) -> list[Row]:
    """Fetches the rows that the member at `where` holds and we lack. ConnectionError, OSError or
    TimeoutError if they do not arrive completely within `within` seconds."""
    rows: list[Row] = []
    checksum, count = xxhash.xxh64(), 0
    async with asyncio.timeout(within):
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*where, limit=64 * MAX_LINE_BYTES)
        try:
            writer.write(orjson.dumps(request) + b"\n")
            await writer.drain()
            while line := await reader.readline():
                item = orjson.loads(line)
                if isinstance(item, dict):
                    if item.get("end") != count or item.get("sum") != checksum.intdigest():
                        raise TransferTruncatedError("full transfer: line count or checksum does not match")
                    return rows
                checksum.update(line)
                count += 1
                rows += item
        except ValueError as error:  # a malformed line, or one that is too long
            raise TransferTruncatedError(str(error)) from None
        finally:
            writer.close()
    raise TransferTruncatedError("full transfer ended without its end line")
