"""Polls sidecars for load reports when no response has delivered one recently."""

import asyncio
import time

from crowwing.tier.front.sidecar_clients import SidecarClients
from crowwing.tier.front.sidecar_state import SidecarState
from crowwing.tier.front.sidecar_table import SidecarTable


class ReportPoller:
    """Requests load reports in the background. Owned by `ServicePool`, whose loop calls it."""

    def __init__(self, sidecars: SidecarTable, clients: SidecarClients) -> None:
        """Records the reports in the table."""
        self._sidecars = sidecars
        self._clients = clients
        self._tasks: set[asyncio.Task[None]] = set()

    def poll_unresponsive(self, now: float) -> None:
        """Polls unresponsive sidecars; one that responds is used again."""
        for state in self._sidecars.unresponsive(now):
            self.request(state, now)

    def poll_stale(self, service: str, now: float) -> None:
        """Polls sidecars of a service without a recent load report."""
        for state in self._sidecars.with_stale_load(service, now):
            self.request(state, now)

    def request(self, state: SidecarState, now: float) -> None:
        """Requests a report from one sidecar."""
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
