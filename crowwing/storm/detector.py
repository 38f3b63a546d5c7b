"""Detects retry storms and likely retries from the requests that reach one backend.

Three kinds of evidence are used; none needs an attempt number or another marker in the request:

- Fingerprints: an arrival whose fingerprint equals that of a request rejected or failed here recently.
  Distinct requests can be equal too; how often is learned from fingerprints of completed requests, which
  nobody retries. The first match removes a rejected fingerprint, because each unsuccessful answer causes one
  retry at most.
- Time budgets: an arrival with less time left than requests of its class have in normal operation. A sidecar
  that retries at another backend has already spent some of the budget.
- Excess arrivals: arrivals above the baseline, which is the arrival rate when unsuccessful answers began. The
  excess is limited to the rate of unsuccessful answers a moment before. Organic growth and the loss of
  another backend come before any unsuccessful answer and raise the baseline; retries come after. This works
  even if no field of a request stays the same in its retries.

An unsuccessful answer is a rejection or an error; names with `failures` count both.

Memory does not grow with the number of requests: the fingerprint windows have a fixed size, and everything
else is one number, or one for each request class. The code is deterministic and does no I/O.
"""

from collections import deque
from dataclasses import dataclass
from math import sqrt
from typing import NamedTuple

from crowwing.storm.fingerprint_windows import CuckooWindow

MATCH_SAMPLES = 400  # arrivals that the match rates are averaged over
# Unsuccessful answers per arrival: below the first, operation is normal and the share of spent budgets is
# learned; below the second, the baseline follows the arrival rate.
CALM_FAILURES = 0.02
BASELINE_FAILURES = 0.05
# Time constants in seconds: of all rates; then of the baseline in normal operation, after a jump of the
# arrival rate, and while there are many unsuccessful answers.
RATE_SECONDS, FOLLOW_SECONDS, JUMP_SECONDS, DRIFT_SECONDS = 1.0, 4.0, 0.5, 6.0
# At the onset of unsuccessful answers: update steps that the baseline is averaged over, and steps for which
# it may still rise.
RECENT_STEPS, ONSET_STEPS = 5, 3
RETRY_LAG = 0.5  # seconds by which retries are assumed to follow unsuccessful answers
# Attempts per request, and unsuccessful answers per arrival, at which a storm begins and below which it ends.
STORM_ATTEMPTS, CLEAR_ATTEMPTS = 1.35, 1.15
STORM_FAILURES, CLEAR_FAILURES = 0.1, 0.05
STORM_AFTER, CLEAR_AFTER = 1_000_000, 2_000_000  # microseconds for which these conditions have to hold
# Relative to the maximum budget: its decay per request, the least that counts as full, and the level below
# which a budget counts as spent.
MAXIMUM_DECAY, NEAR_MAXIMUM, SPENT_BELOW = 0.99999, 0.996, 0.99
MIN_SHARE_AT_MAXIMUM = 0.1  # least share of full budgets from which a class is taken to have one fixed budget
SPENT_BASELINE = 0.01  # share of arrivals that look spent in normal operation, until it is learned


class StormEstimate(NamedTuple):
    """The latest estimate: retries as a share of arrivals, attempts per request, confidence from 0 to 1."""

    retry_share: float
    attempts: float
    storm: bool
    confidence: float


@dataclass(slots=True)
class TimeBudget:
    """The time that arrivals of one request class have left.

    First attempts have the full budget. Where many arrivals have almost the maximum, the class is taken to
    have one fixed budget, and an arrival with less has spent some of it. Where callers choose different
    budgets, none counts as spent.
    """

    maximum: float = 0.0
    share_at_maximum: float = 0.0  # share of arrivals that have the maximum
    samples: int = 0

    def is_spent(self, remaining: float) -> bool:
        self.samples += 1
        self.maximum = max(self.maximum * MAXIMUM_DECAY, remaining)
        self.share_at_maximum += ((remaining >= NEAR_MAXIMUM * self.maximum) - self.share_at_maximum) / min(
            200, self.samples
        )
        return (
            self.samples > 50
            and self.share_at_maximum > MIN_SHARE_AT_MAXIMUM
            and remaining < SPENT_BELOW * self.maximum
        )


