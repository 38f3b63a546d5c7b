"""Whether a retry storm is on, and which tickets are likely repeats, from what reaches one backend. Pure.

Three kinds of evidence, none of which needs a mark:

- `again`: the print of an arrival is that of a ticket that was turned away here of late. Honest equal
tickets   match too; how often, is learned from prints of *settled* tickets, which nobody repeats. A turned-
away print is   taken out by its first match, since each bad ending begets one repeat at most. - `worn`: an
arrival's caller has less patience left than tickets of its type come with while all is calm. A   sidecar
that goes on to another backend has spent some of it. - the excess: arrivals over the level at which they
stood when bad endings began, and no more than the bad endings   a moment before. Honest growth and a
neighbour's death come before any bad ending and move that level; what   repeats bring comes after. This
needs nothing in a ticket to stay the same.

No table grows with tickets: the windows are of fixed size, all else is one figure or one a traffic type.
"""

from collections import deque
from dataclasses import dataclass
from math import sqrt
from typing import NamedTuple

from crowwing.storm.fingerprint_windows import CuckooWindow

MATCH_SAMPLES = 400  # arrivals that the rates of matches are means of
CALM_FAILURES = 0.02  # bad endings an arrival under which all is calm
BASELINE_FAILURES = 0.05  # bad endings an arrival under which the base follows arrivals
RATE_SECONDS, FOLLOW_SECONDS, JUMP_SECONDS, DRIFT_SECONDS = (
    1.0,
    4.0,
    0.5,
    6.0,
)  # seconds: of the rates; of the base calm, after a jump, in trouble
RECENT_STEPS, ONSET_STEPS = (
    5,
    3,
)  # steps that the level at an onset is the mean of, and for which it may still rise
RETRY_LAG = 0.5  # seconds by which repeats are taken to follow bad endings
STORM_ATTEMPTS, CLEAR_ATTEMPTS = 1.35, 1.15  # tries a ticket from which a storm is on, under which it is over
STORM_FAILURES, CLEAR_FAILURES = 0.1, 0.05  # bad endings an arrival, likewise
STORM_AFTER, CLEAR_AFTER = 1_000_000, 2_000_000  # microseconds for which that has to hold
MAXIMUM_DECAY, NEAR_MAXIMUM, SPENT_BELOW = (
    0.99999,
    0.996,
    0.99,
)  # of the most patience: a ticket; what is there; what is worn
MIN_SHARE_AT_MAXIMUM = 0.1  # part of arrivals at the most from which patience is a matter of the type
SPENT_BASELINE = 0.01  # part of arrivals that look worn while all is calm, before it is learned


class StormEstimate(NamedTuple):
    """What is seen now. `repeats`: share of arrivals; `tries`: of one ticket; `sure`: 0 to 1."""

    retry_share: float
    attempts: float
    storm: bool
    confidence: float


