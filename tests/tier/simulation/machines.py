"""Simulated machines: store machines that run the real `StoreMachine`, and fronts around the real client."""

import asyncio
import json
from collections.abc import Coroutine
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

from crowwing.tier.clock import Clock
from crowwing.tier.configuration import Route
from crowwing.tier.distribution.documents import Document, Documents
from crowwing.tier.distribution.relay import Relay
from crowwing.tier.distribution.sampling import Peer
from crowwing.tier.front.asgi import ClientRequest
from crowwing.tier.front.batch_api import BatchApi
from crowwing.tier.front.store_client import StoreClient
from crowwing.tier.platform_list import Sidecar, SidecarList
from crowwing.tier.settings import Settings
from crowwing.tier.state.events import COMPLETED, ItemResult
from crowwing.tier.store import commands
from crowwing.tier.store.disk import Disk
from crowwing.tier.store.machine import RELAYED, StoreMachine
from crowwing.tier.wire.connection import Connection, ConnectionPool, serve
from tests.tier.simulation.disk import DiskTrouble, SimulatedFiles, SimulatedWorkers
from tests.tier.simulation.loop import Life, new_life
from tests.tier.simulation.network import LifeNetwork

if TYPE_CHECKING:
    from tests.tier.simulation.world import World

PORT = 7000
START_S = (0.2, 0.7)  # what the libraries of a process take to load
DAY_MS = 1_700_000_000_000
BATCH_HOST, BATCH_PREFIX = "lots.example", "/lots-in/"


class Machine:
    """A machine of the system, through all lives of its process."""

    def __init__(self, world: "World", host: str) -> None:
        self.world, self.host = world, host
        self.life: Life | None = None
        self.lives = 0
        self.clock_offset_ms = 0.0
        self._clock_from = (0.0, 0.0)  # simulated time, and what the steady clock showed then
        self._clock_rate = 1.0

    @property
    def is_up(self) -> bool:
        """Whether its process runs, or stands still."""
        return self.life is not None

    @property
    def is_awake(self) -> bool:
        """Whether its process runs now."""
        now = self.world.loop.time()
        return self.life is not None and self.life.runs_at(now) <= now

    def start(self, bootstrap: bool = False) -> None:
        """Starts its process."""
        assert self.life is None, f"{self.host} runs already"
        self.lives += 1
        self.life = new_life(self.host, self.lives)
        self.world.lives.append(self.life)
        self.world.network.dark.discard(self.host)
        self.spawn(self._run(self.life, bootstrap))

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Runs something as a part of this machine's process."""
        assert self.life is not None
        life = self.life
        task = self.world.loop.create_task(work, context=life.context.copy())
        task.add_done_callback(lambda ended: self._ended(life, ended))
        return task

    def _ended(self, life: Life, task: asyncio.Task[Any]) -> None:
        if not task.cancelled() and task.exception() is not None and not life.ended:
            self.world.defects.append(f"{self.host}: {task.exception()!r}")

    def stop(self, power: bool = False) -> None:
        """Ends its process at once."""
        life, self.life = self.life, None
        if life is None:
            return
        life.ended = True
        self.world.network.end_life(life, power)
        if power:
            self.world.network.dark.add(self.host)

    def freeze(self, span_s: float) -> None:
        """Stands still for a while."""
        if self.life is not None:
            self.life.frozen_until = max(self.life.frozen_until, self.world.loop.time() + span_s)

    def clock(self) -> Clock:
        """Its clocks."""
        loop = self.world.loop
        return Clock(self._steady, lambda: int(DAY_MS + loop.time() * 1000 + self.clock_offset_ms))

    def _steady(self) -> float:
        since, shown = self._clock_from
        return shown + (self.world.loop.time() - since) * self._clock_rate

    def run_clock_at(self, rate: float) -> None:
        """From now on its steady clock runs at another rate."""
        self._clock_from = (self.world.loop.time(), self._steady())
        self._clock_rate = rate

    def random(self, life: Life) -> Random:
        """Chance of its own for each life."""
        return Random(f"{self.world.seed}/{self.host}/{life.number}")

    async def _run(self, life: Life, bootstrap: bool) -> None:
        raise NotImplementedError

    def settings(self, bootstrap: bool) -> Settings:
        """What the platform tells its process."""
        world = self.world
        return Settings.model_validate({
            "node": f"node-{self.host}", "ip": self.host, "portRange": [PORT, PORT + 10],
            "seeds": [f"{host}:{PORT}" for host in world.seeds], "bootstrap": bootstrap,
            "faultTolerance": {"machines": world.faults}, "limits": {"diskMb": world.disk_mb},
        })  # fmt: skip


