"""Downstream calls within this backend's quota of them."""

from crowwing.contract import Idempotency, Outcome, Result, Step
from crowwing.logic.backend_state import MAX_CALL_SPAN, MIN_CALL_SPAN, TIMER_INTERVAL, USABLE, BackendState
from crowwing.logic.request import CALLING, RUNNING, Request

SLOW_CALL_FACTOR = 2.5  # the recent call time, in usual ones, from which the downstream is overloaded


class DownstreamCalls(BackendState):
    """Makes downstream calls, and adapts their limit to how they end."""

    def set_fleet_scale(self, calls: float, quotas: list[float]) -> None:
        """Sets this backend's part of the fleet's call rate and of each customer's quota; 1.0: an even part.
        The burst stays as it is, so that lent and borrowed rates add up to the fleet's."""
        self.call_scale, self.quota_scale = calls, quotas
        self.max_calls = max(self.facts.cores / 2, USABLE * self.facts.call_quota * calls)

    def make_calls(self, now: int, out: list[Result]) -> None:
        """Makes calls, highest priority first, within the quota and the limit that adapts to call times."""
        f = self.facts
        ready = [r for r in self.call_queue if not r.answered and now >= r.retry_at]
        for r in sorted(ready, key=lambda r: -r.priority):
            used, spare = self.counts[CALLING] + len(self.abandoned_calls), self.spare_call_time(now)
            usual = sorted(self.call_times)[len(self.call_times) // 2]  # a few lost calls don't move it
            minimum = min(MIN_CALL_SPAN * usual, (self.call_burst - f.linger) / 2)  # else it is given up
            run_time = self.medians[r.class_id] // 2
            bound = (r.target if now + run_time < r.target else r.deadline) - run_time - now
            if bound <= 0 and r.cls.partial_value == 0:
                self.fail(r, now, out)
            elif not f.call_quota or (used < int(self.call_limit) and spare > minimum):
                if self.at_max_concurrency(now):
                    break
                span = min(max(bound, TIMER_INTERVAL), r.deadline - now)
                if f.call_quota:  # an idempotent call leaves time for a retry
                    limit = bound / 2 if r.cls.idempotency is Idempotency.IDEMPOTENT else bound
                    longest = min(MAX_CALL_SPAN * usual, max(MIN_CALL_SPAN * usual, limit))
                    span = round(min(span, spare, max(TIMER_INTERVAL, longest)))
                r.attempts += 1
                r.call_since, r.call_end = now, now + span
                self.set_state(r, CALLING, keeps_memory=True)
                out.append((Step.CALL, r, max(1000, span)))
            elif r.cls.partial_value > 0 and (now - r.call_since > 4 * self.usual_call or bound <= 0):
                self.skip_call(r, now, out)

    def spare_call_time(self, now: int) -> float:
        """Call time available now. It is refilled at an even rate, and calls count as if each lasted to its
        time-out, so that the quota holds; otherwise the fleet uses it all at once, then waits in step."""
        used = sum(r.call_end + self.facts.linger - now for r in self.requests.values() if r.state == CALLING)
        used += sum(until - now for until in self.abandoned_calls) + self.facts.linger
        return self.call_burst - self.spent - used

    def skip_call(self, r: Request, now: int, out: list[Result]) -> None:
        if not self.at_max_concurrency(now):
            self.set_state(r, RUNNING, keeps_memory=True)
            r.call_time += now - r.call_since
            out.append((Step.GO_ON, r, 0))

    def record_call(self, took: int, outcome: Outcome) -> None:
        """Lowers the limit of calls while they fail or take far longer than usual, else raises it."""
        if outcome is not Outcome.NEVER_RAN:
            self.call_times.append(took)
            self.call_count += 1
            gain = 1 / self.call_count
            self.recent_call += max(0.1, gain) * (took - self.recent_call)
            self.usual_call = round(self.usual_call + max(0.003, gain) * (took - self.usual_call))
        slow = outcome is not Outcome.GOOD or self.recent_call > SLOW_CALL_FACTOR * self.usual_call
        limit = self.call_limit * 0.97 if slow else self.call_limit + 0.1
        self.call_limit = min(self.max_calls, max(1.0, limit))
