"""Whether runs succeed and get on."""

from crowwing.contract import Premises
from crowwing.logic.core_limiter import CoreLimiter
from crowwing.logic.latency_statistics import LatencyStatistics
from crowwing.logic.limits import UNHEALTHY_ERROR_RATE
from crowwing.logic.request import RequestState
from crowwing.logic.request_table import RequestTable

ERROR_WEIGHT = 0.1  # of the newest run in the error rate
PACE_WEIGHT = 0.05  # of the newest one in the usual time between two ends
STALL_FACTOR = 6  # usual times between two ends of runs, without one, from which work is taken for hung


class RunHealth:
    """Owner of the error rate and of the time at which a run last got on.

    Attributes:
        error_rate: share of runs that failed, of late.
        progress_at: when a run last ended or asked for a call.
        usual_gap: the usual time between two such moments, in microseconds.
    """

    def __init__(
        self,
        facts: Premises,
        now: int,
        table: RequestTable,
        limiter: CoreLimiter,
        latencies: LatencyStatistics,
    ) -> None:
        """Nothing has run yet."""
        self._facts = facts
        self._table = table
        self._limiter = limiter
        self._latencies = latencies
        self.error_rate = 0.0
        self.progress_at = now
        self.usual_gap = 0.0

    def record_run(self, is_good: bool) -> None:
        """A run has ended by itself."""
        self.error_rate += ERROR_WEIGHT * ((0.0 if is_good else 1.0) - self.error_rate)

    def record_progress(self, now: int) -> None:
        """A run has ended or asks for a call."""
        self.usual_gap += PACE_WEIGHT * (now - self.progress_at - self.usual_gap)
        self.progress_at = now

    def is_stalled(self, now: int) -> bool:
        """Whether the cores are full of work that hangs.

        No run got on for half the time that requests come with and six usual gaps (two cores pause by
        chance), more of it while warming up. Covers slowness too; harms where runs are as long.
        """
        limit = max(min(self._latencies.time_allowed) / 2, STALL_FACTOR * self.usual_gap)
        is_full = self._table.counts[RequestState.RUNNING] >= self._facts.cores
        return is_full and now - self.progress_at > limit / self._limiter.speed(now)

    def is_unhealthy(self, now: int) -> bool:
        """Whether work is better sent to another backend."""
        return self.error_rate > UNHEALTHY_ERROR_RATE or self.is_stalled(now)
