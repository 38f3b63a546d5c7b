"""The state of a backend, the states of its requests, and the ways to answer them."""

from collections import deque
from random import Random

from crowwing.contract import Halt, Id, Idempotency, Result, ServerFacts, Step
from crowwing.logic.feedback import MIN_SAMPLES, SAMPLES, LimitController
from crowwing.logic.request import CALL_PENDING, CALLING, CLOSED, PAUSED, QUEUED, RUNNING, Request
from crowwing.ranked_window import RankedWindows

TIMER_INTERVAL, IDLE_TIMER_INTERVAL = 40_000, 200_000  # between wake-up timers; with no request open
LIMIT_GAINS = 12, 0.5, 0.6, 0.05  # climb, proportional, integral and derivative, in cores
USABLE = 0.75  # part used of the concurrency, memory and calls that a backend survives
STALL_FACTOR = 6  # mean gaps between two progress events without one, after which runs count as hung
MAX_ERROR_RATE, PROBE_RATE = 0.25, 0.1  # error rate from which requests are sent elsewhere; part still tried
MIN_RETRY_AFTER, RETRY_GAIN = 0.2, 2.0  # retry-after in parts of the longest: least, and by threshold
MIN_RETRIED = 0.2  # retries for each rejected request, below which rejections count as final
MAX_REJECTION_RATE = 0.5  # part of recent arrivals rejected, from which no other backend is suggested
MAX_CALL_SPAN, MIN_CALL_SPAN = 20, 8  # bounds of a call's time-out, in recent median call times
CALL_BURST, MAX_CALL_BURST, REFILL = 0.25, 0.6, 0.3  # parts of the call quota: burst, its limit, refill


