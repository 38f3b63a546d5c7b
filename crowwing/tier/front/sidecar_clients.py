"""The clients of all sidecars, and how many connections they may have."""

import asyncio

from crowwing.tier.configuration import RoutingTable
from crowwing.tier.front.sidecar_connections import IdleConnections, connection_limits
from crowwing.tier.front.sidecar_state import SidecarState
from crowwing.tier.front.sidecar_table import SidecarTable
from crowwing.tier.front.upstream import SidecarClient

DEFAULT_MAX_CONNECTIONS = 64  # of a sidecar whose service the configuration does not name
LIMITS_INTERVAL_S = 0.5  # between looks at how many connections there may be
CLOSE_DELAY_S = 30.0  # after a sidecar has left the list: answers that are still coming may end


class SidecarClients:
    """One client for each sidecar, made when first used.

    Owned by `ServicePool`, whose loop calls `maintain`; the dispatcher asks for the client of each attempt.

    Attributes:
        routes: The configuration in force, which names how many connections sidecars accept.
    """

    def __init__(self, sidecars: SidecarTable) -> None:
        """No connection is open yet."""
        self.routes: RoutingTable | None = None
        self._sidecars = sidecars
        self._clients: dict[str, SidecarClient] = {}
        self._idle: dict[str, IdleConnections] = {}  # by service
        self._limited_at = -1e9
        self._closing: set[asyncio.Task[None]] = set()

    def of_sidecar(self, state: SidecarState) -> SidecarClient:
        """The client of a sidecar."""
        client = self._clients.get(state.entry.id)
        if client is None:
            idle = self._idle.setdefault(state.entry.service, IdleConnections())
            self._limit_connections(state.entry.service)
            client = SidecarClient(state.entry.address, state.connections, idle)
            self._clients[state.entry.id] = client
        return client

    def remove(self, sidecar_id: str) -> None:
        """A sidecar has left the list: its client is closed a while later."""
        client = self._clients.pop(sidecar_id, None)
        if client is None:
            return
        task = asyncio.ensure_future(_close_later(client))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def maintain(self, now: float) -> None:
        """Follows the number of fronts and the configuration, and closes what need not stay open."""
        if now - self._limited_at < LIMITS_INTERVAL_S:
            return
        self._limited_at = now
        for service, idle in list(self._idle.items()):
            self._limit_connections(service)
            await idle.trim()
            await idle.close_expired()

    def _limit_connections(self, service: str) -> None:
        """Bounds the connections to a service's sidecars by what is known now."""
        configured = self.routes.services.get(service) if self.routes else None
        accepted = configured.max_conns if configured is not None else DEFAULT_MAX_CONNECTIONS
        states = self._sidecars.of_service(service)
        limits = connection_limits(accepted, len(states), self._sidecars.assumed_front_count(service))
        self._idle[service].max_idle = limits.max_idle_total
        for state in states:
            state.connections.max_open = limits.max_open_each


async def _close_later(client: SidecarClient) -> None:
    await asyncio.sleep(CLOSE_DELAY_S)
    await client.close()
