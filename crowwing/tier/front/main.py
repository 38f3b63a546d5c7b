"""The front process."""

import asyncio
import logging
import time
from functools import partial
from random import Random

from crowwing.tier.configuration import Configuration, RoutingTable, parse_configuration
from crowwing.tier.distribution.documents import CONFIGURATION, SIDECARS, Document, Documents
from crowwing.tier.distribution.environment import RelayEnvironment
from crowwing.tier.distribution.messages import RELAY_MESSAGES
from crowwing.tier.distribution.relay import Relay
from crowwing.tier.distribution.sampling import Peer
from crowwing.tier.front.asgi import Receive, Scope, Send, respond
from crowwing.tier.front.batch_api import BatchApi
from crowwing.tier.front.batch_job_runner import BatchJobRunner
from crowwing.tier.front.client_connection import ClientConnection, ClientLimits
from crowwing.tier.front.proxy import Proxy
from crowwing.tier.front.service_pool import ServicePool
from crowwing.tier.front.store_client import StoreClient
from crowwing.tier.http_server import make_server, serve_until
from crowwing.tier.platform_list import SidecarList, make_list_reader
from crowwing.tier.process import Tasks, watch_signals
from crowwing.tier.settings import Settings
from crowwing.tier.settings_watch import watch_settings
from crowwing.tier.wire.codec import decode
from crowwing.tier.wire.connection import Connection
from crowwing.tier.wire.connection_pool import ConnectionPool
from crowwing.tier.wire.server import serve

log = logging.getLogger("crowwing.front")

DEREGISTRATION_S = 2.4  # from SIGTERM until the platform sends no more clients here
KILL_MARGIN_S = 0.7  # end of the drain, before the platform kills the process
LIST_READ_AFTER_S = 1.2  # without a heartbeat of the root, before a front reads the endpoint list itself
LIST_READ_INTERVAL_S = 0.9
FIRST_LIST_READ_S = 0.3  # maximum random delay of the first read after a start
DEFAULT_IDLE_TIMEOUT_S = 75.0
FRONT_COUNT_INTERVAL_S = 1.0


