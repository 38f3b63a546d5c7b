"""The priority threshold (the paper's cut): arrivals below it are rejected at once."""

from crowwing.logic.feedback import step_cut

MAX_THRESHOLD = 5 / 6  # tier t0 is never rejected by it


class PriorityThreshold:
    """Owner of the threshold.

    Attributes:
        value: the rank under which arrivals are rejected.
        longest_wait: the longest wait of a request that was let go since the last step, in its timeouts.
    """

    def __init__(self) -> None:
        """Nobody is rejected."""
        self._base = 0.0
        self.value = 0.0
        self.longest_wait = 0.0

    def record_wait(self, wait: float) -> None:
        """A queued request was let go after so many of its timeouts."""
        self.longest_wait = max(self.longest_wait, wait)

    def step(self, elapsed_s: float, waits: list[float], is_saturated: bool, idle_share: float) -> None:
        """One step of the loop; `waits` are those of the queued requests, in their timeouts."""
        longest = max([self.longest_wait, *waits])
        self.longest_wait = 0.0
        self._base, self.value = step_cut(
            self._base, elapsed_s, longest, is_saturated, idle_share, MAX_THRESHOLD
        )
