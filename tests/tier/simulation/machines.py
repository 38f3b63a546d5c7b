"""Simulated machines: stores that run the real `StoreMachine`, and fronts around the real store client."""

import asyncio
import json
import math
from collections.abc import Coroutine
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

from crowwing.tier.clock import Clock
from crowwing.tier.configuration import Route
from crowwing.tier.distribution.documents import Document, Documents
from crowwing.tier.distribution.environment import RelayEnvironment
from crowwing.tier.distribution.messages import RELAY_MESSAGES
from crowwing.tier.distribution.relay import Relay
from crowwing.tier.distribution.sampling import Peer
from crowwing.tier.front.asgi import ClientRequest
from crowwing.tier.front.batch_api import BatchApi
from crowwing.tier.front.store_client import StoreClient
from crowwing.tier.platform_list import Sidecar, SidecarList
from crowwing.tier.settings import Settings
from crowwing.tier.state.events import COMPLETED, ItemResult
from crowwing.tier.store import commands, outcomes
from crowwing.tier.store.disk import Disk
from crowwing.tier.store.environment import Environment
from crowwing.tier.store.machine import StoreMachine
from crowwing.tier.wire.connection import Connection
from crowwing.tier.wire.connection_pool import ConnectionPool
from crowwing.tier.wire.server import serve
from tests.tier.simulation.disk import DiskFaults, SimulatedFiles, SimulatedWorkers
from tests.tier.simulation.loop import Incarnation, new_incarnation
from tests.tier.simulation.network import IncarnationNetwork

if TYPE_CHECKING:
    from tests.tier.simulation.world import World

PORT = 7000
START_S = (0.2, 0.7)  # start-up time, for loading libraries
START_TIME_MS = 1_700_000_000_000
BATCH_HOST, BATCH_PREFIX = "lots.example", "/lots-in/"


class Machine:
    """A machine of the system, through all incarnations of its process."""

    def __init__(self, world: "World", host: str) -> None:
        self.world, self.host = world, host
        self.incarnation: Incarnation | None = None
        self.start_count = 0
        self.clock_offset_ms = 0.0
        self._clock_from = (0.0, 0.0)  # simulated time, and the monotonic clock at that time
        self._clock_rate = 1.0

    @property
    def is_up(self) -> bool:
        """Whether its process runs or is paused."""
        return self.incarnation is not None

    @property
    def is_awake(self) -> bool:
        """Whether its process runs and is not paused."""
        now = self.world.loop.time()
        return self.incarnation is not None and self.incarnation.runs_at(now) <= now

    def start(self, bootstrap: bool = False) -> None:
        """Starts its process."""
        assert self.incarnation is None, f"{self.host} is already running"
        self.start_count += 1
        self.incarnation = new_incarnation(self.host, self.start_count)
        self.world.incarnations.append(self.incarnation)
        self.world.network.powered_off.discard(self.host)
        self.spawn(self._run(self.incarnation, bootstrap))

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Runs a coroutine as a task of this machine's process."""
        assert self.incarnation is not None
        incarnation = self.incarnation
        task = self.world.loop.create_task(work, context=incarnation.context.copy())
        task.add_done_callback(lambda ended: self._ended(incarnation, ended))
        return task

    def _ended(self, incarnation: Incarnation, task: asyncio.Task[Any]) -> None:
        if not task.cancelled() and task.exception() is not None and not incarnation.ended:
            self.world.unexpected_errors.append(f"{self.host}: {task.exception()!r}")

    def stop(self, power: bool = False) -> None:
        """Ends its process immediately."""
        incarnation, self.incarnation = self.incarnation, None
        if incarnation is None:
            return
        incarnation.ended = True
        self.world.network.end_incarnation(incarnation, power)
        if power:
            self.world.network.powered_off.add(self.host)

    def freeze(self, span_s: float) -> None:
        """Pauses its process for a while."""
        if self.incarnation is not None:
            self.incarnation.frozen_until = max(
                self.incarnation.frozen_until, self.world.loop.time() + span_s
            )

    def clock(self) -> Clock:
        """The machine's clocks, with their faults."""
        loop = self.world.loop
        return Clock(self._steady, lambda: int(START_TIME_MS + loop.time() * 1000 + self.clock_offset_ms))

    def _steady(self) -> float:
        since, shown = self._clock_from
        return shown + (self.world.loop.time() - since) * self._clock_rate

    def run_clock_at(self, rate: float) -> None:
        """Changes the rate of its monotonic clock."""
        self._clock_from = (self.world.loop.time(), self._steady())
        self._clock_rate = rate

    def random(self, incarnation: Incarnation) -> Random:
        """The random numbers of one incarnation."""
        return Random(f"{self.world.seed}/{self.host}/{incarnation.number}")

    async def _run(self, incarnation: Incarnation, bootstrap: bool) -> None:
        raise NotImplementedError

    def settings(self, bootstrap: bool) -> Settings:
        """The settings that the platform gives to its process."""
        world = self.world
        return Settings.model_validate({
            "node": f"node-{self.host}", "ip": self.host, "portRange": [PORT, PORT + 10],
            "seeds": [f"{host}:{PORT}" for host in world.seeds], "bootstrap": bootstrap,
            "faultTolerance": {"machines": world.faults}, "limits": self._limits(),
        })  # fmt: skip

    def _limits(self) -> dict[str, float]:
        uplink_bytes_per_s = self.world.network.uplink_bytes_per_s
        limits: dict[str, float] = {"diskMb": self.world.disk_mb}
        if uplink_bytes_per_s < math.inf:
            limits["linkMbps"] = uplink_bytes_per_s * 8 / 1_000_000
        return limits


