"""The state of one sidecar as a front sees it. No I/O; times are seconds of the monotonic clock."""

from dataclasses import dataclass, field

from crowwing.tier.front.failure_rate import FailureRate
from crowwing.tier.front.load_reports import AverageInflight, LoadReport
from crowwing.tier.front.prefix_cache import PrefixCache
from crowwing.tier.front.sidecar_connections import ConnectionState
from crowwing.tier.platform_list import Sidecar

LOAD_FRESH_S = 0.3  # how long a load report has full weight
LOAD_DECAY_S = 1.0  # how long its weight then takes to fall to 0
LOAD_SHAPE = (
    2.0  # of the gamma distribution of sidecar loads; 2 gives a standard deviation of 0.7 of the mean
)
RESPONSE_TIMEOUT_S = 0.35  # a sidecar that sends no byte for this long while a request waits is unresponsive
REPLACED_PAUSE_S = 1.0  # no requests for this long to an address that another sidecar has taken over
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.5, 4.0  # after a failure; doubled with each consecutive one


@dataclass(eq=False)
class SidecarState:
    """The state of one sidecar: load, health, prefix cache and connections.

    Owned by `SidecarTable` for as long as the sidecar is on the endpoint list. `AttemptTracker` records the
    outcome of requests; routing and the table read the state.
    """

    entry: Sidecar
    inflight: int = 0
    max_inflight_seen: int = 0  # the most requests in flight at which it still responded
    running: float = 0.0  # as last reported
    waiting: float = 0.0  # as last reported
    reported_at: float = -1e9
    last_byte_at: float = -1e9
    report_requested_at: float = -1e9
    sent_since_report: int = 0  # by this front
    failures: int = 0  # consecutive
    avoid_until: float = 0.0
    unanswered: dict[int, float] = field(default_factory=dict)  # send times of attempts without a head
    unresponsive: bool = False  # sent no byte within the time-out while a request waited
    draining: bool = False  # it closes connections while it is listed as not ready
    prefix_cache: PrefixCache = field(default_factory=PrefixCache)
    failure_rate: FailureRate = field(default_factory=FailureRate)
    connections: ConnectionState = field(default_factory=ConnectionState)

    def estimate(self, now: float, average: AverageInflight) -> float:
        """Estimates how many requests it has now.

        Uses its last load report; as that ages, increasingly the average of the service.

        Args:
            now: The current time.
            average: The average number of requests at a sidecar of its service.
        """
        age = now - self.reported_at
        weight = min(1.0, max(0.0, 1 - (age - LOAD_FRESH_S) / LOAD_DECAY_S))
        reported = self.running + self.waiting + self.sent_since_report
        guessed = self.inflight + average.others * self._relative_load(average.own)
        return max(float(self.inflight), weight * reported + (1 - weight) * guessed)

    def _relative_load(self, mean: float) -> float:
        """Estimates the ratio of its load to the mean, from this front's own requests in flight there.

        The posterior mean of a gamma distribution of loads, given one Poisson count with expectation `mean`.
        A count of 1 where nearly all are 0 says little; a count of 20 where the mean is 10 says much.
        """
        return (self.inflight + LOAD_SHAPE) / (mean + LOAD_SHAPE)

    def record_load(self, now: float, report: LoadReport) -> None:
        """Records its load report."""
        self.running = report.running
        self.waiting = report.waiting
        self.reported_at = now
        self.sent_since_report = 0

    def record_request_end(self) -> None:
        """Records the end of a request of this front: its load is one less than last reported."""
        if self.sent_since_report > 0:
            self.sent_since_report -= 1
        else:
            self.running = max(0.0, self.running - 1)

    def is_usable(self, now: float) -> bool:
        """Whether new requests may be sent to it."""
        return self.entry.ready and not self.draining and not self.unresponsive and now >= self.avoid_until

    def is_reachable(self, now: float) -> bool:
        """Whether new requests may be sent to it and would get a connection."""
        return self.is_usable(now) and self.connections.is_available(now)

    def detect_unresponsive(self, now: float) -> bool:
        """Whether it sent no byte within the time-out while a request waits; set until it responds again."""
        if not self.unresponsive and self.unanswered:
            quiet_since = max(min(self.unanswered.values()), self.last_byte_at)
            self.unresponsive = now - quiet_since >= RESPONSE_TIMEOUT_S
        return self.unresponsive

    def record_failure(self, now: float) -> None:
        """Records that it was unreachable, broke off or timed out; it is avoided with growing backoff."""
        self.failures += 1
        self.failure_rate.record_failure(now)
        backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** (self.failures - 1))
        self.avoid_until = now + backoff_s

    def record_replaced(self, now: float) -> None:
        """Records that another sidecar has its address now, which the endpoint list will show soon."""
        self.avoid_until = max(self.avoid_until, now + REPLACED_PAUSE_S)

    def record_success(self) -> None:
        """Records that it has responded."""
        self.unresponsive = False
        self.failures, self.avoid_until = 0, 0.0
        self.max_inflight_seen = max(self.max_inflight_seen, self.inflight)
