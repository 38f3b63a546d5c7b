"""The HTTP clients of all sidecars, and their connection limits."""

import asyncio

from crowwing.tier.configuration import RoutingTable
from crowwing.tier.front.sidecar_connections import IdleConnections, connection_limits
from crowwing.tier.front.sidecar_state import SidecarState
from crowwing.tier.front.sidecar_table import SidecarTable
from crowwing.tier.front.upstream import SidecarClient

DEFAULT_MAX_CONNECTIONS = 64  # per sidecar of a service that the configuration does not list
LIMITS_INTERVAL_S = 0.5  # between updates of the connection limits
CLOSE_DELAY_S = 30.0  # after a sidecar was removed from the list, so that open responses can end


class SidecarClients:
    """One client for each sidecar, created on first use.

    Owned by `ServicePool`, whose loop calls `maintain`; the dispatcher gets the client for each attempt.

    Attributes:
        routes: The current configuration, which states how many connections sidecars accept.
    """

    def __init__(self, sidecars: SidecarTable) -> None:
        """Starts without connections."""
        self.routes: RoutingTable | None = None
        self._sidecars = sidecars
        self._clients: dict[str, SidecarClient] = {}
        self._idle: dict[str, IdleConnections] = {}  # by service
        self._limited_at = -1e9
        self._closing: set[asyncio.Task[None]] = set()

    def of_sidecar(self, state: SidecarState) -> SidecarClient:
        """Returns the client of a sidecar, and creates it on first use."""
        client = self._clients.get(state.entry.id)
        if client is None:
            idle = self._idle.setdefault(state.entry.service, IdleConnections())
            self._limit_connections(state.entry.service)
            client = SidecarClient(state.entry.address, state.connections, idle)
            self._clients[state.entry.id] = client
        return client

    def remove(self, sidecar_id: str) -> None:
        """Removes the client of a sidecar that is no longer listed, and closes it after a delay."""
        client = self._clients.pop(sidecar_id, None)
        if client is None:
            return
        task = asyncio.ensure_future(_close_later(client))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def maintain(self, now: float) -> None:
        """Updates the connection limits, and closes surplus and expired connections."""
        if now - self._limited_at < LIMITS_INTERVAL_S:
            return
        self._limited_at = now
        for service, idle in list(self._idle.items()):
            self._limit_connections(service)
            await idle.trim()
            await idle.close_expired()

    def _limit_connections(self, service: str) -> None:
        """Computes the limits of a service from its configuration, its sidecars and the number of fronts."""
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
