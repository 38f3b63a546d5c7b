"""Latencies of runs by class, and what follows from them: medians and queue timeouts."""

from crowwing.contract import Premises
from crowwing.logic.feedback import ENOUGH, SAMPLES, queue_timeout
from crowwing.ranked_window import RankedWindows

TIME_ALLOWED_WEIGHT = 0.05  # of the newest request in the mean
MIN_TIMEOUT_SHARE = 8  # a queue timeout is at least this part of the time that requests come with


class LatencyStatistics:
    """Owner of the latencies of runs. All lists are by class, all times microseconds.

    Attributes:
        runs: the newest latencies.
        medians: of those; 0 before there are enough.
        queue_timeouts: how long a request may be queued.
        time_allowed: the mean time that requests come with.
    """

    def __init__(self, facts: Premises) -> None:
        """Nothing has run: the queue timeouts are the latency targets."""
        class_count = len(facts.types)
        self.runs: RankedWindows[int] = RankedWindows(class_count, SAMPLES)
        self.medians = [0] * class_count
        self.queue_timeouts = [request_class.expected_time for request_class in facts.types]
        self.time_allowed = [request_class.expected_time for request_class in facts.types]

    def record_time_allowed(self, class_index: int, span: int) -> None:
        """A request came with so much time."""
        self.time_allowed[class_index] += round(TIME_ALLOWED_WEIGHT * (span - self.time_allowed[class_index]))

    def record_run(self, class_index: int, took: int) -> None:
        """A good run has ended; a class without enough of its own goes by all of them."""
        self.runs.add(class_index, took)
        for index, own_runs in enumerate(self.runs):
            if len(own_runs) < ENOUGH:
                self._update(index, self.runs.ranked)
            elif index == class_index:
                self._update(index, own_runs.ranked)

    def _update(self, class_index: int, ranked: list[int]) -> None:
        if len(ranked) < ENOUGH:
            return
        allowed = self.time_allowed[class_index]
        self.medians[class_index] = ranked[len(ranked) // 2]
        min_timeout = allowed // MIN_TIMEOUT_SHARE
        self.queue_timeouts[class_index] = int(queue_timeout(ranked, allowed, min_timeout, allowed))

    def adopt(self, learned: tuple[tuple[int, int], ...]) -> None:
        """Takes queue timeouts and medians of others as a start, where too little was measured here."""
        for class_index, (timeout, median) in enumerate(learned):
            if len(self.runs[class_index]) < ENOUGH and timeout > 0:
                self.queue_timeouts[class_index] = min(timeout, self.time_allowed[class_index])
                self.medians[class_index] = median
