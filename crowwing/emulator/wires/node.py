"""One backend's machine on loopback: the process.

Its farm agent, and its ways below and to the control plane.
"""

import asyncio
from pathlib import Path
from typing import Protocol

from crowwing.emulator import clock, processes
from crowwing.emulator.models.dependency import Dependency
from crowwing.emulator.models.machine import Machine
from crowwing.emulator.plan import Plan
from crowwing.emulator.roster import Roster
from crowwing.emulator.truth import Life, Truth, Try
from crowwing.emulator.wires import farm, peers

BACK_AFTER = 2.0  # seconds to the next life of one that fell over or crashed


class Work:
    """A try as its backend's machine knows it."""

    __slots__ = ("one", "kind", "body", "kb", "work", "calls", "call_work", "attempt")

    def __init__(
        self,
        one: Try,
        kind: str,
        body: bytes,
        kb: float,
        work: int,
        calls: bool,
        call_work: int,
        attempt: object,
    ) -> None:
        self.one, self.kind, self.body, self.kb, self.work = one, kind, body, kb, work
        self.calls, self.call_work, self.attempt = calls, call_work, attempt


class Town(Protocol):
    """What a node shares with the others."""

    plan: Plan
    truth: Truth
    roster: Roster
    below: Dependency

    def below_changed(self) -> None: ...

    def read(self, node: "Node", work: Work) -> None:
        """The machine has read it: it goes to the backend now."""

    def unreached(self, node: "Node", work: Work) -> None:
        """It never came to the backend."""