class Store(Machine):
    """A store machine."""

    def __init__(self, world: "World", host: str) -> None:
        super().__init__(world, host)
        self.files = SimulatedFiles(Random(f"{world.seed}/{host}/disk"))
        self.disk_faults = DiskFaults()
        self.workers: SimulatedWorkers | None = None
        self.machine: StoreMachine | None = None

    async def _run(self, incarnation: Incarnation, bootstrap: bool) -> None:
        loop, started = self.world.loop, self.clock().monotonic()
        random = self.random(incarnation)
        await asyncio.sleep(random.uniform(*self.world.start_s))
        self.workers = SimulatedWorkers(loop, random, self.disk_faults)
        settings = self.settings(bootstrap)
        disk = Disk(Path("/data"), self.world.disk_mb * 1024 * 1024, self.files, self.workers, self.clock())
        network = IncarnationNetwork(self.world.network, incarnation)
        self.machine = StoreMachine(settings, disk, Environment(random, network, self.clock(), started))
        self.world.watch(self)
        await self.machine.start()
        for work in self.machine.background_tasks(self._read_list):
            self.spawn(work)

    def stop(self, power: bool = False, wipe: bool = False) -> None:
        """Ends its process at once; a loss of power may lose what was not synced, a wipe loses all."""
        in_progress = self.workers.in_progress if self.workers is not None and self.is_up else None
        super().stop(power)
        self.machine = self.workers = None
        if power or wipe:
            self.files.lose_power(in_progress)
        if wipe:
            self.files.wipe()

    async def terminate(self) -> None:
        """Ends as on SIGTERM: transfers leadership first."""
        incarnation = self.incarnation
        if self.machine is not None and self.is_awake:
            self.machine.transfer_leadership()
        await asyncio.sleep(0.3)
        if self.incarnation is incarnation:
            self.stop()

    async def _read_list(self) -> SidecarList:
        self.world.list_reads.append((self.world.loop.time(), self.host))
        version = self.world.list_version
        await asyncio.sleep(self.world.list_read_s)
        return SidecarList((Sidecar(f"s-{version}", "s", "10.9.9.9:1", "z", 8, True),))