class StormDetector:
    """Detects retry storms at one backend. A clock that steps back is treated as stopped."""

    def __init__(self, now: int, classes: int, span: int, capacity: int) -> None:
        """The fingerprint windows hold `capacity` fingerprints for `span` microseconds."""
        self.rejected, self.completed = CuckooWindow(span, capacity), CuckooWindow(span, capacity)
        self.span = span
        self.time_budgets = [TimeBudget() for _ in range(classes)]
        self.now = self.updated_at = now
        self.collision_chance = 1e-6  # probability that an arrival equals a given completed fingerprint
        self.match_rate = self.spent_rate = 0.0  # shares of recent arrivals
        self.spent_baseline = SPENT_BASELINE
        self.arrivals = self.failures = self.successes = self.remote_rejections = 0  # since the last update
        # All per second.
        self.arrival_rate = self.failure_rate = self.lagged_failures = self.success_rate = self.baseline = 0.0
        self.remote_rejection_rate = 0.0  # per second: rejections reported by other members
        self.elapsed = 0.0  # seconds covered by updates so far
        # Seconds, arrivals and unsuccessful answers of each recent step.
        self.recent: deque[tuple[float, int, int]] = deque(maxlen=RECENT_STEPS)
        # Steps for which the baseline may still rise; None while there are few unsuccessful answers.
        self.onset_steps: int | None = None
        self.storm, self.unmet_at = False, now  # since `unmet_at` the condition for a change has held
        self.estimate = StormEstimate(0.0, 1.0, False, 0.0)

    def _advance_clock(self, now: int) -> int:
        self.now = max(self.now, now)
        return self.now

    def record_arrival(self, now: int, class_id: int, fingerprint: int, remaining: int) -> float:
        """The probability that an arrival is a retry.

        `remaining` is the caller's time left in microseconds, 0 if unknown.
        """
        now = self._advance_clock(now)
        self.arrivals += 1
        matches_completed = self.completed.take(now, fingerprint)
        if matches_completed:
            self.completed.add(now, fingerprint)
        matches_rejected = self.rejected.take(now, fingerprint)
        # Window contents are estimated from the rates, as at most 3 of the 4 slots of each bucket.
        completed_count = max(1.0, min(self.success_rate * self.span / 1e6, self.completed.mask * 3.0))
        self.collision_chance += (matches_completed / completed_count - self.collision_chance) / MATCH_SAMPLES
        self.match_rate += (matches_rejected - self.match_rate) / MATCH_SAMPLES
        spent = remaining > 0 and self.time_budgets[class_id].is_spent(remaining)
        if self.failure_rate < CALM_FAILURES * self.arrival_rate:
            self.spent_baseline += (spent - self.spent_baseline) / MATCH_SAMPLES
        self.spent_rate += (spent - self.spent_rate) / MATCH_SAMPLES
        probability = 0.0
        if matches_rejected and not matches_completed:
            rejected_count = min(
                (self.failure_rate + self.remote_rejection_rate) * self.span / 1e6, self.rejected.mask * 3.0
            )
            probability = 1 - min(
                1.0, self.collision_chance * rejected_count / max(self.match_rate, 1 / MATCH_SAMPLES)
            )
        if spent:
            probability = max(
                probability, 1 - min(1.0, self.spent_baseline / max(self.spent_rate, 1 / MATCH_SAMPLES))
            )
        return probability

    def record_outcome(self, now: int, fingerprint: int, good: bool) -> None:
        """Records a final answer; after one that is not `good`, the caller may retry."""
        now = self._advance_clock(now)
        if good:
            self.successes += 1
            self.completed.add(now, fingerprint)
        else:
            self.failures += 1
            self.rejected.add(now, fingerprint)

    def record_remote_rejections(self, now: int, fingerprints: list[int]) -> None:
        """Records rejections by other members. A retry may match them, and so may an equal request by chance;
        they don't count in this backend's own rates."""
        now = self._advance_clock(now)
        for fingerprint in fingerprints:
            self.rejected.add(now, fingerprint)
        self.remote_rejections += len(fingerprints)

    def update(self, now: int) -> StormEstimate:
        """Updates the rates and the storm state; to be called about every 100 ms."""
        now = self._advance_clock(now)
        span = (now - self.updated_at) / 1e6
        if span < 0.02:
            return self.estimate
        self.updated_at = now
        self.elapsed += span
        weight = min(1.0, span / min(RATE_SECONDS, self.elapsed))
        self.arrival_rate += weight * (self.arrivals / span - self.arrival_rate)
        self.failure_rate += weight * (self.failures / span - self.failure_rate)
        self.success_rate += weight * (self.successes / span - self.success_rate)
        self.remote_rejection_rate += weight * (self.remote_rejections / span - self.remote_rejection_rate)
        self.lagged_failures += min(1.0, span / RETRY_LAG) * (self.failure_rate - self.lagged_failures)
        self.recent.append((span, self.arrivals, self.failures))
        self.arrivals = self.failures = self.successes = self.remote_rejections = 0
        noise = sqrt(max(1.0, self.arrival_rate) / (2 * RATE_SECONDS))
        self._update_baseline(span, noise)
        excess = min(max(0.0, self.arrival_rate - self.baseline), self.lagged_failures)
        confidence = excess / (excess + 2 * noise)
        identified = min(0.9, self.match_rate + max(0.0, self.spent_rate - self.spent_baseline))
        inferred = excess / max(1.0, self.arrival_rate)
        retry_share = max(identified, inferred)
        attempts = 1 / (1 - min(0.95, retry_share))
        self._update_state(now, attempts, self.failure_rate / max(1.0, self.arrival_rate))
        self.estimate = StormEstimate(
            retry_share, attempts, self.storm, max(confidence, min(1.0, identified * 5))
        )
        return self.estimate

    def _update_baseline(self, span: float, noise: float) -> None:
        """Updates the baseline, the rate of first attempts.

        While there are few unsuccessful answers it follows the arrival rate, faster after a jump. At the
        onset of unsuccessful answers it is the plain mean of the last half second: the smoothed rate is still
        rising, and the rest of that rise would be taken for retries. Afterwards it only drifts between two
        bounds: the arrival rate above, and below it the arrival rate less the preceding unsuccessful answers,
        since there can be no more retries than those.
        """
        steps = list(self.recent)[-3:]
        failures, arrivals = sum(step[2] for step in steps), sum(step[1] for step in steps)
        if (
            self.onset_steps is None
            and failures >= max(3, BASELINE_FAILURES * arrivals)
            and self.elapsed > 2 * RATE_SECONDS
        ):
            self.onset_steps = ONSET_STEPS
        elif self.onset_steps == 0 and self.failure_rate < BASELINE_FAILURES / 2 * self.arrival_rate:
            self.onset_steps = None
        if self.onset_steps is None:
            seconds = JUMP_SECONDS if abs(self.arrival_rate - self.baseline) > 2 * noise else FOLLOW_SECONDS
            self.baseline += min(1.0, span / seconds) * (self.arrival_rate - self.baseline)
        elif self.onset_steps:
            self.onset_steps -= 1
            self.baseline = max(
                self.baseline, sum(step[1] for step in self.recent) / sum(step[0] for step in self.recent)
            )
        else:
            target = min(max(self.baseline, self.arrival_rate - self.lagged_failures), self.arrival_rate)
            self.baseline += min(1.0, span / DRIFT_SECONDS) * (target - self.baseline)

    def _update_state(self, now: int, attempts: float, failure_share: float) -> None:
        if self.storm:
            met, after = attempts < CLEAR_ATTEMPTS or failure_share < CLEAR_FAILURES, CLEAR_AFTER
        else:
            met, after = attempts >= STORM_ATTEMPTS and failure_share >= STORM_FAILURES, STORM_AFTER
        if not met:
            self.unmet_at = now
        elif now - self.unmet_at >= after:
            self.storm, self.unmet_at = not self.storm, now
