"""Calls to the primary of the store machines, whichever machine that is."""

import asyncio
import logging
from collections.abc import Callable

from crowwing.tier.clock import SYSTEM_CLOCK, Clock
from crowwing.tier.store import commands, outcomes
from crowwing.tier.wire.connection_pool import ConnectionPool
from crowwing.tier.wire.errors import CallError

log = logging.getLogger("crowwing.client")

ATTEMPT_TIMEOUT_S = 0.7
RETRY_PAUSE_S = 0.08
PRIMARY_MOVED = "the primary has moved"

FrontCommand = (
    commands.SubmitBatchJob
    | commands.ReadBatchJob
    | commands.ReadItemBody
    | commands.EndBatchJob
    | commands.LeaseItemsRequest
    | commands.ReportItemResult
    | commands.ReportItemFailure
)
FrontOutcome = (
    outcomes.Done
    | outcomes.NotFound
    | outcomes.Rejected
    | outcomes.Indeterminate
    | outcomes.NotPrimary
    | outcomes.ItemBody
    | outcomes.BatchJobPage
    | outcomes.LeaseItemsResponse
)


class StoreClient:
    """Finds the primary and calls it until there is a clear outcome or the time is up.

    Owned by the front's process; the batch interface and the batch job runner call it.
    """

    def __init__(
        self, connections: ConnectionPool, hosts: Callable[[], list[str]], clock: Clock = SYSTEM_CLOCK
    ) -> None:
        """Calls by `connections`; `hosts` names where the primary may be found."""
        self._connections, self._hosts, self._clock = connections, hosts, clock
        self._primary: str | None = None
        self._moved = asyncio.Event()  # replaced at each change of the primary

    def moved(self, host: str) -> None:
        """The primary is at this host now; calls to a former one are made again there."""
        self._primary = host
        moved, self._moved = self._moved, asyncio.Event()
        moved.set()

    async def call(
        self, command: FrontCommand, limit_s: float, answer_s: float = ATTEMPT_TIMEOUT_S
    ) -> FrontOutcome:
        """Sends a command to the primary.

        Args:
            command: What is asked.
            limit_s: The time for all attempts.
            answer_s: The time for one attempt.

        Returns:
            The primary's outcome; Indeterminate where the command may have been carried out, NotPrimary
            where it certainly was not.
        """
        deadline = self._clock.monotonic() + limit_s
        indeterminate = False
        hosts: list[str] = []
        while (left := deadline - self._clock.monotonic()) > 0:
            if self._primary is None:
                hosts = hosts or self._hosts()
                if not hosts:
                    await asyncio.sleep(min(left, RETRY_PAUSE_S))
                    continue
                self._primary = hosts.pop(0)
            host = self._primary
            try:
                outcome = await self._call_until_moved(host, command, min(left, answer_s))
            except CallError as error:
                indeterminate = indeterminate or error.sent
                self._forget(host)
                await asyncio.sleep(min(left, RETRY_PAUSE_S))
                continue
            if isinstance(outcome, outcomes.NotPrimary):
                self._forget(host)
                if outcome.leader is not None and outcome.leader != host:
                    self._primary = outcome.leader
                await asyncio.sleep(min(left, RETRY_PAUSE_S))
            elif isinstance(outcome, outcomes.Indeterminate):
                indeterminate = True
                self._forget(host)
                await asyncio.sleep(min(left, RETRY_PAUSE_S))
            else:
                return outcome
        return (
            outcomes.Indeterminate("no clear answer in time") if indeterminate else outcomes.NotPrimary(None)
        )

    async def _call_until_moved(self, host: str, command: FrontCommand, limit_s: float) -> FrontOutcome:
        """One attempt; raises CallError, also where the primary moves to another host meanwhile."""
        call = asyncio.ensure_future(
            self._connections.call(host, commands.ForwardedCommand(command), limit_s)
        )
        moved = asyncio.ensure_future(self._moved.wait())
        try:
            await asyncio.wait({call, moved}, return_when=asyncio.FIRST_COMPLETED)
            if not call.done() and self._primary not in (None, host):
                raise CallError(PRIMARY_MOVED, sent=True)
            outcome: FrontOutcome = await call
        finally:
            moved.cancel()
            call.cancel()
        return outcome

    def _forget(self, host: str) -> None:
        if self._primary == host:
            self._primary = None