class BackendState:
    """The state of one backend, its limits, and the answers to its requests."""

    def __init__(self, facts: ServerFacts, now: int, chance: Random) -> None:
        self.facts, self.random = facts, chance.random
        self.requests: dict[Id, Request] = {}  # open requests; each leaves as it is closed
        self.arrivals: list[Request] = []  # received since the last decide(), which empties it
        self.queues: list[list[Request]] = [[] for _ in facts.classes]  # by class; left on start or time-out
        self.call_queue: list[Request] = []  # requests with a call that has not been made yet
        self.entries: dict[Id, int] = {}  # deduplication entries with their expiry; removed once expired
        self.not_run: set[Id] = set()  # closed without a run during this decide(), which empties it
        self.abandoned_calls: deque[int] = deque()  # when calls given up cease to occupy the downstream
        self.counts = [0] * 8  # open requests by state
        # Times: start, control step, next check and wake-up, last event of a run, decay of caller weights.
        self.started = self.updated = self.next_check = self.next_timer = self.progressed = self.decayed = now
        # Memory of open requests; the threshold and its integral part; longest wait in queue time-outs.
        self.memory_used = self.threshold = self.base = self.waited = 0.0
        # Recent part of failed runs; runs on the cores; load of the cores; delay of reading; requests read a
        # second; call time used of the burst; part of the last 20 or so arrivals that was rejected.
        self.error_rate = self.on_cores = self.load = self.lag = self.read_rate = self.spent = self.shed = 0.0
        # Limit of runs; run time relative to an uncrowded one; recent call time; mean gap between progress.
        self.limit, self.slowdown, self.recent_call, self.progress_gap = float(facts.cores), 1.0, 0.0, 0.0
        self.call_times = deque([facts.quota_window // (8 * MAX_CALL_SPAN)] * MIN_SAMPLES, 2 * MIN_SAMPLES)
        self.limit_controller = LimitController(*LIMIT_GAINS)
        self.runs: RankedWindows[int] = RankedWindows(len(facts.classes), SAMPLES)  # times of ended runs
        self.timeouts = [cls.latency_target for cls in facts.classes]  # queue time-outs
        self.budgets = self.timeouts[:]  # mean time left to the target at arrival
        self.medians, self.base_runs = [0] * len(facts.classes), [0.0] * len(facts.classes)  # of run times
        self.max_calls = self.call_limit = max(facts.cores / 2, USABLE * facts.call_quota)
        total = facts.call_quota * facts.quota_window  # call time allowed within the quota's window
        self.call_burst = max(CALL_BURST * total, min(2.0 * facts.linger, MAX_CALL_BURST * total))
        self.call_rate = max(REFILL * total, USABLE * total - self.call_burst) / max(1, facts.quota_window)
        # Recent requests of each customer, in units of `rate_unit`. The unit grows instead of all counts
        # decaying, so that a request costs the same for any number of customers. Idle customers are removed.
        self.rates: dict[int, float] = {}
        self.rate_unit, self.rates_at = 1.0, now
        # Last reported health, idle time-out and spare capacity; part of requests with a recent caller.
        self.ready, self.idle_timeout, self.reported, self.returning = True, facts.max_idle_time, -1.0, 1.0
        self.caller_weights: dict[int, float] = {}  # recent requests by caller; decays
        self.caller_timeouts: list[dict[int, float]] = [{} for _ in facts.classes]  # with decaying weights
        self.retry_rate = self.rejection_rate = 0.0  # of the last 200 or so arrivals: retries, rejections
        # Requests received; start and end of the drain (0: none); usual call time; calls that ended.
        self.received = self.drain_since = self.stop_at = self.usual_call = self.call_count = 0
        self.call_total = 0.0  # call time since the start; tells how much of the rate can be lent
        self.call_scale, self.quota_scale = 1.0, [1.0] * len(facts.quotas)  # 1.0: an even part of the fleet's

    def used_memory(self) -> float:
        return self.memory_used + len(self.entries) * self.facts.key_kb

    def set_entry(self, r: Request, now: int, span: int, out: list[Result]) -> bool:
        if span <= 0:
            if self.entries.pop(r.id, None) is not None:
                out.append((Step.FORGET, r, 0))
        elif r.id in self.entries or self.has_entry_capacity():
            self.entries[r.id] = now + span
            out.append((Step.KEEP, r, span))
        return span > 0 and r.id in self.entries

    def rejection_is_final(self) -> bool:
        """Whether rejected requests are hardly ever retried."""
        return self.retry_rate < MIN_RETRIED * self.rejection_rate

    def has_entry_capacity(self) -> bool:
        """Whether one more entry leaves a third of the usable memory to requests. Entries go only as their
        windows end and would crowd out idempotent requests. Too little where a window's keys need more."""
        limit, size = USABLE * self.facts.memory_kb, self.facts.key_kb
        return self.used_memory() + size <= limit and (len(self.entries) + 1) * size <= limit * 2 / 3

    def waits_for_call(self, r: Request) -> bool:
        """Whether a request needs a downstream call and as many as there are cores already wait for one."""
        return r.cls.makes_calls and r.cls.partial_value == 0 and len(self.call_queue) >= self.facts.cores

    def speed(self, now: int) -> float:
        """The least part of its full speed that this backend can have while it warms up."""
        warm = (now - self.started) / self.facts.warm_up if self.facts.cold and self.facts.warm_up else 1.0
        return self.facts.cold_speed + (1 - self.facts.cold_speed) * min(1.0, warm)

    def max_concurrency(self, now: int) -> int:
        """The limit of concurrent runs and calls; it is lower while the backend warms up."""
        return max(1, int(USABLE * self.facts.cores * (1 + (self.facts.max_per_core - 1) * self.speed(now))))

    def at_max_concurrency(self, now: int) -> bool:
        return self.counts[RUNNING] + self.counts[CALLING] >= self.max_concurrency(now)

    def record_progress(self, now: int) -> None:
        self.progress_gap += 0.05 * (now - self.progressed - self.progress_gap)
        self.progressed = now

    def stalled(self, now: int) -> bool:
        """Whether runs hang or are slow: cores are full, and none progressed for half a time budget and six
        mean gaps (two cores pause by chance), longer while warming up. Wrong if healthy runs take as long."""
        limit = max(min(self.budgets) / 2, STALL_FACTOR * self.progress_gap) / self.speed(now)
        return self.counts[RUNNING] >= self.facts.cores and now - self.progressed > limit

    def unhealthy(self, now: int) -> bool:
        return self.error_rate > MAX_ERROR_RATE or self.stalled(now)

    def reject(self, r: Request, now: int, out: list[Result], elsewhere: bool | None = None) -> None:
        """Rejects a request with a retry-after time, and tells whether another backend may be tried."""
        if r.has_run and r.cls.idempotency is not Idempotency.IDEMPOTENT or r.state == PAUSED:
            return self.fail(r, now, out)
        self.set_entry(r, now, 0, out)
        self.shed += 0.05
        self.rejection_rate += 0.005
        here = bool(elsewhere) or self.unhealthy(now) or self.drain_since > 0
        wait = self.load < 0.9 and self.waits_for_call(r)  # retry at once: other classes have capacity
        delay = 1.0 if here else 0.0 if wait else min(1.0, MIN_RETRY_AFTER + RETRY_GAIN * self.threshold)
        if elsewhere is None:  # the fewer are rejected here, the likelier others have capacity
            here |= self.random() > self.shed / MAX_REJECTION_RATE
        out.append((Step.DISMISS if here else Step.DISMISS_ALL, r, round(self.facts.max_retry_after * delay)))
        r.answered = True
        self.not_run.add(r.id)
        return self.close(r)

    def fail(self, r: Request, now: int, out: list[Result]) -> None:
        """Answers a request that may have run with an error, and stops its run where the backend can."""
        out.append((Step.FORFEIT, r, 0))
        r.answered = True
        if r.state == RUNNING:
            self.halt(r, now, out)
        elif r.state not in (CALL_PENDING, CALLING):
            self.close(r)

    def halt(self, r: Request, now: int, out: list[Result]) -> None:
        if self.facts.halt is not Halt.NONE:
            r.halted_at = now
            out.append((Step.HALT, r, 0))

    def set_state(self, r: Request, state: int, keeps_memory: bool = False) -> None:
        """Moves a request to another state, and updates queues, counts and memory."""
        if r.state in (QUEUED, PAUSED):
            self.queues[r.class_id].remove(r)
        elif r.state == CALL_PENDING:
            self.call_queue.remove(r)
        self.counts[r.state] -= 1
        r.state = state
        self.counts[state] += 1
        if state in (QUEUED, PAUSED):
            self.queues[r.class_id].append(r)
        elif state == CALL_PENDING:
            self.call_queue.append(r)
        if not keeps_memory:
            used = r.size_kb * (self.facts.run_factor if state == RUNNING else state != CLOSED)
            self.memory_used += used - r.memory_kb
            r.memory_kb = used

    def close(self, r: Request) -> None:
        self.set_state(r, CLOSED)
        r.closed = True
        self.requests.pop(r.id, None)
