"""What a front remembers of how its own requests fared at one sidecar. Pure; times are seconds.

A sidecar's health check, and what it says of its load, can be wrong; what became of requests can't. Memories
fade, so that a sidecar that was avoided is tried again.
"""

from dataclasses import dataclass

FADE_S = 3.0  # in which half of a memory fades
WEIGHT = 0.15  # of the newest outcome
TOLERATED = 0.2  # share that counts for nothing: one failure now and then befalls all sidecars
FAILURE_COST_MS = 1500.0  # of a sidecar that fails all of its requests


@dataclass
class TrackRecord:
    """The share of requests that failed.

    How long answers took is left out on purpose: it tells more of what all fronts sent there than of the
    sidecar, and fronts that go by it crowd one sidecar after another (docs/measurements/tier.md).
    """

    failure_share: float = 0.0
    _at: float = 0.0

    def _fade(self, now: float) -> None:
        self.failure_share = self._remembered(now)
        self._at = now

    def failed(self, now: float) -> None:
        """A request ended in an error, broke off, or was not answered."""
        self._fade(now)
        self.failure_share += WEIGHT * (1 - self.failure_share)

    def answered(self, now: float) -> None:
        """A request began to be answered."""
        self._fade(now)
        self.failure_share -= WEIGHT * self.failure_share

    def _remembered(self, now: float) -> float:
        return self.failure_share * 0.5 ** (max(0.0, now - self._at) / FADE_S)

    def share_failing(self, now: float) -> float:
        """The share of requests that fail, as far as is remembered and beyond what is tolerated."""
        return max(0.0, self._remembered(now) - TOLERATED)

    def cost_ms(self, now: float) -> float:
        """What sending a request there costs beyond its load."""
        return FAILURE_COST_MS * self.share_failing(now)
