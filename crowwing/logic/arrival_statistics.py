"""What is known of those who send: how many, how often they retry, and how much of theirs lies unread."""

from crowwing.contract import Premises
from crowwing.logic.limits import IDLE_WATCH_INTERVAL

ALIKE = 20_000  # microseconds: attempts whose time limits are so close share one
MAX_TIME_LIMITS = 8  # remembered for each class
TIME_LIMIT_FADE = 0.99  # of what is remembered, for each attempt
MIN_ATTEMPTS, COMMON_PART = 20, 20  # of a class before its time limits tell; a common one has 1 in 20
RETRY_WEIGHT, RETURNING_WEIGHT = 0.005, 0.02  # of the newest arrival, once there are enough
REJECTED_WEIGHT, REJECTED_KEPT = 0.005, 0.995  # of one rejection, and what each arrival leaves of the sum
REJECTION_WEIGHT, REJECTION_KEPT = 0.05, 0.95  # the same over fewer arrivals
UNREAD_WEIGHT = 0.1
UNREAD_FADE_SPAN = 200_000  # microseconds in which idle cores are taken to have read everything
CALLER_FADE_SPAN = 1e6  # microseconds
MIN_CALLER_WEIGHT = 0.01  # below which a caller is forgotten
FINAL_RETRY_SHARE = 0.2  # later attempts for each rejection, under which a rejection is the end


class ArrivalStatistics:
    """Owner of the averages over arrivals.

    Attributes:
        weights: requests by caller, of late; they fade away.
        read_rate: requests a second.
        returning_share: of requests, those whose caller was here lately.
        retry_share: of some hundred arrivals, later attempts.
        rejected_share: of some hundred arrivals, those that were rejected.
        rejection_rate: the same over some twenty.
        unread: how long a request lay unread, in microseconds.
    """

    def __init__(self, facts: Premises, now: int) -> None:
        """Nothing has come."""
        self.weights: dict[int, float] = {}
        self.read_rate = 0.0
        self.returning_share = 1.0
        self.retry_share = 0.0
        self.rejected_share = 0.0
        self.rejection_rate = 0.0
        self.unread = 0.0
        self._arrival_count = 0
        self._faded_at = now
        self.time_limits: list[dict[int, float]] = [{} for _ in facts.types]  # with weights; they fade

    def record_arrival(self, caller: int, is_retry: bool, unread: int) -> None:
        """A request was read `unread` microseconds after it came."""
        self._arrival_count += 1
        first_ones = 1 / self._arrival_count
        self.retry_share += max(RETRY_WEIGHT, first_ones) * (is_retry - self.retry_share)
        self.rejected_share *= REJECTED_KEPT
        self.unread += UNREAD_WEIGHT * (unread - self.unread)
        is_known = caller in self.weights
        self.returning_share += max(RETURNING_WEIGHT, first_ones) * (is_known - self.returning_share)
        self.rejection_rate *= REJECTION_KEPT
        self.weights[caller] = self.weights.get(caller, 0.0) + 1.0

    def record_rejection(self) -> None:
        """A request was rejected."""
        self.rejection_rate += REJECTION_WEIGHT
        self.rejected_share += REJECTED_WEIGHT

    def is_rejection_final(self) -> bool:
        """Whether a rejection here is the end of its request: hardly as many come again as are rejected."""
        return self.retry_share < FINAL_RETRY_SHARE * self.rejected_share

    def age(self, class_index: int, max_span: int, span: int) -> int:
        """How old a request was when this attempt of it came, in microseconds.

        Callers limit their attempts alike; a time limit that few share is what is left of the class's
        longest one. Guards against work for late answers while requests are retried. Could harm callers with
        a limit of their own that send under a 20th: they rank last.

        Args:
            class_index: its class.
            max_span: the longest time that a request of it may take.
            span: the time that this attempt came with.
        """
        weights = {limit: TIME_LIMIT_FADE * weight for limit, weight in self.time_limits[class_index].items()}
        alike = next((limit for limit in weights if abs(limit - span) < ALIKE), span)
        if alike == span and len(weights) == MAX_TIME_LIMITS and span not in weights:
            del weights[min(weights, key=lambda limit: weights[limit])]
        weights[alike] = weights.get(alike, 0.0) + 1
        self.time_limits[class_index] = weights
        total = sum(weights.values())
        is_common = total < MIN_ATTEMPTS or weights[alike] > total / COMMON_PART
        return 0 if is_common else max(0, max_span - span)

    def fade_unread(self, passed: int) -> None:
        """Cores with room read at once."""
        self.unread *= max(0.0, 1 - passed / UNREAD_FADE_SPAN)

    def fade_callers(self, now: int) -> None:
        """Lets callers that stay away fade, a few times a second."""
        if now - self._faded_at < IDLE_WATCH_INTERVAL:
            return
        left = max(0.0, 1 - (now - self._faded_at) / CALLER_FADE_SPAN)
        self._faded_at = now
        self.weights = {
            caller: left * weight for caller, weight in self.weights.items() if weight > MIN_CALLER_WEIGHT
        }
        self.read_rate = sum(self.weights.values())
