"""Control loops: queue time-outs, the concurrency limit, the priority threshold and the spare capacity."""

from crowwing.contract import LoadSignal, Result, Step
from crowwing.logic.backend_state import IDLE_TIMER_INTERVAL, PROBE_RATE, BackendState
from crowwing.logic.feedback import MIN_SAMPLES, SAMPLES, queue_timeout, step_threshold
from crowwing.logic.request import CALL_PENDING, CALLING, PAUSED, QUEUED, Request

MAX_THRESHOLD = 5 / 6  # the top sixth of priorities (tier t0) always passes
TARGET_SLOWDOWN = 1.3  # run latency relative to an uncrowded one that the limit is steered to
QUEUED_PER_CORE = 0.3  # queued requests for each core that are offered to callers


class ControlLoops(BackendState):
    """The feedback loops."""

    def update_controls(self, now: int) -> None:
        """One step of the concurrency limit and the priority threshold."""
        f, dt = self.facts, (now - self.updated) / 1e6
        calls = self.counts[CALLING] + len(self.abandoned_calls)
        self.call_total += dt * 1e6 * calls
        self.spent = max(0.0, self.spent + dt * 1e6 * (calls - self.call_rate * self.call_scale))
        self.updated = now
        if now - self.decayed >= IDLE_TIMER_INTERVAL:
            decay, self.decayed = max(0.0, 1 - (now - self.decayed) / 1e6), now
            self.caller_weights = {caller: decay * w for caller, w in self.caller_weights.items() if w > 0.01}
            self.read_rate = sum(self.caller_weights.values())
        error = TARGET_SLOWDOWN - self.slowdown - self.error_rate
        idle = f.cores - self.on_cores
        queued = self.counts[QUEUED] + self.counts[PAUSED] > 0
        self.limit = self.limit_controller.step(self.limit, dt, idle, queued, error, f.cores)
        limit = self.max_concurrency(now)
        at_limit = self.limit >= limit or (error <= 0 and idle <= 0) or idle <= -0.1 * f.cores
        self.limit = min(max(self.limit, f.cores), limit)
        waits = [(now - r.arrived) / max(1, self.wait_until(r) - r.arrived) for q in self.queues for r in q]
        wait, self.waited = max([self.waited, *waits]), 0.0
        busy = self.load > 0.9 and at_limit
        self.base, self.threshold = step_threshold(self.base, dt, wait, busy, idle / f.cores, MAX_THRESHOLD)

    def record_run(self, r: Request, took: int, good: bool) -> None:
        """Records a run that ended by itself. Failed runs are short: they count as errors, not as latency."""
        self.error_rate += 0.1 * ((0.0 if good else 1.0) - self.error_rate)
        if not good:
            return
        k, runs, own_time = r.class_id, self.runs[r.class_id], took - r.call_time
        self.runs.add(k, took)
        for j, own_runs in enumerate(self.runs):  # a class with too few samples uses those of all
            ranked = self.runs.ranked if len(own_runs) < MIN_SAMPLES else own_runs.ranked if j == k else ()
            if len(ranked) >= MIN_SAMPLES:
                self.medians[j], span = ranked[len(ranked) // 2], self.budgets[j]
                self.timeouts[j] = queue_timeout(ranked, span, span // 8, span)
        gain = 0.05 if r.concurrency <= self.facts.cores else 0.002
        weight = max(gain, 0 if len(runs) == SAMPLES else 1 / len(runs))
        self.base_runs[k] += weight * (own_time - self.base_runs[k])
        self.slowdown += 0.08 * (own_time / max(1.0, self.base_runs[k]) - self.slowdown)

    def apply_learned(self, now: int, classes: tuple[tuple[int, int], ...], limit: float, call: int) -> None:
        """Starts from values that other backends learned; nothing that was measured here is replaced."""
        for k, (timeout, median) in enumerate(classes):
            if len(self.runs[k]) < MIN_SAMPLES and timeout > 0:
                self.timeouts[k], self.medians[k] = min(timeout, self.budgets[k]), median
        if not any(self.runs):
            self.limit = min(max(limit, float(self.facts.cores)), self.max_concurrency(now))
        if call > 0 and not self.call_count:
            self.usual_call, self.recent_call, self.call_count = call, float(call), MIN_SAMPLES
            self.call_times.extend([call] * MIN_SAMPLES)

    def report_spare_capacity(self, now: int, out: list[Result]) -> None:
        """Reports the spare capacity where it changed by more than 5%."""
        f = self.facts
        capacity = ((self.limit + (QUEUED_PER_CORE - self.threshold) * f.cores)
                    * self.speed(now) * (PROBE_RATE if self.unhealthy(now) else 1))  # fmt: skip
        capacity += self.counts[CALL_PENDING] + self.counts[CALLING]
        value = self.capacity_per_caller(0.0 if self.drain_since else capacity)
        if f.signal is LoadSignal.FLOOR:
            value = 1.0 if self.drain_since else self.threshold
        elif f.signal is LoadSignal.WEIGHT:
            value = 0.0 if self.drain_since else min(1.0, capacity / max(1, len(self.requests)))
        if f.signal is not LoadSignal.NONE and abs(value - self.reported) > 0.05 * max(value, self.reported):
            self.reported = value
            out.append((Step.FREE_VALUE, None, value))

    def capacity_per_caller(self, capacity: float) -> float:
        """The open requests each caller may have so that together they use `capacity`; max-min fair."""
        present = len(self.requests) + self.read_rate * self.lag / 1e6  # unread ones by Little's law
        weights = sorted(self.caller_weights.values())
        scale = present / max(1e-9, sum(weights))
        for n, weight in enumerate(weights):
            if weight * scale * (len(weights) - n) >= capacity:
                return capacity / (len(weights) - n)
            capacity -= weight * scale
        return max(weights, default=0.0) * scale + capacity
