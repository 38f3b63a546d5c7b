"""What a front remembers of how its own requests fared at one sidecar. Pure; times are seconds.

A sidecar's health check, and what it says of its load, can be wrong; what became of requests can't. Memories
fade, so that a sidecar that was avoided is tried again.
"""

from dataclasses import dataclass

FADE_S = 3.0  # in which half of a memory fades
WEIGHT = 0.15  # of the newest outcome
FAILURE_COST_MS = 1500.0  # of a sidecar that fails all of its requests
SLOWNESS_WEIGHT, SLOWNESS_MOST_MS = 0.5, 600.0


@dataclass
class TrackRecord:
    """The share of requests that failed, and how much longer than their reading they took to begin."""

    failure_share: float = 0.0
    excess_ms: float = 0.0
    _at: float = 0.0

    def _fade(self, now: float) -> None:
        kept = 0.5 ** (max(0.0, now - self._at) / FADE_S)
        self.failure_share *= kept
        self.excess_ms *= kept
        self._at = now

    def failed(self, now: float) -> None:
        """A request ended in an error, broke off, or was not answered."""
        self._fade(now)
        self.failure_share += WEIGHT * (1 - self.failure_share)

    def answered(self, now: float, taken_ms: float, reading_ms: float) -> None:
        """A request began to be answered after `taken_ms`, of which its prompt takes `reading_ms`."""
        self._fade(now)
        self.failure_share -= WEIGHT * self.failure_share
        self.excess_ms += WEIGHT * (max(0.0, taken_ms - reading_ms) - self.excess_ms)

    def share_failing(self, now: float) -> float:
        """The share of requests that fail, as far as is remembered."""
        return self.failure_share * 0.5 ** (max(0.0, now - self._at) / FADE_S)

    def cost_ms(self, now: float) -> float:
        """What sending a request there costs beyond its load."""
        kept = 0.5 ** (max(0.0, now - self._at) / FADE_S)
        slowness = min(SLOWNESS_MOST_MS, SLOWNESS_WEIGHT * self.excess_ms)
        return kept * (FAILURE_COST_MS * self.failure_share + slowness)
