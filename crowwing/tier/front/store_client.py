"""Calls to the primary of the store machines, whichever it is."""

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Any

from crowwing.tier.store import commands as c
from crowwing.tier.wire.connection import CallError, Links

log = logging.getLogger("crowwing.client")

TRY_S = 1.2
PAUSE_S = 0.08


class StoreClient:
    """Finds the primary and calls it until there is a clear answer or the time is up."""

    def __init__(self, links: Links, hosts: Callable[[], list[str]]) -> None:
        self._links, self._hosts = links, hosts
        self._primary: str | None = None

    async def call(self, command: Any, limit_s: float, answer_s: float = TRY_S) -> Any:  # noqa: ANN401
        """The outcome of a command; Unsure where it may have been done, NotPrimary where it certainly was
        not.
        """
        deadline = time.monotonic() + limit_s
        unsure = False
        hosts: list[str] = []
        while (left := deadline - time.monotonic()) > 0:
            if self._primary is None:
                hosts = hosts or self._hosts()
                if not hosts:
                    await asyncio.sleep(min(left, PAUSE_S))
                    continue
                self._primary = hosts.pop(0)
            host = self._primary
            try:
                outcome = await self._links.call(host, c.Forwarded(command), min(left, answer_s))
            except CallError as error:
                unsure = unsure or error.sent
                self._forget(host)
                await asyncio.sleep(min(left, PAUSE_S))
                continue
            if isinstance(outcome, c.NotPrimary):
                self._forget(host)
                if outcome.leader is not None and outcome.leader != host:
                    self._primary = outcome.leader
                await asyncio.sleep(min(left, PAUSE_S))
            elif isinstance(outcome, c.Unsure):
                unsure = True
                self._forget(host)
                await asyncio.sleep(min(left, PAUSE_S))
            else:
                return outcome
        return c.Unsure("no clear answer in time") if unsure else c.NotPrimary(None)

    def _forget(self, host: str) -> None:
        if self._primary == host:
            self._primary = None
