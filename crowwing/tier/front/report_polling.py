"""Asks sidecars for load reports where no response brings them."""

import asyncio
import time

from crowwing.tier.front.sidecar_clients import SidecarClients
from crowwing.tier.front.sidecar_state import SidecarState
from crowwing.tier.front.sidecar_table import SidecarTable


class ReportPoller:
    """Asks for load reports in the background. Owned by `ServicePool`, whose loop calls it."""

    def __init__(self, sidecars: SidecarTable, clients: SidecarClients) -> None:
        """Reports go into the table."""
        self._sidecars = sidecars
        self._clients = clients
        self._tasks: set[asyncio.Task[None]] = set()

    def poll_unresponsive(self, now: float) -> None:
        """Asks unresponsive sidecars, so that one that answers is used again."""
        for state in self._sidecars.unresponsive(now):
            self.request(state, now)

    def poll_stale(self, service: str, now: float) -> None:
        """Asks sidecars of a service that have reported nothing lately."""
        for state in self._sidecars.with_stale_load(service, now):
            self.request(state, now)

    def request(self, state: SidecarState, now: float) -> None:
        """Asks one sidecar."""
        state.report_requested_at = now
        task = asyncio.ensure_future(self._read_report(state))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read_report(self, state: SidecarState) -> None:
        report = await self._clients.of_sidecar(state).report()
        if report is not None:
            now = time.monotonic()
            self._sidecars.record_load(state, now, report)
            state.last_byte_at, state.unresponsive = now, False
