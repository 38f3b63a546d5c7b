"""Runs a plan on loopback: emulated clients, sidecars and faults around real backends.

Records the ground truth of the run.
"""

import asyncio
import gc
import shutil
from collections.abc import Callable
from functools import partial
from heapq import heappop, heappush
from pathlib import Path
from random import Random
from typing import NamedTuple

import msgspec
import orjson

from crowwing.emulator import clock, faults
from crowwing.emulator.endpoint_registry import EndpointRegistry
from crowwing.emulator.ground_truth import Attempt, GroundTruth, Incarnation, Request
from crowwing.emulator.models import traffic
from crowwing.emulator.models.dependency import Dependency
from crowwing.emulator.models.sidecar_policy import Sidecar
from crowwing.emulator.network.node import Node, Work
from crowwing.emulator.network.sidecar_connections import Pool
from crowwing.emulator.plan import Plan
from crowwing.emulator.rules import answer_deadline

READY_TIMEOUT_S = 15.0  # every backend has to answer a health check within this time
TICK_S = 0.02  # interval for polling processes, the registry and the event loop's lateness
ANSWER_GRACE_US = 500_000  # how long the end of the run waits for an answer that is past its deadline
FLEET_PORT = 7946
LATE_TICK_S = 0.025  # delay beyond the tick from which the emulator's event loop counts as late
MAX_LATE_FRACTION = 0.02  # a run with more late ticks than this is invalid


class EmulationStartError(RuntimeError):
    """One line that says why an emulation could not start."""


class ClientRequest:
    """One request sent by a client to its sidecar, with all attempts that the sidecar makes for it."""

    __slots__ = ("ticket", "asked", "due", "tried", "open", "done", "away")

    def __init__(self, request: Request, arrival: traffic.Arrival, due: int) -> None:
        self.ticket, self.asked, self.due = request, arrival, due
        self.tried: list[int] = []
        self.open, self.done, self.away = 0, False, 0


class Progress(NamedTuple):
    """State of a run, for the progress display."""

    seconds: float
    requests: int
    completed: int
    open: int
    attempts: int
    up: int
    faults: tuple[str, ...]


