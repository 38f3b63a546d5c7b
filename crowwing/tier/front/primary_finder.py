"""Discovery of the primary store machine, shared by all calls of a front."""

import asyncio
from collections.abc import Callable, Sequence
from random import Random

from crowwing.tier.clock import Clock
from crowwing.tier.replication.core import Role
from crowwing.tier.replication.terms import FIRST_TERM, NO_TERM, Term
from crowwing.tier.store import commands, outcomes
from crowwing.tier.wire.connection_pool import ConnectionPool
from crowwing.tier.wire.errors import CallError

STATUS_TIMEOUT_S = 0.3  # of one status query
MAX_QUERIED = 2  # random store machines queried in one round, besides those that other machines name
MIN_ROUND_PAUSE_S, MAX_ROUND_PAUSE_S = 0.08, 1.28  # after a failed round; doubled each time
MIN_CONFIRM_INTERVAL_S = 0.5  # between checks whether an unresponsive primary is still the primary
MIN_PAUSE_SHARE = (
    0.5  # share of a pause that is fixed; the rest is random, so that fronts do not query in step
)


class PrimaryFinder:
    """Tracks the primary, and searches for it while a call waits. Owned by `StoreClient`.

    All calls of a front share one search, and its rounds back off while there is no primary, so that the
    queries of the fronts do not use up the capacity that the store machines need to elect one.
    """

    def __init__(
        self, connections: ConnectionPool, hosts: Callable[[], list[str]], random: Random, clock: Clock
    ) -> None:
        """Sends queries over `connections`; `hosts` returns the store machines in random order."""
        self._connections = connections
        self._hosts = hosts
        self._random = random
        self._clock = clock
        self._primary: str | None = None
        self._highest_term: Term = NO_TERM  # of the machines that reported to be the primary
        self._primary_hint: str | None = None  # the primary according to another machine
        self._changed = asyncio.Event()  # set and replaced when the primary changes
        self._search: asyncio.Task[None] | None = None
        self._confirmation: asyncio.Task[None] | None = None
        self._confirmed_at = -MIN_CONFIRM_INTERVAL_S

    @property
    def primary(self) -> str | None:
        """The host of the primary; None while it is unknown."""
        return self._primary

    @property
    def changed(self) -> asyncio.Event:
        """Set at the next change of the primary."""
        return self._changed

    def primary_moved(self, host: str) -> None:
        """Records that this host is the primary now."""
        self._primary = host
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def invalidate(self, host: str, leader: str | None = None) -> None:
        """Records that this host is not the primary; `leader` is the primary it named, if any."""
        if self._primary == host:
            self._primary = None
        if leader is not None and leader != host:
            self._primary_hint = leader

    async def wait(self, timeout_s: float) -> str | None:
        """Waits for the primary; returns None if none is found in time."""
        deadline = self._clock.monotonic() + timeout_s
        while self._primary is None and (left_s := deadline - self._clock.monotonic()) > 0:
            if self._search is None or self._search.done():
                self._search = asyncio.ensure_future(self._run_search())
            await _wait_for(self._changed, left_s)
        return self._primary

    async def confirm(self, host: str) -> bool:
        """Asks other machines whether an unresponsive host is still the primary; False if another one is.

        Concurrent calls share the queries.
        """
        if self._primary not in (None, host):
            return False
        now = self._clock.monotonic()
        is_running = self._confirmation is not None and not self._confirmation.done()
        if not is_running and now - self._confirmed_at >= MIN_CONFIRM_INTERVAL_S:
            self._confirmed_at = now
            self._confirmation = asyncio.ensure_future(self._run_confirmation(host))
        if self._confirmation is not None:
            await asyncio.wait({self._confirmation})
        return self._primary in (None, host)

    async def _run_confirmation(self, host: str) -> None:
        found = await self._query_some(excluded=host)
        if found is not None and self._primary in (None, host):
            self.primary_moved(found)

    async def _run_search(self) -> None:
        pause_s = MIN_ROUND_PAUSE_S
        while self._primary is None:
            found = await self._query_some()
            if self._primary is not None:
                return
            if found is not None:
                self.primary_moved(found)
                return
            jittered_s = pause_s * (MIN_PAUSE_SHARE + (1 - MIN_PAUSE_SHARE) * self._random.random())
            await _wait_for(self._changed, jittered_s)
            pause_s = min(MAX_ROUND_PAUSE_S, 2 * pause_s)

    async def _query_some(self, excluded: str | None = None) -> str | None:
        """Runs one round of queries: to random machines, then to those that they consider the primary."""
        hint, self._primary_hint = self._primary_hint, None
        drawn = [host for host in self._hosts() if host != excluded][:MAX_QUERIED]
        queried = {host for host in (hint, *drawn) if host is not None and host != excluded}
        found, proposers = await self._query_all(sorted(queried))
        if found is None:
            found, _ = await self._query_all(sorted(proposers - queried - {excluded}))
        return found

    async def _query_all(self, hosts: Sequence[str]) -> tuple[str | None, set[str]]:
        """Queries machines in parallel; returns the first that is the primary, and who proposed the terms."""
        proposers: set[str] = set()
        queries = [asyncio.ensure_future(self._status_of(host)) for host in hosts]
        try:
            for query in asyncio.as_completed(queries):
                host, status = await query
                if status is None:
                    continue
                if status.role == Role.PRIMARY.value and status.term >= self._highest_term:
                    self._highest_term = status.term
                    return host, proposers
                if status.term > FIRST_TERM:
                    proposers.add(status.term[1])
        finally:
            for query in queries:
                query.cancel()
        return None, proposers

    async def _status_of(self, host: str) -> tuple[str, outcomes.StoreStatus | None]:
        request = commands.ForwardedCommand(commands.GetStatus())
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_S):
                status = await self._connections.call(host, request, STATUS_TIMEOUT_S)
        except (CallError, TimeoutError):
            return host, None
        return host, status if isinstance(status, outcomes.StoreStatus) else None


async def _wait_for(event: asyncio.Event, timeout_s: float) -> None:
    """Returns when the event is set, or after the time-out."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        pass
