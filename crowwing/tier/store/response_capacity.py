"""How many bytes of items may be on their way to fronts, so that responses come before their calls end."""

from collections.abc import Iterable

from crowwing.tier.store.leases import JobItem
from crowwing.tier.wire.egress import EgressPacer
from crowwing.tier.wire.traffic import TrafficClass

MAX_RESPONSE_QUEUE_S = 0.2  # of the link's time, for responses; at the share that they are guaranteed 0.8 s


class ResponseCapacity:
    """The bound of what a primary leases out at once; owned by `ItemLeasing`."""

    def __init__(self, pacer: EgressPacer | None) -> None:
        """A bound of which nothing is used.

        Args:
            pacer: Tells the rate of the link and what waits for it; None where nothing is paced.
        """
        self._pacer = pacer
        self._reserved_bytes = 0  # of items that were leased, whose response is not written yet

    def has_capacity(self) -> bool:
        """Whether further items may be leased."""
        if self._pacer is None:
            return True
        waiting_bytes = self._reserved_bytes + self._pacer.waiting_bytes(TrafficClass.RESPONSE)
        return waiting_bytes < self._pacer.bulk_bytes_per_s * MAX_RESPONSE_QUEUE_S

    def reserve(self, leased: Iterable[JobItem]) -> None:
        """Counts items that were leased."""
        self._reserved_bytes += _count_bytes(leased)

    def release(self, leased: Iterable[JobItem]) -> None:
        """Items that were leased are handed to the connection now, or to nobody."""
        self._reserved_bytes -= _count_bytes(leased)


def _count_bytes(leased: Iterable[JobItem]) -> int:
    return sum(len(item.body) for _, item in leased)
