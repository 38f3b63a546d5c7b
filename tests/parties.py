"""Fake worker agent, downstream and control plane, written from the protocol documents."""

import asyncio
import re
from collections import deque
from collections.abc import Callable


class FarmAgent:
    """A worker agent that runs requests at once unless `hold` is set; resends notices after a reconnect."""

    def __init__(self) -> None:
        self.begun: dict[str, int] = {}  # request -> runs started
        self.bodies: dict[str, bytes] = {}
        self.running: dict[str, str] = {}
        self.calling: set[str] = set()
        self.pays: set[str] = set()  # non-idempotent
        self.replies: dict[str, bytes] = {}
        self.notices: list[bytes] = []
        self.writer: asyncio.StreamWriter | None = None
        self.hold = self.mute = False
        self.links, self.greet, self.samples = 0, b"greeting WARM 60000\r\n", 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.links += 1
        try:
            while line := await reader.readline():
                words = line.decode().split()
                blob = b""
                if words[0] in ("launch", "deliver"):
                    blob = (await reader.readexactly(int(words[-1]) + 2))[:-2]
                self.obey(words, blob, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()

    def obey(self, words: list[str], blob: bytes, writer: asyncio.StreamWriter) -> None:
        match words:
            case ["subscribe", number]:
                self.writer = writer
                if self.greet:
                    writer.write(self.greet + b"".join(self.notices[int(number) :]))
            case ["launch", ident, kind, _] if ident not in self.running:
                self.begun[ident] = self.begun.get(ident, 0) + 1
                self.bodies[ident] = blob
                self.running[ident] = kind
                self.pays |= {ident} if kind == "pay" else set()
                if not self.hold:
                    self.go_on(ident)
            case ["deliver", ident, _] if ident in self.calling:
                self.calling.remove(ident)
                self.replies[ident] = blob
                self.end(ident, "OK")
            case ["freeze", ident]:
                self.end(ident, "STOPPED")
            case ["sample", tag] if not self.mute:
                self.samples += 1
                writer.write(f"sampled {tag} 0.5 {len(self.running)}\r\n".encode())
            case ["exercise", tag] if not self.mute:
                writer.write(f"exercised {tag} OK\r\n".encode())

    def go_on(self, ident: str) -> None:
        if self.running[ident] == "look":
            self.calling.add(ident)
            self.note(f"request {{}} {ident} {len(ident) + 5}", b"call:" + ident.encode())
        else:
            self.end(ident, "OK")

    def end(self, ident: str, end: str) -> None:
        if self.running.pop(ident, None):
            self.calling.discard(ident)
            result = self.result(ident) if end == "OK" else b""
            self.note(f"outcome {{}} {ident} {end} 12 {len(result)}", result)

    def answered(self, ident: str) -> None:
        """Stops a run that waits for a call, as its request has been answered."""
        if ident in self.calling:
            self.end(ident, "STOPPED")

    def result(self, ident: str) -> bytes:
        return f"\r\nresult of {ident} {self.bodies[ident]!r}".encode()

    def note(self, line: str, blob: bytes) -> None:
        data = line.format(len(self.notices) + 1).encode() + b"\r\n" + blob + b"\r\n"
        self.notices.append(data)
        if self.writer is not None and not self.writer.is_closing():
            self.writer.write(data)

    def cut(self) -> None:
        writer, self.writer = self.writer, None
        if writer is not None:
            writer.transport.abort()


class HttpStandIn:
    """An HTTP server that answers by the next of `answers`, or by `usual`: bytes, 'hang', 'break' or both."""

    def __init__(self, usual: Callable[[str, bytes], bytes]) -> None:
        self.usual, self.answers = usual, deque()
        self.heard: list[tuple[str, bytes]] = []
        self.links = 0
        self.open: set[asyncio.StreamWriter] = set()  # open connections

    def cut(self) -> None:
        for writer in self.open:
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.links += 1
        self.open.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                body = await reader.readexactly(int(re.search(r"Content-Length: (\d+)", head)[1]))
                self.heard.append((head, body))
                answer = self.answers.popleft() if self.answers else self.usual(head, body)
                if answer == "break":
                    break
                if isinstance(answer, tuple):  # the first bytes of an answer, then the end of the connection
                    writer.write(answer[0])
                    await writer.drain()
                    break
                if answer != "hang":
                    writer.write(answer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.open.discard(writer)
        writer.close()


def reply(status: int, body: bytes = b"", extra: str = "") -> bytes:
    return f"HTTP/1.1 {status} So\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body
