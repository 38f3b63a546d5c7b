"""The inflight limit of the backend: how many requests run on its cores at once, moved by a feedback loop."""

from crowwing.contract import Premises
from crowwing.logic.feedback import SAMPLES, LimitLoop
from crowwing.logic.limits import MAX_USED_SHARE
from crowwing.logic.request import RequestState
from crowwing.logic.request_table import RequestTable

LIMIT_GAINS = 12, 0.5, 0.6, 0.05  # climb, proportional, integral and derivative, in cores
TARGET_STRETCH = 1.3  # the run latency, against an uncrowded one, that the limit is steered to
GAUGE_SPAN = 60_000  # microseconds over which the gauge of the cores is averaged
STRETCH_WEIGHT = 0.08  # of the newest run
UNCROWDED_WEIGHT, CROWDED_WEIGHT = 0.05, 0.002  # of a run in the usual latency, by the cores when it began
OVERLOADED_SHARE = 0.1  # of the cores, more runs than that many beyond them leave the limit no way up


class CoreLimiter:
    """Owner of the limit and of what is known of the cores.

    Attributes:
        limit: how many requests may run at once.
        running: how many do, as a smoothed gauge.
        core_use: the share of the cores in use.
        stretch: the latency of runs against their usual one.
        usual_latency: of runs that began on uncrowded cores, by class, in microseconds.
    """

    def __init__(self, facts: Premises, now: int, table: RequestTable) -> None:
        """A backend that starts now, with a limit of its cores."""
        self._facts = facts
        self._table = table
        self._loop = LimitLoop(*LIMIT_GAINS)
        self.started_at = now
        self.limit = float(facts.cores)
        self.running = 0.0
        self.core_use = 0.0
        self.stretch = 1.0
        self.usual_latency = [0.0] * len(facts.types)

    def speed(self, now: int) -> float:
        """The least share of its speed that this backend can have now: it may still be warming up."""
        facts = self._facts
        warm = (now - self.started_at) / facts.cold_for if facts.cold and facts.cold_for else 1.0
        return facts.cold_from + (1 - facts.cold_from) * min(1.0, warm)

    def ceiling(self, now: int) -> int:
        """The number of runs that is never passed; cold cores survive less."""
        facts = self._facts
        return max(1, int(MAX_USED_SHARE * facts.cores * (1 + (facts.crowd - 1) * self.speed(now))))

    def is_crowded(self, now: int) -> bool:
        """Whether one more run would pass the ceiling, were all calls to come back now."""
        counts = self._table.counts
        return counts[RequestState.RUNNING] + counts[RequestState.CALLING] >= self.ceiling(now)

    def read_gauges(self, gauges: dict[str, float], passed: int) -> None:
        """Takes in what the worker measured `passed` microseconds after the last time."""
        running = gauges.get("on_cores", self._table.counts[RequestState.RUNNING])
        self.running += min(1.0, passed / GAUGE_SPAN) * (running - self.running)
        self.core_use = gauges.get("core_use", 1.0)

    def idle_cores(self) -> float:
        """Cores without a run; negative where runs share them."""
        return self._facts.cores - self.running

    def record_run(self, class_index: int, own_time: int, runs_at_start: float, run_count: int) -> None:
        """A good run has ended.

        Args:
            class_index: its class.
            own_time: its latency without its calls, in microseconds.
            runs_at_start: the requests on the cores when it began.
            run_count: how many latencies of its class are remembered, this one among them.
        """
        weight = UNCROWDED_WEIGHT if runs_at_start <= self._facts.cores else CROWDED_WEIGHT
        weight = max(weight, 0 if run_count == SAMPLES else 1 / run_count)
        usual = self.usual_latency
        usual[class_index] += weight * (own_time - usual[class_index])
        self.stretch += STRETCH_WEIGHT * (own_time / max(1.0, usual[class_index]) - self.stretch)

    def step(self, now: int, elapsed_s: float, error_rate: float) -> bool:
        """One step of the loop.

        Returns:
            Whether the limit can't grow.
        """
        facts = self._facts
        counts = self._table.counts
        error = TARGET_STRETCH - self.stretch - error_rate
        idle = self.idle_cores()
        waits = counts[RequestState.QUEUED] + counts[RequestState.PAUSED] > 0
        self.limit = self._loop.step(self.limit, elapsed_s, idle, waits, error, facts.cores)
        ceiling = self.ceiling(now)
        is_overloaded = idle <= -OVERLOADED_SHARE * facts.cores
        is_stuck = self.limit >= ceiling or (error <= 0 and idle <= 0) or is_overloaded
        self.limit = min(max(self.limit, facts.cores), ceiling)
        return is_stuck

    def adopt(self, now: int, limit: float) -> None:
        """Takes the limit of others as a start."""
        self.limit = min(max(limit, float(self._facts.cores)), self.ceiling(now))