class Store(Machine):
    """A store machine."""

    def __init__(self, world: "World", host: str) -> None:
        super().__init__(world, host)
        self.files = SimulatedFiles(Random(f"{world.seed}/{host}/disk"))
        self.trouble = DiskTrouble()
        self.workers: SimulatedWorkers | None = None
        self.machine: StoreMachine | None = None

    async def _run(self, life: Life, bootstrap: bool) -> None:
        loop, started = self.world.loop, self.clock().monotonic()
        random = self.random(life)
        await asyncio.sleep(random.uniform(*self.world.start_s))
        self.workers = SimulatedWorkers(loop, random, self.trouble)
        settings = self.settings(bootstrap)
        disk = Disk(Path("/data"), self.world.disk_mb * 1024 * 1024, self.files, self.workers, self.clock())
        network = LifeNetwork(self.world.network, life)
        self.machine = StoreMachine(settings, disk, random, network, self.clock(), started)
        self.world.watch(self)
        await self.machine.start()
        for work in self.machine.works(self._read_list):
            self.spawn(work)

    def stop(self, power: bool = False, wipe: bool = False) -> None:
        """Ends its process at once; without power what was not synced may go, a wipe takes all."""
        under_way = self.workers.under_way if self.workers is not None and self.is_up else None
        super().stop(power)
        self.machine = self.workers = None
        if power or wipe:
            self.files.lose_power(under_way)
        if wipe:
            self.files.wipe()

    async def terminate(self) -> None:
        """SIGTERM: hands over, and ends."""
        life = self.life
        if self.machine is not None and self.is_awake:
            self.machine.transfer_leadership()
        await asyncio.sleep(0.3)
        if self.life is life:
            self.stop()

    async def _read_list(self) -> SidecarList:
        self.world.list_reads.append((self.world.loop.time(), self.host))
        await asyncio.sleep(0.002)
        return SidecarList((Sidecar(f"s-{self.world.list_version}", "s", "10.9.9.9:1", "z", 8, True),))