class FrontProcess:
    """One front: owns all components of the request path for the lifetime of the process."""

    def __init__(self, settings: Settings) -> None:
        """Creates the components; `run` starts them."""
        self.settings = settings
        self.random = Random()
        self.documents = Documents()
        self.pool = ServicePool()
        self.pool.router.zone = settings.zone
        self.connections = ConnectionPool(settings.internal_port, self.handle)
        me = Peer(settings.ip, "front", settings.zone, 0)
        self.relay = Relay(
            me, settings.seed_hosts, self.documents, RelayEnvironment(self.connections, self.random)
        )
        self.store = StoreClient(self.connections, self.store_hosts, self.random)
        self.proxy = Proxy(self.pool, BatchApi(self.store))
        self.runner = BatchJobRunner(settings.node, self.pool, self.store)
        self.client_limits = ClientLimits()
        self.documents.add_listener(self.apply_document)
        self.relay.tracker.on_root_changed.append(self.store.primary_moved)

    async def handle(self, connection: Connection, body: object) -> object:
        """Handles a message of another backend; returns None for messages that a front does not handle."""
        if isinstance(body, RELAY_MESSAGES):
            return await self.relay.handle(connection, body)
        return None

    def apply_settings(self, settings: Settings) -> None:
        """Applies changed seed hosts; other settings take effect at the next start."""
        self.relay.view.seeds = settings.seed_hosts

    def store_hosts(self) -> list[str]:
        """Hosts that may be the primary, in random order."""
        known = {peer.host for peer in self.relay.view.peers("store")} | set(self.relay.view.seeds)
        hosts = sorted(known)
        self.random.shuffle(hosts)
        return hosts

    def apply_document(self, document: Document) -> None:
        """Applies a newer configuration or endpoint list."""
        if document.kind == CONFIGURATION:
            parsed = parse_configuration(document.body)
            if isinstance(parsed, Configuration):
                self.pool.table = RoutingTable(parsed)
                log.info("configuration_applied version=%d", parsed.version)
                self._apply_limits(parsed)
            else:
                log.error("configuration_unreadable field=%s reason=%s", parsed.location, parsed.reason)
        elif document.kind == SIDECARS:
            listed = decode(document.body)
            self._update_front_count()
            self.pool.apply_endpoint_list(listed)

    def _update_front_count(self) -> None:
        """Uses the root's count of fronts, or at least the number of peers learned from shuffles."""
        shown = 1 + len(self.relay.view.peers("front"))
        self.pool.sidecars.fronts = max(shown, self.relay.tracker.front_count)
        self.pool.sidecars.fronts_counted = self.relay.tracker.front_count > 0

    async def run_front_count(self) -> None:
        """Keeps the number of fronts up to date; never returns."""
        while True:
            await asyncio.sleep(FRONT_COUNT_INTERVAL_S)
            self._update_front_count()

    def _apply_limits(self, configuration: Configuration) -> None:
        limits = configuration.limits
        self.client_limits.max_header_bytes = limits.max_header_bytes
        self.client_limits.header_timeout_s = limits.header_timeout_ms / 1000
        self.client_limits.idle_timeout_s = limits.idle_timeout_ms / 1000

    async def report_readiness(self, send: Send) -> None:
        """Responds to the platform's readiness check: whether this front accepts clients."""
        is_ready = self.pool.table is not None and self.pool.has_endpoint_list and not self.proxy.draining
        status = 200 if is_ready else 503
        await respond(send, status, b"")

    async def run_list_reader(self) -> None:
        """Reads the platform's endpoint list while the root does not send it; never returns."""
        assert self.settings.cloud is not None
        await asyncio.sleep(FIRST_LIST_READ_S * self.random.random())  # usually the root sends it first
        read_list = make_list_reader(self.settings.cloud.address)
        while True:
            if (
                self.relay.tracker.seconds_since_heartbeat >= LIST_READ_AFTER_S
                or not self.pool.has_endpoint_list
            ):
                listed = await read_list()
                if isinstance(listed, SidecarList):
                    self.pool.apply_endpoint_list(listed)
                else:
                    log.warning("list_read_failed reason=%s", listed.reason)
            await asyncio.sleep(LIST_READ_INTERVAL_S * (0.8 + 0.4 * self.random.random()))

    async def run(self) -> int:
        """Runs until SIGTERM; returns the exit status."""
        stop, end, settings_changed = asyncio.Event(), asyncio.Event(), asyncio.Event()
        watch_signals(stop, settings_changed)
        tasks = Tasks(stop)
        internal = await serve(self.settings.ip, self.settings.internal_port, self.handle)
        for work in (
            self.relay.parent.run(), self.relay.shuffler.run(), self.pool.run_loops(), self.runner.run(),
            self.run_front_count(), watch_settings(settings_changed, self.apply_settings),
        ):  # fmt: skip
            tasks.start(work)
        if self.settings.cloud is not None:
            tasks.start(self.run_list_reader())

        serving = self._start_servers(tasks, end)
        await stop.wait()
        await self._drain(end, serving)
        internal.close()
        tasks.cancel()
        self.connections.close()
        log.info("stopped")
        return 1 if tasks.failed else 0

    def _start_servers(self, tasks: Tasks, end: asyncio.Event) -> list[asyncio.Task[None]]:
        """Serves clients and readiness checks until `end`, at the addresses that the settings name."""

        async def ready(_scope: Scope, _receive: Receive, send: Send) -> None:
            await self.report_readiness(send)

        settings = self.settings
        clients = partial(ClientConnection, self.client_limits)
        serving: list[asyncio.Task[None]] = []
        for address, app, connection in (
            (settings.listen.front, self.proxy, clients),
            (settings.listen.ready, ready, None),
        ):
            if address:
                server = make_server(
                    app, address, settings.bounds.grace_s, DEFAULT_IDLE_TIMEOUT_S, connection
                )
                serving.append(tasks.start(serve_until(server, end)))
                log.info("listening address=%s", address)
        return serving

    async def _drain(self, end: asyncio.Event, serving: list[asyncio.Task[None]]) -> None:
        """Shuts down gracefully: reports not ready at once, and waits for open requests and items."""
        log.info("drain_started open_requests=%d", self.proxy.open)
        deadline = time.monotonic() + self.settings.bounds.grace_s - KILL_MARGIN_S
        self.proxy.draining = self.runner.draining = True
        await asyncio.sleep(DEREGISTRATION_S)
        end.set()
        await asyncio.wait(serving, timeout=max(0.1, deadline - time.monotonic()))
        await self.runner.finish(max(0.0, deadline - time.monotonic()))


async def run_front(settings: Settings) -> int:
    """Runs a front until SIGTERM; returns the exit status."""
    return await FrontProcess(settings).run()
