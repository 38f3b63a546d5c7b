"""Preemption: cancels runs of batch items to free their slots for live requests."""

import asyncio

MAX_PREEMPTED = 3  # cancelled runs of a service that have not ended yet, at a time

ItemTask = asyncio.Task[object]


class PreemptibleItems:
    """The running batch items by service. Owned by `ServicePool`; runs of items add and remove themselves.

    A run that is preempted is resumed later after its last event.
    """

    def __init__(self) -> None:
        """Starts without running items."""
        self._running: dict[str, list[ItemTask]] = {}  # newest last
        self._preempted: dict[str, set[ItemTask]] = {}  # cancelled, not ended yet

    def add(self, service: str, run: ItemTask) -> None:
        """Adds a run of an item, which may be cancelled from now on."""
        self._running.setdefault(service, []).append(run)

    def remove(self, service: str, run: ItemTask) -> None:
        """Removes a run of an item that has ended."""
        self._preempted.get(service, set()).discard(run)
        runs = self._running.get(service, [])
        if run in runs:
            runs.remove(run)

    def preempt(self, service: str, queued_count: int) -> None:
        """Cancels runs, newest first, for `queued_count` live requests without a free slot."""
        runs = self._running.get(service)
        preempted = self._preempted.setdefault(service, set())
        while runs and len(preempted) < min(queued_count, MAX_PREEMPTED):
            run = runs.pop()
            preempted.add(run)
            run.cancel()