class Node:
    def __init__(
        self, town: Town, number: int, host: str, folder: Path, program: Path | None, operator: Path | None
    ) -> None:
        self.town, self.number, self.host, self.folder = town, number, host, folder
        self.program, self.operator = program, operator
        self.loop = asyncio.get_running_loop()
        self.alarm = clock.Alarm(self.loop, self._ring)
        self.servers: list[asyncio.Server] = []
        self.machine: Machine | None = None
        self.farm: farm.Farm | None = None
        self.process: processes.Process | None = None
        self.life: Life | None = None
        self.works: dict[str, Work] = {}  # of this life, which empties it
        self.replying: dict[str, peers.Server] = {}  # calls below that are out -> who waits; emptied by ends
        self.calls = self.lives = 0
        self.speed = 1.0  # what faults make of it
        self.back_at: int | None = None  # when the next life begins; None: it has one, or a fault decides

    @property
    def name(self) -> str:
        return f"n{self.number + 1}"

    async def open(self) -> None:
        """Takes its addresses; OSError where one is taken."""
        makers = {
            7300: lambda: farm.Link(self.farm),
            5432: lambda: peers.Server(self._called),
            8500: lambda: peers.Server(self._reported),
        }
        for port, maker in makers.items():
            self.servers.append(await self.loop.create_server(maker, self.host, port))

    def close(self) -> None:
        self.alarm.cancel()
        for server in self.servers:
            server.close()
        if self.process is not None:
            self.process.kill()
            self.process = None

    # Lives

    def begin(self, cold: bool) -> None:
        now = clock.now()
        self.lives += 1
        self.back_at = None
        plan = self.town.plan
        self.life = Life(self.number, self.lives, now)
        self.town.truth.lives.append(self.life)
        self.works = {}
        self.machine = Machine(now, plan.machine, plan.speed_of(self.number), cold)
        self.machine.slow(now, self.speed)
        self.farm = farm.Farm(self, now if cold else now - 60_000_000, cold)
        told = processes.configuration(plan, self.name, self.host, self.lives)
        self.process = processes.Process(self.folder, told, self.program, self.operator)
        self.town.roster.started(now, self.number)

    def kill(self, how: str) -> None:
        """The machine and all on it are gone at once."""
        if self.process is not None:
            self.process.kill()
            self._over(how, None)

    def leave(self) -> None:
        if self.process is not None and not self.life.notice:
            self.life.notice = clock.now()
            self.process.leave()

    def look(self, now: int) -> None:
        """Whether the process is still there, and whether it stays beyond its stop."""
        if self.process is None:
            if self.back_at is not None and now >= self.back_at:
                self.begin(cold=True)
            return
        code = self.process.ended()
        if code is None and self.life.notice and now > self.life.notice + self.town.plan.stop_ms * 1000:
            self.process.kill()
            code = -9
        if code is not None:
            self._over("drained" if self.life.notice else "crashed", code)

    def _over(self, how: str, code: int | None) -> None:
        life, self.process = self.life, None
        life.ended, life.how, life.code = clock.now(), how, code
        if self.farm.link is not None:
            self.farm.link.transport.abort()
        self.alarm.set(clock.NEVER)
        for call in [call for call in self.replying if call.startswith(f"{self.number}/")]:
            self._gave_up(call)
        unread = [ident for ident, _ in self.machine.line]
        unread += [job[1] for job in self.machine.cores.ends if isinstance(job, tuple)]
        for work in self.works.values():
            work.one.runs = [
                (begun, over or life.ended, how if not over else end) for begun, over, end in work.one.runs
            ]
        self.farm = self.machine = None
        if how in ("fell", "crashed"):
            self.back_at = life.ended + round(BACK_AFTER * 1e6)
        for ident in unread:
            self.town.unreached(self, self.works[ident])

    # The machine

    def work_of(self, ident: str) -> Work | None:
        return self.works.get(ident)

    def changed(self) -> None:
        if self.machine is not None:
            self.alarm.set(self.machine.next_at())

    def slow(self, factor: float) -> None:
        self.speed = factor
        if self.machine is not None:
            self.machine.slow(clock.now(), factor)
            self.changed()

    def arrive(self, work: Work, mean_work: float) -> None:
        self.works[work.one.id] = work
        self.machine.arrive(clock.now(), work.one.id, mean_work)
        self.changed()

    def book(self, life: Life, work: Work) -> None:
        """Some time after it was written a ticket that is still open counts against the memory."""
        if self.life is life and self.machine is not None and not work.one.over and not work.one.runs:
            self.machine.book(work.one.id, work.kb)

    def answered(self, life: Life, work: Work) -> None:
        if self.life is life and self.machine is not None:
            self.machine.unbook(work.one.id)
            self.farm.over(work.one.id)

    def _ring(self, now: int) -> None:
        machine = self.machine
        if machine is None:
            return
        for what, ident in machine.happened(now):
            if what == "read":
                self.town.read(self, self.works[ident])
            elif what == "calls":
                self.farm.calls(now, self.works[ident])
            elif what == "ended":
                took = machine.stop(now, ident)
                self.farm.ended(now, self.works[ident], "OK", now - took)
            else:
                self.town.truth.fallen.append((now, self.number, ident))
                self.kill("fell")
                return
        self.changed()

    # Below

    def _called(
        self, method: bytes, url: bytes, headers: dict[bytes, bytes], body: bytes, answer: peers.Server
    ) -> object:
        now, ident = clock.now(), headers.get(b"parent-call", b"").decode("latin-1")
        work = self.works.get(ident)
        if method != b"POST" or url != b"/rpc/call" or work is None:
            return answer(400)
        if self.farm is None or body != self.farm.waiting.get(ident):
            return answer(409, b"", b"Turned-Away: 1\r\n")
        self.calls += 1
        call = f"{self.number}/{ident}/{self.calls}"
        for earlier in [c for c in self.replying if c.startswith(f"{self.number}/{ident}/")]:
            self._gave_up(earlier)  # a second call for a ticket gives up the first one
        work.one.calls.append((now, 0, "out"))
        if not self.town.below.take(now, call, work.call_work):
            work.one.calls[-1] = (now, now, "turned_away")
            return answer(503, b"", b"Turned-Away: 1\r\n")
        self.replying[call] = (answer, work, body)
        self.town.below_changed()
        return lambda: self._gave_up(call)

    def _gave_up(self, call: str) -> None:
        if call in self.replying:
            _, work, _ = self.replying.pop(call)
            self._call_over(work, "given_up")
            self.town.below.give_up(clock.now(), call)
            self.town.below_changed()

    def replied(self, call: str) -> None:
        answer, work, body = self.replying.pop(call)
        self._call_over(work, "good")
        answer(200, b"reply to " + body)

    def broke_off(self, call: str) -> None:
        """What lies below has died with the call on it."""
        answer, work, _ = self.replying.pop(call)
        self._call_over(work, "broken")
        answer.__self__.transport.abort()

    @staticmethod
    def _call_over(work: Work, how: str) -> None:
        for n, (begun, over, _) in enumerate(work.one.calls):
            if not over:
                work.one.calls[n] = (begun, clock.now(), how)

    # The control plane

    def _reported(
        self, method: bytes, url: bytes, headers: dict[bytes, bytes], body: bytes, answer: peers.Server
    ) -> None:
        ready = peers.condition(body)
        if self.town.roster.down:
            return  # it hangs
        if method != b"PUT" or url != f"/v2/endpoints/{self.name}".encode() or ready is None:
            answer(400)
            return
        if self.process is not None:
            self.town.roster.report(clock.now(), self.number, ready)
        answer(204)
