"""The farm agent's side of its link, as its lines are told: launches onto a machine, notices back.

One serves one life of a machine. Notices are kept and numbered from 1; a new link replaces the one before.
"""

import asyncio
from collections import deque
from typing import Protocol

from crowwing.emulator import clock
from crowwing.emulator.models.machine import Machine
from crowwing.emulator.truth import Try

KEPT = 4000


class Work(Protocol):
    """What the emulation knows of a ticket that came to this machine."""

    one: Try
    kind: str
    body: bytes
    kb: float
    work: int
    calls: bool


class Desk(Protocol):
    """Who the farm agent asks about tickets, and tells that something changed."""

    machine: Machine

    def work_of(self, ident: str) -> Work | None: ...

    def changed(self) -> None: ...


class Farm:
    def __init__(self, desk: Desk, began: int, cold: bool) -> None:
        self.desk, self.began, self.cold = desk, began, cold
        self.notices: deque[bytes] = deque(maxlen=KEPT)
        self.number = 0
        self.link: Link | None = None
        self.waiting: dict[str, bytes] = {}  # runs at a call -> its body; emptied by replies and ends

    def note(self, line: str, blob: bytes | None = None) -> None:
        """A notice; `line` has its number's place open."""
        self.number += 1
        data = line.replace("#", str(self.number), 1).encode() + b"\r\n"
        if blob is not None:
            data += blob + b"\r\n"
        self.notices.append(data)
        if self.link is not None:
            self.link.transport.write(data)

    def since(self, number: int) -> bytes:
        first = self.number - len(self.notices)
        return b"".join(list(self.notices)[max(0, number - first) :])

    # What the machine tells

    def calls(self, now: int, work: Work) -> None:
        body = b"ask:" + work.one.id.encode()
        self.waiting[work.one.id] = body
        self.note(f"request # {work.one.id} {len(body)}", body)

    def ended(self, now: int, work: Work, how: str, began: int) -> None:
        self.waiting.pop(work.one.id, None)
        result = b"result of " + work.one.id.encode() if how == "OK" else b""
        runs = work.one.runs
        runs[-1] = (runs[-1][0], now, how)
        self.note(f"outcome # {work.one.id} {how} {max(0, now - began) / 1000:.3f} {len(result)}", result)

    # What the backend tells

    def obey(self, words: list[str], blob: bytes, link: "Link") -> bool:
        """Carries one command out; False for what is none, which closes the link."""
        now = clock.now()
        match words:
            case ["subscribe", number] if number.isdigit():
                if self.link is not None and self.link is not link:
                    self.link.transport.abort()
                self.link = link
                state = "COLD" if self.cold else "WARM"
                age = (now - self.began) / 1000
                link.transport.write(f"greeting {state} {age:.0f}\r\n".encode() + self.since(int(number)))
            case ["launch", ident, kind, _]:
                self._launch(now, ident, kind, blob)
            case ["freeze", ident]:
                self._stop(now, ident, "STOPPED")
            case ["deliver", ident, _]:
                if blob != b"reply to " + self.waiting.get(ident, b"") or ident not in self.waiting:
                    self._refuse("deliver", ident)
                elif self.desk.machine.deliver(now, ident):
                    del self.waiting[ident]
            case ["sample", tag]:
                use, on = self.desk.machine.cores.use(), self.desk.machine.on_cores()
                link.transport.write(f"sampled {tag} {use:.4f} {on}\r\n".encode())
            case ["exercise", tag]:
                end = "OK" if self.desk.machine.cores.rate() or not len(self.desk.machine.cores) else "ERROR"
                link.transport.write(f"exercised {tag} {end}\r\n".encode())
            case _:
                return False
        self.desk.changed()
        return True

    def _launch(self, now: int, ident: str, kind: str, blob: bytes) -> None:
        work = self.desk.work_of(ident)
        if work is None:
            return self._refuse("launch", ident)
        if kind != work.kind or blob != work.body:
            work.one.right = False
            return self._refuse("launch", ident)
        if ident in self.desk.machine.runs:
            return None
        if work.one.over:
            self.note(f"outcome # {ident} MOOT 0 0", b"")
            return None
        work.one.runs.append((now, 0, "on"))
        self.desk.machine.launch(now, ident, work.kb, work.work, 0.5 if work.calls else None)
        return None

    def _stop(self, now: int, ident: str, how: str) -> None:
        work, took = self.desk.work_of(ident), self.desk.machine.stop(now, ident)
        if took is not None:
            self.ended(now, work, how, now - took)

    def over(self, ident: str) -> None:
        """The ticket has its answer: a run that waits at a call ends with it."""
        if ident in self.waiting:
            self._stop(clock.now(), ident, "STOPPED")
            self.desk.changed()

    def _refuse(self, command: str, ident: str) -> None:
        if self.link is not None:
            self.link.transport.write(f"refusal {command} {ident}\r\n".encode())


class Link(asyncio.Protocol):
    """One connection of a backend; `farm` is asked for anew, since a machine may begin another life."""

    def __init__(self, farm: Farm | None) -> None:
        self.farm, self.rest = farm, bytearray()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        if self.farm is None:
            transport.abort()

    def connection_lost(self, _: Exception | None) -> None:
        if self.farm is not None and self.farm.link is self:
            self.farm.link = None

    def data_received(self, data: bytes) -> None:
        self.rest += data
        at = 0
        while (end := self.rest.find(b"\r\n", at)) >= 0:
            words, blob, after = self.rest[at:end].decode("latin-1").split(" "), b"", end + 2
            if words[0] in ("launch", "deliver"):
                if not words[-1].isdigit():
                    return self.transport.abort()
                size = int(words[-1])
                if len(self.rest) < after + size + 2:
                    break
                blob, after = bytes(self.rest[after : after + size]), after + size + 2
            if not self.farm.obey(words, blob, self):
                return self.transport.abort()
            at = after
        del self.rest[:at]
        return None
