"""Limits the bytes of items in flight to fronts, so that responses arrive before their calls time out."""

from collections.abc import Iterable

from crowwing.tier.store.leases import JobItem
from crowwing.tier.wire.egress import EgressPacer
from crowwing.tier.wire.traffic import TrafficClass

MAX_RESPONSE_QUEUE_S = 0.2  # of link time for queued responses; 0.8 s at the share guaranteed to responses


class ResponseCapacity:
    """Limits the bytes of items that a primary leases at once; owned by `ItemLeasing`."""

    def __init__(self, pacer: EgressPacer | None) -> None:
        """Creates a limit of which nothing is used.

        Args:
            pacer: Provides the link's rate and queue; None if traffic is not paced.
        """
        self._pacer = pacer
        self._reserved_bytes = 0  # leased items whose response has not been written yet

    def has_capacity(self) -> bool:
        """Whether more items can be leased."""
        if self._pacer is None:
            return True
        waiting_bytes = self._reserved_bytes + self._pacer.waiting_bytes(TrafficClass.RESPONSE)
        return waiting_bytes < self._pacer.bulk_bytes_per_s * MAX_RESPONSE_QUEUE_S

    def reserve(self, leased: Iterable[JobItem]) -> None:
        """Reserves capacity for leased items."""
        self._reserved_bytes += _count_bytes(leased)

    def release(self, leased: Iterable[JobItem]) -> None:
        """Releases the capacity of leased items, when they are passed to the connection or dropped."""
        self._reserved_bytes -= _count_bytes(leased)


def _count_bytes(leased: Iterable[JobItem]) -> int:
    return sum(len(item.body) for _, item in leased)
