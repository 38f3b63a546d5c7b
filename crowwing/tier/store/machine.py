"""One store machine put together: replica, commands, place in the relay tree, reader of the list."""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterable
from random import Random
from typing import Any

from crowwing.tier.clock import SYSTEM_CLOCK, Clock
from crowwing.tier.distribution.documents import Documents
from crowwing.tier.distribution.environment import RelayEnvironment
from crowwing.tier.distribution.messages import RELAY_MESSAGES
from crowwing.tier.distribution.relay import Relay
from crowwing.tier.distribution.root_tracker import RootRole
from crowwing.tier.distribution.sampling import Peer
from crowwing.tier.replication.replica_state import Role
from crowwing.tier.settings import Settings
from crowwing.tier.startup import started_at
from crowwing.tier.storage.errors import StorageError
from crowwing.tier.store import commands
from crowwing.tier.store.disk import Disk
from crowwing.tier.store.list_reader import ListReader, ReadList
from crowwing.tier.store.node import DISK_RETRY_S, ReplicaNode
from crowwing.tier.store.service import StoreService
from crowwing.tier.wire.connection import Connection
from crowwing.tier.wire.connection_pool import ConnectionPool
from crowwing.tier.wire.network import TCP, Listener, Network
from crowwing.tier.wire.server import serve

log = logging.getLogger("crowwing.store")


class StoreMachine:
    """What a store machine's process runs, without signals and the operator's HTTP server."""

    def __init__(
        self,
        settings: Settings,
        disk: Disk,
        random: Random,
        network: Network = TCP,
        clock: Clock = SYSTEM_CLOCK,
        started: float = started_at,
    ) -> None:
        """`started`: when this process began, on the monotonic clock."""
        self._settings, self._random, self._network = settings, random, network
        self.documents = Documents()
        self._connections = ConnectionPool(settings.internal_port, self._handle, network)
        self._urgent_connections = ConnectionPool(settings.internal_port, self._handle, network)
        faults, seeds = settings.fault_tolerance.store_machines, settings.seed_hosts
        self.node = ReplicaNode(
            settings.ip,
            seeds,
            faults,
            disk,
            self._connections,
            random,
            self._urgent_connections,
            clock,
            started,
        )
        self.service = StoreService(settings, self.node, disk, self._connections, self.documents)
        me = Peer(settings.ip, "store", settings.zone, 0)
        environment = RelayEnvironment(self._connections, random, clock)
        root_role = RootRole(
            self._root_term_number, lambda: self.node.leader, self.service.leasing.count_fronts
        )
        self.relay = Relay(me, seeds, self.documents, environment, root_role)
        self.node.find_stores = self._stores_heard_of
        self.node.on_role.append(self._role_changed)

    def _root_term_number(self) -> int | None:
        return self.node.replica.promised[0] if self.node.replica.role is Role.PRIMARY else None

    def _role_changed(self, is_primary: bool) -> None:
        if is_primary:
            self.relay.root_heartbeats.send_now()

    def _stores_heard_of(self) -> Iterable[str]:
        return [peer.host for peer in self.relay.view.peers("store")]

    async def _handle(self, connection: Connection, body: Any) -> Any:  # noqa: ANN401
        if isinstance(body, RELAY_MESSAGES):
            return await self.relay.handle(connection, body)
        if isinstance(body, commands.ForwardedCommand):
            return await self.service.command(body.command, may_forward=False)
        if type(body).__module__ == commands.__name__:
            return await self.service.command(body)
        self.node.receive(body)
        return None

    def take_seeds(self, hosts: tuple[str, ...]) -> None:
        """The settings name other seeds now."""
        self.relay.view.seeds = hosts
        self.node.replica.add_peers(hosts)

    async def start(self, is_wanted: Callable[[], bool] = lambda: True) -> Listener:
        """Opens the disk, again and again while that can't be done and it is wanted, and listens."""
        while is_wanted():
            try:
                self.node.start(self._settings.bootstrap, self._settings.seed_hosts)
                break
            except StorageError as error:
                log.error("the disk can't be opened: %s", error)
                await asyncio.sleep(DISK_RETRY_S)
        return await serve(self._settings.ip, self._settings.internal_port, self._handle, self._network)

    def works(self, read_list: ReadList | None) -> list[Coroutine[Any, Any, None]]:
        """What runs for as long as the process; `read_list` reads the platform's list, where there is one."""
        works = [
            self.node.run_disk(), self.node.run_clock(), self.service.run_housekeeping(),
            self.service.leasing.run(), self.relay.root_heartbeats.run(), self.relay.parent.run(),
            self.relay.shuffler.run(),
        ]  # fmt: skip
        if read_list is not None:
            works.append(ListReader(read_list, self.node, self.documents, self._random).run())
        return works

    def transfer_leadership(self) -> None:
        """Asks another member to take over, where this machine is the primary."""
        self.node.transfer_leadership()

    def close(self) -> None:
        """Ends all connections."""
        self._connections.close()
        self._urgent_connections.close()
