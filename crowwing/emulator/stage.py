"""Plays a plan on loopback: clients, sidecars and faults round real backends, and keeps the truth of it."""

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
from crowwing.emulator.models import traffic
from crowwing.emulator.models.choice import Sidecar
from crowwing.emulator.models.dependency import Dependency
from crowwing.emulator.plan import Plan
from crowwing.emulator.roster import Roster
from crowwing.emulator.rules import owed
from crowwing.emulator.truth import Life, Ticket, Truth, Try
from crowwing.emulator.wires.node import Node, Work
from crowwing.emulator.wires.sidecars import Pool

READY = 15.0  # seconds in which every backend has to answer a health check
TICK = 0.02  # seconds between looks at processes, roster and our own lateness
GRACE = 500_000  # microseconds past its time for which the answer to a ticket is waited for at the end
FLEET_PORT = 7946
LATE = 0.025  # seconds over the tick from which our own loop counts as late
LATE_PART = 0.02  # part of late ticks from which the figures of a run are void


class NotPlayed(RuntimeError):
    """One line that says why an emulation could not begin."""


class Attempt:
    """One ask of a client at its sidecar, with all tries that the sidecar makes of it."""

    __slots__ = ("ticket", "asked", "due", "tried", "open", "done", "away")

    def __init__(self, ticket: Ticket, asked: traffic.Asked, due: int) -> None:
        self.ticket, self.asked, self.due = ticket, asked, due
        self.tried: list[int] = []
        self.open, self.done, self.away = 0, False, 0


class Now(NamedTuple):
    """What is shown while it plays."""

    seconds: float
    tickets: int
    settled: int
    open: int
    tries: int
    up: int
    faults: tuple[str, ...]