class Front(Machine):
    """A front: the real relay tree, store client and batch interface, around items that run by themselves."""

    def __init__(self, world: "World", host: str) -> None:
        super().__init__(world, host)
        self.store: StoreClient | None = None
        self.documents: Documents | None = None
        self.relay: Relay | None = None
        self.running: dict[tuple[str, str], asyncio.Task[Any]] = {}

    def stop(self, power: bool = False) -> None:
        """Ends its process at once."""
        super().stop(power)
        self.store = self.documents = self.relay = None
        self.running = {}

    async def _run(self, life: Life, bootstrap: bool) -> None:
        random = self.random(life)
        await asyncio.sleep(random.uniform(*self.world.start_s))
        network = LifeNetwork(self.world.network, life)
        documents = self.documents = Documents()
        documents.listen(self._take_document)
        connections = ConnectionPool(PORT, self._handle, network)
        me = Peer(self.host, "front", "z", 0)
        relay = self.relay = Relay(me, tuple(self.world.seeds), documents, connections, random, self.clock())

        def stores() -> list[str]:
            hosts = sorted({peer.host for peer in relay.view.peers("store")} | set(relay.seeds))
            random.shuffle(hosts)
            return hosts

        store = self.store = StoreClient(connections, stores, self.clock())
        relay.on_root.append(store.moved)
        await serve(self.host, PORT, self._handle, network)
        for work in (relay.run_child(), relay.run_shuffles(), self._run_items(store, random)):
            self.spawn(work)

    async def _handle(self, connection: Connection, body: Any) -> Any:  # noqa: ANN401
        if isinstance(body, RELAYED) and self.relay is not None:
            return await self.relay.handle(connection, body)
        return None

    def _take_document(self, document: Document) -> None:
        self.world.took_document(f"{self.host}/{self.lives}", document)

    async def _run_items(self, store: StoreClient, random: Random) -> None:
        while True:
            room = 4 - len(self.running)
            command = commands.LeaseItemsRequest(self.host, max(0, room), tuple(self.running), 300)
            outcome = await store.call(command, 2.0, answer_s=1.2)
            if isinstance(outcome, commands.LeaseItemsResponse):
                for key in outcome.stop:
                    task = self.running.pop(key, None)
                    if task is not None:
                        task.cancel()
                for leased in outcome.items:
                    key = (leased.job_id, leased.item.id)
                    if key not in self.running:
                        self.running[key] = self.spawn(self._run_item(store, leased, random))
            await asyncio.sleep(0.15)

    async def _run_item(self, store: StoreClient, leased: commands.LeasedItem, random: Random) -> None:
        key = (leased.job_id, leased.item.id)
        world = self.world
        world.history.runs.append((world.loop.time(), leased.job_id, leased.item.id))
        try:
            await asyncio.sleep(random.uniform(0.05, 0.8))
            text = f"{leased.item.id}@{self.host}.{len(world.history.runs)}"
            report = commands.ReportItemResult(
                leased.job_id, leased.item.id, ItemResult(leased.item.id, COMPLETED, text)
            )
            for _ in range(8):
                if isinstance(await store.call(report, 4.0), commands.Done):
                    return
        finally:
            self.running.pop(key, None)

    async def batch_call(self, method: str, path: str, job_id: str, body: bytes = b"") -> tuple[int, bytes]:
        """What a client's call on lots is answered, by the real batch interface."""
        if self.store is None:
            raise ConnectionRefusedError
        answer = Answer()
        path, _, query = path.partition("?")
        headers = [(b"request-id", job_id.encode()), (b"host", BATCH_HOST.encode()), (b"wait-ms", b"300")]
        request = ClientRequest(method, path, query.encode(), headers, body)
        api = BatchApi(self.store)
        if method == "POST":
            await api.serve_route(request, answer.take)
        else:
            await api.serve_without_route(request, answer.take)
        return answer.status, answer.body


LOT_ROUTE = Route.model_validate({
    "name": "lots", "host": BATCH_HOST, "pathPrefix": BATCH_PREFIX, "kind": "batch_queue", "timeoutMs": 1000,
    "sloMs": 400, "service": "s", "maxAttempts": 3, "completionSloMs": 12000, "maxWaitS": 600,
})  # fmt: skip


def configuration_text(version: int, mark: str) -> bytes:
    """A valid configuration; `mark` tells those with the same number apart."""
    route = LOT_ROUTE.model_dump(by_alias=True, exclude_none=True)
    whole = {
        "version": version, "routes": [route, {**route, "name": "other", "pathPrefix": f"/{mark}/"}],
        "services": [{"name": "s"}], "limits": {},
    }  # fmt: skip
    return json.dumps(whole).encode()


class Answer:
    """Takes in what an ASGI handler sends."""

    def __init__(self) -> None:
        self.status, self.body = 0, b""

    async def take(self, message: Any) -> None:  # noqa: ANN401
        """One ASGI message."""
        if message["type"] == "http.response.start":
            self.status = message["status"]
        else:
            self.body += message.get("body", b"")
