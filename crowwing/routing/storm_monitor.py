"""Shows the storm detector what comes and goes, and tells the decision module what follows from it.

Only where the operator file has a `storm` section; without one nothing here is loaded.
"""

from collections.abc import Callable, Sequence

from crowwing.protocol.arrival import Arrival
from crowwing.routing.event_recorder import EventRecorder
from crowwing.storm import fingerprint
from crowwing.storm.detector import StormDetector, StormEstimate
from crowwing.storm.retry_scheduler import RetryScheduler

UPDATE_INTERVAL = 100_000  # microseconds between looks at the rates, at the most by the module's wakes
RETRY_LIKELIHOOD = 0.5  # from which an arrival counts as a repeat


class StormMonitor:
    """Feeds the storm detector. Owned by `Dispatcher`, where the operator wants storms seen."""

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
        """`span` in microseconds and `most` prints: of the sight's windows; `lowers`: the module is told."""
        self.now, self.recorder, self.fields, self.reports_retries = now, recorder, fields, reports_retries
        self.detector = StormDetector(now(), classes, span, capacity)
        self.retry_scheduler: RetryScheduler | None = None  # where returns are paced
        self.updated_at = now()
        self.share_rejection: Callable[[int], None] | None = (
            None  # of what was turned away, where a fleet shares it
        )

    def record_arrival(self, arrival: Arrival, request_class: int) -> tuple[int, bool]:
        """The print, and whether the module is to take it for a repeat: only in a storm, and if told to."""
        now, digest = self.now(), fingerprint.of(arrival, self.fields)
        remaining = arrival.due - arrival.arrived if arrival.due else 0
        likely_retry = self.detector.record_arrival(now, request_class, digest, remaining) >= RETRY_LIKELIHOOD
        if likely_retry:
            self.recorder.count("likely_repeats")
        estimate = self.update()
        return digest, likely_retry and estimate.storm and self.reports_retries

    def record_outcome(self, digest: int, good: bool) -> None:
        """A final answer went out for a request with this print."""
        self.detector.record_outcome(self.now(), digest, good)
        if self.share_rejection is not None and not good:
            self.share_rejection(digest)

    def record_remote_rejections(self, fingerprints: list[int]) -> None:
        """What others of the fleet turned away."""
        self.detector.record_remote_rejections(self.now(), fingerprints)

    def retry_after(self, caller: int, caller_rate: float, min_delay: int, due: int) -> int:
        """For how long a caller that is dismissed is to stay away, where the module asks for `least`.

        In a storm it gets a place of its own to come back, no later than its ticket's due time. What is
        settled now is taken for the room that there is for all who return.
        """
        if self.retry_scheduler is None or not min_delay or not self.detector.estimate.storm:
            return min_delay
        now = self.now()
        return self.retry_scheduler.advise(
            now, caller, caller_rate, min_delay, due - now, self.detector.success_rate
        )

    def update(self) -> StormEstimate:
        """What is seen now; a storm's begin and end are events."""
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