@dataclass(slots=True)
class TimeBudget:
    """What arrivals of one type bring of their caller's patience.

    First tries come with the most there is. Where a good part of arrivals stands right at that most, patience
    is a matter of the type, and what has less has spent some; where honest patience is spread, none is worn.
    """

    maximum: float = 0.0
    share_at_maximum: float = 0.0  # part of arrivals that stand there
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
    """Of one backend. Clocks that step back count as standing still."""

    def __init__(self, now: int, classes: int, span: int, capacity: int) -> None:
        """`span` in microseconds and `most` prints: what the windows hold."""
        self.rejected, self.completed = CuckooWindow(span, capacity), CuckooWindow(span, capacity)
        self.span = span
        self.time_budgets = [TimeBudget() for _ in range(classes)]
        self.now = self.updated_at = now
        self.collision_chance = 1e-6  # chance that an arrival equals one given print in the settled window
        self.match_rate = self.spent_rate = 0.0  # part of arrivals of late
        self.spent_baseline = SPENT_BASELINE
        self.arrivals = self.failures = self.successes = self.remote_rejections = 0  # since the last step
        self.arrival_rate = self.failure_rate = self.lagged_failure_rate = self.success_rate = (
            self.baseline
        ) = 0.0  # a second
        self.remote_rejection_rate = 0.0  # prints turned away elsewhere that this member was told
        self.elapsed = 0.0  # seconds of steps so far
        self.recent: deque[tuple[float, int, int]] = deque(
            maxlen=RECENT_STEPS
        )  # span, came, ended badly by step
        self.onset_steps: int | None = None  # steps for which the base may still rise; None: few end badly
        self.storm, self.unmet_at = False, now  # and since when all spoke the same way
        self.estimate = StormEstimate(0.0, 1.0, False, 0.0)

    def _advance_clock(self, now: int) -> int:
        self.now = max(self.now, now)
        return self.now

    def record_arrival(self, now: int, request_class: int, fingerprint: int, remaining: int) -> float:
        """How likely it is a repeat, 0 to 1. `left`: its caller's patience, 0 where none is told."""
        now = self._advance_clock(now)
        self.arrivals += 1
        matches_completed = self.completed.take(now, fingerprint)
        if matches_completed:
            self.completed.add(now, fingerprint)
        matches_rejected = self.rejected.take(now, fingerprint)
        completed_count = max(1.0, min(self.success_rate * self.span / 1e6, self.completed.mask * 3.0))
        self.collision_chance += (matches_completed / completed_count - self.collision_chance) / MATCH_SAMPLES
        self.match_rate += (matches_rejected - self.match_rate) / MATCH_SAMPLES
        spent = remaining > 0 and self.time_budgets[request_class].is_spent(remaining)
        if self.failure_rate < CALM_FAILURES * self.arrival_rate:
            self.spent_baseline += (spent - self.spent_baseline) / MATCH_SAMPLES
        self.spent_rate += (spent - self.spent_rate) / MATCH_SAMPLES
        likely = 0.0
        if matches_rejected and not matches_completed:
            rejected_count = min(
                (self.failure_rate + self.remote_rejection_rate) * self.span / 1e6, self.rejected.mask * 3.0
            )
            likely = 1 - min(
                1.0, self.collision_chance * rejected_count / max(self.match_rate, 1 / MATCH_SAMPLES)
            )
        if spent:
            likely = max(likely, 1 - min(1.0, self.spent_baseline / max(self.spent_rate, 1 / MATCH_SAMPLES)))
        return likely

    def record_outcome(self, now: int, fingerprint: int, good: bool) -> None:
        """Our final answer to a ticket has gone out; a bad one may bring its caller back."""
        now = self._advance_clock(now)
        if good:
            self.successes += 1
            self.completed.add(now, fingerprint)
        else:
            self.failures += 1
            self.rejected.add(now, fingerprint)

    def record_remote_rejections(self, now: int, fingerprints: list[int]) -> None:
        """Others of the fleet turned these away. They count among the prints that a repeat may match, and
        that an equal ticket may match by chance; our own rates are not theirs."""
        now = self._advance_clock(now)
        for fingerprint in fingerprints:
            self.rejected.add(now, fingerprint)
        self.remote_rejections += len(fingerprints)

    def update(self, now: int) -> StormEstimate:
        """Every tenth of a second or so: the rates, and whether a storm is on."""
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
        self.lagged_failure_rate += min(1.0, span / RETRY_LAG) * (
            self.failure_rate - self.lagged_failure_rate
        )
        self.recent.append((span, self.arrivals, self.failures))
        self.arrivals = self.failures = self.successes = self.remote_rejections = 0
        noise = sqrt(max(1.0, self.arrival_rate) / (2 * RATE_SECONDS))
        self._update_baseline(span, noise)
        excess = min(max(0.0, self.arrival_rate - self.baseline), self.lagged_failure_rate)
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
        """The level of first tries. While few end badly it follows arrivals, at once after a jump.

        At the onset of bad endings it is taken from the last half second itself: the smoothed rate is still
        on its way, and what it has yet to rise would pass for repeats. From then on it stays, since repeats
        can be no more than the bad endings before: that bounds it from below, and arrivals from above.
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
            target = min(max(self.baseline, self.arrival_rate - self.lagged_failure_rate), self.arrival_rate)
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
