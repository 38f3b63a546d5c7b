"""A member's whole copy over a stream, to one that is too far behind: TCP over IPv4, on the fleet's port.

The asker sends one line, `{"from": name, "leaves": [256 sums]}`, in a fleet in cells packed, or empty where
nothing is held, with `wide` for what is for all; it gets lines of rows from the leaves that differ, then
`{"end": rows, "sum": checksum}`. Without that last line, or with another sum, nothing is taken: a stream cut
in the middle would else pass for the whole.
"""

import asyncio
from collections.abc import Callable, Iterable

import orjson
import xxhash

from crowwing.fleet.state.replica import Row

LINE_MOST = 16_384  # bytes; 256 sums take 5,400, twice
ROWS_A_LINE = 20
ASK_WITHIN, SEND_WITHIN = 2.0, 20.0  # seconds: for the line that asks; for all that is sent
CONNECT_WITHIN = 1.0  # seconds; who starts has 5 in all, and asks the next of those that are there
STREAMS_MOST = 4  # served at once; guards a backend's core and memory while many catch up


class CutShort(ConnectionError):
    """The stream ended before all had come, or what came is not what was sent."""


class Server:
    """Answers fetches; `missing(asker, asked)` gives the rows, `known` who may ask."""

    def __init__(self, missing: Callable[[str, dict], Iterable[Row]], known: Callable[[str], bool]) -> None:
        self.missing, self.known = missing, known
        self.server: asyncio.Server | None = None
        self.serving: set[asyncio.Task] = set()  # emptied by each one's end
        self.turned_away = 0

    async def open(self, listen: tuple[str, int]) -> None:
        self.server = await asyncio.start_server(self._serve, *listen, limit=LINE_MOST)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in self.serving:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        try:
            if len(self.serving) >= STREAMS_MOST:
                self.turned_away += 1
                return
            self.serving.add(task)
            async with asyncio.timeout(ASK_WITHIN):
                asked = orjson.loads(await reader.readline())
            if not self.known(asked["from"]):
                self.turned_away += 1
                return
            async with asyncio.timeout(SEND_WITHIN):
                await self._send(writer, self.missing(asked["from"], asked))
        except (OSError, ValueError, KeyError, TypeError, TimeoutError):
            self.turned_away += 1  # no asker of ours, or gone meanwhile: it sees a stream without an end
        finally:
            self.serving.discard(task)
            writer.close()

    async def _send(self, writer: asyncio.StreamWriter, missing: Iterable[Row]) -> None:
        checksum, count = xxhash.xxh64(), 0
        rows = list(missing)
        for begin in range(0, len(rows), ROWS_A_LINE):
            line = orjson.dumps(rows[begin : begin + ROWS_A_LINE]) + b"\n"
            checksum.update(line)
            writer.write(line)
            count += 1
            await writer.drain()  # the loop goes on between two lines
        writer.write(orjson.dumps({"end": count, "sum": checksum.intdigest()}) + b"\n")
        await writer.drain()


async def fetch(where: tuple[str, int], asked: dict, within: float) -> list[Row]:
    """What the member there holds and we lack; `asked` is the line that asks. ConnectionError, OSError or
    TimeoutError where it did not come whole within `within` seconds."""
    rows: list[Row] = []
    checksum, count = xxhash.xxh64(), 0
    async with asyncio.timeout(within):
        async with asyncio.timeout(CONNECT_WITHIN):
            reader, writer = await asyncio.open_connection(*where, limit=64 * LINE_MOST)
        try:
            writer.write(orjson.dumps(asked) + b"\n")
            await writer.drain()
            while line := await reader.readline():
                told = orjson.loads(line)
                if isinstance(told, dict):
                    if told.get("end") != count or told.get("sum") != checksum.intdigest():
                        raise CutShort("not what was sent")
                    return rows
                checksum.update(line)
                count += 1
                rows += told
        except ValueError as wrong:  # a line that is none, or too long
            raise CutShort(str(wrong)) from None
        finally:
            writer.close()
    raise CutShort("no end")