class EmulationRun:
    def __init__(
        self, plan: Plan, folder: Path, net: str | None = None, program: Path | None = None,
        operator: Path | None = None, show: Callable[[Progress], None] = lambda _: None,
    ) -> None:  # fmt: skip
        """`net` is the first two octets of the addresses, such as '127.40'; None takes the first free one."""
        self.plan, self.folder, self.net, self.show = plan, folder, net, show
        self.program, self.operator = program, operator
        self.truth = GroundTruth()
        self.rng = Random(f"{plan.seed}/fleet")
        self.open_requests = self.completed = self.attempts = 0
        self.active_faults: set[int] = set()  # indices of active faults
        self.listing_updates: list[tuple[int, int, int, bool]] = []  # heap: time, sidecar, backend, listed
        self.notified_at = [0] * plan.sidecars.count
        self.unanswered: set[Work] = set()  # sent to a backend, no answer yet

    async def run(self) -> GroundTruth:
        """Raises OSError if an address is taken, EmulationStartError if a backend does not start."""
        self.loop = asyncio.get_running_loop()
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "plan.json").write_bytes(msgspec.json.format(msgspec.json.encode(self.plan), indent=2))
        self.registry = EndpointRegistry(self.plan.backends, round(self.plan.control.lapse_s * 1e6))
        self.dependency = Dependency(clock.now(), self.plan.below)
        self.dependency_timer = clock.RestartableTimer(self.loop, self._on_dependency_timer)
        self.nodes: list[Node] = []
        background_tasks: list[asyncio.Task] = []
        gc.collect()
        gc.freeze()
        gc.disable()  # a collection would delay the emulator and distort the measured latencies
        try:
            await self._open()
            self.sidecars = [
                Sidecar(n, self.plan.sidecars, self.plan.backends, Random(f"{self.plan.seed}/sidecar/{n}"))
                for n in range(self.plan.sidecars.count)
            ]
            self.pools = [
                [Pool(self.loop, (node.host, 7001), self.plan.sidecars.idle_s) for node in self.nodes]
                for _ in self.sidecars
            ]
            for node in self.nodes:
                node.start(cold=False)
            await self._wait_until_ready()
            self.registry.changes(clock.now())
            background_tasks = [self.loop.create_task(task()) for task in (self._tick, self._inject_faults)]
            await self._run_clients()
            await self._wait_until_complete(background_tasks)
        finally:
            gc.enable()
            for task in background_tasks:
                task.cancel()
            await asyncio.gather(*background_tasks, return_exceptions=True)
            self._close()
        self.truth.below_most = round(self.dependency.peak, 3)
        self.truth.write(self.folder / "truth.jsonl")
        return self.truth

    async def _open(self) -> None:
        prefixes = [self.net] if self.net else [f"127.{n}" for n in range(40, 60)]
        for net in prefixes:
            nodes = [
                Node(self, n, f"{net}.0.{n + 1}", self.folder, self.program, self._operator_file_for(n, net))
                for n in range(self.plan.backends)
            ]
            try:
                for node in nodes:
                    await node.open()
                self.nodes, self.net = nodes, net
                return
            except OSError as error:
                for node in nodes:
                    node.close()
                last = error
        raise last

    def _operator_file_for(self, number: int, net: str) -> Path | None:
        """Returns the operator file of one backend, with the addresses of this run in its `fleet` section."""
        if self.operator is None:
            return None
        settings = orjson.loads(self.operator.read_bytes())
        if "fleet" not in settings:
            return self.operator
        at = {f"n{n + 1}": f"{net}.0.{n + 1}:{FLEET_PORT}" for n in range(self.plan.backends)}
        me = f"n{number + 1}"
        peers = [{"name": name, "address": address} for name, address in at.items() if name != me]
        settings["fleet"] |= {"listen": at[me], "peers": peers}
        path = self.folder / f"{me}.operator.json"
        path.write_bytes(orjson.dumps(settings, option=orjson.OPT_INDENT_2))
        return path

    def _close(self) -> None:
        self.dependency_timer.cancel()
        for node in self.nodes:
            if node.process is not None:
                node.kill("stopped")
            node.close()

    async def _wait_until_ready(self) -> None:
        until = self.loop.time() + READY_TIMEOUT_S
        for node in self.nodes:
            while not await self._ping(node):
                if node.process.exit_code() is not None or self.loop.time() > until:
                    raise EmulationStartError(
                        f"backend {node.name} does not start: see {self.folder / node.name}.log"
                    )
                await asyncio.sleep(0.05)

    async def _ping(self, node: Node) -> bool:
        good = self.loop.create_future()
        pool = Pool(self.loop, (node.host, 7001), 0.0)
        pool.send(
            b"GET /ping HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n",
            lambda status, *_: good.done() or good.set_result(status == 200),
            lambda: good.done() or good.set_result(False),
            lambda: good.done() or good.set_result(False),
            lambda: None,
        )
        return await good

    # Clients

    async def _run_clients(self) -> None:
        """Sends each request at its scheduled time, independent of earlier answers (open loop)."""
        self.truth.began = began = clock.now()
        for arrival in traffic.arrivals(self.plan):
            while (left := began + arrival.at - clock.now()) > 0:
                await asyncio.sleep(left / 1e6)
            kind = self.plan.types[arrival.kind]
            born = began + arrival.at
            value = kind.credit * (0.5 + arrival.rank)
            request = Request(
                len(self.truth.requests), arrival.kind, arrival.customer, value, born,
                born + round(kind.expected_ms * 1000),
            )  # fmt: skip
            self.truth.requests.append(request)
            self.open_requests += 1
            self._send_request(request, arrival, "first")

    def _send_request(self, request: Request, arrival: traffic.Arrival, cause: str) -> None:
        now = clock.now()
        client_request = ClientRequest(
            request, arrival, now + round(self.plan.types[arrival.kind].outer_ms * 1000)
        )
        sidecar = self.sidecars[arrival.sidecar]
        backend = sidecar.choose_first(now)
        if backend is None:
            return self._finish(client_request, "unreached")
        self._start_attempt(client_request, backend, cause)
        self.loop.call_later((client_request.due - now) / 1e6, self._finish, client_request, "timeout")
        if self.plan.sidecars.habit == "copy":
            self.loop.call_later(self.plan.sidecars.copy_after_ms / 1000, self._hedge, client_request)
        return None

    def _finish(self, client_request: ClientRequest, ending: str) -> None:
        """Ends the client's wait: it has an answer, or its deadline has passed."""
        if client_request.done:
            return
        client_request.done = True
        request, arrival = client_request.ticket, client_request.asked
        if ending != "settled" and request.asks <= len(arrival.pauses):
            pause = arrival.pauses[request.asks - 1]
            request.asks += 1
            if arrival.follows_hints:
                pause = max(pause, client_request.away)
            self.loop.call_later(pause / 1e6, self._send_request, request, arrival, "client")
            return
        request.ending, request.over = ending, clock.now()
        self.open_requests -= 1
        self.completed += ending == "settled"

    # Sidecars

    def _hedge(self, client_request: ClientRequest) -> None:
        if not client_request.done and self.plan.types[client_request.asked.kind].repeat == "safe":
            backend = self.sidecars[client_request.asked.sidecar].choose_hedge(
                clock.now(), client_request.tried
            )
            if backend is not None:
                self._start_attempt(client_request, backend, "copy")

    def _start_attempt(self, client_request: ClientRequest, backend: int, cause: str) -> None:
        now, arrival, node = clock.now(), client_request.asked, self.nodes[backend]
        ident = f"{self.rng.getrandbits(64):016x}"
        incarnation = node.incarnation
        attempt = Attempt(
            ident,
            client_request.ticket.number,
            cause,
            backend,
            incarnation.number,
            arrival.sidecar,
            now,
            client_request.due,
        )
        kind = self.plan.types[arrival.kind]
        work = Work(
            attempt,
            kind.name,
            arrival.body,
            arrival.kb,
            arrival.work,
            kind.calls,
            arrival.call_work,
            client_request,
        )
        client_request.ticket.tries.append(attempt)
        client_request.tried.append(backend)
        client_request.open += 1
        self.attempts += 1
        self.sidecars[arrival.sidecar].in_flight[backend] += 1
        if node.process is None:
            self.loop.call_later(0.001, self.on_unreached, node, work)
        else:
            node.enqueue(work, kind.work_ms * 1000)

    def forward(self, node: Node, work: Work) -> None:
        """Sends a request that the machine has read to the backend."""
        attempt, arrival = work.one, work.attempt.asked
        came = attempt.came // 1000
        left = max(1, (attempt.due - attempt.came) // 1000)
        attempt.due = (came + left) * 1000
        head = (
            f"POST /call/{work.kind} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {attempt.id}\r\n"
            f"X-Ingress-Time: {came}\r\nX-Router: {attempt.sidecar}\r\n"
            f"X-Merchant: {self.plan.customers[arrival.customer].name}\r\nX-Ttl-Ms: {left}\r\n"
            f"X-Working-Set-Kb: {arrival.kb}\r\nX-Shed-Order: {arrival.rank}\r\n"
            f"Content-Length: {len(work.body)}\r\n\r\n"
        )
        self.pools[attempt.sidecar][node.number].send(
            head.encode() + work.body,
            partial(self._on_response, node, node.incarnation, work),
            partial(self._on_attempt_end, node, node.incarnation, work, "lost"),
            partial(self.on_unreached, node, work),
            partial(self._on_sent, node, node.incarnation, work),
        )

    def _on_sent(self, node: Node, incarnation: Incarnation, work: Work) -> None:
        work.one.written = clock.now()
        self.unanswered.add(work)
        self.loop.call_later(0.1, node.reserve_memory, incarnation, work)

    def on_unreached(self, node: Node, work: Work) -> None:
        """Ends an attempt that did not reach the backend."""
        if not work.one.over:
            self._on_attempt_end(node, None, work, "unreached")

    def _on_response(
        self,
        node: Node,
        incarnation: Incarnation,
        work: Work,
        status: int,
        headers: dict[bytes, bytes],
        body: bytes,
    ) -> None:
        attempt = work.one
        endings = {200: "settled", 429: "dismissed", 503: "dismissed"}
        ending = endings.get(status, "forfeited" if status >= 500 else "turned_down")
        if ending == "settled":
            attempt.right &= body == b"result of " + attempt.id.encode() and any(
                r[2] == "OK" for r in attempt.runs
            )
        free, away = headers.get(b"x-capacity"), headers.get(b"x-throttle-ms")
        attempt.away = int(away) * 1000 if away else 0
        attempt.give_up = headers.get(b"x-give-up") == b"1"
        self.sidecars[attempt.sidecar].on_response(
            clock.now(), attempt.backend, float(free) if free else None, attempt.away
        )
        self._on_attempt_end(node, incarnation, work, ending)

    def _on_attempt_end(self, node: Node, incarnation: Incarnation | None, work: Work, ending: str) -> None:
        """Ends an attempt from the sidecar's view; the sidecar then decides about a retry."""
        attempt, client_request, now = work.one, work.attempt, clock.now()
        attempt.over, attempt.ending = now, ending
        self.unanswered.discard(work)
        client_request.open -= 1
        sidecar = self.sidecars[attempt.sidecar]
        sidecar.in_flight[attempt.backend] -= 1
        if incarnation is not None:
            node.release_memory(incarnation, work)
        client_request.away = max(client_request.away, attempt.away)
        if client_request.done:
            return
        if ending == "settled":
            return self._finish(client_request, "settled")
        safe = self.plan.types[client_request.asked.kind].repeat == "safe"
        backend = (
            sidecar.choose_retry(now, client_request.tried, ending, safe, attempt.give_up)
            if now < client_request.due
            else None
        )
        if backend is not None:
            self._start_attempt(client_request, backend, ending)
        elif not client_request.open:
            self._finish(client_request, ending)
        return None

    # Dependency

    def dependency_changed(self) -> None:
        self.dependency_timer.set(self.dependency.next_at())

    def _on_dependency_timer(self, now: int) -> None:
        deaths = self.dependency.deaths
        ended = self.dependency.ended(now)
        if self.dependency.deaths > deaths:
            self.truth.failures.append((now, None, "what lies below"))
            for node in self.nodes:
                for call in list(node.pending_calls):
                    node.abort_call(call)
        else:
            for call in ended:
                self.nodes[int(call.partition("/")[0])].complete_call(call)
        self.dependency_changed()

    # Time

    async def _tick(self) -> None:
        """Polls processes, the registry and its updates to sidecars, idle connections and loop lateness."""
        shown = 0.0
        while True:
            due = self.loop.time() + TICK_S
            await asyncio.sleep(TICK_S)
            late, now = self.loop.time() - due, clock.now()
            self.truth.late_loop.append((now, round(late * 1e6)))
            for node in self.nodes:
                node.poll_process(now)
            for backend, listed in self.registry.changes(now):
                for number in range(len(self.sidecars)):
                    delay = round(self.rng.uniform(*self.plan.sidecars.notice_s) * 1e6)
                    self.notified_at[number] = max(self.notified_at[number], now + delay)
                    heappush(self.listing_updates, (self.notified_at[number], number, backend, listed))
            while self.listing_updates and self.listing_updates[0][0] <= now:
                _, number, backend, listed = heappop(self.listing_updates)
                (self.sidecars[number].listed.add if listed else self.sidecars[number].listed.discard)(
                    backend
                )
            if self.loop.time() - shown >= 0.5:
                shown = self.loop.time()
                for pools in self.pools:
                    for pool in pools:
                        pool.close_idle()
                kinds = tuple(self.plan.faults[n].kind for n in sorted(self.active_faults))
                up = sum(node.process is not None for node in self.nodes)
                seconds = (now - self.truth.began) / 1e6
                request_count = len(self.truth.requests)
                self.show(
                    Progress(
                        seconds, request_count, self.completed, self.open_requests, self.attempts, up, kinds
                    )
                )

    async def _inject_faults(self) -> None:
        while not self.truth.began:
            await asyncio.sleep(0.001)
        for event in faults.schedule(self.plan):
            while (left := self.truth.began + event.at - clock.now()) > 0:
                await asyncio.sleep(left / 1e6)
            (self.active_faults.add if event.begins else self.active_faults.discard)(event.number)
            self._apply_fault(event)

    def _apply_fault(self, event: faults.FaultEvent) -> None:
        now = clock.now()
        match event.fault.kind:
            case "kill":
                for n in event.backends:
                    if event.begins:
                        self.nodes[n].kill("killed")
                        self.nodes[n].restart_at = None
                    elif self.nodes[n].process is None:
                        self.nodes[n].start(event.fault.cold)
            case "drain":
                for n in event.backends:
                    if event.begins:
                        self.nodes[n].drain()
                    elif self.nodes[n].process is None:
                        self.nodes[n].start(event.fault.cold)
                    else:
                        self.nodes[n].restart_at = now  # restarts once the draining process has exited
            case "slow" | "hang":
                for n in event.backends:
                    self.nodes[n].set_speed_factor(
                        faults.speed_factor(self.plan, self.active_faults, "machine", n)
                    )
            case "crawl_below" | "hang_below":
                self.dependency.set_speed_factor(
                    now, faults.speed_factor(self.plan, self.active_faults, "below")
                )
                self.dependency_changed()
            case "no_roster":
                self.registry.suspended = event.begins

    async def _wait_until_complete(self, background_tasks: list[asyncio.Task]) -> None:
        """Waits until every client is done and every attempt was answered or is past its deadline."""
        while self.open_requests or any(
            answer_deadline(work.one) + ANSWER_GRACE_US > clock.now() for work in self.unanswered
        ):
            await asyncio.sleep(0.02)
            for task in background_tasks:
                if task.done() and task.exception() is not None:
                    raise task.exception()

    def excessive_lateness(self) -> float | None:
        """Returns the part of late ticks if it makes the run invalid, else None."""
        late = sum(by > LATE_TICK_S * 1e6 for _, by in self.truth.late_loop)
        part = late / max(1, len(self.truth.late_loop))
        return part if part > MAX_LATE_FRACTION else None


def fresh_folder(path: Path) -> Path:
    """Creates an empty folder; an existing one is removed only if it holds an earlier run."""
    if path.exists():
        if not (path / "plan.json").exists() and any(path.iterdir()):
            raise EmulationStartError(f"{path}: folder is not empty and holds no earlier emulation")
        shutil.rmtree(path)
    path.mkdir(parents=True)
    return path
