"""The failure rate of a front's own requests at one sidecar. No I/O; times are seconds.

The health check and the load report of a sidecar can be wrong; the outcome of requests can't. The rate decays
with time, so that a sidecar that was avoided is tried again.
"""

from dataclasses import dataclass

HALF_LIFE_S = 3.0  # of the exponential decay
OUTCOME_WEIGHT = 0.15  # of the newest outcome in the moving average
TOLERATED_FAILURE_SHARE = 0.2  # without effect, since occasional failures occur at every sidecar
FAILURE_COST_MS = 1500.0  # at an excess failure share of 1


@dataclass
class FailureRate:
    """The share of failed requests, as a decaying moving average.

    Response times are deliberately ignored: they reflect the load that all fronts send rather than the
    sidecar, and routing by them makes the fronts overload one sidecar after another
    (docs/measurements/tier.md).
    """

    failure_share: float = 0.0
    _at: float = 0.0

    def _decay(self, now: float) -> None:
        self.failure_share = self._decayed_share(now)
        self._at = now

    def record_failure(self, now: float) -> None:
        """Records a request that ended in an error, broke off or got no response."""
        self._decay(now)
        self.failure_share += OUTCOME_WEIGHT * (1 - self.failure_share)

    def record_success(self, now: float) -> None:
        """Records a request whose response has started."""
        self._decay(now)
        self.failure_share -= OUTCOME_WEIGHT * self.failure_share

    def _decayed_share(self, now: float) -> float:
        decay: float = 0.5 ** (max(0.0, now - self._at) / HALF_LIFE_S)
        return self.failure_share * decay

    def excess_failure_share(self, now: float) -> float:
        """The decayed share of failed requests, beyond what is tolerated."""
        return max(0.0, self._decayed_share(now) - TOLERATED_FAILURE_SHARE)

    def cost_ms(self, now: float) -> float:
        """The routing cost of the failures, in addition to the cost of load."""
        return FAILURE_COST_MS * self.excess_failure_share(now)
