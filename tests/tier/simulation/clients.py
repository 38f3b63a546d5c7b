"""Operators and batch clients that retry as the protocol prescribes."""

import asyncio
import base64
import contextvars
import json
from collections.abc import Callable
from random import Random
from typing import Any

from crowwing.tier.store import commands
from crowwing.tier.store.control_api import outcome_response, read_outcome_response
from tests.tier.simulation.history import Call, Change, hash_of
from tests.tier.simulation.machines import BATCH_PREFIX, Machine, Store, configuration_text
from tests.tier.simulation.world import World

RESPONSE_TIMEOUT_S = 1.0  # until a client tries another machine
PAUSES_S = (0.05, 0.4)
FINAL_STATUSES = (400, 409, 412, 413, 422)
TRAVEL_S = (0.001, 0.003)


async def call_machine(
    world: World, random: Random, machine: Machine, work: Callable[[], Any], limit_s: float, loss: float = 0.0
) -> Any:  # noqa: ANN401
    """Runs a client's request on a machine; None if there is no response."""
    incarnation = machine.incarnation
    if incarnation is None:
        if machine.host not in world.network.powered_off:
            await asyncio.sleep(random.uniform(*TRAVEL_S))
            return None  # refused
        await asyncio.sleep(limit_s)
        return None
    answered: asyncio.Future[Any] = world.loop.create_future()

    def answer(value: Any) -> None:  # noqa: ANN401
        if not answered.done():
            answered.set_result(value)

    async def do() -> None:
        try:
            value = await work()
        except ConnectionRefusedError:
            value = None
        if random.random() >= loss:
            world.loop.call_later(random.uniform(*TRAVEL_S), answer, value, context=outside)

    outside = contextvars.copy_context()
    await asyncio.sleep(random.uniform(*TRAVEL_S))
    if incarnation.ended or machine.incarnation is not incarnation:
        return None
    machine.spawn(do())
    try:
        async with asyncio.timeout(limit_s):
            return await answered
    except TimeoutError:
        return None


