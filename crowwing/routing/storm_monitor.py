"""Feeds the storm detector with arrivals and answers, and applies its estimates to requests.

Loaded only if the operator file has a `storm` section.
"""

from collections.abc import Callable, Sequence

from crowwing.protocol.arrival import Arrival
from crowwing.routing.event_recorder import EventRecorder
from crowwing.storm import fingerprint
from crowwing.storm.detector import StormDetector, StormEstimate
from crowwing.storm.retry_scheduler import RetryScheduler

UPDATE_INTERVAL = 100_000  # minimum microseconds between updates of the rates
RETRY_LIKELIHOOD = 0.5  # probability from which an arrival counts as a retry


class StormMonitor:
    """Feeds the storm detector. Owned by `Dispatcher` if the operator file enables it."""

    def __init__(
        self,
        now: Callable[[], int],
        recorder: EventRecorder,
        classes: int,
        fields: Sequence[str],
        span: int,
        capacity: int,
        reports_retries: bool,
    ) -> None:
        """The detector's windows hold `capacity` fingerprints for `span` microseconds.

        `reports_retries` says whether the decision module is told of likely retries.
        """
        self.now, self.recorder, self.fields, self.reports_retries = now, recorder, fields, reports_retries
        self.detector = StormDetector(now(), classes, span, capacity)
        self.retry_scheduler: RetryScheduler | None = None  # set if retries are spread out
        self.updated_at = now()
        # Set if the fleet shares fingerprints of rejected requests.
        self.share_rejection: Callable[[int], None] | None = None

    def record_arrival(self, arrival: Arrival, class_id: int) -> tuple[int, bool]:
        """Returns the fingerprint, and whether the module is to take the request for a retry.

        The latter is true only in a storm and if `reports_retries` is set.
        """
        now, digest = self.now(), fingerprint.of(arrival, self.fields)
        remaining = arrival.due - arrival.arrived if arrival.due else 0
        likely_retry = self.detector.record_arrival(now, class_id, digest, remaining) >= RETRY_LIKELIHOOD
        if likely_retry:
            self.recorder.count("likely_repeats")
        estimate = self.update()
        return digest, likely_retry and estimate.storm and self.reports_retries

    def record_outcome(self, digest: int, good: bool) -> None:
        """Records the final answer to a request with this fingerprint."""
        self.detector.record_outcome(self.now(), digest, good)
        if self.share_rejection is not None and not good:
            self.share_rejection(digest)

    def record_remote_rejections(self, fingerprints: list[int]) -> None:
        """Records rejections by other members of the fleet."""
        self.detector.record_remote_rejections(self.now(), fingerprints)

    def retry_after(self, caller: int, caller_rate: float, min_delay: int, due: int) -> int:
        """Returns the retry-after time in microseconds, where the module asks for `min_delay`.

        In a storm, the caller gets a time of its own, not after the request's deadline `due`. The current
        rate of completed requests is taken as the capacity for all retries.
        """
        if self.retry_scheduler is None or not min_delay or not self.detector.estimate.storm:
            return min_delay
        now = self.now()
        return self.retry_scheduler.advise(
            now, caller, caller_rate, min_delay, due - now, self.detector.success_rate
        )

    def update(self) -> StormEstimate:
        """Returns the current estimate; logs the begin and the end of a storm."""
        now, before = self.now(), self.detector.estimate
        if now - self.updated_at < UPDATE_INTERVAL:
            return before
        self.updated_at = now
        estimate = self.detector.update(now)
        if estimate.storm != before.storm:
            event = "storm" if estimate.storm else "storm_over"
            self.recorder.event(
                event,
                tries=round(estimate.attempts, 2),
                repeats=round(estimate.retry_share, 3),
                sure=round(estimate.confidence, 2),
            )
        return estimate
