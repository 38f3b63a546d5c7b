"""Preemption: runs of batch items give their slots to live requests."""

import asyncio

MAX_PREEMPTED = 3  # runs of a service at a time that were cancelled and have not ended yet

ItemTask = asyncio.Task[object]


class PreemptibleItems:
    """The runs of batch items by service. Owned by `ServicePool`; the batch job runner adds and removes.

    A run that is cancelled here goes on later from its last event.
    """

    def __init__(self) -> None:
        """No item runs."""
        self._running: dict[str, list[ItemTask]] = {}  # the newest at the end
        self._preempted: dict[str, set[ItemTask]] = {}  # cancelled and not ended

    def add(self, service: str, run: ItemTask) -> None:
        """A run of an item has begun; it may be cancelled from now on."""
        self._running.setdefault(service, []).append(run)

    def remove(self, service: str, run: ItemTask) -> None:
        """A run of an item has ended."""
        self._preempted.get(service, set()).discard(run)
        runs = self._running.get(service, [])
        if run in runs:
            runs.remove(run)

    def preempt(self, service: str, wanted: int) -> None:
        """Cancels runs, the newest first, for so many live requests that find no free slot."""
        runs = self._running.get(service)
        preempted = self._preempted.setdefault(service, set())
        while runs and len(preempted) < min(wanted, MAX_PREEMPTED):
            run = runs.pop()
            preempted.add(run)
            run.cancel()
