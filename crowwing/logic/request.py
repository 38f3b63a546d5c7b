"""One open request; its methods are called to report the events of its run and its calls."""

from typing import TYPE_CHECKING

from crowwing.contract import Halt, Id, Idempotency, Outcome, Result

if TYPE_CHECKING:  # a circular import: requests are made by their manager
    from crowwing.logic.load_manager import LoadManager

MAX_CALL_ATTEMPTS = 3  # for one call
NEW, QUEUED, RUNNING, CALL_PENDING, CALLING, PAUSED, SHARING, CLOSED = range(8)  # the states of a request


class Request:
    """The handle of one request: its state and its events."""

    def __init__(self, manager: "LoadManager", request_id: Id, class_id: int, size_kb: float) -> None:
        self.manager, self.id, self.class_id, self.size_kb = manager, request_id, class_id, size_kb
        self.cls = manager.facts.classes[class_id]  # its RequestClass
        self.state, self.memory_kb, self.concurrency = CLOSED, 0.0, 0.0  # concurrency: when its run started
        self.answered = self.closed = self.has_run = False  # has_run: started, or shares another's run
        self.call_since = self.call_time = self.attempts = self.retry_at = self.halted_at = self.call_end = 0

    def run_ended(self, now: int, took: int, outcome: Outcome) -> list[Result]:
        """The run of this request has ended; in SHARING, the run whose result it shares."""
        m, was = self.manager, self.state
        if self.closed or was not in (RUNNING, CALL_PENDING, CALLING, SHARING):
            return []
        m.record_progress(now)
        if was == CALLING:
            m.abandoned_calls.append(now + m.facts.linger)
        if outcome is Outcome.STOPPED and not self.answered:  # halted by us: back to the queue
            freeze = m.facts.halt is Halt.FREEZE
            m.set_state(self, PAUSED if freeze else QUEUED, keeps_memory=freeze)
            return []
        out: list[Result] = []
        if was != SHARING and not self.answered and outcome in (Outcome.GOOD, Outcome.FAILED):
            m.record_run(self, took, outcome is Outcome.GOOD)
            if self.id in m.entries and self.cls.idempotency is Idempotency.IDEMPOTENT:  # kept for retries
                m.set_entry(self, now, m.facts.cache_ttl if outcome is Outcome.GOOD else 0, out)
        m.close(self)
        return out

    def call_needed(self, now: int) -> list[Result]:
        """The run needs a downstream call, and does not count towards the concurrency limit meanwhile."""
        if self.state == RUNNING and not self.answered:
            self.call_since, self.attempts = now, 0
            self.manager.record_progress(now)
            self.manager.set_state(self, CALL_PENDING, keeps_memory=True)
        return []

    def call_ended(self, now: int, took: int, outcome: Outcome) -> list[Result]:
        """A downstream call has ended; after a good one the run continues by itself."""
        if self.state != CALLING:
            return []
        m, out = self.manager, []
        if outcome is Outcome.UNSURE:
            m.abandoned_calls.append(now + m.facts.linger)
        m.record_call(took, outcome)
        if outcome is Outcome.GOOD:
            self.call_time += now - self.call_since
            m.set_state(self, RUNNING, keeps_memory=True)
        elif not self.answered:
            m.set_state(self, CALL_PENDING, keeps_memory=True)
            retryable = outcome is Outcome.NEVER_RAN or self.cls.idempotency is Idempotency.IDEMPOTENT
            if self.cls.partial_value > 0:
                m.skip_call(self, now, out)
            elif retryable and self.attempts < MAX_CALL_ATTEMPTS:
                self.retry_at = now + m.usual_call
            else:
                m.fail(self, now, out)
        return out

    def caller_gone(self, now: int) -> list[Result]:
        """The caller has given up and expects no answer."""
        if self.closed or self.answered:
            return []
        self.answered, out = True, []
        if self.state in (NEW, QUEUED, PAUSED, SHARING):
            if not self.has_run:  # a retry that arrives before the next decide() may run instead
                self.manager.not_run.add(self.id)
                self.manager.set_entry(self, now, 0, out)
            self.manager.close(self)
        elif self.state == RUNNING and self.cls.idempotency is Idempotency.IDEMPOTENT:
            self.manager.halt(self, now, out)
        return out
