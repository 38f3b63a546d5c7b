"""Assembles a store machine: replica, command service, document relay, reader of the platform's list."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

from crowwing.tier.distribution.documents import Documents
from crowwing.tier.distribution.environment import RelayEnvironment
from crowwing.tier.distribution.messages import RELAY_MESSAGES
from crowwing.tier.distribution.relay import Relay
from crowwing.tier.distribution.root_tracker import RootRole
from crowwing.tier.distribution.sampling import Peer
from crowwing.tier.platform_list import ReadList
from crowwing.tier.replication.core import Role
from crowwing.tier.settings import Settings
from crowwing.tier.storage.errors import StorageError
from crowwing.tier.store import commands, outcomes
from crowwing.tier.store.disk import Disk
from crowwing.tier.store.disk_writer import DISK_RETRY_INTERVAL_S
from crowwing.tier.store.environment import Environment
from crowwing.tier.store.list_reader import ListReader
from crowwing.tier.store.message_sender import ReplicaConnections
from crowwing.tier.store.node import ReplicaIdentity, ReplicaNode
from crowwing.tier.store.service import StoreService, unknown_command
from crowwing.tier.store.traffic_classes import make_classify
from crowwing.tier.wire.connection import Connection
from crowwing.tier.wire.connection_pool import ConnectionPool
from crowwing.tier.wire.egress import EgressPacer
from crowwing.tier.wire.network import Listener
from crowwing.tier.wire.server import serve

log = logging.getLogger("crowwing.store")

STORE_ROLE = "store"


class StoreMachine:
    """The components of a store machine's process, except signal handling and the operator's HTTP server.

    Attributes:
        documents: The newest documents known to this machine.
        node: The replica.
        service: Executes commands.
        relay: The machine's node in the relay tree, whose root is the primary.
        pacer: Paces outgoing traffic; None if the settings don't give the link's rate.
    """

    def __init__(self, settings: Settings, disk: Disk, environment: Environment) -> None:
        """Creates a machine that is idle until `start` is called and its `background_tasks` are run."""
        self._settings = settings
        self._environment = environment
        self.documents = Documents()
        self.pacer = self._make_pacer()
        self._connections = ReplicaConnections(data=self._make_pool(), urgent=self._make_pool())
        faults = settings.fault_tolerance.store_machines
        identity = ReplicaIdentity(settings.ip, settings.seed_hosts, faults)
        self.node = ReplicaNode(identity, disk, self._connections, environment)
        self.node.discover_stores = self._discover_stores
        self.service = StoreService(settings, self.node, disk, self._connections.data, self.documents)
        self.relay = self._make_relay()
        self.node.role_listeners.append(self._on_role_changed)

    def _make_pacer(self) -> EgressPacer | None:
        link_mbps = self._settings.limits.link_mbps
        if not link_mbps:
            return None
        return EgressPacer(link_mbps, self._environment.clock, make_classify(lambda: self.node.replica.role))

    def _make_pool(self) -> ConnectionPool:
        port, network = self._settings.internal_port, self._environment.network
        return ConnectionPool(port, self._handle, network, self.pacer)

    def _make_relay(self) -> Relay:
        peer = Peer(self._settings.ip, STORE_ROLE, self._settings.zone, 0)
        environment = RelayEnvironment(
            self._connections.data, self._environment.random, self._environment.clock
        )
        root_role = RootRole(
            self._root_term_number, lambda: self.node.leader, self.service.leasing.count_fronts
        )
        return Relay(peer, self._settings.seed_hosts, self.documents, environment, root_role)

    def _root_term_number(self) -> int | None:
        replica = self.node.replica
        return replica.promised[0] if replica.role is Role.PRIMARY else None

    def _on_role_changed(self, is_primary: bool) -> None:
        if is_primary:
            self.relay.root_heartbeats.send_now()

    def _discover_stores(self) -> dict[str, str]:
        """The zones of the store machines in the partial view and of this machine, by address."""
        zones = {peer.host: peer.zone for peer in self.relay.view.peers(STORE_ROLE)}
        return {**zones, self._settings.ip: self._settings.zone}

    async def _handle(self, connection: Connection, body: Any) -> Any:  # noqa: ANN401  whatever the codec reads
        """Dispatches a request or notification from another machine, and returns the response."""
        if isinstance(body, RELAY_MESSAGES):
            return await self.relay.handle(connection, body)
        if isinstance(body, commands.ForwardedCommand):
            return await self.service.execute(body.command, may_forward=False)
        if isinstance(body, commands.COMMAND_TYPES):
            return await self.service.execute(body)
        if isinstance(body, outcomes.RESPONSE_TYPES):
            return unknown_command(body)
        self.node.receive(body)
        return None

    def update_seeds(self, hosts: tuple[str, ...]) -> None:
        """Applies the seeds of changed settings."""
        self.relay.view.seeds = hosts
        self.node.replica.add_peers(hosts)

    async def start(self, should_retry: Callable[[], bool] = lambda: True) -> Listener:
        """Recovers from the disk and starts listening.

        If the disk can't be opened, this is retried, since an operator may free space or replace the disk.

        Args:
            should_retry: Whether to keep trying; returns False once the process is shutting down.
        """
        while should_retry():
            error = self._start_node()
            if error is None:
                break
            log.error("disk_open_failed error=%r", str(error))
            await asyncio.sleep(DISK_RETRY_INTERVAL_S)
        listener: Listener = await serve(
            self._settings.ip,
            self._settings.internal_port,
            self._handle,
            self._environment.network,
            self.pacer,
        )
        return listener

    def _start_node(self) -> StorageError | None:
        try:
            self.node.start(self._settings.bootstrap, self._settings.seed_hosts)
        except StorageError as error:
            return error
        return None

    def background_tasks(self, read_list: ReadList | None) -> list[Coroutine[Any, Any, None]]:
        """Creates the tasks that run for the lifetime of the process.

        Args:
            read_list: Reads the platform's list; None if there is none.
        """
        tasks = [
            self.node.run_disk(),
            self.node.run_clock(),
            self.service.run_housekeeping(),
            self.service.leasing.run(),
            self.relay.root_heartbeats.run(),
            self.relay.parent.run(),
            self.relay.shuffler.run(),
        ]
        if read_list is not None:
            reader = ListReader(read_list, self.node, self.documents, self._environment.random)
            tasks.append(reader.run())
        return tasks

    def transfer_leadership(self) -> None:
        """If this machine is the primary, asks another member to take over."""
        self.node.transfer_leadership()

    def close(self) -> None:
        """Closes all connections."""
        self._connections.data.close()
        self._connections.urgent.close()
