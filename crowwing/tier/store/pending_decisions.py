"""Decisions of the primary that wait until the log entries they depend on are committed."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class PendingDecision:
    """A decision whose outcome is returned once the log is committed up to an index."""

    index: int
    committed: asyncio.Future[bool] = field(repr=False)


class PendingDecisions:
    """The decisions that wait for a commit; owned by `ReplicaNode`."""

    def __init__(self) -> None:
        """Creates an empty list."""
        self._pending: list[PendingDecision] = []

    def add(self, index: int) -> asyncio.Future[bool]:
        """Returns a future for whether the log was committed up to an index under this primary."""
        committed: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._pending.append(PendingDecision(index, committed))
        return committed

    def resolve(self, commit_index: int) -> None:
        """Resolves committed decisions, and drops those that timed out."""
        remaining: list[PendingDecision] = []
        for pending in self._pending:
            if pending.committed.done():
                continue
            if pending.index <= commit_index:
                pending.committed.set_result(True)
            else:
                remaining.append(pending)
        self._pending = remaining

    def abandon(self) -> None:
        """Resolves all as unknown: this replica is no longer the primary, and they may still be committed."""
        pending_decisions, self._pending = self._pending, []
        for pending in pending_decisions:
            if not pending.committed.done():
                pending.committed.set_result(False)
