"""Admission: by the priority threshold, the customer's quota, memory, and deduplication."""

from crowwing.contract import Id, Idempotency, Result, Step
from crowwing.logic.backend_state import MAX_ERROR_RATE, PROBE_RATE, TIMER_INTERVAL, USABLE, BackendState
from crowwing.logic.request import NEW, QUEUED, SHARING, Request

TOLERANCE, MAX_TIMEOUTS = 20_000, 8  # caller time-outs so close count as one; number kept for each class

QUOTA_WINDOW = 5_000_000  # the time over which a customer's requests are compared with its quota
MAX_RATE_UNIT = 1e9  # the unit is reset to 1 from here on, and customers that have decayed away are removed


class Admission(BackendState):
    """Receives requests and decides which to admit."""

    def receive(self, now: int, request_id: Id, class_id: int, customer: int, priority: float, size_kb: float,
                arrived: int, deadline: int, caller: int, repeat_of: Id, key: Id, is_write: bool,
                likely_repeat: bool = False) -> Request:  # fmt: skip
        """A request has been read; `deadline` is 0 where its caller tells none. A `likely_repeat` in a retry
        storm, which nothing marks as one, gets the priority of a request beyond its customer's quota."""
        r = Request(self, request_id, class_id, size_kb)
        r.priority = priority * (self.facts.over_quota_value if likely_repeat else 1.0)
        r.customer, r.arrived, r.repeat_of, r.key, r.write = customer, arrived, repeat_of, key, is_write
        r.deadline = max(now, deadline or arrived + r.cls.deadline)
        r.target = min(r.deadline, arrived + r.cls.latency_target)
        self.budgets[class_id] += round(0.05 * (r.target - arrived - self.budgets[class_id]))
        age = self.request_age(class_id, r.cls.deadline, deadline - arrived) if deadline else 0
        if age < r.cls.latency_target:
            r.target = max(arrived, min(r.deadline, arrived + r.cls.latency_target - age))
        else:  # the answer has lost its value: it runs only on spare capacity
            r.priority = 0.0
        self.received += 1
        is_retry = age > 0 or not deadline  # without deadlines, requests are taken to be retried
        self.retry_rate += max(0.005, 1 / self.received) * (is_retry - self.retry_rate)
        self.rejection_rate *= 0.995
        self.lag += 0.1 * (now - arrived - self.lag)
        self.returning += max(0.02, 1 / self.received) * ((caller in self.caller_weights) - self.returning)
        self.shed *= 0.95
        self.caller_weights[caller] = self.caller_weights.get(caller, 0.0) + 1.0
        self.requests[request_id] = r
        self.arrivals.append(r)
        self.set_state(r, NEW)
        return r

    def request_age(self, class_id: int, max_age: int, remaining: int) -> int:
        """How old a request was when this attempt arrived. Callers use the same time-out for most attempts; a
        rare one is what is left of the request's deadline. Saves work for retries whose answers are late.
        Wrong for callers with a time-out of their own that send under a 20th: they come last."""
        timeouts = {timeout: 0.99 * weight for timeout, weight in self.caller_timeouts[class_id].items()}
        similar = next((known for known in timeouts if abs(known - remaining) < TOLERANCE), remaining)
        if similar == remaining and len(timeouts) == MAX_TIMEOUTS and remaining not in timeouts:
            del timeouts[min(timeouts, key=lambda timeout: timeouts[timeout])]
        timeouts[similar] = timeouts.get(similar, 0.0) + 1
        self.caller_timeouts[class_id], total = timeouts, sum(timeouts.values())
        return 0 if total < 20 or timeouts[similar] > total / 20 else max(0, max_age - remaining)

    def admit_arrivals(self, now: int, out: list[Result]) -> None:
        """Rejects or queues each request that has arrived since the last decision."""
        for r in self.arrivals:
            if r.closed or self.share_or_replace(r, now, out):
                continue
            r.priority = self.effective_priority(r, self.expected_value(r, now))
            full = self.used_memory() > USABLE * self.facts.memory_kb or self.waits_for_call(r)
            if self.better_elsewhere(r, now):
                self.reject(r, now, out, elsewhere=True)
            elif r.priority < self.threshold or full or not self.entered(r, now, out):
                self.reject(r, now, out)
            else:
                self.set_state(r, QUEUED)
        self.arrivals.clear()

    def better_elsewhere(self, r: Request, now: int) -> bool:
        """Whether another backend should be tried: late in a drain, and while runs hang or fail here."""
        if self.drain_since:
            late = now + 2 * self.medians[r.class_id] + 2 * TIMER_INTERVAL > self.stop_at
            return late or r.arrived > self.drain_since + self.facts.drain_grace
        return self.stalled(now) or (self.error_rate > MAX_ERROR_RATE and self.random() > PROBE_RATE)

    def expected_value(self, r: Request, now: int) -> float:
        """The part of its value that a request can expect. Which requests exceed the customer's quota is not
        known, so all get the mean over its recent ones, against this backend's even part of the quota. Limits
        floods of one customer. Wrong for a customer whose requests are spread unevenly over backends."""
        if not self.facts.quotas:
            return 1.0
        decay, self.rates_at = max(0.0, 1 - (now - self.rates_at) / QUOTA_WINDOW), now
        self.rate_unit /= max(decay, 1 / MAX_RATE_UNIT)
        if self.rate_unit >= MAX_RATE_UNIT:
            minimum, unit = 1e-6 if decay else MAX_RATE_UNIT, self.rate_unit
            self.rates = {n: rate / unit for n, rate in self.rates.items() if rate > minimum * unit}
            self.rate_unit = 1.0
        self.rates[r.customer] = self.rates.get(r.customer, 0.0) + self.rate_unit
        cap = 1.3 * self.facts.quotas[r.customer] / max(1, self.facts.backends) * self.quota_scale[r.customer]
        within = min(1.0, (cap * QUOTA_WINDOW / 1e6 + 2) * self.rate_unit / self.rates[r.customer])
        return within + self.facts.over_quota_value * (1 - within)

    def effective_priority(self, r: Request, value: float) -> float:
        """The priority of a request with this part of its value: above the classes that are worth less."""
        lower = sum(other.value < value * r.cls.value for other in self.facts.classes)
        return max(r.priority * value, min(r.priority, lower / len(self.facts.classes)))

    def share_or_replace(self, r: Request, now: int, out: list[Result]) -> bool:
        """Shares the run of an earlier attempt (True), or replaces a keyed one that is still queued."""
        first = self.requests.get(r.repeat_of)
        if not r.repeat_of or r.repeat_of in self.not_run or r.cls.idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        if first is not None and first.answered and first.cls.idempotency is Idempotency.IDEMPOTENT:
            return False
        if first is not None and first.state in (NEW, QUEUED) and not first.has_run:
            if r.cls.idempotency is Idempotency.KEYED and first.state == QUEUED and self.entered(r, now, out):
                self.entries.pop(first.id, None)
                self.reject(first, now, out, elsewhere=False)
            return False
        self.set_state(r, SHARING)
        r.has_run = True
        out.append((Step.SHARE, r, 0))
        return True

    def entered(self, r: Request, now: int, out: list[Result]) -> bool:
        """Whether a keyed request has its deduplication entry; without room for one it may not run."""
        if r.cls.idempotency is not Idempotency.KEYED or r.id in self.entries:
            return True
        span = r.arrived + r.cls.dedup_window - now + TIMER_INTERVAL
        return span <= 0 or self.set_entry(r, now, span, out)
