"""Worker agent: launches runs on the emulated machine on a backend's command and sends notices back.

One agent serves one incarnation of a machine. Notices are numbered from 1 and kept for resending; a new
link replaces the one before.
"""

import asyncio
from collections import deque
from typing import Protocol

from crowwing.emulator import clock
from crowwing.emulator.ground_truth import Attempt
from crowwing.emulator.models.machine import Machine

MAX_NOTICES = 4000


class Work(Protocol):
    """An attempt that has arrived at this machine."""

    one: Attempt
    kind: str
    body: bytes
    kb: float
    work: int
    calls: bool


class AgentHost(Protocol):
    """Owner of the agent: looks up requests and reschedules the machine's timer after changes."""

    machine: Machine

    def find_work(self, ident: str) -> Work | None: ...

    def reschedule(self) -> None: ...


class WorkerAgent:
    def __init__(self, machine_host: AgentHost, began: int, cold: bool) -> None:
        self.machine_host, self.began, self.cold = machine_host, began, cold
        self.notices: deque[bytes] = deque(maxlen=MAX_NOTICES)
        self.number = 0
        self.link: Link | None = None
        self.waiting: dict[str, bytes] = {}  # runs that wait for a downstream call -> its body

    def notify(self, line: str, payload: bytes | None = None) -> None:
        """Sends and keeps a notice; '#' in `line` is replaced by its number."""
        self.number += 1
        data = line.replace("#", str(self.number), 1).encode() + b"\r\n"
        if payload is not None:
            data += payload + b"\r\n"
        self.notices.append(data)
        if self.link is not None:
            self.link.transport.write(data)

    def notices_since(self, number: int) -> bytes:
        first = self.number - len(self.notices)
        return b"".join(list(self.notices)[max(0, number - first) :])

    # Events of the machine

    def report_call(self, now: int, work: Work) -> None:
        body = b"ask:" + work.one.id.encode()
        self.waiting[work.one.id] = body
        self.notify(f"request # {work.one.id} {len(body)}", body)

    def report_outcome(self, now: int, work: Work, how: str, began: int) -> None:
        self.waiting.pop(work.one.id, None)
        result = b"result of " + work.one.id.encode() if how == "OK" else b""
        runs = work.one.runs
        runs[-1] = (runs[-1][0], now, how)
        self.notify(f"outcome # {work.one.id} {how} {max(0, now - began) / 1000:.3f} {len(result)}", result)

    # Commands of the backend

    def handle_command(self, words: list[str], payload: bytes, link: "Link") -> bool:
        """Carries out one command; False for an unknown one, upon which the link is closed."""
        now = clock.now()
        match words:
            case ["subscribe", number] if number.isdigit():
                if self.link is not None and self.link is not link:
                    self.link.transport.abort()
                self.link = link
                state = "COLD" if self.cold else "WARM"
                age = (now - self.began) / 1000
                link.transport.write(
                    f"greeting {state} {age:.0f}\r\n".encode() + self.notices_since(int(number))
                )
            case ["launch", ident, kind, _]:
                self._launch(now, ident, kind, payload)
            case ["freeze", ident]:
                self._stop(now, ident, "STOPPED")
            case ["deliver", ident, _]:
                if payload != b"reply to " + self.waiting.get(ident, b"") or ident not in self.waiting:
                    self._refuse("deliver", ident)
                elif self.machine_host.machine.deliver(now, ident):
                    del self.waiting[ident]
            case ["sample", tag]:
                utilization, running = (
                    self.machine_host.machine.cores.utilization(),
                    self.machine_host.machine.on_cores(),
                )
                link.transport.write(f"sampled {tag} {utilization:.4f} {running}\r\n".encode())
            case ["exercise", tag]:
                status = (
                    "OK"
                    if self.machine_host.machine.cores.rate() or not len(self.machine_host.machine.cores)
                    else "ERROR"
                )
                link.transport.write(f"exercised {tag} {status}\r\n".encode())
            case _:
                return False
        self.machine_host.reschedule()
        return True

    def _launch(self, now: int, ident: str, kind: str, payload: bytes) -> None:
        work = self.machine_host.find_work(ident)
        if work is None:
            return self._refuse("launch", ident)
        if kind != work.kind or payload != work.body:
            work.one.right = False
            return self._refuse("launch", ident)
        if ident in self.machine_host.machine.runs:
            return None
        if work.one.over:
            self.notify(f"outcome # {ident} MOOT 0 0", b"")
            return None
        work.one.runs.append((now, 0, "on"))
        self.machine_host.machine.launch(now, ident, work.kb, work.work, 0.5 if work.calls else None)
        return None

    def _stop(self, now: int, ident: str, how: str) -> None:
        work, elapsed = self.machine_host.find_work(ident), self.machine_host.machine.stop(now, ident)
        if elapsed is not None:
            self.report_outcome(now, work, how, now - elapsed)

    def on_answered(self, ident: str) -> None:
        """Stops a run that waits for a downstream call once its request has been answered."""
        if ident in self.waiting:
            self._stop(clock.now(), ident, "STOPPED")
            self.machine_host.reschedule()

    def _refuse(self, command: str, ident: str) -> None:
        if self.link is not None:
            self.link.transport.write(f"refusal {command} {ident}\r\n".encode())


class Link(asyncio.Protocol):
    """One connection of a backend to the agent of the machine's current incarnation."""

    def __init__(self, agent: WorkerAgent | None) -> None:
        self.agent, self.buffer = agent, bytearray()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        if self.agent is None:
            transport.abort()

    def connection_lost(self, _: Exception | None) -> None:
        if self.agent is not None and self.agent.link is self:
            self.agent.link = None

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        at = 0
        while (end := self.buffer.find(b"\r\n", at)) >= 0:
            words, payload, after = self.buffer[at:end].decode("latin-1").split(" "), b"", end + 2
            if words[0] in ("launch", "deliver"):
                if not words[-1].isdigit():
                    return self.transport.abort()
                size = int(words[-1])
                if len(self.buffer) < after + size + 2:
                    break
                payload, after = bytes(self.buffer[after : after + size]), after + size + 2
            if not self.agent.handle_command(words, payload, self):
                return self.transport.abort()
            at = after
        del self.buffer[:at]
        return None
