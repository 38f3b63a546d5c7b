"""The process of a store machine."""

import asyncio
import logging
from pathlib import Path
from random import Random
from typing import Any

from crowwing.tier.distribution.documents import Documents
from crowwing.tier.distribution.relay import Attach, Beat, Push, Relay, Shuffle
from crowwing.tier.distribution.sampling import Peer
from crowwing.tier.http_server import make_server, serve_until
from crowwing.tier.process import Tasks, watch_signals
from crowwing.tier.replication.replica_state import Role
from crowwing.tier.settings import MEGABYTE, Settings
from crowwing.tier.storage.record_file import StorageError
from crowwing.tier.store import commands as c
from crowwing.tier.store.control_api import make_app
from crowwing.tier.store.disk import Disk
from crowwing.tier.store.list_reader import ListReader
from crowwing.tier.store.node import DISK_RETRY_S, ReplicaNode
from crowwing.tier.store.service import StoreService
from crowwing.tier.wire.connection import Connection, Links, serve

log = logging.getLogger("crowwing.store")

RELAYED = (Attach, Beat, Push, Shuffle)
HANDOVER_S = 0.3
CONTROL_KEEP_ALIVE_S = 30


async def start_when_disk_opens(node: ReplicaNode, settings: Settings, stop: asyncio.Event) -> None:
    """Starts the replica, again and again while its disk can't be opened."""
    while not stop.is_set():
        try:
            node.start(settings.bootstrap, settings.seed_hosts)
            return
        except StorageError as error:
            log.error("the disk can't be opened: %s", error)
            await asyncio.sleep(DISK_RETRY_S)


async def run_store(settings: Settings) -> int:
    """Runs until SIGTERM; gives the exit status."""
    stop = asyncio.Event()
    watch_signals(stop)
    tasks = Tasks(stop)
    random = Random()
    documents = Documents()
    disk = Disk(settings.data_dir or Path("data"), settings.limits.disk_mb * MEGABYTE)

    async def handle(connection: Connection, body: Any) -> Any:  # noqa: ANN401
        if isinstance(body, RELAYED):
            return await relay.handle(connection, body)
        if isinstance(body, c.Forwarded):
            return await service.command(body.command, may_forward=False)
        if type(body).__module__ == c.__name__:
            return await service.command(body)
        node.receive(body)
        return None

    links = Links(settings.internal_port, handle)
    urgent_links = Links(settings.internal_port, handle)
    node = ReplicaNode(
        settings.ip, settings.seed_hosts, settings.fault_tolerance.machines, disk, links, random, urgent_links
    )
    service = StoreService(settings, node, disk, links, documents)
    relay = Relay(Peer(settings.ip, "store", settings.zone, 0), settings.seed_hosts, documents, links, random)
    relay.root_order = lambda: node.replica.promised[0] if node.replica.role is Role.PRIMARY else None
    relay.root_hint = lambda: node.leader
    node.find_stores = lambda: [peer.host for peer in relay.view.peers("store")]
    relay.count_fronts = service.leasing.count_fronts
    node.on_role.append(lambda is_primary: relay.became_root() if is_primary else None)

    await start_when_disk_opens(node, settings, stop)
    server = await serve(settings.ip, settings.internal_port, handle)
    for work in (
        node.run_disk(), node.run_clock(), service.run_housekeeping(), service.leasing.run(),
        relay.run_root(), relay.run_child(), relay.run_shuffles(),
    ):  # fmt: skip
        tasks.start(work)
    if settings.cloud is not None:
        tasks.start(ListReader(settings.cloud.address, node, documents, random).run())
    if settings.listen.control:
        control = make_server(make_app(service), settings.listen.control, 1.0, CONTROL_KEEP_ALIVE_S)
        tasks.start(serve_until(control, stop))
    log.info("store machine listens at %s:%d", settings.ip, settings.internal_port)

    await stop.wait()
    node.replica.lead_off(asyncio.get_running_loop().time())
    node.step()
    await asyncio.sleep(HANDOVER_S)
    server.close()
    tasks.cancel()
    links.close()
    urgent_links.close()
    log.info("ends")
    return 1 if tasks.failed else 0