class Front(Machine):
    """A front with the real relay tree, store client and batch API; items are simulated."""

    def __init__(self, world: "World", host: str) -> None:
        super().__init__(world, host)
        self.store: StoreClient | None = None
        self.documents: Documents | None = None
        self.relay: Relay | None = None
        self.running: dict[tuple[str, str], asyncio.Task[Any]] = {}

    def stop(self, power: bool = False) -> None:
        """Ends its process immediately."""
        super().stop(power)
        self.store = self.documents = self.relay = None
        self.running = {}

    async def _run(self, incarnation: Incarnation, bootstrap: bool) -> None:
        random = self.random(incarnation)
        await asyncio.sleep(random.uniform(*self.world.start_s))
        network = IncarnationNetwork(self.world.network, incarnation)
        documents = self.documents = Documents()
        documents.add_listener(self._take_document)
        connections = ConnectionPool(PORT, self._handle, network)
        me = Peer(self.host, "front", "z", 0)
        environment = RelayEnvironment(connections, random, self.clock())
        relay = self.relay = Relay(me, tuple(self.world.seeds), documents, environment)

        def stores() -> list[str]:
            hosts = sorted({peer.host for peer in relay.view.peers("store")} | set(relay.view.seeds))
            random.shuffle(hosts)
            return hosts

        store = self.store = StoreClient(connections, stores, random, self.clock())
        relay.tracker.on_root_changed.append(store.primary_moved)
        await serve(self.host, PORT, self._handle, network)
        for work in (relay.parent.run(), relay.shuffler.run(), self._run_items(store, random)):
            self.spawn(work)

    async def _handle(self, connection: Connection, body: Any) -> Any:  # noqa: ANN401
        if isinstance(body, RELAY_MESSAGES) and self.relay is not None:
            return await self.relay.handle(connection, body)
        return None

    def _take_document(self, document: Document) -> None:
        self.world.record_document(f"{self.host}/{self.start_count}", document)

    async def _run_items(self, store: StoreClient, random: Random) -> None:
        while True:
            capacity = 4 - len(self.running)
            command = commands.LeaseItemsRequest(self.host, max(0, capacity), tuple(self.running), 300)
            outcome = await store.call(command, 2.0, confirm_s=1.2)
            if isinstance(outcome, outcomes.LeaseItemsResponse):
                for key in outcome.stop:
                    task = self.running.pop(key, None)
                    if task is not None:
                        task.cancel()
                for leased in outcome.items:
                    key = (leased.job_id, leased.item.id)
                    if key not in self.running:
                        self.running[key] = self.spawn(self._run_item(store, leased, random))
            await asyncio.sleep(0.15)

    async def _run_item(self, store: StoreClient, leased: outcomes.LeasedItem, random: Random) -> None:
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
                if isinstance(await store.call(report, 4.0), outcomes.Done):
                    return
        finally:
            self.running.pop(key, None)

    async def batch_call(self, method: str, path: str, job_id: str, body: bytes = b"") -> tuple[int, bytes]:
        """The status and body that the real batch API answers to a client's request."""
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


BATCH_ROUTE = Route.model_validate({
    "name": "lots", "host": BATCH_HOST, "pathPrefix": BATCH_PREFIX, "kind": "batch_queue", "timeoutMs": 1000,
    "sloMs": 400, "service": "s", "maxAttempts": 3, "completionSloMs": 12000, "maxWaitS": 600,
})  # fmt: skip


def configuration_text(version: int, mark: str) -> bytes:
    """A valid configuration; `mark` makes those of the same version differ."""
    route = BATCH_ROUTE.model_dump(by_alias=True, exclude_none=True)
    document = {
        "version": version, "routes": [route, {**route, "name": "other", "pathPrefix": f"/{mark}/"}],
        "services": [{"name": "s"}], "limits": {},
    }  # fmt: skip
    return json.dumps(document).encode()


class Answer:
    """Collects the response that an ASGI handler sends."""

    def __init__(self) -> None:
        self.status, self.body = 0, b""

    async def take(self, message: Any) -> None:  # noqa: ANN401
        """Receives one ASGI message."""
        if message["type"] == "http.response.start":
            self.status = message["status"]
        else:
            self.body += message.get("body", b"")
