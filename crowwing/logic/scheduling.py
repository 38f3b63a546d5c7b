"""Scheduling: the queue and its time-outs, the start of runs, and the check of deadlines."""

from crowwing.contract import Idempotency, Result, Step
from crowwing.logic.backend_state import MAX_REJECTION_RATE, TIMER_INTERVAL, USABLE, BackendState
from crowwing.logic.request import NEW, PAUSED, QUEUED, RUNNING, Request


class Scheduling(BackendState):
    """Starts queued requests, and answers those whose time is up."""

    def start_queued(self, now: int, out: list[Result]) -> None:
        """Rejects queued requests past their time-out; starts what fits, highest priority first."""
        for queue in self.queues:
            for r in queue[:]:
                if now >= self.wait_until(r) or self.stalled(now):
                    self.waited = max(self.waited, (now - r.arrived) / max(1, self.wait_until(r) - r.arrived))
                    self.reject(r, now, out)
        for r in sorted((r for queue in self.queues for r in queue), key=lambda r: -r.priority):
            if self.counts[RUNNING] >= int(self.limit) or self.at_max_concurrency(now):
                break
            if not self.fits(r):
                continue
            if self.facts.cache_ttl and r.key and not r.write and r.cls.idempotency is Idempotency.IDEMPOTENT:
                self.set_entry(r, now, r.deadline - now + self.facts.cache_ttl, out)
            r.has_run, r.call_time, r.concurrency = True, 0, max(self.counts[RUNNING], self.on_cores)
            self.progressed = self.progressed if self.counts[RUNNING] else now
            self.set_state(r, RUNNING)
            out.append((Step.RUN, r, 0))

    def wait_until(self, r: Request) -> int:
        """Until when a request may be queued: its queue time-out, while an answer still has its value."""
        if r.has_run and r.cls.idempotency is not Idempotency.IDEMPOTENT:
            return r.deadline
        # Longer while few are rejected and none retried: with few cores and long runs, a core may idle soon.
        # Too long if run times vary so much that half of the requests started at its end are answered late.
        extension = max(0.0, 1 - self.shed / MAX_REJECTION_RATE) if self.rejection_is_final() else 0.0
        extra = max(0, self.budgets[r.class_id] - self.medians[r.class_id] - self.timeouts[r.class_id])
        return min(r.arrived + self.timeouts[r.class_id] + round(extension * extra),
                   r.target - self.medians[r.class_id] // 2)  # fmt: skip

    def fits(self, r: Request) -> bool:
        """Whether memory and the queue for downstream calls allow one more run."""
        extra = 0.0 if r.state == PAUSED else r.size_kb * (self.facts.run_factor - 1)
        return not self.waits_for_call(r) and self.used_memory() + extra <= USABLE * self.facts.memory_kb

    def check_deadlines(self, now: int, out: list[Result]) -> None:
        """Answers requests at their deadlines, repeats halts without effect, and removes expired records."""
        self.next_check = now + TIMER_INTERVAL // 2
        early = max(0, 2 * TIMER_INTERVAL - self.facts.answer_slack)
        last = self.stop_at - 3 * TIMER_INTERVAL if self.drain_since else now + 1
        for r in list(self.requests.values()):
            if r.answered and r.state == RUNNING and 0 < r.halted_at < now - 5 * TIMER_INTERVAL:
                self.halt(r, now, out)
            elif not r.answered and now >= min(r.deadline - early, last):
                if r.state in (NEW, QUEUED) and not r.has_run:
                    self.reject(r, now, out)
                else:
                    self.fail(r, now, out)
        self.entries = {request_id: until for request_id, until in self.entries.items() if until > now}
        while self.abandoned_calls and self.abandoned_calls[0] <= now:
            self.abandoned_calls.popleft()
