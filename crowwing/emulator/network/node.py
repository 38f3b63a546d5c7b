"""One backend's machine on loopback: the backend process, its worker agent, dependency and control plane."""

import asyncio
from pathlib import Path
from typing import Protocol

from crowwing.emulator import clock, processes
from crowwing.emulator.endpoint_registry import EndpointRegistry
from crowwing.emulator.ground_truth import Attempt, GroundTruth, Incarnation
from crowwing.emulator.models.dependency import Dependency
from crowwing.emulator.models.machine import Machine
from crowwing.emulator.network import http_servers, worker_agent
from crowwing.emulator.plan import Plan

RESTART_DELAY_S = 2.0  # until a backend that crashed or failed by overload starts again


class Work:
    """An attempt as its backend's machine sees it."""

    __slots__ = ("one", "kind", "body", "kb", "work", "calls", "call_work", "attempt")

    def __init__(
        self,
        one: Attempt,
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


class NodeContext(Protocol):
    """State and callbacks that all nodes share."""

    plan: Plan
    truth: GroundTruth
    registry: EndpointRegistry
    dependency: Dependency

    def dependency_changed(self) -> None: ...

    def forward(self, node: "Node", work: Work) -> None:
        """Sends a request that the machine has read to the backend."""

    def on_unreached(self, node: "Node", work: Work) -> None:
        """Ends an attempt that did not reach the backend."""


class Node:
    def __init__(
        self,
        context: NodeContext,
        number: int,
        host: str,
        folder: Path,
        program: Path | None,
        operator: Path | None,
    ) -> None:
        self.context, self.number, self.host, self.folder = context, number, host, folder
        self.program, self.operator = program, operator
        self.loop = asyncio.get_running_loop()
        self.timer = clock.RestartableTimer(self.loop, self._on_timer)
        self.servers: list[asyncio.Server] = []
        self.machine: Machine | None = None
        self.agent: worker_agent.WorkerAgent | None = None
        self.process: processes.BackendProcess | None = None
        self.incarnation: Incarnation | None = None
        self.works: dict[str, Work] = {}  # of the current incarnation
        self.pending_calls: dict[str, http_servers.HttpServer] = {}  # downstream calls in flight
        self.call_count = self.incarnations = 0
        self.speed = 1.0  # factor set by faults
        self.restart_at: int | None = None  # None: it runs, or a fault decides about its restart

    @property
    def name(self) -> str:
        return f"n{self.number + 1}"

    async def open(self) -> None:
        """Binds its addresses; OSError if one is taken."""
        makers = {
            7300: lambda: worker_agent.Link(self.agent),
            5432: lambda: http_servers.HttpServer(self._on_call),
            8500: lambda: http_servers.HttpServer(self._on_health_report),
        }
        for port, maker in makers.items():
            self.servers.append(await self.loop.create_server(maker, self.host, port))

    def close(self) -> None:
        self.timer.cancel()
        for server in self.servers:
            server.close()
        if self.process is not None:
            self.process.kill()
            self.process = None

    # Incarnations

    def start(self, cold: bool) -> None:
        now = clock.now()
        self.incarnations += 1
        self.restart_at = None
        plan = self.context.plan
        self.incarnation = Incarnation(self.number, self.incarnations, now)
        self.context.truth.incarnations.append(self.incarnation)
        self.works = {}
        self.machine = Machine(now, plan.machine, plan.speed_of(self.number), cold)
        self.machine.set_speed_factor(now, self.speed)
        self.agent = worker_agent.WorkerAgent(self, now if cold else now - 60_000_000, cold)
        configuration = processes.configuration(plan, self.name, self.host, self.incarnations)
        self.process = processes.BackendProcess(self.folder, configuration, self.program, self.operator)
        self.context.registry.started(now, self.number)

    def kill(self, how: str) -> None:
        """Ends the machine and everything on it at once."""
        if self.process is not None:
            self.process.kill()
            self._end_incarnation(how, None)

    def drain(self) -> None:
        if self.process is not None and not self.incarnation.notice:
            self.incarnation.notice = clock.now()
            self.process.terminate()

    def poll_process(self, now: int) -> None:
        """Detects an exited process, kills one that exceeds its shutdown deadline, restarts one if due."""
        if self.process is None:
            if self.restart_at is not None and now >= self.restart_at:
                self.start(cold=True)
            return
        code = self.process.exit_code()
        if (
            code is None
            and self.incarnation.notice
            and now > self.incarnation.notice + self.context.plan.stop_ms * 1000
        ):
            self.process.kill()
            code = -9
        if code is not None:
            self._end_incarnation("drained" if self.incarnation.notice else "crashed", code)

    def _end_incarnation(self, how: str, code: int | None) -> None:
        incarnation, self.process = self.incarnation, None
        incarnation.ended, incarnation.how, incarnation.code = clock.now(), how, code
        if self.agent.link is not None:
            self.agent.link.transport.abort()
        self.timer.set(clock.NEVER)
        for call in [call for call in self.pending_calls if call.startswith(f"{self.number}/")]:
            self._cancel_call(call)
        unread = [ident for ident, _ in self.machine.read_queue]
        unread += [job[1] for job in self.machine.cores.ends if isinstance(job, tuple)]
        for work in self.works.values():
            work.one.runs = [
                (begun, over or incarnation.ended, how if not over else end)
                for begun, over, end in work.one.runs
            ]
        self.agent = self.machine = None
        if how in ("fell", "crashed"):
            self.restart_at = incarnation.ended + round(RESTART_DELAY_S * 1e6)
        for ident in unread:
            self.context.on_unreached(self, self.works[ident])

    # The machine

    def find_work(self, ident: str) -> Work | None:
        return self.works.get(ident)

    def reschedule(self) -> None:
        if self.machine is not None:
            self.timer.set(self.machine.next_at())

    def set_speed_factor(self, factor: float) -> None:
        self.speed = factor
        if self.machine is not None:
            self.machine.set_speed_factor(clock.now(), factor)
            self.reschedule()

    def enqueue(self, work: Work, mean_work: float) -> None:
        self.works[work.one.id] = work
        self.machine.enqueue(clock.now(), work.one.id, mean_work)
        self.reschedule()

    def reserve_memory(self, incarnation: Incarnation, work: Work) -> None:
        """Counts a request towards the memory if it is still open some time after it was sent."""
        if (
            self.incarnation is incarnation
            and self.machine is not None
            and not work.one.over
            and not work.one.runs
        ):
            self.machine.reserve(work.one.id, work.kb)

    def release_memory(self, incarnation: Incarnation, work: Work) -> None:
        if self.incarnation is incarnation and self.machine is not None:
            self.machine.release(work.one.id)
            self.agent.on_answered(work.one.id)

    def _on_timer(self, now: int) -> None:
        machine = self.machine
        if machine is None:
            return
        for what, ident in machine.process_events(now):
            if what == "read":
                self.context.forward(self, self.works[ident])
            elif what == "calls":
                self.agent.report_call(now, self.works[ident])
            elif what == "ended":
                elapsed = machine.stop(now, ident)
                self.agent.report_outcome(now, self.works[ident], "OK", now - elapsed)
            else:
                self.context.truth.failures.append((now, self.number, ident))
                self.kill("fell")
                return
        self.reschedule()

    # Dependency

    def _on_call(
        self,
        method: bytes,
        url: bytes,
        headers: dict[bytes, bytes],
        body: bytes,
        respond: http_servers.HttpServer,
    ) -> object:
        now, ident = clock.now(), headers.get(b"parent-call", b"").decode("latin-1")
        work = self.works.get(ident)
        if method != b"POST" or url != b"/rpc/call" or work is None:
            return respond(400)
        if self.agent is None or body != self.agent.waiting.get(ident):
            return respond(409, b"", b"Turned-Away: 1\r\n")
        self.call_count += 1
        call = f"{self.number}/{ident}/{self.call_count}"
        for earlier in [c for c in self.pending_calls if c.startswith(f"{self.number}/{ident}/")]:
            self._cancel_call(earlier)  # a second call for a request cancels the first one
        work.one.calls.append((now, 0, "out"))
        if not self.context.dependency.admit(now, call, work.call_work):
            work.one.calls[-1] = (now, now, "turned_away")
            return respond(503, b"", b"Turned-Away: 1\r\n")
        self.pending_calls[call] = (respond, work, body)
        self.context.dependency_changed()
        return lambda: self._cancel_call(call)

    def _cancel_call(self, call: str) -> None:
        if call in self.pending_calls:
            _, work, _ = self.pending_calls.pop(call)
            self._record_call_end(work, "given_up")
            self.context.dependency.give_up(clock.now(), call)
            self.context.dependency_changed()

    def complete_call(self, call: str) -> None:
        respond, work, body = self.pending_calls.pop(call)
        self._record_call_end(work, "good")
        respond(200, b"reply to " + body)

    def abort_call(self, call: str) -> None:
        """Drops the connection of a call on which the dependency failed."""
        respond, work, _ = self.pending_calls.pop(call)
        self._record_call_end(work, "broken")
        respond.__self__.transport.abort()

    @staticmethod
    def _record_call_end(work: Work, how: str) -> None:
        for n, (begun, over, _) in enumerate(work.one.calls):
            if not over:
                work.one.calls[n] = (begun, clock.now(), how)

    # The control plane

    def _on_health_report(
        self,
        method: bytes,
        url: bytes,
        headers: dict[bytes, bytes],
        body: bytes,
        respond: http_servers.HttpServer,
    ) -> None:
        ready = http_servers.parse_condition(body)
        if self.context.registry.suspended:
            return  # no answer: the control plane hangs
        if method != b"PUT" or url != f"/v2/endpoints/{self.name}".encode() or ready is None:
            respond(400)
            return
        if self.process is not None:
            self.context.registry.report(clock.now(), self.number, ready)
        respond(204)