class Stage:
    def __init__(
        self, plan: Plan, folder: Path, net: str | None = None, program: Path | None = None,
        operator: Path | None = None, show: Callable[[Now], None] = lambda _: None,
    ) -> None:  # fmt: skip
        """`net`: the first two numbers of the addresses, such as '127.40'; None: the first that is free."""
        self.plan, self.folder, self.net, self.show = plan, folder, net, show
        self.program, self.operator = program, operator
        self.truth = Truth()
        self.chance = Random(f"{plan.seed}/fleet")
        self.open = self.settled = self.tries = 0
        self.on: set[int] = set()  # faults that are on
        self.news: list[tuple[int, int, int, bool]] = []  # (when, sidecar, backend, listed); heap
        self.told_at = [0] * plan.sidecars.count
        self.written: set[Work] = set()  # on a backend without an answer; emptied by endings

    async def play(self) -> Truth:
        """OSError where an address is taken; NotPlayed where a backend does not come up."""
        self.loop = asyncio.get_running_loop()
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "plan.json").write_bytes(msgspec.json.format(msgspec.json.encode(self.plan), indent=2))
        self.roster = Roster(self.plan.backends, round(self.plan.control.lapse_s * 1e6))
        self.below = Dependency(clock.now(), self.plan.below)
        self.below_alarm = clock.Alarm(self.loop, self._below_rings)
        self.nodes: list[Node] = []
        duties: list[asyncio.Task] = []
        gc.collect()
        gc.freeze()
        gc.disable()  # its pauses would be ours, not the backends'
        try:
            await self._open()
            self.sides = [
                Sidecar(n, self.plan.sidecars, self.plan.backends, Random(f"{self.plan.seed}/sidecar/{n}"))
                for n in range(self.plan.sidecars.count)
            ]
            self.pools = [
                [Pool(self.loop, (node.host, 7001), self.plan.sidecars.idle_s) for node in self.nodes]
                for _ in self.sides
            ]
            for node in self.nodes:
                node.begin(cold=False)
            await self._all_ready()
            self.roster.changes(clock.now())
            duties = [self.loop.create_task(duty()) for duty in (self._tick, self._faults)]
            await self._clients()
            await self._settle(duties)
        finally:
            gc.enable()
            for duty in duties:
                duty.cancel()
            await asyncio.gather(*duties, return_exceptions=True)
            self._close()
        self.truth.below_most = round(self.below.most, 3)
        self.truth.write(self.folder / "truth.jsonl")
        return self.truth

    async def _open(self) -> None:
        nets = [self.net] if self.net else [f"127.{n}" for n in range(40, 60)]
        for net in nets:
            nodes = [
                Node(self, n, f"{net}.0.{n + 1}", self.folder, self.program, self._operator_of(n, net))
                for n in range(self.plan.backends)
            ]
            try:
                for node in nodes:
                    await node.open()
                self.nodes, self.net = nodes, net
                return
            except OSError as wrong:
                for node in nodes:
                    node.close()
                last = wrong
        raise last

    def _operator_of(self, number: int, net: str) -> Path | None:
        """The operator file of one backend: a `fleet` section gets the addresses of this emulation."""
        if self.operator is None:
            return None
        told = orjson.loads(self.operator.read_bytes())
        if "fleet" not in told:
            return self.operator
        at = {f"n{n + 1}": f"{net}.0.{n + 1}:{FLEET_PORT}" for n in range(self.plan.backends)}
        me = f"n{number + 1}"
        peers = [{"name": name, "address": address} for name, address in at.items() if name != me]
        told["fleet"] |= {"listen": at[me], "peers": peers}
        path = self.folder / f"{me}.operator.json"
        path.write_bytes(orjson.dumps(told, option=orjson.OPT_INDENT_2))
        return path

    def _close(self) -> None:
        self.below_alarm.cancel()
        for node in self.nodes:
            if node.process is not None:
                node.kill("stopped")
            node.close()

    async def _all_ready(self) -> None:
        until = self.loop.time() + READY
        for node in self.nodes:
            while not await self._ping(node):
                if node.process.ended() is not None or self.loop.time() > until:
                    raise NotPlayed(
                        f"backend {node.name} does not come up: see {self.folder / node.name}.log"
                    )
                await asyncio.sleep(0.05)

    async def _ping(self, node: Node) -> bool:
        good = self.loop.create_future()
        pool = Pool(self.loop, (node.host, 7001), 0.0)
        pool.ask(
            b"GET /ping HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n",
            lambda status, *_: good.done() or good.set_result(status == 200),
            lambda: good.done() or good.set_result(False),
            lambda: good.done() or good.set_result(False),
            lambda: None,
        )
        return await good

    # Clients

    async def _clients(self) -> None:
        """Open loop: each ticket goes out at its time, whatever became of the others."""
        self.truth.began = began = clock.now()
        for asked in traffic.tickets(self.plan):
            while (left := began + asked.at - clock.now()) > 0:
                await asyncio.sleep(left / 1e6)
            kind = self.plan.types[asked.kind]
            born = began + asked.at
            credit = kind.credit * (0.5 + asked.rank)
            ticket = Ticket(
                len(self.truth.tickets), asked.kind, asked.customer, credit, born,
                born + round(kind.expected_ms * 1000),
            )  # fmt: skip
            self.truth.tickets.append(ticket)
            self.open += 1
            self._ask(ticket, asked, "first")

    def _ask(self, ticket: Ticket, asked: traffic.Asked, cause: str) -> None:
        now = clock.now()
        attempt = Attempt(ticket, asked, now + round(self.plan.types[asked.kind].outer_ms * 1000))
        side = self.sides[asked.sidecar]
        backend = side.first(now)
        if backend is None:
            return self._finish(attempt, "unreached")
        self._try(attempt, backend, cause)
        self.loop.call_later((attempt.due - now) / 1e6, self._finish, attempt, "timeout")
        if self.plan.sidecars.habit == "copy":
            self.loop.call_later(self.plan.sidecars.copy_after_ms / 1000, self._copy, attempt)
        return None

    def _finish(self, attempt: Attempt, ending: str) -> None:
        """The client has its answer, or waits no longer."""
        if attempt.done:
            return
        attempt.done = True
        ticket, asked = attempt.ticket, attempt.asked
        if ending != "settled" and ticket.asks <= len(asked.pauses):
            pause = asked.pauses[ticket.asks - 1]
            ticket.asks += 1
            if asked.heeds:
                pause = max(pause, attempt.away)
            self.loop.call_later(pause / 1e6, self._ask, ticket, asked, "client")
            return
        ticket.ending, ticket.over = ending, clock.now()
        self.open -= 1
        self.settled += ending == "settled"

    # Sidecars

    def _copy(self, attempt: Attempt) -> None:
        if not attempt.done and self.plan.types[attempt.asked.kind].repeat == "safe":
            backend = self.sides[attempt.asked.sidecar].copy(clock.now(), attempt.tried)
            if backend is not None:
                self._try(attempt, backend, "copy")

    def _try(self, attempt: Attempt, backend: int, cause: str) -> None:
        now, asked, node = clock.now(), attempt.asked, self.nodes[backend]
        ident = f"{self.chance.getrandbits(64):016x}"
        life = node.life
        one = Try(ident, attempt.ticket.number, cause, backend, life.number, asked.sidecar, now, attempt.due)
        kind = self.plan.types[asked.kind]
        work = Work(one, kind.name, asked.body, asked.kb, asked.work, kind.calls, asked.call_work, attempt)
        attempt.ticket.tries.append(one)
        attempt.tried.append(backend)
        attempt.open += 1
        self.tries += 1
        self.sides[asked.sidecar].out[backend] += 1
        if node.process is None:
            self.loop.call_later(0.001, self.unreached, node, work)
        else:
            node.arrive(work, kind.work_ms * 1000)

    def read(self, node: Node, work: Work) -> None:
        """The machine has read it: it goes to the backend."""
        one, asked = work.one, work.attempt.asked
        came = one.came // 1000
        left = max(1, (one.due - one.came) // 1000)
        one.due = (came + left) * 1000
        head = (
            f"POST /call/{work.kind} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {one.id}\r\n"
            f"X-Ingress-Time: {came}\r\nX-Router: {one.sidecar}\r\n"
            f"X-Merchant: {self.plan.customers[asked.customer].name}\r\nX-Ttl-Ms: {left}\r\n"
            f"X-Working-Set-Kb: {asked.kb}\r\nX-Shed-Order: {asked.rank}\r\n"
            f"Content-Length: {len(work.body)}\r\n\r\n"
        )
        self.pools[one.sidecar][node.number].ask(
            head.encode() + work.body,
            partial(self._answered, node, node.life, work),
            partial(self._ended, node, node.life, work, "lost"),
            partial(self.unreached, node, work),
            partial(self._written, node, node.life, work),
        )

    def _written(self, node: Node, life: Life, work: Work) -> None:
        work.one.written = clock.now()
        self.written.add(work)
        self.loop.call_later(0.1, node.book, life, work)

    def unreached(self, node: Node, work: Work) -> None:
        """It never came to the backend."""
        if not work.one.over:
            self._ended(node, None, work, "unreached")

    def _answered(
        self, node: Node, life: Life, work: Work, status: int, headers: dict[bytes, bytes], body: bytes
    ) -> None:
        one = work.one
        endings = {200: "settled", 429: "dismissed", 503: "dismissed"}
        ending = endings.get(status, "forfeited" if status >= 500 else "turned_down")
        if ending == "settled":
            one.right &= body == b"result of " + one.id.encode() and any(r[2] == "OK" for r in one.runs)
        free, away = headers.get(b"x-capacity"), headers.get(b"x-throttle-ms")
        one.away = int(away) * 1000 if away else 0
        one.give_up = headers.get(b"x-give-up") == b"1"
        self.sides[one.sidecar].heard(clock.now(), one.backend, float(free) if free else None, one.away)
        self._ended(node, life, work, ending)

    def _ended(self, node: Node, life: Life | None, work: Work, ending: str) -> None:
        """A try is over, as its sidecar sees it; the sidecar decides what follows."""
        one, attempt, now = work.one, work.attempt, clock.now()
        one.over, one.ending = now, ending
        self.written.discard(work)
        attempt.open -= 1
        side = self.sides[one.sidecar]
        side.out[one.backend] -= 1
        if life is not None:
            node.answered(life, work)
        attempt.away = max(attempt.away, one.away)
        if attempt.done:
            return
        if ending == "settled":
            return self._finish(attempt, "settled")
        safe = self.plan.types[attempt.asked.kind].repeat == "safe"
        backend = side.after(now, attempt.tried, ending, safe, one.give_up) if now < attempt.due else None
        if backend is not None:
            self._try(attempt, backend, ending)
        elif not attempt.open:
            self._finish(attempt, ending)
        return None

    # Below

    def below_changed(self) -> None:
        self.below_alarm.set(self.below.next_at())

    def _below_rings(self, now: int) -> None:
        deaths = self.below.deaths
        ended = self.below.ended(now)
        if self.below.deaths > deaths:
            self.truth.fallen.append((now, None, "what lies below"))
            for node in self.nodes:
                for call in list(node.replying):
                    node.broke_off(call)
        else:
            for call in ended:
                self.nodes[int(call.partition("/")[0])].replied(call)
        self.below_changed()

    # Time

    async def _tick(self) -> None:
        """Processes, the roster and what sidecars learn of it, idle connections, and our own lateness."""
        shown = 0.0
        while True:
            due = self.loop.time() + TICK
            await asyncio.sleep(TICK)
            late, now = self.loop.time() - due, clock.now()
            self.truth.late_loop.append((now, round(late * 1e6)))
            for node in self.nodes:
                node.look(now)
            for backend, listed in self.roster.changes(now):
                for side in range(len(self.sides)):
                    delay = round(self.chance.uniform(*self.plan.sidecars.notice_s) * 1e6)
                    self.told_at[side] = max(self.told_at[side], now + delay)
                    heappush(self.news, (self.told_at[side], side, backend, listed))
            while self.news and self.news[0][0] <= now:
                _, side, backend, listed = heappop(self.news)
                (self.sides[side].listed.add if listed else self.sides[side].listed.discard)(backend)
            if self.loop.time() - shown >= 0.5:
                shown = self.loop.time()
                for pools in self.pools:
                    for pool in pools:
                        pool.sweep()
                kinds = tuple(self.plan.faults[n].kind for n in sorted(self.on))
                up = sum(node.process is not None for node in self.nodes)
                seconds = (now - self.truth.began) / 1e6
                asked = len(self.truth.tickets)
                self.show(Now(seconds, asked, self.settled, self.open, self.tries, up, kinds))

    async def _faults(self) -> None:
        while not self.truth.began:
            await asyncio.sleep(0.001)
        for moment in faults.moments(self.plan):
            while (left := self.truth.began + moment.at - clock.now()) > 0:
                await asyncio.sleep(left / 1e6)
            (self.on.add if moment.begins else self.on.discard)(moment.number)
            self._set(moment)

    def _set(self, moment: faults.Moment) -> None:
        now = clock.now()
        match moment.fault.kind:
            case "kill":
                for n in moment.backends:
                    if moment.begins:
                        self.nodes[n].kill("killed")
                        self.nodes[n].back_at = None
                    elif self.nodes[n].process is None:
                        self.nodes[n].begin(moment.fault.cold)
            case "drain":
                for n in moment.backends:
                    if moment.begins:
                        self.nodes[n].leave()
                    elif self.nodes[n].process is None:
                        self.nodes[n].begin(moment.fault.cold)
                    else:
                        self.nodes[n].back_at = now  # as soon as it has gone
            case "slow" | "hang":
                for n in moment.backends:
                    self.nodes[n].slow(faults.factor(self.plan, self.on, "machine", n))
            case "crawl_below" | "hang_below":
                self.below.slow(now, faults.factor(self.plan, self.on, "below"))
                self.below_changed()
            case "no_roster":
                self.roster.down = moment.begins

    async def _settle(self, duties: list[asyncio.Task]) -> None:
        """Until every client has its answer and every try was answered or is past its outer limit."""
        while self.open or any(owed(work.one) + GRACE > clock.now() for work in self.written):
            await asyncio.sleep(0.02)
            for duty in duties:
                if duty.done() and duty.exception() is not None:
                    raise duty.exception()

    def too_busy(self) -> float | None:
        """The part of late ticks, where it voids the figures."""
        late = sum(by > LATE * 1e6 for _, by in self.truth.late_loop)
        part = late / max(1, len(self.truth.late_loop))
        return part if part > LATE_PART else None


def fresh_folder(path: Path) -> Path:
    """Made empty; only what an emulation writes is removed."""
    if path.exists():
        if not (path / "plan.json").exists() and any(path.iterdir()):
            raise NotPlayed(f"{path}: is not empty, and holds no emulation")
        shutil.rmtree(path)
    path.mkdir(parents=True)
    return path
