"""The client of the store: calls to the primary, with retries and failover."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from random import Random

from crowwing.tier.clock import SYSTEM_CLOCK, Clock
from crowwing.tier.front.primary_finder import PrimaryFinder
from crowwing.tier.store import commands, outcomes
from crowwing.tier.wire.codec import Decoded
from crowwing.tier.wire.connection_pool import ConnectionPool
from crowwing.tier.wire.errors import CallError

CONFIRM_INTERVAL_S = (
    0.7  # wait for a response before other machines are asked whether the primary has changed
)
MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S = 0.08, 0.64  # between attempts of a call; doubled each time
MIN_PAUSE_SHARE = (
    0.5  # share of a pause that is fixed; the rest is random, so that fronts do not retry in step
)
OVERLOAD_PAUSE_S = 0.5  # before an overloaded primary is called again
PRIMARY_MOVED = "the primary has moved"
TIMED_OUT = "no response in time"

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


def is_overloaded(outcome: FrontOutcome) -> bool:
    """Whether the primary rejected a command for lack of capacity, not because of the command itself."""
    return isinstance(outcome, outcomes.Rejected) and outcome.status == HTTPStatus.SERVICE_UNAVAILABLE


class StoreClient:
    """Calls the primary until the outcome is known or the call times out.

    A command is sent to the known primary, and again only if that call failed or the machine is no longer the
    primary: batch jobs are large, and a slow primary must not receive them several times.

    Owned by the front's process; the batch API and the batch job runner call it.
    """

    def __init__(
        self,
        connections: ConnectionPool,
        hosts: Callable[[], list[str]],
        random: Random,
        clock: Clock = SYSTEM_CLOCK,
    ) -> None:
        """Calls over `connections`; `hosts` returns the store machines; `random` adds jitter to pauses."""
        self._connections = connections
        self._random = random
        self._clock = clock
        self._finder = PrimaryFinder(connections, hosts, random, clock)

    def primary_moved(self, host: str) -> None:
        """Records that this host is the primary now; pending calls to a former one are retried there."""
        self._finder.primary_moved(host)

    async def call(
        self, command: FrontCommand, timeout_s: float, confirm_s: float = CONFIRM_INTERVAL_S
    ) -> FrontOutcome:
        """Sends a command to the primary.

        Args:
            command: The command.
            timeout_s: The time-out of all attempts together.
            confirm_s: The time without a response before checking whether the primary has changed.

        Returns:
            The primary's outcome; Indeterminate if the command may have been executed, NotPrimary if it
            certainly was not.
        """
        deadline = self._clock.monotonic() + timeout_s
        indeterminate = False
        pause_s = MIN_RETRY_PAUSE_S
        while (left_s := deadline - self._clock.monotonic()) > 0:
            host = await self._finder.wait(left_s)
            if host is None:
                break
            leader = None
            try:
                outcome = await self._attempt(host, command, deadline, confirm_s)
            except CallError as error:
                indeterminate = indeterminate or error.sent
            else:
                if indeterminate and is_overloaded(
                    outcome
                ):  # not a final rejection: an earlier attempt may have succeeded
                    await asyncio.sleep(max(0.0, min(OVERLOAD_PAUSE_S, deadline - self._clock.monotonic())))
                    continue
                if not isinstance(outcome, outcomes.NotPrimary | outcomes.Indeterminate):
                    return outcome
                indeterminate = indeterminate or isinstance(outcome, outcomes.Indeterminate)
                leader = outcome.leader if isinstance(outcome, outcomes.NotPrimary) else None
            self._finder.invalidate(host, leader)
            await self._pause(pause_s, deadline)
            pause_s = min(MAX_RETRY_PAUSE_S, 2 * pause_s)
        return (
            outcomes.Indeterminate("no clear answer in time") if indeterminate else outcomes.NotPrimary(None)
        )

    async def _pause(self, pause_s: float, deadline: float) -> None:
        jittered_s = pause_s * (MIN_PAUSE_SHARE + (1 - MIN_PAUSE_SHARE) * self._random.random())
        await asyncio.sleep(max(0.0, min(jittered_s, deadline - self._clock.monotonic())))

    async def _attempt(
        self, host: str, command: FrontCommand, deadline: float, confirm_s: float
    ) -> FrontOutcome:
        """Makes one attempt; raises CallError, also if the primary has moved to another host."""
        request = commands.ForwardedCommand(command)
        call = asyncio.ensure_future(
            self._connections.call(host, request, deadline - self._clock.monotonic())
        )
        try:
            while not await self._is_done(call, min(confirm_s, deadline - self._clock.monotonic())):
                if self._clock.monotonic() >= deadline:
                    raise CallError(TIMED_OUT, sent=True)
                if await self._has_moved(host, call, deadline):
                    raise CallError(PRIMARY_MOVED, sent=True)
            outcome: FrontOutcome = await call
        finally:
            call.cancel()
        return outcome

    async def _has_moved(self, host: str, call: "asyncio.Task[Decoded]", deadline: float) -> bool:
        """Checks whether another machine is the primary, until the response or the deadline."""
        confirmation = asyncio.ensure_future(self._finder.confirm(host))
        left_s = max(0.0, deadline - self._clock.monotonic())
        try:
            await asyncio.wait({call, confirmation}, timeout=left_s, return_when=asyncio.FIRST_COMPLETED)
            return not call.done() and confirmation.done() and not confirmation.result()
        finally:
            confirmation.cancel()

    async def _is_done(self, call: "asyncio.Task[Decoded]", timeout_s: float) -> bool:
        """Waits for the response, a change of the primary, or the time-out; returns if the call is done."""
        changed = asyncio.ensure_future(self._finder.changed.wait())
        try:
            await asyncio.wait(
                {call, changed}, timeout=max(0.0, timeout_s), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            changed.cancel()
        return call.done()
