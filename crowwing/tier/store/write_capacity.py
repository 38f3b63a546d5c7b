"""Backpressure: rejects batch jobs while too much of the log is uncommitted, so that small changes stay fast.

All commands share one log, and an entry is committed after those before it. Uncommitted bytes are therefore
limited to what the link can carry to the members within MAX_COMMIT_QUEUE_S.
"""

from crowwing.tier.replication.replica import Replica
from crowwing.tier.wire.egress import EgressPacer

MAX_COMMIT_QUEUE_S = 0.5  # of link time for uncommitted entries; well below the fronts' time-outs
DEFAULT_MAX_UNCOMMITTED_BYTES = 4 * 1024 * 1024  # if the link's rate is not known


class WriteCapacity:
    """Limits the uncommitted bytes on a primary; owned by `StoreService`."""

    def __init__(self, replica: Replica, pacer: EgressPacer | None) -> None:
        """Creates the limit for one replica.

        Args:
            replica: The replica.
            pacer: Provides the link's rate; None if it is not known.
        """
        self._replica = replica
        self._pacer = pacer

    def has_capacity(self) -> bool:
        """Whether another batch job can be proposed; always true if everything is committed."""
        uncommitted_bytes = self._uncommitted_bytes()
        return uncommitted_bytes == 0 or uncommitted_bytes < self._max_uncommitted_bytes()

    def _uncommitted_bytes(self) -> int:
        log = self._replica.log
        return log.bytes_between(self._replica.commit_index, log.last[1])

    def _max_uncommitted_bytes(self) -> float:
        if self._pacer is None:
            return DEFAULT_MAX_UNCOMMITTED_BYTES
        view = self._replica.view
        receivers = len(view.members) - 1 if view is not None else 0
        return self._pacer.bulk_bytes_per_s * MAX_COMMIT_QUEUE_S / max(1, receivers)
