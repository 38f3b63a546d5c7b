"""How much may wait for its commit before batch jobs are rejected, so that a small change stays quick.

All commands share one log, and an entry is committed after those before it. What is proposed and not yet
committed is therefore bounded by what the link carries to the members within a time.
"""

from crowwing.tier.replication.replica import Replica
from crowwing.tier.wire.egress import EgressPacer

MAX_COMMIT_QUEUE_S = 0.5  # of the link's time, for what is not committed; well under the fronts' time-outs
DEFAULT_MAX_UNCOMMITTED_BYTES = 4 * 1024 * 1024  # where the link's rate is not known


class WriteCapacity:
    """The bound of what is not committed at a primary; owned by `StoreService`."""

    def __init__(self, replica: Replica, pacer: EgressPacer | None) -> None:
        """The bound for one replica.

        Args:
            replica: The replica.
            pacer: Tells the rate of the link; None where it is not known.
        """
        self._replica = replica
        self._pacer = pacer

    def has_capacity(self) -> bool:
        """Whether a further batch job may be proposed; always where everything is committed."""
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
