"""What a front knows of one sidecar. Pure; times are seconds of the steady clock."""

from dataclasses import dataclass, field

from crowwing.tier.front.failure_rate import FailureRate
from crowwing.tier.front.load_reports import AverageInflight, LoadReport
from crowwing.tier.front.prefix_cache import PrefixCache
from crowwing.tier.front.sidecar_connections import ConnectionState
from crowwing.tier.platform_list import Sidecar

LOAD_FRESH_S = 0.3  # for how long a load report counts in full
LOAD_DECAY_S = 1.0  # in which its weight then falls to nothing
LOAD_SHAPE = 2.0  # of the gamma distribution of loads among sidecars: they differ by 0.7 of the mean
RESPONSE_TIMEOUT_S = 0.35  # without a byte while a request waits, after which a sidecar gets no more
REPLACED_PAUSE_S = 1.0  # without requests to a sidecar at whose address another one answers
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.5, 4.0  # after failures, doubled with each one in a row


@dataclass(eq=False)
class SidecarState:
    """What this front knows of one sidecar: its load, its health, its prefix cache and its connections.

    Owned by `SidecarTable` for as long as the endpoint list names the sidecar. `AttemptTracker` records what
    becomes of requests; routing and the table read it.
    """

    entry: Sidecar
    inflight: int = 0
    max_inflight_seen: int = 0  # at which it still answered
    running: float = 0.0  # as last reported
    waiting: float = 0.0  # as last reported
    reported_at: float = -1e9
    last_byte_at: float = -1e9
    report_requested_at: float = -1e9
    sent_since_report: int = 0  # by this front
    failures: int = 0  # in a row
    avoid_until: float = 0.0
    unanswered: dict[int, float] = field(default_factory=dict)  # attempts without a head, and when sent
    unresponsive: bool = False  # nothing comes from it although something should
    leaving: bool = False  # its responses say so, before the list does
    prefix_cache: PrefixCache = field(default_factory=PrefixCache)
    failure_rate: FailureRate = field(default_factory=FailureRate)
    connections: ConnectionState = field(default_factory=ConnectionState)

    def estimate(self, now: float, average: AverageInflight) -> float:
        """Requests that it probably has now: as reported, or later as all sidecars of the service have.

        Args:
            now: The time.
            average: Requests at a sidecar of its service on average.
        """
        age = now - self.reported_at
        weight = min(1.0, max(0.0, 1 - (age - LOAD_FRESH_S) / LOAD_DECAY_S))
        reported = self.running + self.waiting + self.sent_since_report
        guessed = self.inflight + average.others * self._relative_load(average.own)
        return max(float(self.inflight), weight * reported + (1 - weight) * guessed)

    def _relative_load(self, mean: float) -> float:
        """By how much its load probably differs from the mean, as this front's own count there suggests.

        The mean of a gamma distribution of loads, given one Poisson count where `mean` was to be expected; a
        count of 1 where nearly all are 0 says little, a count of 20 where the mean is 10 says much.
        """
        return (self.inflight + LOAD_SHAPE) / (mean + LOAD_SHAPE)

    def record_load(self, now: float, report: LoadReport) -> None:
        """Takes its load report in."""
        self.running = report.running
        self.waiting = report.waiting
        self.reported_at = now
        self.sent_since_report = 0

    def record_request_end(self) -> None:
        """A request of this front has left it, so that it runs one less than it last reported."""
        if self.sent_since_report > 0:
            self.sent_since_report -= 1
        else:
            self.running = max(0.0, self.running - 1)

    def is_usable(self, now: float) -> bool:
        """Whether new requests may go there."""
        return self.entry.ready and not self.leaving and not self.unresponsive and now >= self.avoid_until

    def is_reachable(self, now: float) -> bool:
        """Whether new requests may go there and would find a connection."""
        return self.is_usable(now) and self.connections.is_available(now)

    def detect_unresponsive(self, now: float) -> bool:
        """Whether no byte came for long while a request waits there; noted until one comes again."""
        if not self.unresponsive and self.unanswered:
            quiet_since = max(min(self.unanswered.values()), self.last_byte_at)
            self.unresponsive = now - quiet_since >= RESPONSE_TIMEOUT_S
        return self.unresponsive

    def record_failure(self, now: float) -> None:
        """It could not be reached, broke off or timed out: it gets nothing for a growing backoff."""
        self.failures += 1
        self.failure_rate.record_failure(now)
        backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** (self.failures - 1))
        self.avoid_until = now + backoff_s

    def record_replaced(self, now: float) -> None:
        """Another sidecar answers at its address: the list will say so."""
        self.avoid_until = max(self.avoid_until, now + REPLACED_PAUSE_S)

    def record_success(self) -> None:
        """It has answered."""
        self.unresponsive = False
        self.failures, self.avoid_until = 0, 0.0
        self.max_inflight_seen = max(self.max_inflight_seen, self.inflight)