class Operator:
    """Sends changes and reads the configuration, at any store machine."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.random = Random(f"{world.seed}/{name}")
        self.loss = 0.0  # share of answers that are lost

    def _machines(self) -> list[Store]:
        stores = [self.world.stores[host] for host in sorted(self.world.stores)]
        self.random.shuffle(stores)
        return stores

    async def ask(self, machine: Store, command: Any) -> tuple[int, bytes] | None:  # noqa: ANN401
        """Sends one command to one machine; gives the status and body of its answer."""

        async def work() -> tuple[int, bytes] | None:
            if machine.machine is None:
                raise ConnectionRefusedError
            outcome = await machine.machine.service.execute(command)
            tell = (
                read_outcome_response if isinstance(command, commands.GetConfiguration) else outcome_response
            )
            response = tell(outcome)
            assert response.status_code is not None
            return response.status_code, bytes(response.content)

        answer: tuple[int, bytes] | None = await call_machine(
            self.world, self.random, machine, work, RESPONSE_TIMEOUT_S, self.loss
        )
        return answer

    async def read(self, machine: Store | None = None) -> Call:
        """Reads the newest configuration at one machine."""
        call = self.world.history.begin(self.world.now, self.name, "read", "")
        answer = await self.ask(machine or self._machines()[0], commands.GetConfiguration())
        call.ended_at = self.world.now
        if answer is not None:
            call.status = answer[0]
            if answer[0] == 200:
                call.value = (json.loads(answer[1])["version"], hash_of(answer[1]))
            elif answer[0] == 404:
                call.value = (0, "")
        return call

    async def read_until_definite(self, limit_s: float = 20.0) -> int:
        """The newest version, read until a read succeeds; -1 after the limit."""
        deadline = self.world.now + limit_s
        machines: list[Store] = []
        while self.world.now < deadline:
            machines = machines or self._machines()
            call = await self.read(machines.pop())
            if call.value is not None:
                return int(call.value[0])
            await asyncio.sleep(self.random.uniform(*PAUSES_S))
        return -1

    async def put_once(self, change: Change, machine: Store | None = None) -> Call:
        """Sends a change to one machine."""
        self.world.history.changes[change.key] = change
        call = self.world.history.begin(self.world.now, self.name, "put", change.key)
        command = commands.PutConfiguration(change.base, change.text)
        answer = await self.ask(machine or self._machines()[0], command)
        call.ended_at = self.world.now
        if answer is not None:
            call.status = answer[0]
        return call

    async def put(self, change: Change, limit_s: float = 30.0) -> int | None:
        """Sends the same change to one machine after another until the answer is definite."""
        deadline, pause = self.world.now + limit_s, PAUSES_S[0]
        machines: list[Store] = []
        while self.world.now < deadline:
            machines = machines or self._machines()
            call = await self.put_once(change, machines.pop())
            if call.status == 200 or call.status in FINAL_STATUSES:
                return call.status
            await asyncio.sleep(pause)
            pause = min(PAUSES_S[1], pause * 1.7)
        return None

    def change(self, base: int, step: int | None = None, mark: str = "") -> Change:
        """A new change based on a version."""
        version = base + (step or self.random.randint(1, 4))
        return Change(
            base, version, configuration_text(version, mark or f"{self.name}{self.random.random()}")
        )

    async def work(self, until: float) -> None:
        """Makes changes until a time; at random resends, abandons or sends an invalid one."""
        mine: list[Change] = []
        while self.world.now < until:
            base = await self.read_until_definite(until - self.world.now)
            if base < 0:
                return
            change = self.change(base)
            limit_s = self.random.choice([0.3, 8.0, 8.0, 8.0])
            if await self.put(change, min(limit_s, until - self.world.now)) == 200:
                mine.append(change)
            if mine and self.random.random() < 0.3:
                await self.put_once(self.random.choice(mine))
            if self.random.random() < 0.1:
                await self.put_once(Change(base, base + 9, b'{"version": 9, "routes"'))
            await asyncio.sleep(self.random.uniform(0.0, 0.6))

    async def retire_once(self, name: str, machine: Store) -> Call:
        """Requests the decommissioning of a store machine at one machine."""
        call = self.world.history.begin(self.world.now, self.name, "retire", name)
        answer = await self.ask(machine, commands.RetireStore(name))
        call.ended_at = self.world.now
        if answer is not None:
            call.status = answer[0]
        return call

    async def retire(self, host: str, until: float) -> bool:
        """Decommissions a machine; True once that is completed."""
        name = f"node-{host}"
        while self.world.now < until:
            for command, status in ((commands.RetireStore(name), 200), (commands.ReadRetirement(name), 200)):
                answer = await self.ask(self._machines()[0], command)
                if answer is None or answer[0] != status:
                    break
                if isinstance(command, commands.ReadRetirement) and b"completed" in answer[1]:
                    return True
            await asyncio.sleep(self.random.uniform(*PAUSES_S))
        return False


class BatchJobClient:
    """Submits batch jobs, reads them from any position at any front, and ends some."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.random = Random(f"{world.seed}/{name}")
        self.jobs: list[str] = []

    async def _call(
        self, kind: str, key: str, method: str, path: str, job_id: str, body: bytes = b""
    ) -> Call:
        front = self.world.fronts[self.random.choice(sorted(self.world.fronts))]
        call = self.world.history.begin(self.world.now, self.name, kind, key)
        answer = await call_machine(
            self.world, self.random, front, lambda: front.batch_call(method, path, job_id, body), 3.5
        )
        call.ended_at = self.world.now
        if answer is not None:
            call.status = answer[0]
            if kind == "read" and answer[0] == 200:
                page = json.loads(answer[1])
                results = [(x["id"], x["state"], x["text"]) for x in page["results"]]
                call.value = (page["total"], results)
            elif kind == "body" and answer[0] == 200:
                call.value = answer[1]
        return call

    def job_body(self, items: tuple[str, ...], size: int) -> bytes:
        """The body of a submission."""
        requests = [
            {
                "id": item, "path": f"{BATCH_PREFIX}x", "headers": {"Model": "m"}, "tokens": 9,
                "body": base64.b64encode(item.encode() * size).decode(),
            }
            for item in items
        ]  # fmt: skip
        return json.dumps({"requests": requests}).encode()

    async def submit(self, job_id: str, until: float, size: int = 3) -> bool:
        """Submits a job until it is accepted, and at random once more."""
        items = tuple(f"{job_id}.{number}" for number in range(self.random.randint(1, 4)))
        self.world.history.jobs[job_id] = items
        body = self.job_body(items, size)
        while self.world.now < until:
            call = await self._call("submit", job_id, "POST", f"{BATCH_PREFIX}{job_id}", job_id, body)
            if call.status == 202:
                self.jobs.append(job_id)
                if self.random.random() < 0.2:
                    await self._call("submit", job_id, "POST", f"{BATCH_PREFIX}{job_id}", job_id, body)
                return True
            await asyncio.sleep(self.random.uniform(*PAUSES_S))
        return False

    async def read(self, job_id: str, start: int) -> Call:
        """Reads results from a position on."""
        return await self._call(
            "read", f"{job_id} {start}", "GET", f"/lots/{job_id}?startAfter={start}", job_id
        )

    async def body(self, item: str) -> Call:
        """Reads the body of an item."""
        job = item.rsplit(".", 1)[0]
        return await self._call("body", item, "GET", f"/items/{job}?id={item}", job)

    async def end(self, job_id: str) -> Call:
        """Ends a job."""
        return await self._call("end", job_id, "DELETE", f"/lots/{job_id}", job_id)

    async def work(self, until: float) -> None:
        """Submits jobs, reads results and bodies, and ends jobs until a time."""
        number = 0
        while self.world.now < until:
            number += 1
            await self.submit(f"{self.name}-{number}", until)
            for _ in range(self.random.randint(0, 4)):
                if not self.jobs or self.world.now >= until:
                    break
                job = self.random.choice(self.jobs)
                what = self.random.random()
                if what < 0.7:
                    await self.read(job, self.random.randint(0, 3))
                elif what < 0.85:
                    await self.body(f"{job}.0")
                elif what < 0.92:
                    await self.end(job)
                await asyncio.sleep(self.random.uniform(0.0, 0.3))
