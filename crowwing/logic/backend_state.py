"""All state of one backend's decisions, each part with its owner, and what several parts together say."""

from collections.abc import Callable
from random import Random

from crowwing.contract import Premises, Repeat
from crowwing.logic.arrival_statistics import ArrivalStatistics
from crowwing.logic.call_budget import CallBudget
from crowwing.logic.core_limiter import CoreLimiter
from crowwing.logic.latency_statistics import LatencyStatistics
from crowwing.logic.limits import HIGH_REJECTION_RATE, MAX_USED_SHARE
from crowwing.logic.priority_threshold import PriorityThreshold
from crowwing.logic.request import Request, RequestState
from crowwing.logic.request_table import EntryTable, RequestTable
from crowwing.logic.run_health import RunHealth
from crowwing.logic.tenant_fairness import TenantFairness


class BackendState:
    """Made by `LoadManager`, which hands it to the parts that decide.

    Attributes:
        facts: what the backend is told at its start.
        random: gives numbers from 0 to 1.
        table, entries, arrivals, latencies, limiter, health, calls, fairness, threshold: the parts.
        left_at: when the notice to leave came, 0 before.
        stop_at: when the process is stopped after that notice.
    """

    def __init__(self, facts: Premises, now: int, random: Random) -> None:
        """A backend that starts now."""
        self.facts = facts
        self.random: Callable[[], float] = random.random
        self.table = RequestTable(facts)
        self.entries = EntryTable(facts, self.table)
        self.arrivals = ArrivalStatistics(facts, now)
        self.latencies = LatencyStatistics(facts)
        self.limiter = CoreLimiter(facts, now, self.table)
        self.health = RunHealth(facts, now, self.table, self.limiter, self.latencies)
        self.calls = CallBudget(facts, self.table)
        self.fairness = TenantFairness(facts, now)
        self.threshold = PriorityThreshold()
        self.left_at = 0
        self.stop_at = 0

    def is_memory_full(self, more_kb: float = 0.0) -> bool:
        """Whether `more_kb` beside what is used would pass the memory that may be used."""
        return self.entries.used_kb() + more_kb > MAX_USED_SHARE * self.facts.memory_kb

    def queue_deadline(self, request: Request) -> int:
        """Until when a queued request is worth queueing: its queue timeout, and while an answer earns.

        Guards against rejections for a chance wait while cores idle again soon: few cores, long runs. Waits
        are stretched only while little is rejected, and where that is the end of a request. Could harm where
        runs vary so much that half of what starts at the end of the stretched time answers late.
        """
        if request.has_run and request.request_class.repeat is not Repeat.REDOABLE:
            return request.deadline
        latencies, index = self.latencies, request.class_index
        median, timeout = latencies.medians[index], latencies.queue_timeouts[index]
        arrivals = self.arrivals
        is_final = arrivals.is_rejection_final()
        stretch = max(0.0, 1 - arrivals.rejection_rate / HIGH_REJECTION_RATE) if is_final else 0.0
        more = max(0, latencies.time_allowed[index] - median - timeout)
        return min(request.arrived + timeout + round(stretch * more), request.latency_target - median // 2)

    def wait_in_timeouts(self, request: Request, now: int) -> float:
        """How long a request has been queued, in parts of what it may be."""
        return (now - request.arrived) / max(1, self.queue_deadline(request) - request.arrived)

    def call_slots(self) -> int:
        """Requests that wait for a call or are in one: they need no core."""
        counts = self.table.counts
        return counts[RequestState.AWAITING_CALL] + counts[RequestState.CALLING]
