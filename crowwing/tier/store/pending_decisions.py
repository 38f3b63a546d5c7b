"""Decisions of the primary that wait until the log is committed up to what they rest on."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class PendingDecision:
    """A decision whose outcome is held back until the log is committed up to an index."""

    index: int
    committed: asyncio.Future[bool] = field(repr=False)


class PendingDecisions:
    """The decisions that are not committed yet; owned by `ReplicaNode`."""

    def __init__(self) -> None:
        """No decisions."""
        self._pending: list[PendingDecision] = []

    def add(self, index: int) -> asyncio.Future[bool]:
        """A future that tells whether the log was committed up to an index under this primary."""
        committed: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._pending.append(PendingDecision(index, committed))
        return committed

    def resolve(self, commit_index: int) -> None:
        """Resolves what is committed; decisions that timed out are dropped."""
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
        """This replica is no primary any more: whether the decisions will be committed is not known."""
        pending_decisions, self._pending = self._pending, []
        for pending in pending_decisions:
            if not pending.committed.done():
                pending.committed.set_result(False)
