"""What a front remembers of how its own requests fared at one sidecar. Pure; times are seconds.

A sidecar's health check, and what it says of its load, can be wrong; what became of requests can't. Memories
fade, so that a sidecar that was avoided is tried again.
"""

from dataclasses import dataclass

HALF_LIFE_S = 3.0  # in which half of a memory fades
OUTCOME_WEIGHT = 0.15  # of the newest outcome
TOLERATED_FAILURE_SHARE = 0.2  # share that counts for nothing: one failure now and then befalls all sidecars
FAILURE_COST_MS = 1500.0  # of a sidecar that fails all of its requests


@dataclass
class FailureRate:
    """The share of requests that failed.

    How long answers took is left out on purpose: it tells more of what all fronts sent there than of the
    sidecar, and fronts that go by it crowd one sidecar after another (docs/measurements/tier.md).
    """

    failure_share: float = 0.0
    _at: float = 0.0

    def _decay(self, now: float) -> None:
        self.failure_share = self._decayed_share(now)
        self._at = now

    def record_failure(self, now: float) -> None:
        """A request ended in an error, broke off, or was not answered."""
        self._decay(now)
        self.failure_share += OUTCOME_WEIGHT * (1 - self.failure_share)

    def record_success(self, now: float) -> None:
        """A request began to be answered."""
        self._decay(now)
        self.failure_share -= OUTCOME_WEIGHT * self.failure_share

    def _decayed_share(self, now: float) -> float:
        decay: float = 0.5 ** (max(0.0, now - self._at) / HALF_LIFE_S)
        return self.failure_share * decay

    def excess_failure_share(self, now: float) -> float:
        """The share of requests that fail, as far as is remembered and beyond what is tolerated."""
        return max(0.0, self._decayed_share(now) - TOLERATED_FAILURE_SHARE)

    def cost_ms(self, now: float) -> float:
        """What sending a request there costs beyond its load."""
        return FAILURE_COST_MS * self.excess_failure_share(now)
